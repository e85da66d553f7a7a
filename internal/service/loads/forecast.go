package loads

import (
	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/balance"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// ForecastChoice implements service.LoadForecaster. It decides on copies of the backends' states, since a choice updates them. The
// limit of cold backends is not applied, as that would use it up.
func (s *Service) ForecastChoice(q service.LoadQuery) (service.Choice, []service.BackendForecast) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var work balance.Work
	if w := s.work[q.Service.Name]; w != nil {
		work = w.Of(q.Route)
	}
	candidates := make([]balance.Candidate, len(q.Candidates))
	forecasts := make([]service.BackendForecast, len(q.Candidates))
	for i, b := range q.Candidates {
		state := *balance.NewAdaptiveEndpoint(b.Slots)
		c := balance.Candidate{SameZone: b.Zone == q.Zone, Cold: b.WarmUntil > q.Now}
		if e := s.endpoints[b.ID]; e != nil && e.incarnation == b.Incarnation {
			state = *e.Endpoint
			c.Preference, c.Cold = e.preference, c.Cold || s.countsAsCold(e, &q)
		}
		c.Endpoint = &state
		candidates[i] = c
		forecasts[i] = service.BackendForecast{
			ID: b.ID, Zone: b.Zone, Cold: c.Cold, Paused: state.Paused(q.Now), HeldOff: state.HeldOff(q.Now), InFlight: state.TotalInFlight(),
			Limit: state.Capacity().Limit(q.Now), ServiceTime: state.ServiceTime(q.Now, work), Expected: state.Expected(q.Now, work, c.Cold),
		}
	}
	middle := func() float64 { return 0.5 } // the same for all candidates
	i := balance.ChooseWithStaleness(q.Now, work, candidates, q.Goal.LocalLimit(), staleness(q.Members), middle)
	if i < 0 {
		if retry := balance.ReturnAfterHoldOff(q.Now, candidates, middle); retry > 0 {
			return service.Choice{Reason: entity.ReasonShed, RetryAfter: retry}, forecasts
		}
		return service.Choice{Reason: entity.ReasonUnreachable, RetryAfter: unreachableRetry}, forecasts
	}
	chosen, c := q.Candidates[i], candidates[i]
	expected := c.Endpoint.Expected(q.Now, work, c.Cold)
	ok, retry := balance.WorthSendingUnderLoad(expected, c.Endpoint.ServiceTime(q.Now, work), q.Goal, s.recentlyRefused(&q, chosen))
	if !ok {
		return service.Choice{Reason: entity.ReasonQueueFull, ExpectedLatency: expected, RetryAfter: retry}, forecasts
	}
	return service.Choice{Backend: chosen, ExpectedLatency: expected}, forecasts
}

// countsAsCold is isCold for a backend that is warm by its entry. It records nothing. The caller holds the lock.
func (s *Service) countsAsCold(e *endpoint, q *service.LoadQuery) bool {
	return e.restart.Cold(q.Now) || (s.storeOutage && e.peerWarmup.Cold(q.Now)) || (s.checksWarmup(q) && e.check.Cold(q.Now))
}

// recentlyRefused returns the fraction of recent requests that were refused. The caller holds the lock.
func (s *Service) recentlyRefused(q *service.LoadQuery, owner *catalog.Backend) float64 {
	var rate *balance.AcceptanceRate
	if e := s.endpoints[owner.ID]; q.Service.Partitioned && e != nil {
		rate = &e.acceptance
	} else if !q.Service.Partitioned {
		rate = s.acceptances[q.Service.Name]
	}
	if rate == nil {
		return 0
	}
	return rate.Refused(q.Now)
}

var _ service.LoadForecaster = (*Service)(nil)
