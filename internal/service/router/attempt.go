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
	// maxUnsent bounds the back ends that were tried without success in opening a connection.
	maxUnsent = 4
	// maxMisdirected bounds the sendings to owners that did not hold the key.
	maxMisdirected = 3
	// misdirectedPause is the pause before the owner is asked again; the table may be on its way.
	misdirectedPause = 30 * time.Millisecond
	// leastTime is the time that must be left for another attempt.
	leastTime = 20 * time.Millisecond
)

// attempts sends the call to one back end after the other until there is a reply.
func (s *Service) attempts(ctx context.Context, c *request) service.Reply {
	c.tried = map[entity.BackendID]bool{}
	unsent, misdirected := 0, 0
	var best *service.Reply // of an attempt that ran, kept while another is made
	for {
		candidates, outcome := s.candidates(ctx, c)
		if candidates == nil {
			return s.give(best, service.Reply{Outcome: outcome, RetryAfter: ownerRetry})
		}
		choice, attempt := s.choose(c, candidates)
		if choice.Backend == nil {
			return s.give(best, s.refusal(c, choice))
		}
		if outcome, ok := s.mayRepeat(c); !ok {
			s.loads.FinishAttempt(attempt, &service.DeliveryResult{Outcome: entity.NotRun(entity.ReasonCanceled, "")}, s.kernel.Now())
			return s.give(best, service.Reply{Outcome: outcome, RetryAfter: choice.ExpectedLatency})
		}
		result := s.send(ctx, c, choice.Backend, attempt)
		switch {
		case result.Outcome.Kind == entity.OutcomeAnswered:
			reply := service.Reply{Outcome: result.Outcome, Status: result.Status, Header: result.Header, Body: result.Body}
			if !s.again(c, result) {
				return reply
			}
			best = &reply
		case result.Outcome.Kind == entity.OutcomeUnknown:
			reply := service.Reply{Outcome: result.Outcome}
			if !s.again(c, result) {
				return s.give(best, reply)
			}
			if best == nil {
				best = &reply
			}
		case result.Misdirected:
			misdirected++
			s.keys.ReportMisdirected(c.version)
			if misdirected >= maxMisdirected || !pause(ctx, misdirectedPause) {
				return s.give(best, service.Reply{Outcome: result.Outcome, RetryAfter: ownerRetry})
			}
			continue
		default:
			if result.Outcome.Reason == entity.ReasonUnreachable {
				unsent++
			}
			if unsent >= maxUnsent || ctx.Err() != nil || c.service.Partitioned || c.deadline-s.kernel.Now() < leastTime {
				return s.give(best, service.Reply{Outcome: result.Outcome, RetryAfter: choice.ExpectedLatency})
			}
		}
		if !c.service.Partitioned {
			c.tried[choice.Backend.ID] = true
		}
	}
}

// mayRepeat takes what another attempt costs if an earlier one reached a back end: a repeat of the service's budget, and a token of
// the customer's rate if the earlier one may have run, since the customer is then served twice.
func (s *Service) mayRepeat(c *request) (entity.Outcome, bool) {
	if c.arrivals == 0 {
		return entity.Outcome{}, true
	}
	if c.runs > 0 && c.customer != nil {
		if ok, _ := s.loads.Admit(c.customer, s.members.MembersView(), s.kernel.Now()); !ok {
			return entity.NotRun(entity.ReasonRateLimited, "customer's rate leaves no repeat"), false
		}
	}
	if !s.loads.TakeRetryToken(c.service.Name) {
		return entity.NotRun(entity.ReasonShed, "no repeats left"), false
	}
	return entity.Outcome{}, true
}

// give returns the reply of an earlier attempt that ran, if there is one: a refusal of the last attempt would then be untrue.
func (s *Service) give(earlier *service.Reply, last service.Reply) service.Reply {
	if earlier != nil {
		return *earlier
	}
	return last
}

// again reports whether a call that was answered with a failure, or whose outcome is unknown, is sent once more.
func (s *Service) again(c *request, r service.DeliveryResult) bool {
	if r.Outcome.Kind == entity.OutcomeAnswered && r.Status < serverErrors {
		return false
	}
	if !c.route.Idempotent || c.runs >= c.route.MaxAttempts || r.Outcome.Reason == entity.ReasonCanceled {
		return false
	}
	return c.deadline-s.kernel.Now() > leastTime
}

// serverErrors is the lowest status by which a back end reports a failure of its own.
const serverErrors = 500

// send sends the call to a back end and settles the counts.
func (s *Service) send(ctx context.Context, c *request, b *catalog.Backend, attempt service.Attempt) service.DeliveryResult {
	delivery := service.Delivery{Backend: b, Call: c.call, Remaining: c.deadline - s.kernel.Now()}
	if c.customer != nil {
		delivery.Customer = c.customer.ID
	}
	c.last = b.ID
	result := s.endpoints.Deliver(ctx, delivery)
	s.loads.FinishAttempt(attempt, &result, s.kernel.Now())
	s.watchCrash(c, b, result)
	if result.Outcome.Reason != entity.ReasonUnreachable {
		c.arrivals++
	}
	if result.Outcome.Kind != entity.OutcomeNotRun {
		c.runs++
	}
	if c.arrivals > 1 {
		s.meters.repeats.Inc(1)
	}
	if result.Outcome.Kind != entity.OutcomeAnswered {
		telemetry.EventCallAttempt.Log(s.log, zap.String("request", c.call.ID), zap.String("backend", string(b.ID)),
			zap.String("outcome", result.Outcome.String()), zap.Int("arrivals", c.arrivals), zap.Uint64("table", uint64(c.version)),
			zap.Uint64("view", c.fleet.Generation), zap.Duration("took", s.kernel.Now()-attempt.Sent))
	}
	return result
}

// refusal is the reply to a call for which there is no place.
func (s *Service) refusal(_ *request, choice service.Choice) service.Reply {
	detail := "no back end can be reached"
	if choice.Reason == entity.ReasonQueueFull {
		detail = "the answer would come too late"
	}
	return service.Reply{Outcome: entity.NotRun(choice.Reason, detail), RetryAfter: choice.RetryAfter}
}

// pause waits. It reports false if nobody waits for the request any more.
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
