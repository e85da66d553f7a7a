package router

import (
	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/balance"
	"github.com/pollenpier/pollenpier/internal/decide/shutdown"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// Forecast implements service.Forecaster. Rates of customers and quarantined requests are not considered: the one would use a token, and
// the other depends on the body.
func (s *Service) Forecast(call *service.Call) service.Forecast {
	c := &request{call: call, view: s.directory.Directory()}
	f := service.Forecast{}
	if c.view.Config != nil {
		f.ConfigVersion = c.view.Config.Version
	}
	outcome, ok := s.authorize(c)
	if c.route != nil {
		f.Route = c.route.Name
	}
	if c.customer != nil {
		f.Customer = c.customer.ID
	}
	if !ok {
		f.Refused = outcome
		return f
	}
	now := s.kernel.Now()
	c.deadline = min(call.Deadline, call.Received+c.route.Timeout)
	if !call.Stop.Accepts(shutdown.Request{End: c.deadline, LatencyTarget: c.route.LatencyTarget}, now) {
		f.Refused = entity.NotRun(entity.ReasonStopping, "the instance stops before the request is likely to be answered")
		return f
	}
	sum := 0.0
	for _, t := range c.route.Targets {
		sum += t.Weight
	}
	for _, t := range c.route.Targets {
		share := 1.0
		if len(c.route.Targets) > 1 {
			share = t.Weight / max(sum, 1e-9)
		}
		c.service = c.view.Config.Services[t.Service]
		f.Targets = append(f.Targets, s.forecastTarget(c, share))
	}
	return f
}

func (s *Service) forecastTarget(c *request, share float64) service.TargetForecast {
	t := service.TargetForecast{Service: c.service.Name, Share: share}
	now := s.kernel.Now()
	var usable []*catalog.Backend
	if c.service.Partitioned {
		usable = s.forecastOwner(c, &t)
	} else {
		if usable = s.forecastCandidates(c); len(usable) == 0 {
			t.Refused = entity.NotRun(entity.ReasonNoOwner, "no backend accepts new requests")
		}
	}
	if len(usable) == 0 {
		return t
	}
	t.Choice, t.Backends = s.forecasts.ForecastChoice(service.LoadQuery{
		Service: c.service, Route: c.route.Name, Candidates: usable, Zone: s.instance.Zone, Members: s.members.MembersView(), Now: now,
		Goal: balance.LatencyGoal{
			Target: c.route.LatencyTarget, Remaining: c.deadline - now, Waited: now - c.call.Received, Priority: c.priority,
		},
	})
	return t
}

// forecastCandidates returns the backends that accept new requests. While a rollout compares versions, those are the backends of the old
// one: few requests go to the new version, and to ask for that would count as one of them.
func (s *Service) forecastCandidates(c *request) []*catalog.Backend {
	usable, state := s.usable(c), s.rolloutState(c)
	if state == nil {
		return usable
	}
	wantsNew := state.Phase == service.RolloutSwitching || state.Phase == service.RolloutCompleted
	var wanted []*catalog.Backend
	for _, b := range usable {
		if state.IsNew(b) == wantsNew {
			wanted = append(wanted, b)
		}
	}
	if len(wanted) == 0 {
		return usable
	}
	return wanted
}

// forecastOwner returns the owner of the key, without the wait for a key that is moving.
func (s *Service) forecastOwner(c *request, t *service.TargetForecast) []*catalog.Backend {
	if !c.call.HasKey {
		t.Refused = entity.NotRun(entity.ReasonBadRequest, "the service is partitioned by key and the request has no key")
		return nil
	}
	view := s.keys.KeyView()
	r, ok := find(view, c)
	if !ok {
		t.Refused = entity.NotRun(entity.ReasonNoOwner, "the key has no owner")
		return nil
	}
	t.Owner, t.TableVersion = r.Owner.ID, view.Version
	b := c.view.Backends[r.Owner.ID]
	switch {
	case !r.Granted && !view.Granted[r.Fence]:
		t.Refused = entity.NotRun(entity.ReasonNoOwner, "the key is moving to another owner")
	case b == nil || b.Incarnation != r.Owner.Incarnation:
		t.Refused = entity.NotRun(entity.ReasonNoOwner, "the owner of the key is no longer listed")
	case !s.mayUse(c, b, s.kernel.Now()):
		t.Refused = entity.NotRun(entity.ReasonNoOwner, "the owner of the key is leaving")
	default:
		return []*catalog.Backend{b}
	}
	return nil
}

var _ service.Forecaster = (*Service)(nil)
