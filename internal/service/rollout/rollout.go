// Package rollout moves the traffic of a service to backends of another version. Every instance limits its own requests to the new
// version and counts the answers of both versions. One instance at a time, the coordinator of the service's rollout, compares the
// counts of all instances and writes each change of phase to a document in the store with a compare-and-set.
package rollout

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/rollout"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// Times of the control loop.
const (
	// tick is the interval of the control loop.
	tick = 100 * time.Millisecond
	// idleTicks is the number of ticks between two steps while no rollout is in progress.
	idleTicks = 10
	// observeInterval is the time between two tests of an instance's own counts.
	observeInterval = 250 * time.Millisecond
	// freshness is how long the state of a rollout is valid after it was confirmed by the coordinator or the store.
	freshness = 3 * time.Second
	// confirmBefore is the age of the confirmation from which an instance reads the document itself, at most every readInterval.
	confirmBefore = 1500 * time.Millisecond
	readInterval  = time.Second
	// retry is the pause after a failed write of the document or of a status.
	retry = 500 * time.Millisecond
	// callTimeout bounds a call to the store.
	callTimeout = 3 * time.Second
	// startDelay is how long an instance that has started does not coordinate: it does not know its peers yet.
	startDelay = 2 * time.Second
	// settleTime is how long after a change to RolloutSwitching an instance reports the former phase: requests for which a backend was
	// chosen before may still be sent.
	settleTime = 300 * time.Millisecond
	// orderLag is how old a read of the operator's records must at least be newer than what was learned from others, so that the absence
	// of an order in it means that the order was withdrawn.
	orderLag = 2 * time.Second
	// tripTime is how long an instance that has found a version bad waits for the coordinator to decide on it. One of many instances
	// may be wrong, and would hold up the switch of a good version for all.
	tripTime = 2500 * time.Millisecond
	// maxAnnounced is the number of instances up to which each of them announces that it has no request at old backends.
	maxAnnounced = 256
	// reportEnded is how long the end of a rollout is reported to peers.
	reportEnded = 30 * time.Second
)

// Service is the kernel service named rollout. Its control state belongs to the control goroutine; traffic goroutines read published
// snapshots.
type Service struct {
	instance service.InstanceConfig
	log      *zap.Logger
	kernel   *kernel.Kernel
	store    service.DocumentStore
	status   service.RolloutStatusWriter
	view     kernel.Snapshot[service.RolloutView]
	traffic  kernel.Snapshot[map[entity.ServiceName]*traffic]
	flights  flights
	exchange exchange

	// The fields below belong to the control goroutine.
	directory *service.DirectoryView
	rollouts  map[entity.ServiceName]*state
	// dropped are the services that are no longer configured. Their records are removed from the document.
	dropped    map[entity.ServiceName]bool
	document   document
	version    service.Version // of the document
	seen       service.Version // newest version known to any instance
	loaded     bool
	reading    bool
	writing    bool
	nextRead   time.Duration
	nextWrite  time.Duration
	startedAt  time.Duration
	ordersAt   time.Duration                        // of the last read of the operator's records
	recordsAt  map[entity.ServiceName]time.Duration // when the order in each record was first seen in the document
	documentAt time.Duration                        // when the document was read or written
	leaving    bool
	changed    bool // a rollout was added or has entered a phase since this was cleared
	ticks      int
	metrics    meters
}

// state is what the control goroutine knows of the rollout of one service.
type state struct {
	service  entity.ServiceName
	to       string
	duration time.Duration
	phase    rollout.Phase
	reason   string
	// version is that of the document that contains the state, 0 if none is known.
	version service.Version
	// since is when this instance entered the phase, and seenAt when any instance first saw the order, on this instance's clock.
	since, seenAt time.Duration
	learnedAt     time.Duration
	// confirmedAt is when the coordinator or the store last confirmed the state.
	confirmedAt time.Duration
	stale       bool
	// written means that the document contains the rollout, former is the version of the order that this one replaced.
	written bool
	former  string
	// inOrders means that this instance has read the order itself, withdrawn that it is no longer in force.
	inOrders, withdrawn bool
	rejected            map[string]bool
	tripped             bool
	trippedAt           time.Duration
	keysMoved           bool
	oldGone             bool
	cleared             bool // see announceCleared

	traffic    *traffic
	own        *rollout.Comparison // of this instance's requests
	observedAt time.Duration
	all        *rollout.Comparison // of all instances' requests, at the first instances in order

	coordinating bool
	// wanted is the phase that the coordinator wants to write, 0 if none.
	wanted       rollout.Phase
	wantedReason string
	// told is the last status that this instance has written.
	told     past
	telling  bool
	nextTell time.Duration
}

var (
	_ kernel.Handler          = (*Service)(nil)
	_ service.RolloutTracker  = (*Service)(nil)
	_ service.RolloutExchange = (*Service)(nil)
)

// Messages that the service sends to itself.
type (
	tickMessage struct{}
	// reported announces that reports of peers have arrived.
	reported struct{}
	leave    struct{}
	readDone struct {
		document service.Document
		sent     time.Duration
		err      error
	}
	writeDone struct {
		document document
		version  service.Version
		sent     time.Duration
		err      error
	}
	tellDone struct {
		service entity.ServiceName
		told    past
		err     error
	}
)

// New returns the rollout service of an instance. It registers its metrics in r.
func New(instance service.InstanceConfig, log *zap.Logger, r metrics.Registry) *Service {
	s := &Service{
		instance: instance, log: log, rollouts: map[entity.ServiceName]*state{}, dropped: map[entity.ServiceName]bool{},
		recordsAt: map[entity.ServiceName]time.Duration{},
		directory: &service.DirectoryView{}, metrics: newMeters(r),
	}
	s.exchange.init()
	s.view.Publish(&service.RolloutView{})
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() kernel.Name { return service.Rollout }

// Needs implements kernel.Service. Members needs this service, so that peers are known from their reports alone.
func (s *Service) Needs() []kernel.Name { return []kernel.Name{service.Store} }

// Provision implements kernel.Service.
func (s *Service) Provision(r *kernel.Resolver) error {
	s.kernel = r.Kernel()
	if !s.enabled() {
		return nil
	}
	var err error
	if s.store, err = kernel.Lookup[service.DocumentStore](r, service.Store); err != nil {
		return err
	}
	s.status, err = kernel.Lookup[service.RolloutStatusWriter](r, service.Store)
	return err
}

// enabled reports whether the platform knows rollouts. Without them the service does nothing.
func (s *Service) enabled() bool { return s.instance.ExposureShare > 0 }

// Start implements kernel.Service. It starts the control loop.
func (s *Service) Start(ctx context.Context) error {
	if !s.enabled() {
		return nil
	}
	return s.kernel.Deliver(ctx, service.Rollout, tickMessage{})
}

// Drain implements kernel.Drainer. A leaving instance does not decide on rollouts.
func (s *Service) Drain(ctx context.Context) error {
	if !s.enabled() {
		return nil
	}
	return s.kernel.Deliver(ctx, service.Rollout, leave{})
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// Handle implements kernel.Handler.
func (s *Service) Handle(t *kernel.Turn, m kernel.Message) {
	if !s.enabled() {
		return
	}
	switch m := m.(type) {
	case tickMessage:
		if s.startedAt == 0 {
			s.startedAt = t.Now()
		}
		s.ticks++
		idle := s.ticks%idleTicks == 0
		if idle {
			s.exchange.retain(s.rollouts)
		}
		if idle || s.active(t.Now()) {
			s.step(t)
		}
		t.After(tick, tickMessage{})
		return
	case service.RolloutsOrdered:
		s.ordersRead(t, m)
	case service.DirectoryChanged:
		s.directoryChanged(t, m.View)
	case service.StoreOutage:
		if !m.Unavailable {
			s.nextRead, s.nextWrite = t.Now(), t.Now() // the store may be reachable again
		}
	case service.RolloutKeysMoved:
		if r := s.rollouts[m.Service]; r != nil && r.to == m.To {
			r.keysMoved = m.Done
		}
	case reported:
		s.changed = false
		s.applyReports(t)
		if !s.changed {
			return // the next tick publishes the confirmations
		}
	case leave:
		s.leaving = true
	case readDone:
		s.readDone(t, m)
	case writeDone:
		s.writeDone(t, m)
	case tellDone:
		s.tellDone(t, m)
	}
	s.step(t)
}

// active reports whether a rollout is in progress or has ended just now.
func (s *Service) active(now time.Duration) bool {
	for _, r := range s.rollouts {
		if !r.phase.Ended() || now-r.since < reportEnded {
			return true
		}
	}
	return !s.loaded
}

// step applies what has arrived and does what is due.
func (s *Service) step(t *kernel.Turn) {
	s.applyReports(t)
	s.readIfDue(t)
	for _, r := range s.rollouts {
		s.observeOwn(t, r)
		s.coordinate(t, r)
		s.announceCleared(t, r)
		s.forgetIfEnded(t, r)
	}
	s.writeIfDue(t)
	s.publish(t)
}

// observeOwn tests this instance's own requests. It finds a bad version while the coordinator cannot be reached, or before it decides.
func (s *Service) observeOwn(t *kernel.Turn, r *state) {
	now := t.Now()
	if r.phase.Ended() || now-r.observedAt < observeInterval {
		return
	}
	r.observedAt = now
	totals := r.traffic.copyTotals()
	s.metrics.update(r, totals)
	if r.tripped && now-r.trippedAt >= tripTime && r.fresh(now) {
		s.liftTrip(r, now)
	}
	if r.tripped {
		return
	}
	if v := r.own.Observe(now, totals, r.phase == rollout.Switching); v.Bad {
		r.tripped, r.trippedAt = true, now
		s.metrics.trips.Inc(1)
		s.logState(telemetry.EventRolloutTripped, r, now, zap.String("why", v.Reason))
	}
}

// liftTrip lets the new version get requests of this instance again: the coordinator knows the counts of all instances and keeps to the
// rollout.
func (s *Service) liftTrip(r *state, now time.Duration) {
	r.tripped = false
	r.own.Restart(now, r.traffic.copyTotals())
	s.logState(telemetry.EventRolloutTripLifted, r, now)
}
