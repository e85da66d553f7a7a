package admission

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/admission"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
)

// minRetryAfter is the shortest time after which a refused caller is told to retry. It keeps refusals from causing a
// flood of retries.
const minRetryAfter = 10 * time.Millisecond

// account is the state of a customer that traffic goroutines use.
type account struct {
	pool   *admission.TokenPool
	limits admission.Limits // of this zone
	// low is the message that requests more tokens. It is created once, so that spending does not allocate.
	low kernel.Message
	// queued is the number of waiting requests.
	queued *atomic.Int64
}

// accounts is the immutable table of all customers.
type accounts map[entity.CustomerID]*account

// States of a waiter. The control goroutine changes pending to admitted; the goroutine of the request changes pending
// to canceled.
const (
	waiterPending int32 = iota
	waiterAdmitted
	waiterCanceled
)

// waiter is a request that waits for a token.
type waiter struct {
	customer entity.CustomerID
	state    atomic.Int32
	admitted chan struct{}
}

var admittedResult = service.AdmitResult{Outcome: entity.Answered()}

// Admit decides whether a customer may send one more request now. It takes a token from the customer's pool, or waits
// for one in the customer's own queue until the context ends, at most MaxWait. Traffic goroutines call it.
func (s *Service) Admit(ctx context.Context, customer entity.CustomerID) service.AdmitResult {
	table := s.table.Load()
	if table == nil {
		return refuse("the limits of customers are not known yet", s.settings.MaxWait)
	}
	a, ok := (*table)[customer]
	if !ok {
		return refuse("the limits of the customer are not known yet", minRetryAfter)
	}
	a.pool.CountArrival()
	if ok, low := a.pool.Spend(s.kernel.Now()); ok {
		if low {
			s.kernel.Post(service.Admission, a.low)
		}
		return admittedResult
	}
	return s.wait(ctx, customer, a)
}

// wait waits in the queue of the customer for a token.
func (s *Service) wait(ctx context.Context, customer entity.CustomerID, a *account) service.AdmitResult {
	if a.limits.Burst < 1 || a.limits.Rate <= 0 {
		return s.refused(a, "the customer has no burst in this zone")
	}
	// More requests than this cannot be admitted within MaxWait.
	capacity := float64(a.limits.Burst) + a.limits.Rate*s.settings.MaxWait.Seconds()
	if a.queued.Add(1) > int64(min(capacity+1, float64(s.settings.MaxQueue))) {
		a.queued.Add(-1)
		return s.refused(a, "too many requests of the customer wait")
	}
	defer a.queued.Add(-1)
	w := &waiter{customer: customer, admitted: make(chan struct{}, 1)}
	if !s.kernel.Post(service.Admission, w) {
		return s.refused(a, "the instance is overloaded")
	}
	timer := time.NewTimer(s.settings.MaxWait)
	defer timer.Stop()
	select {
	case <-w.admitted:
		return admittedResult
	case <-timer.C:
	case <-ctx.Done():
	}
	if !w.state.CompareAndSwap(waiterPending, waiterCanceled) {
		return admittedResult // admitted at the same moment; the token is spent
	}
	return s.refused(a, "the customer is over its rate")
}

// refused counts and returns a refusal. Its wait is the time after which a token can be expected, given that the
// waiting requests are served first.
func (s *Service) refused(a *account, detail string) service.AdmitResult {
	s.counters.refused.Inc(1)
	wait := a.pool.RetryAfter()
	if a.limits.Rate > 0 {
		ahead := float64(a.queued.Load()) / a.limits.Rate
		wait = max(wait, time.Duration(ahead*float64(time.Second)))
	}
	return refuse(detail, wait)
}

func refuse(detail string, wait time.Duration) service.AdmitResult {
	return service.AdmitResult{
		Outcome: entity.NotRun(entity.ReasonRateLimited, detail), Wait: max(wait, minRetryAfter),
	}
}

// queue holds the waiting requests of one customer, oldest first.
type queue struct{ waiters []*waiter }

// prune removes canceled requests and returns the number of those that still wait.
func (q *queue) prune() int {
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if w.state.Load() == waiterPending {
			kept = append(kept, w)
		}
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
	return len(kept)
}

// serve admits waiting requests with the tokens of a batch.
func (q *queue) serve(now time.Duration, b *admission.Batch) {
	for len(q.waiters) > 0 {
		w := q.waiters[0]
		if w.state.Load() == waiterPending {
			if ok, _ := b.Spend(now); !ok {
				return
			}
			if w.state.CompareAndSwap(waiterPending, waiterAdmitted) {
				w.admitted <- struct{}{}
			}
			// Otherwise the request was canceled between the two steps, and its token is lost.
		}
		q.waiters[0] = nil
		q.waiters = q.waiters[1:]
	}
}
