// Package dispatch is the kernel service "dispatch" of the log-based instance. At the primary of a backend it queues
// requests until the backend has a free slot, records at-most-once requests, sends requests, and reports the outcome of
// each. Requests reach it through service.Dispatcher.
package dispatch

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/decide/backpressure"
	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// Service implements service.Dispatcher and service.OutcomeStore.
//
// The control goroutine owns the fields under "control state" and publishes the plan. Traffic goroutines read the plan and
// take the lock of one queue, which guards the traffic state of one backend.
type Service struct {
	self     service.Self
	settings Settings
	log      *zap.Logger
	meters   *meters

	kernel          *kernel.Kernel
	leases          service.LeaseSource
	client          backend.Client
	copier          service.OutcomeCopier
	rampStateSender service.RampStateSender
	rampStates      rampStates

	ctx       context.Context // ends in Stop
	cancel    context.CancelFunc
	workersMu sync.Mutex // guards closed and additions to workers
	closed    bool
	workers   sync.WaitGroup
	started   time.Duration // on the kernel's clock; the memory of this process begins here
	stopping  atomic.Bool
	// rebalancing is true while a backend is being handed over. rebalanceAttempts is owned by the control goroutine.
	rebalancing       atomic.Bool
	rebalanceAttempts int
	plan              kernel.Snapshot[plan]

	copiesMu sync.Mutex // guards copies
	copies   *outcome.Copies

	quarantineMu sync.Mutex // guards quarantine
	quarantine   *outcome.Quarantine

	// control state
	state      controlState
	stragglers map[entity.ServiceName]*backpressure.Stragglers
}

var (
	_ service.Dispatcher   = (*Service)(nil)
	_ service.OutcomeStore = (*Service)(nil)
	_ kernel.Handler       = (*Service)(nil)
	_ kernel.Validator     = (*Service)(nil)
)

// New returns the service. Zero values in settings mean the defaults.
func New(self service.Self, settings Settings, log *zap.Logger, registry metrics.Registry) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	settings = settings.withDefaults()
	return &Service{
		self:       self,
		settings:   settings,
		log:        log,
		meters:     newMeters(registry),
		ctx:        ctx,
		cancel:     cancel,
		quarantine: outcome.NewQuarantine(),
		stragglers: map[entity.ServiceName]*backpressure.Stragglers{},
		copies: outcome.NewCopies(outcome.Limits{
			Window:      settings.MemoryWindow,
			Entries:     settings.MemoryEntries,
			AnswerBytes: settings.MemoryAnswerBytes,
		}),
	}
}

// Name returns the name of the service.
func (s *Service) Name() kernel.Name { return service.Dispatch }

// Needs returns the names of the services that Provision looks up.
func (s *Service) Needs() []kernel.Name {
	return []kernel.Name{service.Lease, service.Backends, service.Peers}
}

// Provision looks up the leases, the backend client and the peers.
func (s *Service) Provision(r *kernel.Resolver) (err error) {
	s.kernel = r.Kernel()
	s.started = s.kernel.Now()
	if s.leases, err = kernel.Lookup[service.LeaseSource](r, service.Lease); err != nil {
		return err
	}
	if s.client, err = kernel.Lookup[backend.Client](r, service.Backends); err != nil {
		return err
	}
	if s.copier, err = kernel.Lookup[service.OutcomeCopier](r, service.Peers); err != nil {
		return err
	}
	s.rampStateSender, err = kernel.Lookup[service.RampStateSender](r, service.Peers)
	return err
}

// Validate checks the settings.
func (s *Service) Validate() error { return s.settings.validate() }

// Start starts the periodic reports to the control service.
func (s *Service) Start(ctx context.Context) error {
	return s.kernel.Deliver(ctx, service.Dispatch, tick{})
}

// Drain refuses new requests and waits for running requests until ctx ends. Each backend is handed over as soon as no
// request runs on it, so that a long request on one backend does not delay the handover of the others.
func (s *Service) Drain(ctx context.Context) error {
	s.stopping.Store(true)
	var queues []*backendQueue
	if p := s.plan.Load(); p != nil {
		queues = slices.Collect(maps.Values(p.queues))
	}
	results := make(chan error, len(queues))
	for _, q := range queues {
		go func() {
			err := s.handOver(ctx, q)
			if err != nil {
				telemetry.EventStopIncomplete.Log(s.log, zap.String("backend", string(q.id)))
			}
			results <- err
		}()
	}
	var failed error
	for range queues {
		failed = errors.Join(failed, <-results)
	}
	return errors.Join(failed, s.awaitWorkers(ctx))
}

// handOver waits until no request runs on the backend and hands its lease over to another instance.
func (s *Service) handOver(ctx context.Context, q *backendQueue) error {
	select {
	case <-q.stop():
		q.sendRampState(ctx)
		names := []service.LeaseName{service.BackendLease(q.id)}
		return s.kernel.Deliver(ctx, service.Lease, service.HandOverLeases{Names: names})
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop cancels the background work.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	return nil
}

// awaitWorkers waits for the workers until ctx ends, so that copies of the last outcomes reach the peers.
func (s *Service) awaitWorkers(ctx context.Context) error {
	s.workersMu.Lock()
	s.closed = true
	s.workersMu.Unlock()
	done := make(chan struct{})
	go func() {
		s.workers.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startWorker runs f on its own goroutine, with a context that ends with the service. After awaitWorkers was called it does
// nothing.
func (s *Service) startWorker(f func(context.Context)) {
	s.workersMu.Lock()
	defer s.workersMu.Unlock()
	if s.closed {
		return
	}
	s.workers.Add(1)
	go func() {
		defer s.workers.Done()
		f(s.ctx)
	}()
}

// Handle processes one message on the control goroutine.
func (s *Service) Handle(t *kernel.Turn, m kernel.Message) {
	switch m := m.(type) {
	case service.ConfigChanged:
		s.state.config = m.Config
		s.rebuild(t.Now())
	case service.OwnershipChanged:
		s.applyView(m.View, t.Now())
		s.rebuild(t.Now())
	case service.LeaseChanged:
		s.rebuild(t.Now())
	case service.BackendStarted:
		s.backendStarted(m, t.Now())
	case service.PartitionsLapsed:
		s.lapsed(m)
	case service.DrainPartitions:
		s.drain(m)
	case tick:
		s.report(t)
	}
}

func (s *Service) backendStarted(m service.BackendStarted, now time.Duration) {
	q := s.backendQueue(m.Backend)
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reportedSlots = m.Slots
	q.applySlots()
	q.observeStartID(m.StartID, now)
}

// backendQueue returns the queue of a backend, nil if this instance has not been its primary.
func (s *Service) backendQueue(id entity.BackendID) *backendQueue {
	p := s.plan.Load()
	if p == nil {
		return nil
	}
	return p.queues[id]
}

// treatmentOf returns how the quarantine allows a request to be sent.
func (s *Service) treatmentOf(suspect outcome.Suspect, now time.Duration) outcome.Treatment {
	s.quarantineMu.Lock()
	defer s.quarantineMu.Unlock()
	if s.quarantine.Empty() {
		return outcome.TreatNormal
	}
	return s.quarantine.Treat(suspect, now)
}
