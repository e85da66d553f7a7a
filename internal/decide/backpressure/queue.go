package backpressure

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

const (
	// quantum is what a customer may spend per round. A request of average cost costs as much.
	quantum = 1000
	// maxCost and minCost bound the cost of one request relative to the average, which bounds the rounds of one Pop and
	// the effect of a wrong measurement.
	maxCost = 8 * quantum
	minCost = quantum / 8
)

// Ticket is a queued request.
type Ticket[T any] struct {
	Value    T
	Customer entity.CustomerID
	Deadline time.Duration
	queued   bool
}

// Queue is a bounded fair queue: deficit round robin over customers, first come first served within a customer. The cost
// of a request is the measured service time of its customer relative to the average, so that customers share the back
// end's time and not its requests.
//
// Invariant: size is the number of queued tickets, and every customer in ring has at least one.
type Queue[T any] struct {
	limit     int
	size      int
	customers map[entity.CustomerID]*line[T]
	ring      []*line[T]
	next      int
	costs     map[entity.CustomerID]float64 // average service time in microseconds
	average   float64                       // over all customers, in microseconds
}

type line[T any] struct {
	customer entity.CustomerID
	tickets  []*Ticket[T]
	deficit  int
	served   bool // got its quantum in this visit
}

// NewQueue returns a queue for at most limit requests.
func NewQueue[T any](limit int) *Queue[T] {
	return &Queue[T]{
		limit:     limit,
		customers: map[entity.CustomerID]*line[T]{},
		costs:     map[entity.CustomerID]float64{},
	}
}

// Len returns the number of queued requests.
func (q *Queue[T]) Len() int { return q.size }

// Push queues a request. When the queue is full, the customer with the most queued requests loses its newest one, which is
// returned: that is the pushed request itself if its own customer has the most. A customer that floods the queue
// therefore cannot keep others out.
func (q *Queue[T]) Push(t *Ticket[T]) (displaced *Ticket[T]) {
	if q.size >= q.limit {
		longest := q.longest()
		own := q.customers[t.Customer]
		if longest == nil || (own != nil && len(own.tickets) >= len(longest.tickets)) {
			return t
		}
		displaced = longest.tickets[len(longest.tickets)-1]
		q.Remove(displaced)
	}
	l := q.customers[t.Customer]
	if l == nil {
		l = &line[T]{customer: t.Customer}
		q.customers[t.Customer] = l
		q.ring = append(q.ring, l)
	}
	t.queued = true
	l.tickets = append(l.tickets, t)
	q.size++
	return displaced
}

// Pop returns the next request that can still meet its deadline if it needs the time floor. Requests that cannot are
// removed and passed to refuse.
func (q *Queue[T]) Pop(now, floor time.Duration, refuse func(*Ticket[T])) *Ticket[T] {
	for q.size > 0 {
		t := q.pop()
		if now < t.Deadline && now+floor <= t.Deadline {
			return t
		}
		refuse(t)
	}
	return nil
}

// pop returns the next request by deficit round robin. The queue must not be empty.
func (q *Queue[T]) pop() *Ticket[T] {
	for {
		l := q.ring[q.next]
		if !l.served {
			l.served = true
			l.deficit += quantum
		}
		cost := q.cost(l.customer)
		if cost > l.deficit {
			l.served = false
			q.advance()
			continue
		}
		l.deficit -= cost
		t := l.tickets[0]
		q.removeAt(l, 0)
		return t
	}
}

// Remove takes a request out of the queue. It reports false if it is not queued.
func (q *Queue[T]) Remove(t *Ticket[T]) bool {
	if !t.queued {
		return false
	}
	l := q.customers[t.Customer]
	for i, candidate := range l.tickets {
		if candidate == t {
			q.removeAt(l, i)
			return true
		}
	}
	return false
}

// RemoveIf takes out all requests for which drop is true, in no particular order of customers.
func (q *Queue[T]) RemoveIf(drop func(T) bool) []*Ticket[T] {
	var found []*Ticket[T]
	for _, l := range q.ring {
		for _, t := range l.tickets {
			if drop(t.Value) {
				found = append(found, t)
			}
		}
	}
	for _, t := range found {
		q.Remove(t)
	}
	return found
}

// RecordServiceTime tells the queue the service time of an answered request, which sets the cost of the customer's next ones.
func (q *Queue[T]) RecordServiceTime(customer entity.CustomerID, d time.Duration) {
	const weight = 0.05 // the average covers about 20 requests
	us := float64(max(d.Microseconds(), 1))
	q.average = blend(q.average, us, weight)
	if _, known := q.costs[customer]; !known && len(q.costs) >= q.limit {
		// The customers' costs are bounded like the queue. Starting over only makes costs average for a moment.
		clear(q.costs)
	}
	q.costs[customer] = blend(q.costs[customer], us, weight)
}

func blend(old, sample, weight float64) float64 {
	if old == 0 {
		return sample
	}
	return old + weight*(sample-old)
}

func (q *Queue[T]) cost(customer entity.CustomerID) int {
	own, known := q.costs[customer]
	if !known {
		return quantum
	}
	return min(max(int(quantum*own/q.average), minCost), maxCost)
}

func (q *Queue[T]) longest() *line[T] {
	var longest *line[T]
	for _, l := range q.ring {
		if longest == nil || len(l.tickets) > len(longest.tickets) {
			longest = l
		}
	}
	return longest
}

func (q *Queue[T]) removeAt(l *line[T], i int) {
	l.tickets[i].queued = false
	q.size--
	if i == 0 {
		l.tickets[0] = nil
		l.tickets = l.tickets[1:]
	} else {
		l.tickets = append(l.tickets[:i], l.tickets[i+1:]...)
	}
	if len(l.tickets) == 0 {
		q.drop(l)
	}
}

// drop removes an empty line. Its deficit is lost, as usual for deficit round robin: idle customers save nothing up.
func (q *Queue[T]) drop(l *line[T]) {
	delete(q.customers, l.customer)
	for i, candidate := range q.ring {
		if candidate != l {
			continue
		}
		q.ring = append(q.ring[:i], q.ring[i+1:]...)
		if i < q.next {
			q.next--
		}
		break
	}
	if q.next >= len(q.ring) {
		q.next = 0
	}
}

func (q *Queue[T]) advance() {
	q.next++
	if q.next >= len(q.ring) {
		q.next = 0
	}
}
