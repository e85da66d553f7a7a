package session

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// Service manages the backends whose lease this instance holds. The control goroutine owns its state.
type Service struct {
	self     service.Self
	settings Settings
	logger   *zap.Logger
	client   backend.Client
	leases   service.LeaseSource
	meters   meters

	profiles   map[entity.BackendID]profile
	view       *ownership.View
	managed    map[entity.BackendID]*managedBackend
	generation uint64
	calls      int // control calls whose result has not arrived
}

// meters holds the metrics of the service.
type meters struct {
	renewals metrics.Timer // durations of successful renewals, in nanoseconds
	failures metrics.Counter
	lost     metrics.Counter
	released metrics.Counter
	managed  metrics.Gauge
}

var (
	_ kernel.Service   = (*Service)(nil)
	_ kernel.Handler   = (*Service)(nil)
	_ kernel.Validator = (*Service)(nil)
)

// New returns the service. Zero values in settings mean the defaults.
func New(self service.Self, settings Settings, logger *zap.Logger, registry metrics.Registry) *Service {
	return &Service{
		self:     self,
		settings: settings.withDefaults(),
		logger:   logger,
		meters: meters{
			renewals: metrics.GetOrRegisterTimer("session.renewals", registry),
			failures: metrics.GetOrRegisterCounter("session.renewals.failed", registry),
			lost:     metrics.GetOrRegisterCounter("session.backends.lost", registry),
			released: metrics.GetOrRegisterCounter("session.partitions.released", registry),
			managed:  metrics.GetOrRegisterGauge("session.backends", registry),
		},
		profiles: map[entity.BackendID]profile{},
		managed:  map[entity.BackendID]*managedBackend{},
	}
}

// Name returns the name of the service.
func (s *Service) Name() kernel.Name { return service.Session }

// Needs returns the names of the services that Provision looks up.
func (s *Service) Needs() []kernel.Name { return []kernel.Name{service.Backends, service.Lease} }

// Provision looks up the backend client and the leases.
func (s *Service) Provision(r *kernel.Resolver) error {
	var err error
	if s.client, err = kernel.Lookup[backend.Client](r, service.Backends); err != nil {
		return err
	}
	s.leases, err = kernel.Lookup[service.LeaseSource](r, service.Lease)
	return err
}

// Validate checks the settings.
func (s *Service) Validate() error { return s.settings.validate() }

// Start does nothing: the service becomes active with the first lease.
func (s *Service) Start(context.Context) error { return nil }

// Stop does nothing: calls end with the kernel, and the next primary continues the sessions.
func (s *Service) Stop(context.Context) error { return nil }

// wake is the message of a backend's timer.
type wake struct {
	id         entity.BackendID
	generation uint64
}

// expired is the message that cancels a call after its timeout.
type expired struct{ cancel context.CancelFunc }

// result is the result of a call. The function apply runs on the control goroutine if the state that made the call still
// exists.
type result struct {
	id         entity.BackendID
	generation uint64
	apply      func(*kernel.Turn, *managedBackend)
}

// Handle processes one message on the control goroutine.
func (s *Service) Handle(t *kernel.Turn, m kernel.Message) {
	switch m := m.(type) {
	case service.ConfigChanged:
		s.configure(t, m)
	case service.OwnershipChanged:
		s.view = m.View
		s.refresh(t)
	case service.LeaseChanged:
		s.reconcile(t, m.View)
	case service.PartitionsDrained:
		s.drained(t, m)
	case wake:
		s.woken(t, m)
	case expired:
		m.cancel()
	case result:
		s.applyResult(t, m)
	}
}

// configure applies a configuration. The state of a backend whose address or service has changed is created again.
func (s *Service) configure(t *kernel.Turn, m service.ConfigChanged) {
	s.profiles = readProfiles(m.Config)
	if limiter, ok := s.client.(backend.Limiter); ok {
		limiter.SetConnections(connectionLimits(s.profiles))
	}
	for id, b := range s.managed {
		p, ok := s.profiles[id]
		if ok && p.target == b.target && p.service == b.service {
			b.profile = p
			continue
		}
		s.drop(id, b)
		if ok {
			moved := s.manage(t, id, b.term)
			moved.notBefore = t.Now() + withDrift(s.settings.SessionTTL)
		}
	}
	s.reconcile(t, s.leases.Leases())
}

// reconcile makes the managed backends exactly the configured backends whose lease this instance holds, with the term of the
// lease.
func (s *Service) reconcile(t *kernel.Turn, v *service.LeaseView) {
	for id, b := range s.managed {
		if term, held := heldTerm(v, id); !held || term != b.term {
			s.drop(id, b)
		}
	}
	for _, id := range s.sortedProfiles() {
		if term, held := heldTerm(v, id); held && s.managed[id] == nil {
			s.manage(t, id, term)
		}
	}
	s.refresh(t)
}

func heldTerm(v *service.LeaseView, id entity.BackendID) (entity.Term, bool) {
	if v == nil {
		return 0, false
	}
	held, ok := v.Held[service.BackendLease(id)]
	return held.Term, ok
}

func (s *Service) sortedProfiles() []entity.BackendID {
	ids := make([]entity.BackendID, 0, len(s.profiles))
	for id := range s.profiles {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare)
	return ids
}

func (s *Service) manage(t *kernel.Turn, id entity.BackendID, term entity.Term) *managedBackend {
	s.generation++
	b := newManaged(s.profiles[id], term, s.generation, t.Now())
	s.managed[id] = b
	s.meters.managed.Update(int64(len(s.managed)))
	telemetry.EventSessionManaged.Log(s.logger, zap.String("backend", string(id)), zap.Uint64("term", uint64(term)))
	return b
}

// drop removes the state of a backend and cancels its calls. No further calls are sent to it.
func (s *Service) drop(id entity.BackendID, b *managedBackend) {
	b.stop()
	delete(s.managed, id)
	s.meters.managed.Update(int64(len(s.managed)))
	telemetry.EventSessionDropped.Log(s.logger, zap.String("backend", string(id)), zap.Uint64("term", uint64(b.term)))
}

// refresh applies the assignments in the log and advances all backends. A service whose view is the same object has not
// changed.
func (s *Service) refresh(t *kernel.Turn) {
	for _, id := range s.sortedManaged() {
		b := s.managed[id]
		if source := s.serviceView(b.service); source != b.source {
			b.source = source
			b.assigned = readAssignment(source, b.service, id)
			s.updateReleases(t, b)
		}
		s.advance(t, b)
	}
}

// serviceView returns the ownership view of a service, nil if there is none yet.
func (s *Service) serviceView(name entity.ServiceName) *ownership.ServiceView {
	if s.view == nil {
		return nil
	}
	return s.view.Services[name]
}

func (s *Service) sortedManaged() []entity.BackendID {
	ids := make([]entity.BackendID, 0, len(s.managed))
	for id := range s.managed {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare)
	return ids
}

func (s *Service) woken(t *kernel.Turn, m wake) {
	b := s.managed[m.id]
	if b == nil || b.generation != m.generation {
		return
	}
	if b.wakeAt <= t.Now() {
		b.wakeAt = never
	}
	s.advance(t, b)
}

// advance performs every action that is due for a backend and sets the timer for the next one. Without the right to act it
// sends no calls; a lapse stays proven while the lease is held, since no other instance can have renewed the session.
func (s *Service) advance(t *kernel.Turn, b *managedBackend) {
	now := t.Now()
	view := s.leases.Leases()
	if term, held := heldTerm(view, b.target.ID); !held || term != b.term {
		return // LeaseChanged follows
	}
	next := now + s.settings.RenewInterval
	if _, may := view.MayAct(b.target.ID, now, b.cutoffHold); may && !b.superseded {
		next = min(s.watch(t, b), s.renew(t, b), s.probe(t, b), s.grant(t, b), s.revoke(t, b))
	} else {
		b.failingSince = never
	}
	if held := view.Held[service.BackendLease(b.target.ID)]; now < held.Until && !b.superseded {
		next = min(next, s.release(t, b))
	}
	s.wakeBy(t, b, next)
}

// wakeBy makes sure that a timer fires at the given time or earlier.
func (s *Service) wakeBy(t *kernel.Turn, b *managedBackend, at time.Duration) {
	if at == never || b.wakeAt <= at {
		return
	}
	b.wakeAt = at
	t.After(max(0, at-t.Now()), wake{id: b.target.ID, generation: b.generation})
}

// call runs a control call on its own goroutine, bounded by Settings.CallTimeout. The function that work returns is run on
// the control goroutine.
func (s *Service) call(t *kernel.Turn, b *managedBackend, work func(context.Context) func(*kernel.Turn, *managedBackend)) {
	s.calls++
	ctx, cancel := context.WithCancel(b.ctx)
	t.After(s.settings.CallTimeout, expired{cancel: cancel})
	id, generation := b.target.ID, b.generation
	t.Go(func(kernelCtx context.Context) kernel.Message {
		defer cancel()
		defer context.AfterFunc(kernelCtx, cancel)()
		return result{id: id, generation: generation, apply: work(ctx)}
	})
}

func (s *Service) applyResult(t *kernel.Turn, m result) {
	s.calls--
	b := s.managed[m.id]
	if b == nil || b.generation != m.generation {
		return
	}
	m.apply(t, b)
	s.advance(t, b)
}
