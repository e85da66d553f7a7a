// Package loads counts what the traffic of this and the other instances does, and decides with it which back end gets a request
// and whether a customer or a repeat is admitted. The counts belong to the traffic goroutines and are guarded by one lock that
// is held for a few steps only.
package loads

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/balance"
	"github.com/pollenpier/pollenpier/internal/decide/quota"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
)

// Bounds of the state.
const (
	// maxKeys bounds the requested keys that wait for the next heartbeat; more are not needed to see which are hot.
	maxKeys = 256
	// idleTime is how long the state of a back end is kept after its last use.
	idleTime = time.Minute
	// budgetPart is the part of the budget of repeats that instances use on their own requests. The rest is left for errors
	// of counting and for requests that the platform sees as repeats and this instance does not.
	budgetPart = 0.5
)

// Service is the service named loads.
type Service struct {
	site service.InstanceConfig

	mu        sync.Mutex
	endpoints map[entity.BackendID]*endpoint
	byHash    map[uint32]*endpoint
	config    *catalog.Config // whose customers have buckets
	customers map[entity.CustomerID]*customer
	byName    map[uint32]*customer
	budgets   map[entity.ServiceName]*budget
	parts     map[string]*part
	pressures map[entity.ServiceName]*balance.AcceptanceRate
	peerUse   map[entity.InstanceID]map[uint32]use
	keys      []uint32
	crashes   crashes

	refusedRates, refusedLoad, refusedRepeats, rampHeld metrics.Counter
}

type endpoint struct {
	*balance.Endpoint
	id   entity.BackendID
	born int64
	hash uint32
	ramp *balance.WarmupLimiter
	used time.Duration
	// pressure is used for owners of keys only.
	pressure balance.AcceptanceRate
	// preference is this instance's own, see balance.Candidate.
	preference float64
}

type customer struct {
	bucket   *quota.Bucket
	rate     float64
	burst    float64
	hash     uint32
	admitted uint64
	reported uint64
	refused  uint64
	// told is how many requests, admitted or refused, the others have been told of.
	told uint64
	// askedAt is when the last request was admitted or refused.
	askedAt time.Duration
}

// askedTold is for how long the others are told of a request: two of the rarest heartbeats, in case that one is lost.
const askedTold = 2200 * time.Millisecond

// budget is what is left for repeats of requests to a service.
type budget struct{ tokens float64 }

// part counts how often each target of a route had its turn.
type part struct{ current []float64 }

// New returns the service.
func New(site service.InstanceConfig, r metrics.Registry) *Service {
	return &Service{
		site:           site,
		endpoints:      map[entity.BackendID]*endpoint{},
		byHash:         map[uint32]*endpoint{},
		customers:      map[entity.CustomerID]*customer{},
		byName:         map[uint32]*customer{},
		budgets:        map[entity.ServiceName]*budget{},
		parts:          map[string]*part{},
		pressures:      map[entity.ServiceName]*balance.AcceptanceRate{},
		peerUse:        map[entity.InstanceID]map[uint32]use{},
		crashes:        newCrashes(),
		refusedRates:   metrics.GetOrRegisterCounter("loads.refused_rate", r),
		refusedLoad:    metrics.GetOrRegisterCounter("loads.refused_load", r),
		refusedRepeats: metrics.GetOrRegisterCounter("loads.refused_repeat", r),
		rampHeld:       metrics.GetOrRegisterCounter("loads.held_by_ramp", r),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() kernel.Name { return service.Loads }

// Needs implements kernel.Service.
func (s *Service) Needs() []kernel.Name { return nil }

// Provision implements kernel.Service.
func (s *Service) Provision(*kernel.Resolver) error { return nil }

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

var (
	_ service.LoadTracker       = (*Service)(nil)
	_ service.TrafficExchange   = (*Service)(nil)
	_ service.BackendTimeSource = (*Service)(nil)
	_ kernel.Handler            = (*Service)(nil)
)

// shortHash is the form in which heartbeats name back ends and customers.
func shortHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// endpoint returns the state of a back end. The caller holds the lock.
func (s *Service) endpoint(b *catalog.Backend, now time.Duration) *endpoint {
	e := s.endpoints[b.ID]
	if e == nil || e.born != b.Incarnation {
		e = &endpoint{
			Endpoint: balance.NewEndpoint(b.Slots), id: b.ID, born: b.Incarnation, hash: shortHash(string(b.ID)), ramp: balance.NewWarmupLimiter(),
			preference: float64(shortHash(string(s.site.ID)+string(b.ID))) / math.MaxUint32, used: now,
		}
		s.endpoints[b.ID], s.byHash[e.hash] = e, e
		s.sweep(now)
	}
	e.used = now
	return e
}

// sweep drops the state of back ends that have not been used for long.
func (s *Service) sweep(now time.Duration) {
	for id, e := range s.endpoints {
		if now-e.used > idleTime && e.InFlight() == 0 {
			delete(s.endpoints, id)
			delete(s.byHash, e.hash)
		}
	}
}

// Handle implements kernel.Handler. It keeps a bucket for each customer from the time on at which its configuration is known: one
// that began with the first request would know nothing of what others have admitted, and refuse until it has filled.
func (s *Service) Handle(t *kernel.Turn, m kernel.Message) {
	changed, ok := m.(service.DirectoryChanged)
	if !ok || changed.View.Config == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config == changed.View.Config {
		return
	}
	s.config = changed.View.Config
	for _, c := range s.config.Customers {
		if c.Rate > 0 {
			s.customer(c, t.Now())
		}
	}
}

// customer returns the state of a customer, with its limits in force. The caller holds the lock.
func (s *Service) customer(c *catalog.Customer, now time.Duration) *customer {
	state := s.customers[c.ID]
	if state == nil {
		state = &customer{bucket: quota.NewBucket(c.Rate, c.Burst, now), rate: c.Rate, burst: c.Burst, hash: shortHash(string(c.ID))}
		s.customers[c.ID], s.byName[state.hash] = state, state
	}
	if state.rate != c.Rate || state.burst != c.Burst {
		state.rate, state.burst = c.Rate, c.Burst
		state.bucket.SetLimits(c.Rate, c.Burst)
	}
	return state
}

// Admit implements service.LoadTracker.
func (s *Service) Admit(c *catalog.Customer, members *service.MembersView, now time.Duration) (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.customer(c, now)
	ok, wait := state.bucket.Take(now, quota.Peers{ReachableShare: members.ReachableShare, ReachableCount: members.ReachableCount, Staleness: members.Staleness})
	state.askedAt = now
	if !ok {
		state.refused++
		s.refusedRates.Inc(1)
		return false, wait
	}
	state.admitted++
	return true, 0
}

// RefundToken implements service.LoadTracker.
func (s *Service) RefundToken(c *catalog.Customer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// What heartbeats have told the others stays counted there, so only a request that they do not know of yet is returned.
	if state := s.customers[c.ID]; state != nil && state.admitted > state.reported {
		state.admitted--
		state.bucket.Refund()
	}
}

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
		candidates = append(candidates, balance.Candidate{Endpoint: e.Endpoint, Cold: b.WarmUntil > q.Now, SameZone: b.Zone == q.Zone, Preference: e.preference})
		backends = append(backends, b)
	}
	for {
		i := balance.Choose(q.Now, candidates, rand.Float64)
		if i < 0 {
			return service.Choice{Reason: entity.ReasonUnreachable, RetryAfter: unreachableRetry}, service.Attempt{}
		}
		b, c := backends[i], candidates[i]
		expected := c.Endpoint.Expected(q.Now, c.Cold)
		if ok, retry := balance.WorthSending(expected, c.Endpoint.ServiceTime(q.Now), q.Goal); !ok {
			s.refusedLoad.Inc(1)
			pressure := s.pressure(q, b.ID)
			pressure.Record(false, q.Now)
			return service.Choice{Reason: entity.ReasonQueueFull, ExpectedLatency: expected, RetryAfter: pressure.RetryAfter(retry)}, service.Attempt{}
		}
		e := s.endpoints[b.ID]
		if c.Cold && q.Service.WarmupRate > 0 && !e.ramp.Take(q.Now, q.Service.WarmupRate, q.Instances, e.preference) {
			s.rampHeld.Inc(1)
			candidates[i], backends[i] = candidates[len(candidates)-1], backends[len(backends)-1]
			candidates, backends = candidates[:len(candidates)-1], backends[:len(backends)-1]
			continue
		}
		s.pressure(q, b.ID).Record(true, q.Now)
		return service.Choice{Backend: b, ExpectedLatency: expected}, service.Attempt{Backend: b.ID, Position: e.Start(), Sent: q.Now}
	}
}

// pressure returns the pressure on the place of a request: the owner of its key, or the whole service. The caller holds the lock.
func (s *Service) pressure(q service.LoadQuery, owner entity.BackendID) *balance.AcceptanceRate {
	if q.Service.Partitioned {
		return &s.endpoints[owner].pressure
	}
	p := s.pressures[q.Service.Name]
	if p == nil {
		p = &balance.AcceptanceRate{}
		s.pressures[q.Service.Name] = p
	}
	return p
}

// unreachableRetry is when a caller may try again if no back end can be reached.
const unreachableRetry = 250 * time.Millisecond

// ServiceTimes implements service.BackendTimeSource.
func (s *Service) ServiceTimes(ids []entity.BackendID) []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	work := make([]time.Duration, len(ids))
	for i, id := range ids {
		e := s.endpoints[id]
		if e == nil {
			continue
		}
		if w, known := e.MeasuredServiceTime(); known {
			work[i] = w
		}
	}
	return work
}

// FinishAttempt implements service.LoadTracker.
func (s *Service) FinishAttempt(a service.Attempt, r *service.DeliveryResult, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[a.Backend]
	if e == nil || e.InFlight() == 0 {
		return // the state was replaced by that of a later process
	}
	if r.Load != nil {
		e.ReportSlowdown(r.Load.Slowdown, now)
	}
	switch {
	case r.Misdirected || r.Outcome.Reason == entity.ReasonCanceled:
		e.Abandoned()
	case r.Outcome.Kind == entity.OutcomeAnswered && r.Status < serverErrors:
		e.Succeeded(now-a.Sent, a.Position, now)
	case r.Outcome.Reason == entity.ReasonUnreachable:
		e.Unreachable(now)
	default:
		e.Failed()
	}
}

// serverErrors is the lowest status by which a back end reports a failure of its own.
const serverErrors = 500

// CountRequest implements service.LoadTracker.
func (s *Service) CountRequest(name entity.ServiceName, instances int, key uint32, hasKey bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.site.RetrySlack * budgetPart / float64(max(instances, 1))
	b := s.budgets[name]
	if b == nil {
		b = &budget{tokens: limit}
		s.budgets[name] = b
	}
	b.tokens = min(b.tokens+s.site.RetryRatio*budgetPart, max(limit, 1))
	if hasKey && len(s.keys) < maxKeys {
		s.keys = append(s.keys, key)
	}
}

// TakeRetryToken implements service.LoadTracker.
func (s *Service) TakeRetryToken(name entity.ServiceName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[name]
	if b == nil || b.tokens < 1 {
		s.refusedRepeats.Inc(1)
		return false
	}
	b.tokens--
	return true
}

// NextTarget implements service.LoadTracker. Targets take turns in proportion to their weights, so that small numbers of requests are
// divided as exactly as large ones.
func (s *Service) NextTarget(r *catalog.Route) int {
	if len(r.Targets) == 1 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.parts[r.Name]
	if p == nil || len(p.current) != len(r.Targets) {
		p = &part{current: make([]float64, len(r.Targets))}
		for i := range p.current {
			// Instances do not all begin with the same target.
			p.current[i] = rand.Float64() * r.Targets[i].Weight //nolint:gosec // spreads load, guards nothing
		}
		s.parts[r.Name] = p
	}
	sum, best := 0.0, 0
	for i, t := range r.Targets {
		p.current[i] += t.Weight
		sum += t.Weight
		if t.Weight > 0 && p.current[i] > p.current[best] || r.Targets[best].Weight <= 0 {
			best = i
		}
	}
	p.current[best] -= sum
	return best
}

// Report implements service.TrafficExchange.
func (s *Service) Report(now time.Duration, whole bool) service.TrafficReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := service.TrafficReport{InFlight: map[uint32]uint32{}, ColdSent: map[uint32]uint32{}, Admitted: map[uint32]uint64{}, Refused: map[uint32]uint64{}}
	for _, e := range s.endpoints {
		if n := e.InFlight(); n > 0 {
			r.InFlight[e.hash] = uint32(n)
		}
		if n := e.ramp.OwnCount(now); n > 0 {
			r.ColdSent[e.hash] = uint32(n)
		}
	}
	for _, c := range s.customers {
		asked := c.admitted + c.refused
		if c.rate > 0 && (whole || (asked > 0 && now-c.askedAt <= askedTold)) {
			r.Admitted[c.hash], r.Refused[c.hash] = c.admitted, c.refused
			c.reported = c.admitted
			c.bucket.AddReportedDemand(float64(asked-min(c.told, asked)), now)
			c.told = asked
		}
	}
	r.Keys, s.keys = s.keys, nil
	r.Crashing = slices.Clone(s.crashes.reported)
	return r
}

// ApplyPeerReport implements service.TrafficExchange.
func (s *Service) ApplyPeerReport(p service.PeerTraffic, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		e.SetPeerInFlight(p.Instance, int(p.InFlight[e.hash]))
	}
	for hash, n := range p.ColdSent {
		if e := s.byHash[hash]; e != nil {
			e.ramp.SetPeerCount(string(p.Instance), int(n), now)
		}
	}
	s.learnAdmitted(p, now)
	s.learnCrashes(p.Instance, p.Crashing, now)
}

// use is what another instance has said of a customer.
type use struct{ admitted, asked uint64 }

// learnAdmitted charges what another instance has admitted since its last heartbeat, and notes what it was asked for. The first one
// only sets the base.
func (s *Service) learnAdmitted(p service.PeerTraffic, now time.Duration) {
	known := s.peerUse[p.Instance]
	first := known == nil
	if first {
		known = map[uint32]use{}
		s.peerUse[p.Instance] = known
	}
	for hash, n := range p.Admitted {
		before, heard := known[hash]
		told := use{admitted: n, asked: n + p.Refused[hash]}
		known[hash] = told
		c := s.byName[hash]
		if c == nil || (first && !heard) {
			continue
		}
		if told.admitted > before.admitted {
			c.bucket.ChargePeer(float64(told.admitted - before.admitted))
		}
		if told.asked > before.asked {
			c.bucket.AddPeerDemand(float64(told.asked-before.asked), now)
		}
	}
}

// ForgetPeer implements service.TrafficExchange.
func (s *Service) ForgetPeer(id entity.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peerUse, id)
	delete(s.crashes.heard, id)
	for _, e := range s.endpoints {
		e.SetPeerInFlight(id, 0)
	}
}
