// Package config is a service of the log-based instance. It replays the stream config of the platform's log, publishes
// the current configuration, and sends each new version to its subscribers. While the platform does not answer, it gets
// the records from peers; if it has no state to start from, it fetches a peer's.
package config

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/configlog"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

const (
	// readLimit is the number of records in one read. Applying a change takes 1.2 ms at the design size, and a batch of
	// them must not block the control goroutine for longer than leases tolerate.
	readLimit = 64
	// retryDelay is the pause after a failed read.
	retryDelay = 100 * time.Millisecond
	// tickInterval is the time between two checks whether peers must be asked.
	tickInterval = 50 * time.Millisecond
	// never is earlier than any time of the kernel's clock. It can be subtracted from such a time without overflow.
	never = -time.Duration(1 << 62)
)

// Service is the service named config. The fields below snapshot belong to the control goroutine.
type Service struct {
	self     service.Self
	settings Settings
	logger   *zap.Logger
	counters counters
	kernel   *kernel.Kernel
	log      platformapi.Log
	relays   service.RecordSource
	states   service.ConfigStateSource

	snapshot kernel.Snapshot[service.ConfigStatus]

	replay *configlog.Replay
	recent recent
	// direct is the state of the reads at the platform, as opposed to records relayed by peers.
	direct platformReads
	// tailAt is the latest time for which it is proven that every record appended before has been applied, or never.
	tailAt time.Duration
	// announced is the version last sent to the subscribers.
	announced  uint64
	peers      peers
	checkpoint checkpointer
}

type counters struct {
	accepted, refused, reads, failures, relays, checkpoints metrics.Counter
	version                                                 metrics.Gauge
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("config."+name, r) }
	return counters{
		accepted:    counter("changes.accepted"),
		refused:     counter("records.refused"),
		reads:       counter("reads"),
		failures:    counter("reads.failed"),
		relays:      counter("relays"),
		checkpoints: counter("checkpoints"),
		version:     metrics.GetOrRegisterGauge("config.version", r),
	}
}

// New returns the service. Settings that are zero get their defaults.
func New(self service.Self, settings Settings, logger *zap.Logger, registry metrics.Registry) *Service {
	settings = settings.withDefaults()
	return &Service{
		self:     self,
		settings: settings,
		logger:   logger,
		counters: newCounters(registry),
		replay:   configlog.NewReplay(),
		tailAt:   never,
		recent:   recent{limit: settings.KeepRecords},
		peers:    newPeers(self.Address, settings.Peers),
	}
}

// Name returns the name in the kernel's registry.
func (s *Service) Name() kernel.Name { return service.Config }

// Needs returns the platform and the peers.
func (s *Service) Needs() []kernel.Name { return []kernel.Name{service.Platform, service.Peers} }

// Provision looks up the platform and the peers.
func (s *Service) Provision(r *kernel.Resolver) error {
	s.kernel = r.Kernel()
	var err error
	if s.log, err = kernel.Lookup[platformapi.Log](r, service.Platform); err != nil {
		return err
	}
	if s.relays, err = kernel.Lookup[service.RecordSource](r, service.Peers); err != nil {
		return err
	}
	s.states, err = kernel.Lookup[service.ConfigStateSource](r, service.Peers)
	return err
}

// Validate checks the settings.
func (s *Service) Validate() error { return s.settings.validate() }

// Start starts to read the stream.
func (s *Service) Start(ctx context.Context) error {
	return s.kernel.Deliver(ctx, service.Config, started{})
}

// Stop does nothing: the reads end with the kernel.
func (s *Service) Stop(context.Context) error { return nil }

// ConfigStatus returns the current configuration, nil before the first read or the state of a peer. Any goroutine may
// call it.
func (s *Service) ConfigStatus() *service.ConfigStatus { return s.snapshot.Load() }

// Messages that the service sends to itself.
type (
	started  struct{}
	ticked   struct{}
	readNext struct{}
	readDone struct {
		started time.Duration
		batch   platformapi.Batch
		err     error
	}
)

// Handle handles one message, on the control goroutine.
func (s *Service) Handle(turn *kernel.Turn, msg kernel.Message) {
	switch m := msg.(type) {
	case started:
		s.direct.succeededAt = turn.Now()
		s.checkpoint.seenAt = turn.Now()
		s.read(turn)
		turn.After(tickInterval, ticked{})
	case ticked:
		turn.After(tickInterval, ticked{})
		s.askPeers(turn)
	case readNext:
		s.read(turn)
	case readDone:
		s.finishRead(turn, m)
	case relayDone:
		s.finishRelay(turn, m)
	case stateFetched:
		s.finishFetch(turn, m)
	case checkpointDue:
		s.writeCheckpoint(turn)
	case checkpointDone:
		s.finishCheckpoint(m)
	case service.PeerState:
		s.peers.recordHeartbeat(m)
	case service.StateQuery:
		s.answerState(turn, m)
	case service.RecordsQuery:
		s.answerRecords(turn.Now(), m)
	}
}

// publish publishes the configuration and sends a new version to the subscribers.
func (s *Service) publish(turn *kernel.Turn) {
	if s.tailAt == never && s.replay.Version() == 0 {
		return
	}
	version, config := s.replay.Version(), s.replay.Config()
	s.snapshot.Publish(&service.ConfigStatus{Version: version, Config: config, FreshAt: s.tailAt})
	if version == s.announced {
		return
	}
	s.announced = version
	s.counters.version.Update(int64(version))
	telemetry.EventConfigChanged.Log(s.logger, zap.Uint64("version", version))
	for _, name := range s.settings.Subscribers {
		turn.Send(name, service.ConfigChanged{Config: config, Version: version})
	}
}
