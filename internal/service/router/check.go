package router

import (
	"context"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// Times of an instance that has just started. It usually knows its views in less.
const (
	// startTime is how long after its start requests wait for its views. Later they are refused at once: the store is away.
	startTime = 1500 * time.Millisecond
	// startWait is how long one request waits.
	startWait = 400 * time.Millisecond
)

// starting reports whether the views of this instance may be known in a moment.
func (s *Service) starting() bool { return s.kernel.Now() < startTime }

// awaitViews waits for the first configuration and the back ends of an instance that has just started.
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
	c.fleet = s.directory.Directory()
}

// check finds the route, the customer and the service of a call. It reports false with the outcome if the call cannot be
// served.
func (s *Service) check(c *request) (entity.Outcome, bool) {
	config := c.fleet.Config
	if config == nil {
		return entity.NotRun(entity.ReasonStopping, "no configuration yet"), false
	}
	route, ok := config.Route(c.call.Host, c.call.Path)
	if !ok {
		return entity.NotRun(entity.ReasonUnknownRoute, "no route for this host and path"), false
	}
	c.route, c.priority = route, route.Priority
	if !route.Public && config.KeysRequired() {
		customer, ok := config.Customer(c.call.Credential)
		if !ok {
			return entity.NotRun(entity.ReasonUnauthenticated, "unknown or withdrawn customer's key"), false
		}
		c.customer = customer
		if customer.HasPriority {
			c.priority = customer.Priority
		}
	}
	c.service = config.Services[route.Targets[s.loads.NextTarget(route)].Service]
	c.deadline = min(c.call.Deadline, c.call.Received+route.Timeout)
	if c.deadline <= s.kernel.Now() {
		return entity.NotRun(entity.ReasonDeadline, "deadline passed before the request was read"), false
	}
	if c.service.Partitioned && !c.call.HasKey {
		return entity.NotRun(entity.ReasonBadRequest, "the service is divided by key and the request has none"), false
	}
	return entity.Outcome{}, true
}

// admit takes a token of the customer's rate.
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
