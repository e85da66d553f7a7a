// Package keys maintains the ownership of key ranges in a store-based instance. Every instance reads the table from the store.
// One of them, the coordinator, plans changes, writes them with a compare-and-set on the table version and sends the resulting
// commands to the backends. The router reads the published view to find the owner of a key.
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
)

// documentName is the name of the table in the store.
const documentName = "ranges"

// Times of the control loop.
const (
	// tick is the interval of the control loop. Moving a range takes several ticks.
	tick = 100 * time.Millisecond
	// planInterval is the minimum time between two plans. Each plan may cost a write and a read by every instance.
	planInterval = 400 * time.Millisecond
	// pollInterval is the time between two reads of the table while no newer version has been reported.
	pollInterval = 4 * time.Second
	// confirmInterval replaces pollInterval at the coordinator, whose grants end a fixed time after its last read.
	confirmInterval = 1500 * time.Millisecond
	// changeDelay is how long an instance that learns of a newer table waits for the delta from the coordinator before it reads
	// the complete table from the store.
	changeDelay = 250 * time.Millisecond
	// retryRead is the pause after a failed read.
	retryRead = 500 * time.Millisecond
	// callTimeout bounds a call to the store. It is long because a slow answer of the store is still useful.
	callTimeout = 3 * time.Second
	// coordinatorTimeout is how long the coordinator may be unresponsive before another instance takes over.
	coordinatorTimeout = 1600 * time.Millisecond
	// storeOutageTimeout is how long a coordinator must report that it cannot reach the store before another instance takes over.
	// Failures of single connections are shorter.
	storeOutageTimeout = time.Second
	// announceDelay is the time over which newly granted ranges are collected before they are reported to all instances. After a
	// change of the coordinator every backend contributes some.
	announceDelay = 30 * time.Millisecond
	// candidateTimeout is how long a peer may be unresponsive and still count as a candidate for coordinator. In large
	// deployments heartbeats are infrequent.
	candidateTimeout = 4 * time.Second
	// claimStagger is the time between the claims of consecutive instances in the succession order.
	claimStagger = 400 * time.Millisecond
	// isolationWait is how long an instance that can reach fewer than half of the known instances waits before it claims anyway,
	// since it is probably isolated itself. It is longer than a typical network partition.
	isolationWait = 8 * time.Second
	// defaultGrantTTL is the grant TTL while the store is reachable. It is long enough for another instance to take over as
	// coordinator and renew the grants (about 3 s), and otherwise short, since the keys of an unresponsive backend are
	// reassigned only after its grant has expired.
	defaultGrantTTL = 5 * time.Second
	// renewInterval is the time between two renewals. It leaves most of a grant's TTL as tolerance for missed renewals.
	renewInterval = 1500 * time.Millisecond
	// commandRetryDelay is the pause after a command that was not answered.
	commandRetryDelay = 500 * time.Millisecond
	// unreachableAfter is how long a backend may leave commands unanswered before it is assigned no more keys.
	unreachableAfter = 1500 * time.Millisecond
	// batchSize bounds the commands that one worker sends to a backend in sequence.
	batchSize = 64
)

// Service is the kernel service named keys. Its control state belongs to the control goroutine; other goroutines read KeyView.
type Service struct {
	instance   service.InstanceConfig
	log        *zap.Logger
	store      service.DocumentStore
	commands   service.CommandSender
	identities service.IdentityChecker
	leaving    service.LeavingRecorder
	rollout    service.RolloutTracker // nil if the platform knows no rollouts
	kernel     *kernel.Kernel
	view       kernel.Snapshot[service.KeyView]

	// The fields below belong to the control goroutine.
	directory      *service.DirectoryView
	state          *keyrange.State
	version        service.Version
	seen           service.Version // newest version observed at a peer
	seenAt         time.Duration   // when it was first observed
	readAt         time.Duration
	since          time.Duration
	loaded         bool
	era            eraState
	reading        bool
	nextRead       time.Duration
	writing        bool
	startedAt      time.Duration
	peers          map[entity.InstanceID]*peer
	keyLoad        keyLoad
	measurements   measurements
	grantedFences  map[uint64]bool
	storeReachable bool
	// announcing is true while newly granted ranges are collected.
	announcing bool
	change     *service.TableChange // to be sent to the peers

	// processes are the processes seen so far. Commands to processes that are no longer listed need their addresses.
	processes map[keyrange.Holder]process

	coordinator *coordinator
	missingAt   time.Duration // when the coordinator was first found missing; zero if it is reachable

	counters counters
}

// process is a backend process.
type process struct {
	backend  *catalog.Backend // its last record
	listedAt time.Duration    // when its record was first read
}

// peer is the last reported state of another instance.
type peer struct {
	at                 time.Duration
	coordinator        bool
	cores              float64
	storeReachable     bool
	storeUnreachableAt time.Duration // since when it cannot reach the store
	leaving            bool
	version            service.Version
}

type counters struct {
	reads, writes, conflicts, failures, moves, grants, releases, commandFailures metrics.Counter
	coordinating, ranges                                                         metrics.Gauge
}

var _ service.KeySource = (*Service)(nil)

// Messages that the service sends to itself.
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

// New returns the keys service of an instance. It registers its metrics in r.
func New(instance service.InstanceConfig, log *zap.Logger, r metrics.Registry) *Service {
	s := &Service{
		instance:      instance,
		log:           log,
		peers:         map[entity.InstanceID]*peer{},
		grantedFences: map[uint64]bool{},
		measurements:  measurements{},
		processes:     map[keyrange.Holder]process{},
		directory:     &service.DirectoryView{},
		counters: counters{
			reads:           metrics.GetOrRegisterCounter("keys.table_reads", r),
			writes:          metrics.GetOrRegisterCounter("keys.table_writes", r),
			conflicts:       metrics.GetOrRegisterCounter("keys.table_conflicts", r),
			failures:        metrics.GetOrRegisterCounter("keys.store_failures", r),
			moves:           metrics.GetOrRegisterCounter("keys.ranges_assigned", r),
			grants:          metrics.GetOrRegisterCounter("keys.grants", r),
			releases:        metrics.GetOrRegisterCounter("keys.releases", r),
			commandFailures: metrics.GetOrRegisterCounter("keys.order_failures", r),
			coordinating:    metrics.GetOrRegisterGauge("keys.coordinating", r),
			ranges:          metrics.GetOrRegisterGauge("keys.ranges", r),
		},
	}
	s.view.Publish(&service.KeyView{Changed: make(chan struct{})})
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() kernel.Name { return service.Keys }

// Needs implements kernel.Service.
func (s *Service) Needs() []kernel.Name {
	needs := []kernel.Name{service.Store, service.Endpoints, service.Loads}
	if s.instance.ExposureShare > 0 {
		needs = append(needs, service.Rollout)
	}
	return needs
}

// Provision implements kernel.Service.
func (s *Service) Provision(r *kernel.Resolver) error {
	s.kernel = r.Kernel()
	var err error
	if s.store, err = kernel.Lookup[service.DocumentStore](r, service.Store); err != nil {
		return err
	}
	if s.commands, err = kernel.Lookup[service.CommandSender](r, service.Endpoints); err != nil {
		return err
	}
	if s.identities, err = kernel.Lookup[service.IdentityChecker](r, service.Endpoints); err != nil {
		return err
	}
	if s.leaving, err = kernel.Lookup[service.LeavingRecorder](r, service.Loads); err != nil {
		return err
	}
	if s.instance.ExposureShare > 0 {
		s.rollout, err = kernel.Lookup[service.RolloutTracker](r, service.Rollout)
	}
	return err
}

// Start implements kernel.Service. It starts the control loop.
func (s *Service) Start(ctx context.Context) error {
	return s.kernel.Deliver(ctx, service.Keys, tickMessage{})
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// KeyView returns the current ownership. It may be called from any goroutine.
func (s *Service) KeyView() *service.KeyView { return s.view.Load() }

// ReportMisdirected requests a read of the table after a backend refused a request that was routed by the given version. It may
// be called from any goroutine.
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
		s.directoryChanged(t, m.View)
	case service.StoreOutage:
		s.storeReachable = !m.Unavailable
		s.chooseTTL()
		s.report(t, false)
	case service.PeerHeartbeat:
		s.peerHeartbeat(t, m)
	case service.KeysRequested:
		s.keyLoad.add(m.Keys, m.At)
		s.measurements.add(m.Measured, m.At)
	case service.StoreEraChanged:
		s.storeEraChanged(t, m.Era)
	case misdirected:
		if m.version == s.version {
			s.nextRead = min(s.nextRead, t.Now()+tick)
		}
	case readDone:
		s.readDone(t, m)
	case writeDone:
		s.writeDone(t, m)
	case commandsDone:
		s.commandsDone(t, m)
	case fenceRaised:
		s.fenceRaised(t, m)
	case addressChecked:
		s.addressChecked(t, m)
	case announce:
		s.announcing = false
		s.report(t, true)
	}
}

// announceSoon schedules a report of the granted ranges to all instances.
func (s *Service) announceSoon(t *kernel.Turn) {
	if !s.announcing {
		s.announcing = true
		t.After(announceDelay, announce{})
	}
}

// tick runs the steps of the control loop that are due.
func (s *Service) tick(t *kernel.Turn) {
	now := t.Now()
	if s.partitioned() {
		s.readIfDue(t)
		s.claimIfDue(t)
	}
	if s.coordinator != nil {
		s.coordinate(t)
	}
	s.reportMoved(t)
	s.keyLoad.long = s.rollout != nil && len(s.rollout.RolloutView().Services) > 0
	s.keyLoad.expire(now)
}

// partitioned reports whether any service needs owners of keys.
func (s *Service) partitioned() bool {
	if s.directory.Config == nil {
		return false
	}
	for _, svc := range s.directory.Config.Services {
		if svc.Partitioned {
			return true
		}
	}
	return false
}
