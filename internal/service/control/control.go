// Package control is a service of the log-based instance. It replays the control stream of the platform's log,
// publishes which backend owns which partition, and appends the records that change it.
//
// Each kind of decision is a decider: it reads the replayed state and what this instance has observed, and returns the
// next record. One append is in progress at a time. After each record the deciders run again on the new state, so a
// decision whose record replay dropped is made again if it is still needed.
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

// subscribers are the services that receive OwnershipChanged.
var subscribers = []kernel.Name{
	service.Lease, service.Session, service.Routing, service.Dispatch, service.Admission,
}

// Service is the service named control. The fields below snapshot belong to the control goroutine.
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
	losses      *backendLosses
	hotspots    *hotspots
	shares      *shares
	checkpoints *checkpoints
	// urgent deciders restore the service of requests and run after each message. The regular ones go through the whole
	// roster and run after each tick and each change of the view or the configuration.
	urgent, regular []decider
	decidedView     *ownership.View
	decidedConfig   *configIndex
}

// decider returns the next record to append, nil if there is none. It does not itself change the state that the record
// changes.
type decider interface {
	next(*situation) ownership.Record
}

// situation is the input of a decision.
type situation struct {
	now    time.Duration
	view   *ownership.View
	config *configIndex // never nil; empty before the first configuration
	self   service.Self
	ranks  *ranks
	zones  *zones
	turn   *kernel.Turn
}

// member returns the roster entry of this instance, and false if it is not in the roster.
func (s *situation) member() (ownership.Member, bool) { return s.view.Member(s.self.ID) }

// New returns the service. Settings that are zero get their defaults.
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
	s.losses = newBackendLosses(logger)
	s.hotspots = newHotspots()
	s.shares = newShares()
	s.checkpoints = &checkpoints{every: settings.CheckpointEvery, state: func() []ownership.Chunk { return s.state.Chunks() }}
	// Earlier deciders have priority.
	s.urgent = []decider{s.losses, s.releases}
	s.regular = []decider{s.roster, s.zones, s.assigner, s.hotspots, s.shares, s.checkpoints}
	return s
}

// Name returns the name in the kernel's registry.
func (s *Service) Name() kernel.Name { return service.Control }

// Needs returns the platform, the peers and the leases. The kernel stops this service before the leases, so the
// instance leaves the roster while its leases are still renewed.
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

// Start starts to read the log.
func (s *Service) Start(ctx context.Context) error {
	return s.kernel.Deliver(ctx, service.Control, started{})
}

// Stop leaves the roster. It waits for at most stopTimeout, because the other members also remove a member that exits
// without leaving.
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

// Ownership returns the last published view, nil before the first. Any goroutine may call it.
func (s *Service) Ownership() *ownership.View { return s.snapshot.Load() }

// Messages that the service sends to itself.
type (
	started  struct{}
	ticked   struct{}
	stopping struct{ left chan<- struct{} }
)

// Handle handles one message, on the control goroutine.
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

// observe applies a report of another service.
func (s *Service) observe(turn *kernel.Turn, msg kernel.Message) {
	switch m := msg.(type) {
	case service.ConfigChanged:
		s.config = newConfigIndex(&m)
		s.assigner.changed()
	case service.PeerState:
		s.roster.recordHeartbeat(m)
		s.zones.recordHeartbeat(m)
	case service.RosterReport:
		s.roster.reports[m.Group] = m
	case service.BackendLost:
		s.losses.lost(m.Backend)
	case service.BackendRecovered:
		s.losses.recovered(m.Backend)
	case service.ReleaseReady:
		s.releases.recordProof(m)
	case service.BackendLatency:
		s.hotspots.addReport(turn.Now(), m)
	}
}

func (s *Service) tick(turn *kernel.Turn) {
	turn.After(tickInterval, ticked{})
	s.relay(turn)
	s.fetchState(turn)
	if s.roster.listReadDue(s.situation(turn)) {
		s.readList(turn)
	}
}

func (s *Service) situation(turn *kernel.Turn) *situation {
	return &situation{
		now: turn.Now(), view: s.view, config: s.config, self: s.self, ranks: &s.ranks, zones: s.zones, turn: turn,
	}
}

// decide appends the first record that a decider returns, unless an append is in progress or the state is not current.
func (s *Service) decide(turn *kernel.Turn, tick bool) {
	situation := s.situation(turn)
	s.roster.finishLeave(situation, s.writer.pending != nil)
	if s.writer.busy(turn.Now()) || !s.reader.current(turn.Now()) {
		return
	}
	if s.appendNext(situation, s.urgent) {
		return
	}
	if !tick && s.decidedView == s.view && s.decidedConfig == s.config {
		return
	}
	s.decidedView, s.decidedConfig = s.view, s.config
	s.appendNext(situation, s.regular)
}

// appendNext appends the first record that one of the deciders returns, and reports whether there is one.
func (s *Service) appendNext(situation *situation, deciders []decider) bool {
	for _, d := range deciders {
		if record := d.next(situation); record != nil {
			s.append(situation.turn, record)
			return true
		}
	}
	return false
}

// publish publishes the current state as a view and sends it to the subscribers.
func (s *Service) publish(turn *kernel.Turn) {
	s.view = s.state.View()
	s.snapshot.Publish(s.view)
	s.ranks.update(s.view, s.self.ID)
	s.roster.update(turn.Now(), s.view)
	s.zones.update(turn.Now(), s.view)
	s.releases.update(turn.Now(), s.view, s.config)
	for _, name := range subscribers {
		turn.Send(name, service.OwnershipChanged{View: s.view})
	}
}
