// Package dispatch is the sending side at the primary of a back end: it queues requests in front of the back end's slots,
// remembers at-most-once requests, sends, and says what is known of each request afterwards.
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
// take the lock of one queue, which guards the traffic state of one back end.
type Service struct {
	self     service.Self
	settings Settings
	log      *zap.Logger
	meters   *meters

	kernel       *kernel.Kernel
	leases       service.LeaseSource
	client       backend.Client
	copier       service.OutcomeCopier
	warmthSender service.RampStateSender
	warmths      warmths

	ctx      context.Context // ends when the stop is over
	cancel   context.CancelFunc
	workMu   sync.Mutex // guards closed and the addition to workers
	closed   bool
	workers  sync.WaitGroup
	started  time.Duration // on the kernel's clock: the memory of this process begins here
	stopping atomic.Bool
	// rebalancing is true while a back end is being handed over; rebalanced counts the attempts, on the control goroutine.
	rebalancing atomic.Bool
	rebalanced  int
	plan        kernel.Snapshot[plan]

	keeperMu sync.Mutex // guards copies
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

// New returns the service.
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

// Needs lists the services that Provision looks up.
func (s *Service) Needs() []kernel.Name {
	return []kernel.Name{service.Lease, service.Backends, service.Peers}
}

// Provision resolves the needed services.
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
	s.warmthSender, err = kernel.Lookup[service.RampStateSender](r, service.Peers)
	return err
}

// Validate checks the settings.
func (s *Service) Validate() error { return s.settings.validate() }

// Start begins the reports to control.
func (s *Service) Start(ctx context.Context) error {
	return s.kernel.Deliver(ctx, service.Dispatch, tick{})
}

// Drain refuses new work and waits until ctx ends for what runs. Each back end is handed over as soon as nothing runs on it,
// so that a long request on one back end does not keep the others from being served elsewhere.
func (s *Service) Drain(ctx context.Context) error {
	s.stopping.Store(true)
	var queues []*backendQueue
	if p := s.plan.Load(); p != nil {
		queues = slices.Collect(maps.Values(p.queues))
	}
	results := make(chan error, len(queues))
	for _, l := range queues {
		go func() {
			err := s.handOver(ctx, l)
			if err != nil {
				telemetry.EventStopIncomplete.Log(s.log, zap.String("backend", string(l.id)))
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

// handOver waits until nothing runs on the back end and gives its lease to another instance.
func (s *Service) handOver(ctx context.Context, l *backendQueue) error {
	select {
	case <-l.stop():
		l.sendWarmth(ctx)
		names := []service.LeaseName{service.BackendLease(l.id)}
		return s.kernel.Deliver(ctx, service.Lease, service.HandOverLeases{Names: names})
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop ends the work in the background.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	return nil
}

// awaitWorkers lets copies of the last outcomes reach their peers.
func (s *Service) awaitWorkers(ctx context.Context) error {
	s.workMu.Lock()
	s.closed = true
	s.workMu.Unlock()
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

// work runs f on a goroutine of its own. Its context ends with the service. After the stop nothing is started.
func (s *Service) work(f func(context.Context)) {
	s.workMu.Lock()
	defer s.workMu.Unlock()
	if s.closed {
		return
	}
	s.workers.Add(1)
	go func() {
		defer s.workers.Done()
		f(s.ctx)
	}()
}

// Handle runs on the control goroutine.
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
	l := s.backendQueue(m.Backend)
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportedSlots = m.Slots
	l.applySlots()
	l.sawStartID(m.StartID, now)
}

// backendQueue returns the queue of a back end, nil if this instance has not been its primary.
func (s *Service) backendQueue(id entity.BackendID) *backendQueue {
	p := s.plan.Load()
	if p == nil {
		return nil
	}
	return p.queues[id]
}

// treat says how a suspected request may be sent.
func (s *Service) treat(suspect outcome.Suspect, now time.Duration) outcome.Treatment {
	s.quarantineMu.Lock()
	defer s.quarantineMu.Unlock()
	if s.quarantine.Empty() {
		return outcome.TreatNormal
	}
	return s.quarantine.Treat(suspect, now)
}
