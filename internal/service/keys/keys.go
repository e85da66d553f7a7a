// Package keys keeps the ownership of key ranges. Every instance reads the table from the store; one of them, the coordinator,
// plans changes, writes them under the condition that nobody else has, and carries them out at the back ends.
package keys

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// documentName is the name of the table in the store.
const documentName = "ranges"

// Times of the control loop.
const (
	// tick is the interval of the control loop. A move takes a few of them.
	tick = 100 * time.Millisecond
	// planInterval is the least time between two plans, each of which may cost a write and a read by every instance.
	planInterval = 400 * time.Millisecond
	// pollInterval is the time between two reads of the table while nothing tells of a newer one.
	pollInterval = 4 * time.Second
	// confirmInterval is the same for the coordinator, whose grants end a fixed time after its last read.
	confirmInterval = 1500 * time.Millisecond
	// changeDelay is how long an instance that hears of a newer table waits for the difference that the coordinator tells, before
	// it reads the whole from the store.
	changeDelay = 250 * time.Millisecond
	// retryRead is the pause after a failed read.
	retryRead = 500 * time.Millisecond
	// callTimeout bounds a call to the store. Slow answers of the store are still useful, so it is long.
	callTimeout = 3 * time.Second
	// coordinatorSilence is how long the coordinator may be silent before another instance takes over.
	coordinatorSilence = 1600 * time.Millisecond
	// storelessFor is how long a coordinator must say that it cannot reach the store before another one takes over. Single
	// connections that fail do not last as long.
	storelessFor = time.Second
	// announceDelay is the time over which news of held ranges are collected before they are told to all instances. After a
	// change of the coordinator every back end brings some.
	announceDelay = 30 * time.Millisecond
	// candidateSilence is how long another instance may be silent and still counts as one that may take over. In large
	// deployments heartbeats are rare.
	candidateSilence = 4 * time.Second
	// claimStagger is the time between the claims of the first, second, ... instance in line.
	claimStagger = 400 * time.Millisecond
	// isolationWait is how long an instance that hears fewer than half of the others waits before it claims all the same:
	// it is more likely that it is cut off itself. It is longer than the usual cut.
	isolationWait = 8 * time.Second
	// usualHold is how long back ends hold keys while the store can be reached: long enough for another instance to take over the
	// coordination and to renew (about 3 s), and otherwise short, since the keys of a back end that falls silent wait for its end.
	usualHold = 5 * time.Second
	// renewInterval leaves most of a hold for an interruption of the renewals.
	renewInterval = 1500 * time.Millisecond
	// orderRetry is the pause after an order without an answer.
	orderRetry = 500 * time.Millisecond
	// unreachableAfter is how long a back end may leave orders unanswered before it is given no more keys.
	unreachableAfter = 1500 * time.Millisecond
	// batchSize bounds the orders that one worker sends to a back end one after the other.
	batchSize = 64
)

// Service is the service named keys.
type Service struct {
	site   service.InstanceConfig
	log    *zap.Logger
	store  service.DocumentStore
	orders service.CommandSender
	work   service.BackendTimeSource
	kernel *kernel.Kernel
	view   kernel.Snapshot[service.KeyView]

	// The rest belongs to the control goroutine.
	fleet     *service.DirectoryView
	state     *keyrange.State
	version   service.Version
	seen      service.Version // newest version that another instance has mentioned
	seenAt    time.Duration   // when it was first mentioned
	readAt    time.Duration
	since     time.Duration
	loaded    bool
	reading   bool
	nextRead  time.Duration
	writing   bool
	startedAt time.Duration
	peers     map[entity.InstanceID]*peer
	heat      heat
	held      map[uint64]bool
	storeGood bool
	// announcing is true while news of held ranges are collected.
	announcing bool
	change     *service.TableChange // to be told to the other instances

	// known are the processes seen so far, for orders to those that are no longer listed.
	known map[keyrange.Holder]*catalog.Backend
	// places are the processes listed at each address.
	places map[string]keyrange.Holder

	coordinator *coordinator
	lostAt      time.Duration // when the coordinator was first found missing; zero if it is heard

	counters counters
}

// peer is what is known of another instance.
type peer struct {
	at          time.Duration
	coordinator bool
	cores       float64
	storeGood   bool
	storeBadAt  time.Duration // since when it cannot reach the store
	leaving     bool
	version     service.Version
}

type counters struct {
	reads, writes, conflicts, failures, moves, grants, releases, orderFailures metrics.Counter
	coordinating, ranges                                                       metrics.Gauge
}

// Messages to itself.
type (
	tickMessage struct{}
	readDone    struct {
		document service.Document
		sent     time.Duration
		err      error
	}
	writeDone struct {
		state   *keyrange.State
		version service.Version
		sent    time.Duration
		err     error
	}
	misdirected struct{ version service.Version }
	announce    struct{}
)

// New returns the service.
func New(site service.InstanceConfig, log *zap.Logger, r metrics.Registry) *Service {
	s := &Service{
		site:  site,
		log:   log,
		peers: map[entity.InstanceID]*peer{},
		held:  map[uint64]bool{},
		known: map[keyrange.Holder]*catalog.Backend{},
		fleet: &service.DirectoryView{},
		counters: counters{
			reads:         metrics.GetOrRegisterCounter("keys.table_reads", r),
			writes:        metrics.GetOrRegisterCounter("keys.table_writes", r),
			conflicts:     metrics.GetOrRegisterCounter("keys.table_conflicts", r),
			failures:      metrics.GetOrRegisterCounter("keys.store_failures", r),
			moves:         metrics.GetOrRegisterCounter("keys.ranges_assigned", r),
			grants:        metrics.GetOrRegisterCounter("keys.grants", r),
			releases:      metrics.GetOrRegisterCounter("keys.releases", r),
			orderFailures: metrics.GetOrRegisterCounter("keys.order_failures", r),
			coordinating:  metrics.GetOrRegisterGauge("keys.coordinating", r),
			ranges:        metrics.GetOrRegisterGauge("keys.ranges", r),
		},
	}
	s.view.Publish(&service.KeyView{Changed: make(chan struct{})})
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() kernel.Name { return service.Keys }

// Needs implements kernel.Service.
func (s *Service) Needs() []kernel.Name {
	return []kernel.Name{service.Store, service.Endpoints, service.Loads}
}

// Provision implements kernel.Service.
func (s *Service) Provision(r *kernel.Resolver) error {
	s.kernel = r.Kernel()
	var err error
	if s.store, err = kernel.Lookup[service.DocumentStore](r, service.Store); err != nil {
		return err
	}
	if s.orders, err = kernel.Lookup[service.CommandSender](r, service.Endpoints); err != nil {
		return err
	}
	s.work, err = kernel.Lookup[service.BackendTimeSource](r, service.Loads)
	return err
}

// Start begins the control loop.
func (s *Service) Start(ctx context.Context) error {
	return s.kernel.Deliver(ctx, service.Keys, tickMessage{})
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// KeyView returns the ownership in force.
func (s *Service) KeyView() *service.KeyView { return s.view.Load() }

// ReportMisdirected asks for a newer table.
func (s *Service) ReportMisdirected(version service.Version) {
	s.kernel.Post(service.Keys, misdirected{version})
}

// Handle implements kernel.Handler.
func (s *Service) Handle(t *kernel.Turn, m kernel.Message) {
	switch m := m.(type) {
	case tickMessage:
		if s.startedAt == 0 {
			s.startedAt = t.Now()
		}
		s.tick(t)
		t.After(tick, tickMessage{})
	case service.DirectoryChanged:
		s.fleetChanged(t, m.View)
	case service.StoreOutage:
		s.storeGood = !m.Down
		s.chooseHolds()
		s.report(t, false)
	case service.PeerHeartbeat:
		s.peerHeard(t, m)
	case service.KeysRequested:
		s.heat.add(m.Keys, m.At)
	case misdirected:
		if m.version == s.version {
			s.nextRead = min(s.nextRead, t.Now()+tick)
		}
	case readDone:
		s.readDone(t, m)
	case writeDone:
		s.writeDone(t, m)
	case ordersDone:
		s.ordersDone(t, m)
	case fenced:
		s.fencedOff(t, m)
	case announce:
		s.announcing = false
		s.report(t, true)
	}
}

// announceSoon tells all instances of held ranges.
func (s *Service) announceSoon(t *kernel.Turn) {
	if !s.announcing {
		s.announcing = true
		t.After(announceDelay, announce{})
	}
}

// tick runs what is due.
func (s *Service) tick(t *kernel.Turn) {
	now := t.Now()
	if s.partitioned() {
		s.readIfDue(t)
		s.claimIfDue(t)
	}
	if s.coordinator != nil {
		s.coordinate(t)
	}
	s.heat.expire(now)
}

// partitioned reports whether any service needs owners of keys.
func (s *Service) partitioned() bool {
	if s.fleet.Config == nil {
		return false
	}
	for _, svc := range s.fleet.Config.Services {
		if svc.Partitioned {
			return true
		}
	}
	return false
}

func (s *Service) readIfDue(t *kernel.Turn) {
	now := t.Now()
	newer := s.seen > s.version
	if s.reading || s.writing || (now < s.nextRead && !newer) {
		return
	}
	if newer && s.loaded && s.coordinator == nil && now-s.seenAt < changeDelay {
		return // the coordinator is telling the difference
	}
	if !newer && s.loaded && s.confirmedByCoordinator(now) {
		return
	}
	s.reading = true
	known, sent := s.version, now
	t.Go(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		document, err := s.store.Load(ctx, documentName, known)
		return readDone{document: document, sent: sent, err: err}
	})
}

// confirmedByCoordinator reports whether the coordinator has just said that the table in force is the newest.
func (s *Service) confirmedByCoordinator(now time.Duration) bool {
	if s.state == nil || s.coordinator != nil || s.coordinatorMissing(now) {
		return false // a claim is made on a table that was just read
	}
	p := s.peers[s.state.Coordinator]
	return p != nil && p.coordinator && p.version == s.version && now-p.at < coordinatorSilence
}

func (s *Service) readDone(t *kernel.Turn, m readDone) {
	s.reading = false
	s.counters.reads.Inc(1)
	if m.err != nil {
		s.counters.failures.Inc(1)
		s.nextRead = t.Now() + retryRead
		s.seen = s.version // asks again after the pause, not at once
		return
	}
	s.nextRead = t.Now() + pollInterval
	if s.coordinator != nil {
		s.nextRead = t.Now() + confirmInterval
	}
	s.readAt, s.loaded = m.sent, true
	s.adopt(t, m.document)
}

// adopt takes over a table that another instance has written.
func (s *Service) adopt(t *kernel.Turn, d service.Document) {
	if d.Version <= s.version || d.Value == nil {
		s.seen = max(s.version, d.Version)
		return
	}
	state, err := decodeState(d.Value)
	if err != nil {
		telemetry.EventTableUnreadable.Log(s.log, zap.Uint64("version", uint64(d.Version)), zap.Error(err))
		return
	}
	s.version, s.seen = d.Version, max(s.seen, d.Version)
	telemetry.EventTableRead.Log(s.log, zap.Uint64("version", uint64(d.Version)), zap.String("coordinator", string(state.Coordinator)),
		zap.Uint64("term", state.Term), zap.Uint64("last_fence", state.LastFence))
	s.adoptOwn(t, state)
	s.take(t, state)
}

// adoptOwn carries out a table that this instance wrote itself without getting an answer, and resigns if it is another's.
func (s *Service) adoptOwn(t *kernel.Turn, state *keyrange.State) {
	own := state.Coordinator == s.site.ID
	switch {
	case s.coordinator == nil && own:
		s.begin(t, state)
		s.coordinator.executor.SetState(state, t.Now())
	case s.coordinator == nil:
	case own && state.Term == s.coordinator.term:
		s.coordinator.executor.SetState(state, t.Now())
	default:
		s.resign("another instance has claimed")
	}
}

// take publishes a state.
func (s *Service) take(t *kernel.Turn, state *keyrange.State) {
	s.state, s.since = state, t.Now()
	s.lostAt = 0
	held := map[uint64]bool{}
	for i := range state.Tables {
		for _, r := range state.Tables[i].Ranges {
			if s.held[r.Fence] && !r.Granted {
				held[r.Fence] = true
			}
		}
	}
	s.held = held
	s.publish(t)
}

func (s *Service) publish(t *kernel.Turn) {
	old := s.view.Load()
	held := make(map[uint64]bool, len(s.held))
	for f := range s.held {
		held[f] = true
	}
	s.view.Publish(&service.KeyView{
		State: s.state, Version: s.version, Held: held, ReadAt: s.readAt, Since: s.since,
		Coordinator: s.coordinator != nil, Changed: make(chan struct{}),
	})
	close(old.Changed)
	if s.state != nil {
		n := 0
		for i := range s.state.Tables {
			n += len(s.state.Tables[i].Ranges)
		}
		s.counters.ranges.Update(int64(n))
	}
	s.report(t, false)
}

// report tells members what to put into the heartbeats.
func (s *Service) report(t *kernel.Turn, urgent bool) {
	r := service.KeyReport{TableVersion: s.version, StoreReachable: s.storeGood, Urgent: urgent}
	if urgent {
		r.Change, s.change = s.change, nil
	}
	if s.state != nil {
		r.CoordinatorID = s.state.Coordinator
	}
	if s.coordinator != nil {
		r.Coordinator = true
		r.HeldFences = s.coordinator.executor.HeldFences()
	}
	t.Send(service.Members, r)
}

func (s *Service) peerHeard(t *kernel.Turn, m service.PeerHeartbeat) {
	p := s.peers[m.Instance]
	if p == nil {
		p = &peer{}
		s.peers[m.Instance] = p
	}
	storeBadAt := p.storeBadAt
	if p.storeGood || p.at == 0 {
		storeBadAt = m.At
	}
	*p = peer{
		at: m.At, coordinator: m.Coordinator, cores: m.Cores, storeGood: m.StoreReachable, storeBadAt: storeBadAt,
		leaving: m.Leaving, version: m.TableVersion,
	}
	s.applyChange(t, m)
	s.mention(m.TableVersion, m.At)
	if m.Coordinator && m.TableVersion > s.version && s.coordinator != nil {
		s.resign("another instance coordinates a newer table")
	}
	s.learnHeld(t, m)
}

// mention notes that another instance knows a version of the table.
func (s *Service) mention(version service.Version, now time.Duration) {
	if version <= s.seen {
		return
	}
	if s.seen <= s.version {
		s.seenAt = now
	}
	s.seen = version
}

// applyChange takes over a difference to the table in force, which spares a read of the store.
func (s *Service) applyChange(t *kernel.Turn, m service.PeerHeartbeat) {
	if m.Change == nil || s.state == nil || m.Change.From != s.version || s.writing || s.coordinator != nil {
		return
	}
	state, ok := m.Change.Delta.Apply(s.state)
	if !ok {
		return // the table is read instead
	}
	s.version = m.Change.To
	s.nextRead = t.Now() + pollInterval
	telemetry.EventTableRead.Log(s.log, zap.Uint64("version", uint64(s.version)), zap.String("coordinator", string(state.Coordinator)),
		zap.Uint64("term", state.Term), zap.Uint64("last_fence", state.LastFence), zap.String("told_by", string(m.Instance)))
	s.take(t, state)
}

// learnHeld takes over the fences that the coordinator reports as held.
func (s *Service) learnHeld(t *kernel.Turn, m service.PeerHeartbeat) {
	if !m.Coordinator || m.TableVersion != s.version {
		return
	}
	changed := false
	for _, f := range m.HeldFences {
		if !s.held[f] {
			s.held[f] = true
			changed = true
		}
	}
	if changed {
		s.publish(t)
	}
}
