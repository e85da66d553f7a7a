package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// Bounds of the attempts of one call.
const (
	// maxUnreachable bounds the attempts of one call that fail because no connection to the backend can be opened.
	maxUnreachable = 4
	// maxMisdirected bounds the attempts at owners that had no valid grant for the key.
	maxMisdirected = 3
	// misdirectedPause is the pause before the next attempt at the owner. A newer table may be in flight.
	misdirectedPause = 30 * time.Millisecond
	// minAttemptTime is the minimum time until the deadline that another attempt requires.
	minAttemptTime = 20 * time.Millisecond
)

// attempts sends the call to one backend after another until there is a reply.
func (s *Service) attempts(ctx context.Context, c *request) service.Reply {
	c.tried = map[entity.BackendID]bool{}
	unreachable, misdirected := 0, 0
	var best *service.Reply // reply of an attempt that ran, kept during further attempts
	for {
		candidates, outcome := s.candidates(ctx, c)
		if candidates == nil {
			return s.earlierReply(best, service.Reply{Outcome: outcome, RetryAfter: retryOf(outcome)})
		}
		choice, attempt := s.choose(ctx, c, candidates)
		if choice.Backend == nil {
			return s.earlierReply(best, s.refusal(c, choice))
		}
		if !s.begin(c, choice.Backend) {
			s.loads.FinishAttempt(attempt, &service.DeliveryResult{Outcome: entity.NotRun(entity.ReasonCanceled, "")}, s.kernel.Now())
			continue
		}
		if outcome, ok := s.takeRetryCost(c); !ok {
			unsent := service.DeliveryResult{Outcome: entity.NotRun(entity.ReasonCanceled, "")}
			s.loads.FinishAttempt(attempt, &unsent, s.kernel.Now())
			s.end(c, choice.Backend, attempt.Cold, &unsent, 0)
			return s.earlierReply(best, service.Reply{Outcome: outcome, RetryAfter: choice.ExpectedLatency})
		}
		result := s.send(ctx, c, choice.Backend, attempt)
		switch {
		case result.Outcome.Kind == entity.OutcomeAnswered:
			reply := service.Reply{Outcome: result.Outcome, Status: result.Status, Header: result.Header, Body: result.Body}
			if !s.shouldRetry(c, result) {
				return reply
			}
			best = &reply
		case result.Outcome.Kind == entity.OutcomeUnknown:
			reply := service.Reply{Outcome: result.Outcome}
			if !s.shouldRetry(c, result) {
				return s.earlierReply(best, reply)
			}
			if best == nil {
				best = &reply
			}
		case result.Misdirected:
			misdirected++
			s.keys.ReportMisdirected(c.version)
			if misdirected >= maxMisdirected || !pause(ctx, misdirectedPause) {
				return s.earlierReply(best, service.Reply{Outcome: result.Outcome, RetryAfter: ownerRetry})
			}
			continue
		default:
			if result.Outcome.Reason == entity.ReasonUnreachable {
				unreachable++
			}
			if unreachable >= maxUnreachable || ctx.Err() != nil || c.service.Partitioned || c.deadline-s.kernel.Now() < minAttemptTime {
				return s.earlierReply(best, service.Reply{Outcome: result.Outcome, RetryAfter: choice.ExpectedLatency})
			}
		}
		if !c.service.Partitioned {
			c.tried[choice.Backend.ID] = true
		}
	}
}

// retryOf returns the time after which a caller may retry if its request has no candidates.
func retryOf(outcome entity.Outcome) time.Duration {
	if outcome.Reason == entity.ReasonShed {
		return exposureRetry
	}
	return ownerRetry
}

// takeRetryCost takes the cost of another attempt if an earlier one reached a backend: a token of the service's retry budget, and
// a token of the customer's rate if the earlier attempt may have run, since the customer is then served twice. It returns false
// and the outcome if one of them is not available.
func (s *Service) takeRetryCost(c *request) (entity.Outcome, bool) {
	if c.arrivals == 0 {
		return entity.Outcome{}, true
	}
	servedTwice := c.runs > 0 && c.customer != nil
	if servedTwice {
		if ok, _ := s.loads.Admit(c.customer, s.members.MembersView(), s.kernel.Now()); !ok {
			return entity.NotRun(entity.ReasonRateLimited, "the customer's rate leaves no token for a retry"), false
		}
	}
	if !s.loads.TakeRetryToken(c.service.Name) {
		if servedTwice {
			s.loads.RefundToken(c.customer)
		}
		return entity.NotRun(entity.ReasonShed, "retry budget exhausted"), false
	}
	return entity.Outcome{}, true
}

// earlierReply returns the reply of an earlier attempt that ran, or the last reply if there is none. Reporting the refusal of the
// last attempt as not run would be false if an earlier one ran.
func (s *Service) earlierReply(earlier *service.Reply, last service.Reply) service.Reply {
	if earlier != nil {
		return *earlier
	}
	return last
}

// shouldRetry reports whether a call that was answered with a server error, or whose outcome is unknown, is sent again.
func (s *Service) shouldRetry(c *request, r service.DeliveryResult) bool {
	if r.Outcome.Kind == entity.OutcomeAnswered && r.Status < serverErrors {
		return false
	}
	if !c.route.Idempotent || c.runs >= c.route.MaxAttempts || r.Outcome.IsCanceled() {
		return false
	}
	return c.deadline-s.kernel.Now() > minAttemptTime
}

// serverErrors is the lowest HTTP status that reports a failure of the backend.
const serverErrors = 500

// send sends the call to a backend and updates the counts of the attempt.
func (s *Service) send(ctx context.Context, c *request, b *catalog.Backend, attempt service.Attempt) service.DeliveryResult {
	delivery := service.Delivery{Backend: b, Call: c.call, Remaining: c.deadline - s.kernel.Now()}
	if c.customer != nil {
		delivery.Customer = c.customer.ID
	}
	c.last, c.lastCold = b.ID, attempt.Cold
	if attempt.Cold {
		s.meters.sentCold.Inc(1)
	}
	result := s.endpoints.Deliver(ctx, delivery)
	now := s.kernel.Now()
	s.loads.FinishAttempt(attempt, &result, now)
	s.end(c, b, attempt.Cold, &result, now-attempt.Sent)
	if result.ConnectionRefused {
		telemetry.EventBackendRefusedConnection.Log(s.log, zap.String("backend", string(b.ID)), zap.Int64("born", b.Incarnation),
			zap.String("service", string(c.service.Name)), zap.Duration("warmup", c.service.Warmup))
	}
	s.watchCrash(c, b, result)
	if result.Outcome.Reason != entity.ReasonUnreachable {
		c.arrivals++
	}
	if result.Outcome.Kind != entity.OutcomeNotRun {
		c.runs++
	}
	if c.arrivals > 1 {
		s.meters.retries.Inc(1)
	}
	if result.Outcome.Kind != entity.OutcomeAnswered {
		telemetry.EventCallAttempt.Log(s.log, zap.String("request", c.call.ID), zap.String("backend", string(b.ID)),
			zap.String("outcome", result.Outcome.String()), zap.Int("arrivals", c.arrivals), zap.Uint64("table", uint64(c.version)),
			zap.Uint64("view", c.view.Generation), zap.Duration("took", s.kernel.Now()-attempt.Sent), zap.Bool("cold", attempt.Cold))
	}
	return result
}

// refusal returns the reply to a call that no backend can accept.
func (s *Service) refusal(_ *request, choice service.Choice) service.Reply {
	detail := "no backend is reachable"
	if choice.Reason == entity.ReasonQueueFull {
		detail = "the answer is expected too late"
	}
	return service.Reply{Outcome: entity.NotRun(choice.Reason, detail), RetryAfter: choice.RetryAfter}
}

// pause waits for d. It returns false if the caller has given up or the deadline has passed.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
