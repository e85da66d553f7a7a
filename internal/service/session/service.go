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

// Service attends to the back ends whose lease this instance holds.
type Service struct {
	self     service.Self
	settings Settings
	logger   *zap.Logger
	client   backend.Client
	leases   service.LeaseSource
	meters   meters

	profiles   map[entity.BackendID]profile
	view       *ownership.View
	attended   map[entity.BackendID]*attended
	generation uint64
	calls      int // control requests whose result has not arrived
}

// meters count what the service does.
type meters struct {
	renewals metrics.Timer // nanoseconds of successful renewals
	failures metrics.Counter
	lost     metrics.Counter
	released metrics.Counter
	attended metrics.Gauge
}

var (
	_ kernel.Service   = (*Service)(nil)
	_ kernel.Handler   = (*Service)(nil)
	_ kernel.Validator = (*Service)(nil)
)

// New returns the service. Settings that are zero get their defaults.
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
			attended: metrics.GetOrRegisterGauge("session.backends", registry),
		},
		profiles: map[entity.BackendID]profile{},
		attended: map[entity.BackendID]*attended{},
	}
}

// Name returns the service's name.
func (s *Service) Name() kernel.Name { return service.Session }

// Needs lists the services that it looks up.
func (s *Service) Needs() []kernel.Name { return []kernel.Name{service.Backends, service.Lease} }

// Provision looks up the client of the back ends and the leases.
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

// Start does nothing: the work begins with the first lease.
func (s *Service) Start(context.Context) error { return nil }

// Stop does nothing: calls end with the kernel, and the next primary goes on with the sessions.
func (s *Service) Stop(context.Context) error { return nil }

// wake is the timer of a back end.
type wake struct {
	id         entity.BackendID
	generation uint64
}

// expired ends a call whose time is over.
type expired struct{ cancel context.CancelFunc }

// result is the result of a call. Apply runs on the control goroutine if the state that made the call still exists.
type result struct {
	id         entity.BackendID
	generation uint64
	apply      func(*kernel.Turn, *attended)
}

// Handle changes the state by one message.
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

// configure takes over a configuration. A back end at another address is attended to from the start.
func (s *Service) configure(t *kernel.Turn, m service.ConfigChanged) {
	s.profiles = readProfiles(m.Config)
	if limiter, ok := s.client.(backend.Limiter); ok {
		limiter.SetConnections(connectionLimits(s.profiles))
	}
	for id, a := range s.attended {
		p, ok := s.profiles[id]
		if ok && p.target == a.target && p.service == a.service {
			a.profile = p
			continue
		}
		s.drop(id, a)
		if ok {
			moved := s.attend(t, id, a.term)
			moved.notBefore = t.Now() + withDrift(s.settings.SessionTTL)
		}
	}
	s.reconcile(t, s.leases.Leases())
}

// reconcile attends to exactly the configured back ends whose lease is held, with the term of the lease.
func (s *Service) reconcile(t *kernel.Turn, v *service.LeaseView) {
	for id, a := range s.attended {
		if term, held := holds(v, id); !held || term != a.term {
			s.drop(id, a)
		}
	}
	for _, id := range s.sortedProfiles() {
		if term, held := holds(v, id); held && s.attended[id] == nil {
			s.attend(t, id, term)
		}
	}
	s.refresh(t)
}

func holds(v *service.LeaseView, id entity.BackendID) (entity.Term, bool) {
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

func (s *Service) attend(t *kernel.Turn, id entity.BackendID, term entity.Term) *attended {
	s.generation++
	a := newAttended(s.profiles[id], term, s.generation, t.Now())
	s.attended[id] = a
	s.meters.attended.Update(int64(len(s.attended)))
	telemetry.EventSessionManaged.Log(s.logger, zap.String("backend", string(id)), zap.Uint64("term", uint64(term)))
	return a
}

// drop ends the state of a back end and its calls. Nothing is sent to it any more.
func (s *Service) drop(id entity.BackendID, a *attended) {
	a.stop()
	delete(s.attended, id)
	s.meters.attended.Update(int64(len(s.attended)))
	telemetry.EventSessionDropped.Log(s.logger, zap.String("backend", string(id)), zap.Uint64("term", uint64(a.term)))
}

// refresh takes over the assignments of the log and does what they make due. A service whose view is the same object has
// not changed.
func (s *Service) refresh(t *kernel.Turn) {
	for _, id := range s.sortedAttended() {
		a := s.attended[id]
		if source := s.serviceView(a.service); source != a.source {
			a.source = source
			a.assigned = readAssignment(source, a.service, id)
			s.updateReleases(t, a)
		}
		s.advance(t, a)
	}
}

// serviceView returns the assignment of a service, nil if there is none yet.
func (s *Service) serviceView(name entity.ServiceName) *ownership.ServiceView {
	if s.view == nil {
		return nil
	}
	return s.view.Services[name]
}

func (s *Service) sortedAttended() []entity.BackendID {
	ids := make([]entity.BackendID, 0, len(s.attended))
	for id := range s.attended {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare)
	return ids
}

func (s *Service) woken(t *kernel.Turn, m wake) {
	a := s.attended[m.id]
	if a == nil || a.generation != m.generation {
		return
	}
	if a.wakeAt <= t.Now() {
		a.wakeAt = never
	}
	s.advance(t, a)
}

// advance does everything that is due for a back end and sets the timer for the next. Without the right to act it sends
// nothing; what has lapsed stays proven as long as the lease is held, since nobody else can have renewed the session.
func (s *Service) advance(t *kernel.Turn, a *attended) {
	now := t.Now()
	view := s.leases.Leases()
	if term, held := holds(view, a.target.ID); !held || term != a.term {
		return // LeaseChanged follows
	}
	next := now + s.settings.RenewInterval
	if _, may := view.MayAct(a.target.ID, now, a.cutoffHold); may && !a.outranked {
		next = min(s.watch(t, a), s.renew(t, a), s.probe(t, a), s.grant(t, a), s.revoke(t, a))
	} else {
		a.failingSince = never
	}
	if held := view.Held[service.BackendLease(a.target.ID)]; now < held.Until && !a.outranked {
		next = min(next, s.release(t, a))
	}
	s.wakeBy(t, a, next)
}

// wakeBy makes sure that a timer fires by a time.
func (s *Service) wakeBy(t *kernel.Turn, a *attended, at time.Duration) {
	if at == never || a.wakeAt <= at {
		return
	}
	a.wakeAt = at
	t.After(max(0, at-t.Now()), wake{id: a.target.ID, generation: a.generation})
}

// call runs a control request on a goroutine of its own, bounded by the call timeout. The function that it returns is
// applied on the control goroutine.
func (s *Service) call(t *kernel.Turn, a *attended, work func(context.Context) func(*kernel.Turn, *attended)) {
	s.calls++
	ctx, cancel := context.WithCancel(a.ctx)
	t.After(s.settings.CallTimeout, expired{cancel: cancel})
	id, generation := a.target.ID, a.generation
	t.Go(func(kernelCtx context.Context) kernel.Message {
		defer cancel()
		defer context.AfterFunc(kernelCtx, cancel)()
		return result{id: id, generation: generation, apply: work(ctx)}
	})
}

func (s *Service) applyResult(t *kernel.Turn, m result) {
	s.calls--
	a := s.attended[m.id]
	if a == nil || a.generation != m.generation {
		return
	}
	m.apply(t, a)
	s.advance(t, a)
}
