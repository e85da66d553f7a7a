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

const (
	// minRetryAfter is the shortest time after which a refused caller is told to retry. It keeps refusals from causing a
	// flood of retries.
	minRetryAfter = 10 * time.Millisecond
	// outageRetryAfter is the time after which a caller is told to retry if no token server can be reached. A lost token
	// server is replaced in about 0.7 s.
	outageRetryAfter = 500 * time.Millisecond
)

// overRate is the detail of a refusal after a wait for a token.
const overRate = "the customer is over its rate"

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
// for one in the customer's own queue until the context ends, at most MaxWait, and MaxOutage more if the token server is
// lost meanwhile. Traffic goroutines call it.
func (s *Service) Admit(ctx context.Context, customer entity.CustomerID) service.AdmitResult {
	table := s.table.Load()
	if table == nil {
		return refuse(entity.ReasonNoOwner, "the limits of customers are not known yet", s.settings.MaxWait)
	}
	a, ok := (*table)[customer]
	if !ok {
		return refuse(entity.ReasonNoOwner, "the limits of the customer are not known yet", minRetryAfter)
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
	arrived := s.kernel.Now()
	remaining := s.remaining(arrived)
	if remaining <= 0 {
		// The next call may find a token server again.
		s.kernel.Post(service.Admission, a.low)
		return s.refusedWithoutToken(a, arrived, overRate)
	}
	// More requests than this cannot be admitted within MaxWait.
	capacity := float64(a.limits.Burst) + a.limits.Rate*s.settings.MaxWait.Seconds()
	if a.queued.Add(1) > int64(min(capacity+1, float64(s.settings.MaxQueue))) {
		a.queued.Add(-1)
		return s.refusedWithoutToken(a, arrived, "too many requests of the customer wait")
	}
	defer a.queued.Add(-1)
	w := &waiter{customer: customer, admitted: make(chan struct{}, 1)}
	if !s.kernel.Post(service.Admission, w) {
		return refuse(entity.ReasonQueueFull, "the instance is overloaded", minRetryAfter)
	}
	if s.awaitToken(ctx, w, arrived, remaining) {
		return admittedResult
	}
	return s.refusedWithoutToken(a, arrived, overRate)
}

// awaitToken waits until the waiter is admitted. It returns false if the waiter is canceled, since the request has waited
// for as long as it may.
func (s *Service) awaitToken(ctx context.Context, w *waiter, arrived, remaining time.Duration) bool {
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	for remaining > 0 {
		// The token server may be lost or replaced during the wait, which changes the bound.
		timer.Reset(min(remaining, s.settings.MaxWait))
		select {
		case <-w.admitted:
			return true
		case <-ctx.Done():
			remaining = 0
		case <-timer.C:
			remaining = s.remaining(arrived)
		}
	}
	// If this fails, the waiter was admitted at the same moment, and the token is spent.
	return !w.state.CompareAndSwap(waiterPending, waiterCanceled)
}

// remaining returns how much longer a request that arrived at the given time may wait for a token.
func (s *Service) remaining(arrived time.Duration) time.Duration {
	return s.waitLimits().Remaining(s.kernel.Now(), arrived, *s.availability.Load())
}

func (s *Service) waitLimits() admission.WaitLimits {
	return admission.WaitLimits{Rate: s.settings.MaxWait, Outage: s.settings.MaxOutage}
}

// refusedWithoutToken refuses a request that arrived at the given time and got no token. The detail applies if the customer
// is over its rate.
func (s *Service) refusedWithoutToken(a *account, arrived time.Duration, detail string) service.AdmitResult {
	if s.waitLimits().OverRate(s.kernel.Now(), arrived, *s.availability.Load()) {
		return s.refused(a, detail)
	}
	s.counters.unavailable.Inc(1)
	return refuse(entity.ReasonUnreachable, "no token server of the zone can be reached", outageRetryAfter)
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
	return refuse(entity.ReasonRateLimited, detail, wait)
}

func refuse(reason entity.Reason, detail string, wait time.Duration) service.AdmitResult {
	return service.AdmitResult{Outcome: entity.NotRun(reason, detail), Wait: max(wait, minRetryAfter)}
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
