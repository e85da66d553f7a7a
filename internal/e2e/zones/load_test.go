package zones

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pollenpier/pollenpier/internal/e2e/check"
)

// Values of the Pollenpier-Outcome header.
const (
	answered = "answered"
	notRun   = "not-run"
)

// answer is a request and the response that its caller received.
type answer struct {
	zone, key, path    string
	sent               time.Time
	outcome, reason    string
	id, idempotencyKey string
	err                error
}

// callDeadline is the deadline that callers set for a request.
const callDeadline = time.Second

// call sends a request to an instance.
func call(i *node, address, method, path, key string, header map[string]string) answer {
	a := answer{zone: i.endpoint.zone, key: key, path: path, sent: time.Now(), idempotencyKey: header["Idempotency-Key"]}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		a.err = err
		return a
	}
	req.Header.Set("Pollenpier-Customer-Key", customerKey)
	req.Header.Set("Pollenpier-Key", key)
	req.Header.Set("Pollenpier-Deadline-Ms", fmt.Sprint(callDeadline.Milliseconds()))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	a.err = resp.Body.Close()
	a.outcome, a.reason = resp.Header.Get("Pollenpier-Outcome"), resp.Header.Get("Pollenpier-Reason")
	a.id = resp.Header.Get("Pollenpier-Request-Id")
	return a
}

// look sends an idempotent request.
func look(i *node, key string) answer {
	return call(i, i.CallersAddress(), http.MethodGet, "/order/look", key, nil)
}

// inside sends an idempotent request to an internal route.
func inside(i *node, key string) answer {
	return call(i, i.internal, http.MethodGet, "/order/inside", key, map[string]string{"Pollenpier-Customer": "florist"})
}

// book sends a request that runs at most once and declares that it is sent for the first time.
func book(i *node, key, idempotencyKey string) answer {
	return call(i, i.CallersAddress(), http.MethodPost, "/order/book", key, map[string]string{
		"Idempotency-Key": idempotencyKey, "Pollenpier-Age-Ms": "0",
	})
}

// load sends requests to all instances until it is stopped and keeps the answers.
type load struct {
	mu      sync.Mutex
	answers []answer
	stop    chan struct{}
	callers sync.WaitGroup
}

// callInterval is the pause of a caller before each request.
const callInterval = 10 * time.Millisecond

// startLoad starts two callers at each instance: every fifth request calls book, the others look.
func (s *site) startLoad() *load {
	const callersPerInstance = 2
	l := &load{stop: make(chan struct{})}
	for n, i := range s.instances {
		for c := range callersPerInstance {
			l.callers.Go(func() { l.run(i, s.keys, n*callersPerInstance+c) })
		}
	}
	return l
}

// addCallers adds a caller at each of the instances that uses only the given keys. A caller in an isolated zone that used all
// keys would spend most of its time on keys of other zones.
func (l *load) addCallers(instances []*node, keys []string) {
	const firstCaller = 100 // above the callers of startLoad
	for n, i := range instances {
		l.callers.Go(func() { l.run(i, keys, firstCaller+n) })
	}
}

func (l *load) run(i *node, keys []string, caller int) {
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(callInterval):
		}
		key := keys[(caller*7+n)%len(keys)]
		if n%5 == 4 {
			l.add(book(i, key, fmt.Sprintf("load-%d-%d", caller, n)))
		} else {
			l.add(look(i, key))
		}
	}
}

func (l *load) add(a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, a)
}

// end stops the callers.
func (l *load) end() {
	close(l.stop)
	l.callers.Wait()
}

// between returns the answers to requests that were sent to a zone in a period. If keys are given, it returns only theirs.
func (l *load) between(zone string, from, to time.Time, keys ...string) []answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	selected := map[string]bool{}
	for _, key := range keys {
		selected[key] = true
	}
	var list []answer
	for _, a := range l.answers {
		if a.zone == zone && a.sent.After(from) && a.sent.Before(to) && (len(keys) == 0 || selected[a.key]) {
			list = append(list, a)
		}
	}
	return list
}

// refusals returns the requests that were answered as not run.
func (l *load) refusals() []check.Refusal {
	var list []check.Refusal
	for _, a := range l.answers {
		if a.outcome == notRun {
			list = append(list, check.Refusal{RequestID: a.id, IdempotencyKey: a.idempotencyKey, Reason: a.reason})
		}
	}
	return list
}

// counts returns the number of answers by zone, outcome and reason.
func (l *load) counts() map[string]int {
	counts := map[string]int{}
	for _, a := range l.answers {
		counts[describe(a)]++
	}
	return counts
}

// timeline returns, for each kind of answer other than answered, the first and the last second of the load in which a request
// received it.
func (l *load) timeline() map[string][2]int {
	seconds := map[string][2]int{}
	for _, a := range l.answers {
		if a.outcome == answered {
			continue
		}
		second := int(a.sent.Sub(l.answers[0].sent) / time.Second)
		span, seen := seconds[describe(a)]
		if !seen {
			span = [2]int{second, second}
		}
		seconds[describe(a)] = [2]int{min(span[0], second), max(span[1], second)}
	}
	return seconds
}

func describe(a answer) string {
	if a.err != nil {
		return a.zone + " connection error"
	}
	return a.zone + " " + a.outcome + " " + a.reason
}
