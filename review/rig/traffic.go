package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// traffic is the load of callers that keep their connections open.
type traffic struct {
	site  *site
	stop  chan struct{}
	loops sync.WaitGroup

	mu       sync.Mutex
	slowest  time.Duration  // longest time until an answer
	answered map[int]int    // by status
	served   map[string]int // successful requests by customer
	asked    map[string]int // requests by customer
	lost     []string       // requests on kept connections that ended without an answer
}

func newTraffic(s *site) *traffic {
	return &traffic{site: s, stop: make(chan struct{}), answered: map[int]int{}, served: map[string]int{}, asked: map[string]int{}}
}

// call starts a caller that sends a request to an instance, waits for the answer, pauses and sends the next one.
func (t *traffic) call(n *instance, pause time.Duration, next func() request) {
	t.loops.Go(func() {
		c := &caller{address: fmt.Sprintf("%s:%d", n.ip, frontPort)}
		defer c.drop()
		for {
			select {
			case <-t.stop:
				return
			case <-time.After(pause):
			}
			r := next()
			sent := time.Now()
			seen := c.do(r)
			seen.took = time.Since(sent)
			t.note(n, r, seen)
		}
	})
}

func (t *traffic) note(n *instance, r request, seen result) {
	t.site.record.line("%s %s key %d at %s: status %d after %.3f s, closed %t, kept connection %t, %v",
		r.method, r.id, r.key, n.ip, seen.status, seen.took.Seconds(), seen.closed, seen.kept, seen.err)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered[seen.status]++
	if !seen.closed {
		t.slowest = max(t.slowest, seen.took)
	}
	t.asked[r.customer]++
	if seen.status == http.StatusOK {
		t.served[r.customer]++
	}
	if seen.closed && seen.kept {
		t.lost = append(t.lost, r.id)
	}
}

// end stops the callers and notes how often each status was answered.
func (t *traffic) end() {
	close(t.stop)
	t.loops.Wait()
	t.site.record.line("answers by status, 0 for none: %v; the slowest took %.3f s", t.answered, t.slowest.Seconds())
}

// hotKeys chooses keys, most of them from the hot range.
type hotKeys struct {
	from, to atomic.Int64 // the range is empty if to is below from
	n        atomic.Int64
}

func newHotKeys() *hotKeys {
	h := &hotKeys{}
	h.to.Store(-1)
	return h
}

func (h *hotKeys) set(from, to int) {
	h.from.Store(int64(from))
	h.to.Store(int64(to))
}

// Shares of the requests: hotIn of hotOf are for the hot range, which has busyKeys busy keys. The platform's largest dose of hot_key is a
// share of 0.43, on 60 or 200 keys.
const (
	hotIn    = 4
	hotOf    = 10
	busyKeys = 60
)

// next returns the key of the next request.
func (h *hotKeys) next() int {
	n := h.n.Add(1)
	from, to := h.from.Load(), h.to.Load()
	if to >= from && n%hotOf < hotIn {
		return int(from + (n*7%busyKeys)*(to-from)/busyKeys)
	}
	return int(n * 7919 % keySpace)
}

// count returns how many requests of a customer were served, and how many there were.
func (t *traffic) count(customer string) (served, asked int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.served[customer], t.asked[customer]
}

// lookup returns a request for a key of the stock.
func (h *hotKeys) lookup() request {
	id := newID("lookup")
	return request{id: id, method: http.MethodGet, path: stockPath + id, customer: customers[0], key: h.next(), deadline: 2 * time.Second}
}

// orderDeadline is the time budget of orders.
const orderDeadline = 6 * time.Second

// order returns an order with a small body.
func order() request {
	id := newID("order")
	return request{id: id, method: http.MethodPost, path: orderPath + id, customer: customers[0], key: -1, body: 300, deadline: orderDeadline}
}
