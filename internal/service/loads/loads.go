// Package loads counts the traffic of this instance and its peers. With these counts it chooses the backend of a request and
// decides whether a customer's request or a retry is admitted. The router uses it for every call, and members exchanges the
// counts with peers. The counts belong to the traffic goroutines and are guarded by one lock that is held for a few steps only.
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
	// maxKeys bounds the requested keys that are collected for the next heartbeat. More are not needed to detect hot keys.
	maxKeys = 256
	// idleTime is how long the state of a backend is kept after its last use.
	idleTime = time.Minute
	// retryBudgetFraction is the fraction of the retry budget that instances use for their own requests. The remainder is reserved
	// for counting errors and for requests that only the platform counts as retries.
	retryBudgetFraction = 0.5
)

// Service is the kernel service named loads.
type Service struct {
	instance service.InstanceConfig

	mu              sync.Mutex
	endpoints       map[entity.BackendID]*endpoint
	endpointsByHash map[uint32]*endpoint
	config          *catalog.Config // whose customers have buckets
	customers       map[entity.CustomerID]*customer
	customersByHash map[uint32]*customer
	retryBudgets    map[entity.ServiceName]*retryBudget
	weightsByRoute  map[string]*targetWeights
	acceptances     map[entity.ServiceName]*balance.AcceptanceRate
	peerUsages      map[entity.InstanceID]map[uint32]peerUsage
	keys            []uint32
	crashes         crashes

	refusedRates, refusedLoad, refusedRetries, warmupRefused metrics.Counter
}

type endpoint struct {
	*balance.Endpoint
	id          entity.BackendID
	incarnation int64
	hash        uint32
	warmup      *balance.WarmupLimiter
	lastUsed    time.Duration
	// acceptance is used only for backends that own keys.
	acceptance balance.AcceptanceRate
	// preference is this instance's preference for the backend, see balance.Candidate.
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
	// published is the number of requests, admitted or refused, that has been reported to peers.
	published uint64
	// lastRequestAt is the time of the last admission or refusal.
	lastRequestAt time.Duration
}

// publishWindow is how long after a request a customer's counts are included in heartbeats. It covers two heartbeats at the
// longest interval, in case one of them is lost.
const publishWindow = 2200 * time.Millisecond

// retryBudget holds the retry tokens that are left for a service.
type retryBudget struct{ tokens float64 }

// targetWeights holds the current weights of a route's targets for the smooth weighted round robin.
type targetWeights struct{ current []float64 }

// New returns the loads service of an instance. It registers its metrics in r.
func New(instance service.InstanceConfig, r metrics.Registry) *Service {
	return &Service{
		instance:        instance,
		endpoints:       map[entity.BackendID]*endpoint{},
		endpointsByHash: map[uint32]*endpoint{},
		customers:       map[entity.CustomerID]*customer{},
		customersByHash: map[uint32]*customer{},
		retryBudgets:    map[entity.ServiceName]*retryBudget{},
		weightsByRoute:  map[string]*targetWeights{},
		acceptances:     map[entity.ServiceName]*balance.AcceptanceRate{},
		peerUsages:      map[entity.InstanceID]map[uint32]peerUsage{},
		crashes:         newCrashes(),
		refusedRates:    metrics.GetOrRegisterCounter("loads.refused_rate", r),
		refusedLoad:     metrics.GetOrRegisterCounter("loads.refused_load", r),
		refusedRetries:  metrics.GetOrRegisterCounter("loads.refused_repeat", r),
		warmupRefused:   metrics.GetOrRegisterCounter("loads.held_by_ramp", r),
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

// shortHash returns the hash that identifies a backend or a customer in heartbeats.
func shortHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// endpoint returns the state of a backend and creates it for a new process. The caller holds the lock.
func (s *Service) endpoint(b *catalog.Backend, now time.Duration) *endpoint {
	e := s.endpoints[b.ID]
	if e == nil || e.incarnation != b.Incarnation {
		e = &endpoint{
			Endpoint: balance.NewEndpoint(b.Slots), id: b.ID, incarnation: b.Incarnation, hash: shortHash(string(b.ID)), warmup: balance.NewWarmupLimiter(),
			preference: float64(shortHash(string(s.instance.ID)+string(b.ID))) / math.MaxUint32, lastUsed: now,
		}
		s.endpoints[b.ID], s.endpointsByHash[e.hash] = e, e
		s.dropIdle(now)
	}
	e.lastUsed = now
	return e
}

// dropIdle drops the state of backends that have not been used for idleTime. The caller holds the lock.
func (s *Service) dropIdle(now time.Duration) {
	for id, e := range s.endpoints {
		if now-e.lastUsed > idleTime && e.InFlight() == 0 {
			delete(s.endpoints, id)
			delete(s.endpointsByHash, e.hash)
		}
	}
}

// Handle implements kernel.Handler. It creates the bucket of each customer as soon as its configuration is known. A bucket
// created at the first request would have no record of what peers have admitted, and would refuse requests until it had filled.
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

// customer returns the state of a customer with its current limits. The caller holds the lock.
func (s *Service) customer(c *catalog.Customer, now time.Duration) *customer {
	state := s.customers[c.ID]
	if state == nil {
		state = &customer{bucket: quota.NewBucket(c.Rate, c.Burst, now), rate: c.Rate, burst: c.Burst, hash: shortHash(string(c.ID))}
		s.customers[c.ID], s.customersByHash[state.hash] = state, state
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
	state.lastRequestAt = now
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
	// Peers keep counting requests that were reported to them, so only a request that was not reported yet is refunded.
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
			acceptance := s.acceptance(q, b.ID)
			acceptance.Record(false, q.Now)
			return service.Choice{Reason: entity.ReasonQueueFull, ExpectedLatency: expected, RetryAfter: acceptance.RetryAfter(retry)}, service.Attempt{}
		}
		e := s.endpoints[b.ID]
		if c.Cold && q.Service.WarmupRate > 0 && !e.warmup.Take(q.Now, q.Service.WarmupRate, q.Instances, e.preference) {
			s.warmupRefused.Inc(1)
			candidates[i], backends[i] = candidates[len(candidates)-1], backends[len(backends)-1]
			candidates, backends = candidates[:len(candidates)-1], backends[:len(backends)-1]
			continue
		}
		s.acceptance(q, b.ID).Record(true, q.Now)
		return service.Choice{Backend: b, ExpectedLatency: expected}, service.Attempt{Backend: b.ID, Position: e.Start(), Sent: q.Now}
	}
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

// ServiceTimes implements service.BackendTimeSource.
func (s *Service) ServiceTimes(ids []entity.BackendID) []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	times := make([]time.Duration, len(ids))
	for i, id := range ids {
		e := s.endpoints[id]
		if e == nil {
			continue
		}
		if measured, known := e.MeasuredServiceTime(); known {
			times[i] = measured
		}
	}
	return times
}

// FinishAttempt implements service.LoadTracker.
func (s *Service) FinishAttempt(a service.Attempt, r *service.DeliveryResult, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[a.Backend]
	if e == nil || e.InFlight() == 0 {
		return // the state was dropped or replaced by that of a later process
	}
	if r.Load != nil {
		e.ReportSlowdown(r.Load.Slowdown, now)
	}
	switch {
	case r.Misdirected || r.Outcome.IsCanceled():
		e.Abandoned()
	case r.Outcome.Kind == entity.OutcomeAnswered && r.Status < serverErrors:
		e.Succeeded(now-a.Sent, a.Position, now)
	case r.Outcome.Reason == entity.ReasonUnreachable:
		e.Unreachable(now)
	default:
		e.Failed()
	}
}

// serverErrors is the lowest HTTP status that reports a failure of the backend.
const serverErrors = 500

// CountRequest implements service.LoadTracker.
func (s *Service) CountRequest(name entity.ServiceName, instances int, key uint32, hasKey bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.instance.RetrySlack * retryBudgetFraction / float64(max(instances, 1))
	b := s.retryBudgets[name]
	if b == nil {
		b = &retryBudget{tokens: limit}
		s.retryBudgets[name] = b
	}
	b.tokens = min(b.tokens+s.instance.RetryRatio*retryBudgetFraction, max(limit, 1))
	if hasKey && len(s.keys) < maxKeys {
		s.keys = append(s.keys, key)
	}
}

// TakeRetryToken implements service.LoadTracker.
func (s *Service) TakeRetryToken(name entity.ServiceName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.retryBudgets[name]
	if b == nil || b.tokens < 1 {
		s.refusedRetries.Inc(1)
		return false
	}
	b.tokens--
	return true
}

// NextTarget implements service.LoadTracker. It uses smooth weighted round robin, so that small numbers of requests are
// distributed as exactly as large ones.
func (s *Service) NextTarget(r *catalog.Route) int {
	if len(r.Targets) == 1 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.weightsByRoute[r.Name]
	if p == nil || len(p.current) != len(r.Targets) {
		p = &targetWeights{current: make([]float64, len(r.Targets))}
		for i := range p.current {
			// A random start keeps instances from all beginning with the same target.
			p.current[i] = rand.Float64() * r.Targets[i].Weight //nolint:gosec // spreads load, guards nothing
		}
		s.weightsByRoute[r.Name] = p
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
func (s *Service) Report(now time.Duration, full bool) service.TrafficReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := service.TrafficReport{InFlight: map[uint32]uint32{}, ColdSent: map[uint32]uint32{}, Admitted: map[uint32]uint64{}, Refused: map[uint32]uint64{}}
	for _, e := range s.endpoints {
		if n := e.InFlight(); n > 0 {
			r.InFlight[e.hash] = uint32(n)
		}
		if n := e.warmup.OwnCount(now); n > 0 {
			r.ColdSent[e.hash] = uint32(n)
		}
	}
	for _, c := range s.customers {
		demand := c.admitted + c.refused
		if c.rate > 0 && (full || (demand > 0 && now-c.lastRequestAt <= publishWindow)) {
			r.Admitted[c.hash], r.Refused[c.hash] = c.admitted, c.refused
			c.reported = c.admitted
			c.bucket.AddReportedDemand(float64(demand-min(c.published, demand)), now)
			c.published = demand
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
		if e := s.endpointsByHash[hash]; e != nil {
			e.warmup.SetPeerCount(string(p.Instance), int(n), now)
		}
	}
	s.applyPeerAdmissions(p, now)
	s.applyPeerCrashes(p.Instance, p.Crashing, now)
}

// peerUsage is what a peer has reported about a customer: admitted requests, and all requests.
type peerUsage struct{ admitted, demand uint64 }

// applyPeerAdmissions charges what a peer has admitted since its last heartbeat to the customers' buckets, and records the demand
// at that peer. The first heartbeat of a peer only sets the base. The caller holds the lock.
func (s *Service) applyPeerAdmissions(p service.PeerTraffic, now time.Duration) {
	usages := s.peerUsages[p.Instance]
	first := usages == nil
	if first {
		usages = map[uint32]peerUsage{}
		s.peerUsages[p.Instance] = usages
	}
	for hash, n := range p.Admitted {
		before, known := usages[hash]
		current := peerUsage{admitted: n, demand: n + p.Refused[hash]}
		usages[hash] = current
		c := s.customersByHash[hash]
		if c == nil || (first && !known) {
			continue
		}
		if current.admitted > before.admitted {
			c.bucket.ChargePeer(float64(current.admitted - before.admitted))
		}
		if current.demand > before.demand {
			c.bucket.AddPeerDemand(float64(current.demand-before.demand), now)
		}
	}
}

// ForgetPeer implements service.TrafficExchange.
func (s *Service) ForgetPeer(id entity.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peerUsages, id)
	delete(s.crashes.peerReports, id)
	for _, e := range s.endpoints {
		e.SetPeerInFlight(id, 0)
	}
}
