package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/shutdown"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// Times of an instance that has just started. Its views are usually available sooner.
const (
	// startTime is how long after the start requests wait for the first views. Later they are refused immediately, since the store
	// is then unavailable.
	startTime = 1500 * time.Millisecond
	// startWait is how long a single request waits for the first views.
	startWait = 400 * time.Millisecond
)

// starting reports whether this instance has just started, so that its first views may be available shortly.
func (s *Service) starting() bool { return s.kernel.Now() < startTime }

// awaitViews waits until the first configuration and backends are available, if this instance has just started.
func (s *Service) awaitViews(ctx context.Context, c *request) {
	select {
	case <-s.directory.Ready():
		return
	default:
	}
	if !s.starting() {
		return
	}
	wait(ctx, s.directory.Ready(), min(startWait, c.call.Deadline-s.kernel.Now()))
	c.view = s.directory.Directory()
}

// staleConfigRetry is the time after which a caller whose route or key is not known here may be told more. A read that does not respond
// has usually been sent again by then.
const staleConfigRetry = 500 * time.Millisecond

// refuseUnknown returns the outcome of a call whose route or key is not known. If this instance may have missed a newer configuration,
// that is no proof that there is no such route or key, and the caller is told to retry.
func (s *Service) refuseUnknown(reason entity.Reason, detail string) entity.Outcome {
	if age := s.kernel.Now() - s.directory.ConfigCheckedAt(); s.instance.ConfigApply > 0 && age > s.instance.ConfigApply {
		return entity.NotRun(entity.ReasonStaleConfig, detail+", but the configuration may be outdated")
	}
	return entity.NotRun(reason, detail)
}

// check finds the route, the customer and the service of a call. It returns false and the outcome if the call cannot be served.
func (s *Service) check(c *request) (entity.Outcome, bool) {
	if outcome, ok := s.authorize(c); !ok {
		return outcome, false
	}
	route := c.route
	c.service = c.view.Config.Services[route.Targets[s.loads.NextTarget(route)].Service]
	c.deadline = min(c.call.Deadline, c.call.Received+route.Timeout)
	if c.deadline <= s.kernel.Now() {
		return entity.NotRun(entity.ReasonDeadline, "deadline passed before the request was read"), false
	}
	if !s.acceptsDuringStop(c) {
		return entity.NotRun(entity.ReasonStopping, "the instance stops before the request is likely to be answered"), false
	}
	if c.service.Partitioned && !c.call.HasKey {
		return entity.NotRun(entity.ReasonBadRequest, "the service is partitioned by key and the request has no key"), false
	}
	return entity.Outcome{}, true
}

// authorize finds the route and the customer of a call. If there are none, it returns the outcome and false.
func (s *Service) authorize(c *request) (entity.Outcome, bool) {
	config := c.view.Config
	if config == nil {
		return entity.NotRun(entity.ReasonStopping, "no configuration yet"), false
	}
	route, ok := config.Route(c.call.Host, c.call.Path)
	if !ok {
		return s.refuseUnknown(entity.ReasonUnknownRoute, "no route for this host and path"), false
	}
	c.route, c.priority = route, route.Priority
	if !route.Public && config.KeysRequired() {
		customer, ok := config.Customer(c.call.Credential)
		if !ok {
			return s.refuseUnknown(entity.ReasonUnauthenticated, "unknown or withdrawn customer's key"), false
		}
		c.customer = customer
		if customer.HasPriority {
			c.priority = customer.Priority
		}
	}
	return entity.Outcome{}, true
}

// acceptsDuringStop reports whether a planned stop of this instance, if there is one, leaves enough time for the request.
func (s *Service) acceptsDuringStop(c *request) bool {
	now := s.kernel.Now()
	accepted := c.call.Stop.Accepts(shutdown.Request{End: c.deadline, LatencyTarget: c.route.LatencyTarget}, now)
	if !accepted {
		telemetry.EventCallTooLate.Log(s.log, zap.String("request", c.call.ID), zap.Duration("time_left", c.deadline-now),
			zap.Duration("stop_in", c.call.Stop.StopBy-now))
	}
	return accepted
}

// admit takes a token of the customer's rate. If there is none, it returns false and the time after which one may be available.
func (s *Service) admit(c *request) (time.Duration, bool) {
	members := s.members.MembersView()
	if c.customer != nil {
		if ok, wait := s.loads.Admit(c.customer, members, s.kernel.Now()); !ok {
			return wait, false
		}
	}
	s.loads.CountRequest(c.service.Name, members.ReachableCount, c.call.Key, c.service.Partitioned)
	return 0, true
}
