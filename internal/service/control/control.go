// Package control replays the control stream, publishes who owns what, and appends the records by which it changes.
//
// Each kind of decision is a decider: it looks at the replayed state and what this instance has seen, and names the next
// record. One append is under way at a time. A decision is repeated from the state after each record, so one that replay
// dropped is made again if it is still needed.
package control

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// listeners get OwnershipChanged.
var listeners = []kernel.Name{
	service.Lease, service.Session, service.Routing, service.Dispatch, service.Admission,
}

// Service is the service named control. Its fields below the snapshot belong to the control goroutine.
type Service struct {
	self     service.Self
	settings Settings
	logger   *zap.Logger
	counters counters
	kernel   *kernel.Kernel
	log      platformapi.Log
	list     platformapi.InstanceList
	states   service.StateSource
	relays   service.RecordSource

	snapshot kernel.Snapshot[ownership.View]

	state       *ownership.State
	view        *ownership.View
	config      *configIndex
	reader      reader
	writer      writer
	ranks       ranks
	roster      *roster
	zones       *zones
	releases    *releases
	assigner    *assigner
	losses      *losses
	heat        *heat
	shares      *shares
	checkpoints *checkpoints
	// urgent deciders restore service and are asked after each message. The others look at the whole roster and are asked
	// after each tick and each change of what they look at.
	urgent, regular []decider
	asked           *ownership.View
	askedConfig     *configIndex
}

// decider names the next record that it wants in the log, nil for none. It changes nothing that the record changes.
type decider interface {
	next(*situation) ownership.Record
}

// situation is what a decision is based on.
type situation struct {
	now    time.Duration
	view   *ownership.View
	config *configIndex // never nil; empty before the first configuration
	self   service.Self
	ranks  *ranks
	zones  *zones
	turn   *kernel.Turn
}

// member reports whether this instance is in the roster.
func (s *situation) member() (ownership.Member, bool) { return s.view.Member(s.self.ID) }

// New returns the service. The settings get their defaults.
func New(self service.Self, settings Settings, logger *zap.Logger, registry metrics.Registry) *Service {
	settings = settings.withDefaults()
	s := &Service{
		self:     self,
		settings: settings,
		logger:   logger,
		counters: newCounters(registry),
		state:    ownership.New(),
		config:   newConfigIndex(nil),
		reader:   newReader(),
	}
	s.view = s.state.View()
	s.roster = newRoster(settings, logger)
	s.zones = newZones(logger)
	s.releases = newReleases(settings, logger)
	s.assigner = newAssigner(logger)
	s.losses = newLosses(logger)
	s.heat = newHeat()
	s.shares = newShares()
	s.checkpoints = &checkpoints{every: settings.CheckpointEvery, state: func() []ownership.Chunk { return s.state.Chunks() }}
	// Earlier deciders go first.
	s.urgent = []decider{s.losses, s.releases}
	s.regular = []decider{s.roster, s.zones, s.assigner, s.heat, s.shares, s.checkpoints}
	return s
}

// Name is the name in the registry.
func (s *Service) Name() kernel.Name { return service.Control }

// Needs lists the platform, the peers and the leases. The roster is left while the leases are still renewed.
func (s *Service) Needs() []kernel.Name {
	return []kernel.Name{service.Platform, service.Peers, service.Lease}
}

// Provision looks up the platform, the peers and the leases.
func (s *Service) Provision(r *kernel.Resolver) error {
	s.kernel = r.Kernel()
	var err error
	if s.log, err = kernel.Lookup[platformapi.Log](r, service.Platform); err != nil {
		return err
	}
	if s.list, err = kernel.Lookup[platformapi.InstanceList](r, service.Platform); err != nil {
		return err
	}
	if s.zones.leases, err = kernel.Lookup[service.LeaseSource](r, service.Lease); err != nil {
		return err
	}
	if s.states, err = kernel.Lookup[service.StateSource](r, service.Peers); err != nil {
		return err
	}
	s.relays, err = kernel.Lookup[service.RecordSource](r, service.Peers)
	return err
}

// Validate checks the settings.
func (s *Service) Validate() error { return s.settings.validate() }

// Start begins to read the log.
func (s *Service) Start(ctx context.Context) error {
	return s.kernel.Deliver(ctx, service.Control, started{})
}

// Stop leaves the roster. It gives up after a bounded time, because the other members remove a dead one anyway.
func (s *Service) Stop(ctx context.Context) error {
	left := make(chan struct{})
	if err := s.kernel.Deliver(ctx, service.Control, stopping{left: left}); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	select {
	case <-left:
		telemetry.EventControlLeft.Log(s.logger)
	case <-ctx.Done():
		telemetry.EventControlLeaveTimeout.Log(s.logger)
	}
	return nil
}

// Ownership returns the last published view, nil before the first.
func (s *Service) Ownership() *ownership.View { return s.snapshot.Load() }

// Messages that the service sends to itself.
type (
	started  struct{}
	ticked   struct{}
	stopping struct{ left chan<- struct{} }
)

// Handle runs on the control goroutine.
func (s *Service) Handle(turn *kernel.Turn, msg kernel.Message) {
	switch m := msg.(type) {
	case started:
		s.reader.startedAt = turn.Now()
		s.startRead(turn)
		turn.After(tickInterval, ticked{})
	case ticked:
		s.tick(turn)
	case stopping:
		s.roster.left = m.left
	case readDone:
		s.finishRead(turn, m)
	case readAgain:
		s.startRead(turn)
	case relayDone:
		s.finishRelay(turn, m)
	case stateFetched:
		s.finishFetch(turn, m)
	case appendDone:
		s.finishAppend(turn, m)
	case appendAgain:
		s.startAppend(turn)
	case listDone:
		s.roster.finishList(s.situation(turn), m)
	case service.StateQuery:
		s.answerState(turn, m)
	case service.RecordsQuery:
		s.answerRecords(turn.Now(), m)
	default:
		s.observe(turn, msg)
	}
	_, tick := msg.(ticked)
	s.decide(turn, tick)
}

// observe takes what other services have seen.
func (s *Service) observe(turn *kernel.Turn, msg kernel.Message) {
	switch m := msg.(type) {
	case service.ConfigChanged:
		s.config = newConfigIndex(&m)
		s.assigner.changed()
	case service.PeerState:
		s.roster.heard(m)
		s.zones.heard(m)
	case service.RosterReport:
		s.roster.reports[m.Group] = m
	case service.BackendLost:
		s.losses.lost(m.Backend)
	case service.BackendRecovered:
		s.losses.back(m.Backend)
	case service.ReleaseReady:
		s.releases.proven(m)
	case service.BackendLatency:
		s.heat.measured(turn.Now(), m)
	}
}

func (s *Service) tick(turn *kernel.Turn) {
	turn.After(tickInterval, ticked{})
	s.relay(turn)
	s.fetchState(turn)
	if s.roster.wantsList(s.situation(turn)) {
		s.readList(turn)
	}
}

func (s *Service) situation(turn *kernel.Turn) *situation {
	return &situation{
		now: turn.Now(), view: s.view, config: s.config, self: s.self, ranks: &s.ranks, zones: s.zones, turn: turn,
	}
}

// decide appends the first record that a decider wants, if no append is under way and the state is current.
func (s *Service) decide(turn *kernel.Turn, tick bool) {
	situation := s.situation(turn)
	s.roster.finishLeave(situation, s.writer.pending != nil)
	if s.writer.busy(turn.Now()) || !s.reader.current(turn.Now()) {
		return
	}
	if s.ask(situation, s.urgent) {
		return
	}
	if !tick && s.asked == s.view && s.askedConfig == s.config {
		return
	}
	s.asked, s.askedConfig = s.view, s.config
	s.ask(situation, s.regular)
}

// ask appends the first record that one of the deciders wants, and reports whether there is one.
func (s *Service) ask(situation *situation, deciders []decider) bool {
	for _, d := range deciders {
		if record := d.next(situation); record != nil {
			s.append(situation.turn, record)
			return true
		}
	}
	return false
}

// publish makes the state visible if it has advanced.
func (s *Service) publish(turn *kernel.Turn) {
	s.view = s.state.View()
	s.snapshot.Publish(s.view)
	s.ranks.update(s.view, s.self.ID)
	s.roster.applied(turn.Now(), s.view)
	s.zones.applied(turn.Now(), s.view)
	s.releases.applied(turn.Now(), s.view, s.config)
	for _, name := range listeners {
		turn.Send(name, service.OwnershipChanged{View: s.view})
	}
}
