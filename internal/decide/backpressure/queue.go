package backpressure

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

const (
	// quantum is the deficit that a customer gains per round, and the cost of a request with the average service time.
	quantum = 1000
	// maxCost and minCost bound the cost of one request relative to the average, which bounds the number of rounds in one Pop
	// and the effect of a wrong measurement.
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

// Queue is a bounded fair queue that uses deficit round robin over customers and is first come, first served for each customer.
// The cost of a request is the measured service time of its customer relative to the average, so that customers get equal
// portions of the backend's processing time, not of its requests. It is not safe for concurrent use.
//
// Invariant: size is the number of queued tickets, and every customer in ring has at least one.
type Queue[T any] struct {
	limit     int
	size      int
	customers map[entity.CustomerID]*customerQueue[T]
	ring      []*customerQueue[T]
	next      int
	costs     map[entity.CustomerID]float64 // average service time in microseconds
	average   float64                       // over all customers, in microseconds
}

type customerQueue[T any] struct {
	customer entity.CustomerID
	tickets  []*Ticket[T]
	deficit  int
	served   bool // got its quantum in this visit
}

// NewQueue returns a queue for at most limit requests.
func NewQueue[T any](limit int) *Queue[T] {
	return &Queue[T]{
		limit:     limit,
		customers: map[entity.CustomerID]*customerQueue[T]{},
		costs:     map[entity.CustomerID]float64{},
	}
}

// Len returns the number of queued requests.
func (q *Queue[T]) Len() int { return q.size }

// Push queues a request. When the queue is full, the newest request of the customer with the most queued requests is removed
// and returned. That is the pushed request itself if its own customer has the most. A customer that floods the queue therefore
// cannot keep the requests of others out of it.
func (q *Queue[T]) Push(t *Ticket[T]) (displaced *Ticket[T]) {
	if q.size >= q.limit {
		longest := q.longest()
		queue := q.customers[t.Customer]
		if longest == nil || (queue != nil && len(queue.tickets) >= len(longest.tickets)) {
			return t
		}
		displaced = longest.tickets[len(longest.tickets)-1]
		q.Remove(displaced)
	}
	c := q.customers[t.Customer]
	if c == nil {
		c = &customerQueue[T]{customer: t.Customer}
		q.customers[t.Customer] = c
		q.ring = append(q.ring, c)
	}
	t.queued = true
	c.tickets = append(c.tickets, t)
	q.size++
	return displaced
}

// Pop returns the next request that can still meet its deadline if it needs at least the time floor. Requests that cannot are
// removed and passed to refuse. Pop returns nil if no request is left.
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
		c := q.ring[q.next]
		if !c.served {
			c.served = true
			c.deficit += quantum
		}
		cost := q.cost(c.customer)
		if cost > c.deficit {
			c.served = false
			q.advance()
			continue
		}
		c.deficit -= cost
		t := c.tickets[0]
		q.removeAt(c, 0)
		return t
	}
}

// Remove removes a request from the queue. It reports false if the request is not queued.
func (q *Queue[T]) Remove(t *Ticket[T]) bool {
	if !t.queued {
		return false
	}
	c := q.customers[t.Customer]
	for i, candidate := range c.tickets {
		if candidate == t {
			q.removeAt(c, i)
			return true
		}
	}
	return false
}

// RemoveIf removes and returns all requests for which drop returns true, in no particular order of customers.
func (q *Queue[T]) RemoveIf(drop func(T) bool) []*Ticket[T] {
	var found []*Ticket[T]
	for _, c := range q.ring {
		for _, t := range c.tickets {
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

// RecordServiceTime records the service time of an answered request, which determines the cost of the customer's next requests.
func (q *Queue[T]) RecordServiceTime(customer entity.CustomerID, d time.Duration) {
	const weight = 0.05 // the average covers about 20 requests
	us := float64(max(d.Microseconds(), 1))
	q.average = blend(q.average, us, weight)
	if _, known := q.costs[customer]; !known && len(q.costs) >= q.limit {
		// The number of recorded costs is limited like the queue. After a reset, requests have the average cost until their
		// customers are measured again.
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
	serviceTime, known := q.costs[customer]
	if !known {
		return quantum
	}
	return min(max(int(quantum*serviceTime/q.average), minCost), maxCost)
}

func (q *Queue[T]) longest() *customerQueue[T] {
	var longest *customerQueue[T]
	for _, c := range q.ring {
		if longest == nil || len(c.tickets) > len(longest.tickets) {
			longest = c
		}
	}
	return longest
}

func (q *Queue[T]) removeAt(c *customerQueue[T], i int) {
	c.tickets[i].queued = false
	q.size--
	if i == 0 {
		c.tickets[0] = nil
		c.tickets = c.tickets[1:]
	} else {
		c.tickets = append(c.tickets[:i], c.tickets[i+1:]...)
	}
	if len(c.tickets) == 0 {
		q.removeCustomer(c)
	}
}

// removeCustomer removes a customer whose queue is empty. The deficit is discarded, as usual in deficit round robin, so that
// idle customers do not accumulate credit.
func (q *Queue[T]) removeCustomer(c *customerQueue[T]) {
	delete(q.customers, c.customer)
	for i, candidate := range q.ring {
		if candidate != c {
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
