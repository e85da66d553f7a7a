// Package loads counts the traffic of this instance and its peers. With these counts it chooses the backend of a request and
// decides whether a customer's request or a retry is admitted. The router uses it for every call, and members exchanges the
// counts with peers. The counts belong to the traffic goroutines and are guarded by one lock that is held for a few steps only.
package loads

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/balance"
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
	log      *zap.Logger

	mu              sync.Mutex
	endpoints       map[entity.BackendID]*endpoint
	endpointsByHash map[uint32]*endpoint
	config          *catalog.Config // whose customers have buckets
	customers       map[entity.CustomerID]*customer
	customersByHash map[uint32]*customer
	retryBudgets    map[entity.ServiceName]*retryBudget
	weightsByRoute  map[string]*targetWeights
	acceptances     map[entity.ServiceName]*balance.AcceptanceRate
	work            map[entity.ServiceName]*balance.WorkTimes
	peerUsages      map[entity.InstanceID]map[uint32]peerUsage
	peerInFlight    map[entity.InstanceID]map[uint32]uint32 // last report of each peer, by short hash of the backend
	keys            []uint32
	crashes         crashes
	storeOutage     bool // the store cannot be read, so that entries may be outdated
	leaving         leavingReports
	gauges          backendGauges

	refusedRates, refusedLoad, refusedRetries, warmupRefused, heldOff, restarts, halved metrics.Counter
}

type endpoint struct {
	*balance.Endpoint
	id          entity.BackendID
	incarnation int64
	hash        uint32
	warmup      *balance.WarmupLimiter
	// sharing is this instance's part in the warm-up of the backend among the instances in sharedBy.
	sharing    balance.WarmupSharing
	sharedBy   *service.MembersView
	lastUsed   time.Duration
	restart    balance.RestartDetector
	peerWarmup balance.PeerWarmup
	check      balance.WarmupCheck
	// acceptance is used only for backends that own keys.
	acceptance  balance.AcceptanceRate
	measurement measurement // since the last report
	// preference is this instance's preference for the backend, see balance.Candidate.
	preference float64
}

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
		work:            map[entity.ServiceName]*balance.WorkTimes{},
		peerUsages:      map[entity.InstanceID]map[uint32]peerUsage{},
		peerInFlight:    map[entity.InstanceID]map[uint32]uint32{},
		crashes:         newCrashes(),
		leaving:         leavingReports{},
		log:             zap.NewNop(),
		gauges:          backendGauges{registry: r, byBackend: map[entity.BackendID]*backendGauge{}},
		refusedRates:    metrics.GetOrRegisterCounter("loads.refused_rate", r),
		refusedLoad:     metrics.GetOrRegisterCounter("loads.refused_load", r),
		refusedRetries:  metrics.GetOrRegisterCounter("loads.refused_repeat", r),
		heldOff:         metrics.GetOrRegisterCounter("loads.held_off", r),
		restarts:        metrics.GetOrRegisterCounter("loads.restarts_detected", r),
		halved:          metrics.GetOrRegisterCounter("loads.limits_halved", r),
		warmupRefused:   metrics.GetOrRegisterCounter("loads.held_by_ramp", r),
	}
}

// NewWithLog returns the loads service of an instance that logs changes of the backends' limits.
func NewWithLog(instance service.InstanceConfig, log *zap.Logger, r metrics.Registry) *Service {
	s := New(instance, r)
	s.log = log
	return s
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
	_ service.LoadTracker     = (*Service)(nil)
	_ service.TrafficExchange = (*Service)(nil)
	_ service.LeavingRecorder = (*Service)(nil)
	_ kernel.Handler          = (*Service)(nil)
)

// endpoint returns the state of a backend and creates it for a new process. The caller holds the lock.
func (s *Service) endpoint(b *catalog.Backend, now time.Duration) *endpoint {
	e := s.endpoints[b.ID]
	if e == nil || e.incarnation != b.Incarnation {
		warmup := balance.NewWarmupLimiter()
		if e != nil {
			warmup = e.warmup // requests with older and newer directory views may alternate
		}
		e = &endpoint{
			Endpoint: balance.NewAdaptiveEndpoint(b.Slots), id: b.ID, incarnation: b.Incarnation, hash: entity.ShortHash(b.ID), warmup: warmup,
			preference: float64(entity.ShortHash(string(s.instance.ID)+string(b.ID))) / math.MaxUint32, lastUsed: now,
		}
		s.endpoints[b.ID], s.endpointsByHash[e.hash] = e, e
		for peer, reported := range s.peerInFlight {
			e.SetPeerInFlight(peer, int(reported[e.hash]))
		}
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
			s.gauges.drop(id)
		}
	}
}

// Handle implements kernel.Handler.
func (s *Service) Handle(t *kernel.Turn, m kernel.Message) {
	switch m := m.(type) {
	case service.DirectoryChanged:
		s.directoryChanged(t, m)
	case service.StoreOutage:
		s.mu.Lock()
		s.storeOutage = m.Unavailable
		s.mu.Unlock()
	}
}

// directoryChanged creates the bucket of each customer as soon as its configuration is known. A bucket created at the first request
// would have no record of what peers have admitted, and would refuse requests until it had filled.
func (s *Service) directoryChanged(t *kernel.Turn, changed service.DirectoryChanged) {
	if changed.View.Config == nil {
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
	s.forgetRoutes()
}

// forgetRoutes drops the service times of routes that are not configured any more. The caller holds the lock.
func (s *Service) forgetRoutes() {
	configured := make(map[string]bool, len(s.config.Routes))
	for _, r := range s.config.Routes {
		configured[r.Name] = true
	}
	for _, w := range s.work {
		w.KeepRoutes(func(route string) bool { return configured[route] })
	}
}

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
