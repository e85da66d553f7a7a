package backpressure_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollenpier/pollenpier/internal/decide/backpressure"
	"github.com/pollenpier/pollenpier/internal/entity"
)

type arrival struct {
	at       time.Duration
	customer entity.CustomerID
}

// requestQueue is a queue in front of one slot.
type requestQueue interface {
	push(a arrival)
	pop(now time.Duration) (arrival, bool)
}

type fairQueue struct {
	q *backpressure.Queue[arrival]
}

func (f fairQueue) push(a arrival) {
	f.q.Push(&backpressure.Ticket[arrival]{Value: a, Customer: a.customer, Deadline: time.Hour})
}

func (f fairQueue) pop(now time.Duration) (arrival, bool) {
	t := f.q.Pop(now, 0, func(*backpressure.Ticket[arrival]) {})
	if t == nil {
		return arrival{}, false
	}
	return t.Value, true
}

// fifoQueue is the baseline: first come, first served.
type fifoQueue struct{ waiting []arrival }

func (f *fifoQueue) push(a arrival) { f.waiting = append(f.waiting, a) }
func (f *fifoQueue) pop(time.Duration) (arrival, bool) {
	if len(f.waiting) == 0 {
		return arrival{}, false
	}
	a := f.waiting[0]
	f.waiting = f.waiting[1:]
	return a, true
}

// simulate serves the arrivals on one slot in virtual time and returns the longest wait of each customer.
func simulate(q requestQueue, arrivals []arrival, service time.Duration) map[entity.CustomerID]time.Duration {
	longest := map[entity.CustomerID]time.Duration{}
	free := time.Duration(0)
	for i := 0; ; {
		for i < len(arrivals) && arrivals[i].at <= free {
			q.push(arrivals[i])
			i++
		}
		a, ok := q.pop(free)
		switch {
		case ok:
			longest[a.customer] = max(longest[a.customer], free-a.at)
			free += service
		case i == len(arrivals):
			return longest
		default:
			free = arrivals[i].at
		}
	}
}

// Guards against a customer at five times its rate delaying the requests of other customers, as it does with first come, first
// served.
func TestFloodingCustomerDoesNotDelayOthers(t *testing.T) {
	const (
		service  = 10 * time.Millisecond // one slot: 100 requests per second
		others   = 4
		interval = 50 * time.Millisecond // 20 requests per second for each of five customers, which uses the slot fully
	)
	var arrivals []arrival
	for at := time.Duration(0); at < 10*time.Second; at += interval {
		for i := range others {
			arrivals = append(arrivals, arrival{at + time.Duration(i), entity.CustomerID(fmt.Sprintf("c%d", i))})
		}
		for i := range time.Duration(5) {
			arrivals = append(arrivals, arrival{at + i*interval/5, "flood"})
		}
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	fair := simulate(fairQueue{backpressure.NewQueue[arrival](100_000)}, arrivals, service)
	fifo := simulate(&fifoQueue{}, arrivals, service)
	for i := range others {
		c := entity.CustomerID(fmt.Sprintf("c%d", i))
		require.LessOrEqual(t, fair[c], 2*(others+1)*service, "fair, customer %s", c)
		require.Greater(t, fifo[c], time.Second, "first come first served, customer %s", c)
		t.Logf("customer %s waits at most %v, first come first served %v", c, fair[c], fifo[c])
	}
}

// Guards against a full queue that rejects customers with few queued requests.
func TestFullQueueDisplacesTheLargestCustomer(t *testing.T) {
	q := backpressure.NewQueue[int](4)
	push := func(c entity.CustomerID, v int) *backpressure.Ticket[int] {
		return q.Push(&backpressure.Ticket[int]{Value: v, Customer: c, Deadline: time.Hour})
	}
	for v := range 4 {
		require.Nil(t, push("big", v))
	}
	require.Equal(t, 3, push("small", 10).Value)
	require.Equal(t, 4, push("big", 4).Value)
	require.Equal(t, 4, q.Len())
}

// Guards against requests that are lost or returned twice, a wrong length, reordering within a customer, and requests returned
// although they cannot meet their deadline, for any order of pushes, removals and pops.
func TestQueueKeepsEveryRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := backpressure.NewQueue[int](8)
		waiting := map[int]*backpressure.Ticket[int]{}
		last := map[entity.CustomerID]int{}
		now := time.Duration(0)
		remove := func(k *backpressure.Ticket[int]) {
			if waiting[k.Value] != k {
				t.Fatalf("request %d is not queued", k.Value)
			}
			delete(waiting, k.Value)
		}
		for v := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "time"))
			customer := entity.CustomerID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"))
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				k := &backpressure.Ticket[int]{Value: v, Customer: customer, Deadline: now + time.Duration(rapid.IntRange(0, 20).Draw(t, "left"))}
				waiting[v] = k
				if displaced := q.Push(k); displaced != nil {
					remove(displaced)
				}
			case 2:
				q.RecordServiceTime(customer, time.Duration(rapid.IntRange(1, 1000).Draw(t, "run"))*time.Microsecond)
			case 3:
				for _, k := range waiting {
					if k.Value%3 == 0 && q.Remove(k) {
						remove(k)
					}
				}
			default:
				k := q.Pop(now, 2, remove)
				if k == nil {
					break
				}
				remove(k)
				if now+2 > k.Deadline {
					t.Fatalf("request %d returned although it cannot meet its deadline", k.Value)
				}
				if k.Value < last[k.Customer] {
					t.Fatalf("request %d was returned after the later request %d", k.Value, last[k.Customer])
				}
				last[k.Customer] = k.Value
			}
			if q.Len() != len(waiting) || q.Len() > 8 {
				t.Fatalf("length %d, waiting %d", q.Len(), len(waiting))
			}
		}
	})
}
