package loads

import (
	"math/rand/v2"
	"time"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/balance"
	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// Choose implements service.LoadTracker.
func (s *Service) Choose(q service.LoadQuery) (service.Choice, service.Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := make([]balance.Candidate, 0, len(q.Candidates))
	backends := make([]*catalog.Backend, 0, len(q.Candidates))
	for _, b := range q.Candidates {
		if q.Excluded[b.ID] {
			continue
		}
		e := s.endpoint(b, q.Now)
		candidates = append(candidates, balance.Candidate{Endpoint: e.Endpoint, Cold: s.isCold(e, b, &q), SameZone: b.Zone == q.Zone, Preference: e.preference})
		backends = append(backends, b)
	}
	work := s.workTimes(q.Service.Name).Of(q.Route)
	var checks []*catalog.Backend
	awaitsCheck := false
	for {
		i := balance.ChooseWithStaleness(q.Now, work, candidates, q.Goal.LocalLimit(), staleness(q.Members), rand.Float64)
		if i < 0 {
			choice := s.noneUsable(candidates, q.Now)
			choice.Checks, choice.AwaitsCheck = checks, awaitsCheck
			return choice, service.Attempt{}
		}
		b, c := backends[i], candidates[i]
		e := s.endpoints[b.ID]
		if s.checksWarmup(&q) && e.check.Start(q.Now) {
			checks = append(checks, b)
		}
		expected := c.Endpoint.Expected(q.Now, work, c.Cold)
		acceptance := s.acceptance(q, b.ID)
		refused := acceptance.Refused(q.Now)
		if ok, retry := balance.WorthSendingUnderLoad(expected, c.Endpoint.ServiceTime(q.Now, work), q.Goal, refused); !ok {
			s.refusedLoad.Inc(1)
			acceptance.Record(false, q.Now)
			return service.Choice{
				Reason: entity.ReasonQueueFull, ExpectedLatency: expected, RetryAfter: acceptance.RetryAfter(retry), Checks: checks,
			}, service.Attempt{}
		}
		unknown := !c.Cold && s.checksWarmup(&q) && e.check.Unknown(q.Now)
		if (c.Cold || unknown) && q.Service.WarmupRate > 0 && !s.takeWarmup(e, &q) {
			s.warmupRefused.Inc(1)
			awaitsCheck = awaitsCheck || unknown
			if len(checks) == maxChecks {
				return service.Choice{Reason: entity.ReasonUnreachable, RetryAfter: unreachableRetry, Checks: checks, AwaitsCheck: true}, service.Attempt{}
			}
			candidates[i], backends[i] = candidates[len(candidates)-1], backends[len(backends)-1]
			candidates, backends = candidates[:len(candidates)-1], backends[:len(backends)-1]
			continue
		}
		acceptance.Record(true, q.Now)
		return service.Choice{Backend: b, ExpectedLatency: expected, Checks: checks}, service.Attempt{Backend: b.ID, Incarnation: b.Incarnation, Position: e.Start(), Sent: q.Now,
			Cold: c.Cold, Warmup: q.Service.Warmup, Service: q.Service.Name, Route: q.Route, Work: work}
	}
}

// staleness returns the maximum age of what peers report, zero without peers.
func staleness(members *service.MembersView) time.Duration {
	if members == nil || members.KnownCount <= 1 {
		return 0
	}
	return members.Staleness
}

// maxChecks bounds the warm-up checks that one choice asks for.
const maxChecks = 2

// isCold reports whether a backend counts as cold: by its entry, by a refused connection or, while the store cannot be read, by reports
// of peers and by its answers to status checks. The caller holds the lock.
func (s *Service) isCold(e *endpoint, b *catalog.Backend, q *service.LoadQuery) bool {
	if b.WarmUntil > q.Now || e.restart.Cold(q.Now) {
		e.peerWarmup.Known(q.Now)
		return true
	}
	return (s.storeOutage && e.peerWarmup.Cold(q.Now)) || (s.checksWarmup(q) && e.check.Cold(q.Now))
}

// noneUsable returns the refusal of a request for which none of the candidates can be used at the moment.
func (s *Service) noneUsable(candidates []balance.Candidate, now time.Duration) service.Choice {
	if retry := balance.ReturnAfterHoldOff(now, candidates, rand.Float64); retry > 0 {
		s.heldOff.Inc(1)
		return service.Choice{Reason: entity.ReasonShed, RetryAfter: retry}
	}
	return service.Choice{Reason: entity.ReasonUnreachable, RetryAfter: unreachableRetry}
}

// workTimes returns the service times of a service. The caller holds the lock.
func (s *Service) workTimes(name entity.ServiceName) *balance.WorkTimes {
	w := s.work[name]
	if w == nil {
		w = &balance.WorkTimes{}
		s.work[name] = w
	}
	return w
}

// acceptance returns the acceptance rate that applies to a request: that of the owner of its key, or that of its service if the
// service is not partitioned. The caller holds the lock.
func (s *Service) acceptance(q service.LoadQuery, owner entity.BackendID) *balance.AcceptanceRate {
	if q.Service.Partitioned {
		return &s.endpoints[owner].acceptance
	}
	p := s.acceptances[q.Service.Name]
	if p == nil {
		p = &balance.AcceptanceRate{}
		s.acceptances[q.Service.Name] = p
	}
	return p
}

// unreachableRetry is the time after which a caller may retry if no backend is reachable.
const unreachableRetry = 250 * time.Millisecond

// FinishAttempt implements service.LoadTracker.
func (s *Service) FinishAttempt(a service.Attempt, r *service.DeliveryResult, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Leaving {
		s.leaving.record(keyrange.Holder{ID: a.Backend, Incarnation: a.Incarnation}, now)
	}
	e := s.endpoints[a.Backend]
	if e == nil || e.incarnation != a.Incarnation || e.InFlight() == 0 {
		return // the state was dropped or replaced by that of a later process
	}
	if r.Load != nil {
		e.ReportSlowdown(r.Load.Slowdown, now)
		e.ReportOccupancy(r.Load.Running + r.Load.Waiting)
	}
	if r.HoldOff > 0 {
		e.HoldOff(r.HoldOff, now)
	}
	s.detectRestart(e, a, r, now)
	switch {
	case r.Misdirected || r.Outcome.IsCanceled():
		e.Abandoned()
	case r.Outcome.Kind == entity.OutcomeAnswered && r.Status < serverErrors:
		served := e.Succeeded(now-a.Sent, a.Position, a.Work, now)
		s.workTimes(a.Service).Record(a.Route, served)
		s.measure(e, a.Service, e.SlotTime(served, a.Work))
		s.reportChange(e)
	case r.Outcome.Reason == entity.ReasonUnreachable:
		e.Unreachable(now)
	default:
		e.Failed()
	}
}

// detectRestart records what the result of an attempt tells about a restart of the backend. An answer of 421 may be that of another
// backend at the same address. The caller holds the lock.
func (s *Service) detectRestart(e *endpoint, a service.Attempt, r *service.DeliveryResult, now time.Duration) {
	switch {
	case a.Warmup <= 0:
	case r.ConnectionRefused:
		e.restart.ConnectionRefused(now)
	case r.Status != 0 && !r.Misdirected && e.restart.Answered(a.Sent, now, a.Warmup):
		s.restarts.Inc(1)
	}
}

// serverErrors is the lowest HTTP status that reports a failure of the backend.
const serverErrors = 500
