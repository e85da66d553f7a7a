// Package members exchanges heartbeats between store-based instances over UDP. They carry the liveness of each instance, its
// traffic counters, the table version and, within a zone, updates of the store. A lost datagram costs nothing, since the next one
// carries the same facts; every unresponsive connection would cost a timeout. The services loads, keys and feed receive what
// peers report.
package members

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/fleetpb"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// collectionName is the collection in the store in which instances register.
const collectionName = "instances"

// Intervals, timeouts and thresholds of the heartbeats.
const (
	// interval is the time between two heartbeats to instances of the same zone. The numbers of requests in flight that they
	// carry are up to this old.
	interval = 100 * time.Millisecond
	// remoteFactor is the ratio of the heartbeat interval to other zones to the interval within the zone. Traffic between zones is
	// expensive.
	remoteFactor = 2
	// zonePeers and remotePeers are the numbers of peers inside and outside the zone up to which the intervals keep their minimum.
	// With more peers the intervals grow, so that the number of heartbeats that an instance sends each second does not.
	zonePeers   = 8
	remotePeers = 10
	// sharedReads is the minimum number of peers in the zone at which one zone reader reads the store for all of them. In
	// smaller zones the saved reads are worth less than the additional delay of updates.
	sharedReads = 4
	// unresponsiveInterval is the number of intervals between two heartbeats to peers that are unresponsive or never sent one.
	unresponsiveInterval = 10
	// coordinatorEvery is the maximum number of intervals between two heartbeats of the coordinator. Another instance takes over
	// soon after its heartbeats stop.
	coordinatorEvery = 4
	// peerTimeout is how long after its last heartbeat a peer still counts as reachable. Where heartbeats are less frequent, the
	// limit is maxMissedHeartbeats intervals.
	peerTimeout         = time.Second
	maxMissedHeartbeats = 4
	// unlistedStaleness is the age assumed until the list of instances has been read.
	unlistedStaleness = time.Second
	// minReportWindow bounds half of the time that a traffic report covers.
	minReportWindow = time.Second
	// fullReports is how long heartbeats list all customers after the first heartbeat of a peer. It spans several heartbeats, so
	// that some of them arrive.
	fullReports = 4 * time.Second
	// zoneTimeout is how long after a missing heartbeat a complete zone counts as unresponsive, if it has at least minZonePeers
	// instances.
	zoneTimeout  = 600 * time.Millisecond
	minZonePeers = 4
	// partitionedTTL is how long an unresponsive peer counts as one that may be partitioned from this instance and still admit
	// requests.
	partitionedTTL = 30 * time.Second
	// listedTTL is how long a listed peer that never sent a heartbeat counts as such. Terminated instances stay listed.
	listedTTL = 5 * time.Second
	// forgetAfter is how long heartbeats are sent to an unresponsive peer before it is removed.
	forgetAfter = 5 * time.Minute
	// registerTimeout bounds a call to the store, and registerRetry is the pause after a failed one.
	registerTimeout = 2 * time.Second
	registerRetry   = 500 * time.Millisecond
)

// assumedInstances is the number of instances assumed until the list of instances has been read.
const assumedInstances = 100

// maxDatagram bounds a heartbeat in bytes. The links carry datagrams of this size without truncation.
const maxDatagram = 16 << 10

// readRetry is the pause after the socket could not be read for another reason than that it is closed.
const readRetry = 50 * time.Millisecond

// maxDelta bounds the table delta in a heartbeat, in bytes.
const maxDelta = 8 << 10

// reportEvery is the number of intervals between two reports of the requested keys to the coordinator.
const reportEvery = 2

// Service is the kernel service named members. A separate goroutine reads the socket and posts heartbeats to the control
// goroutine.
type Service struct {
	instance  service.InstanceConfig
	log       *zap.Logger
	kernel    *kernel.Kernel
	store     service.DocumentStore
	traffic   service.TrafficExchange
	storeSync service.StoreSync
	rollout   service.RolloutExchange // nil if the platform knows no rollouts
	view      kernel.Snapshot[service.MembersView]
	socket    *net.UDPConn
	readers   sync.WaitGroup

	// The fields below belong to the control goroutine.
	peers           map[entity.InstanceID]*peer
	byAddress       map[string]entity.InstanceID
	keys            service.KeyReport
	sequence        uint64
	ticks           uint64
	pending         pendingReport     // for the coordinator
	reachableInZone int               // reachable peers in the zone
	reader          entity.InstanceID // see zoneReader; determined at each interval
	zoneInterval    uint64            // intervals between two heartbeats in the zone
	remoteInterval  uint64            // intervals between two heartbeats to other zones
	leaving         bool
	listRead        bool   // the list of instances has been read
	relayOffset     uint64 // index of the first relay in the rotation
	// fullUntil is the time until which heartbeats list all customers. It is set after the first heartbeat of a peer, which has
	// no earlier counts to compare with.
	fullUntil time.Duration

	sent, received, bad, badRollouts, droppedRollouts metrics.Counter
	reachable                                         metrics.Gauge
}

type peer struct {
	id           entity.InstanceID
	zone         entity.Zone
	address      *net.UDPAddr
	at           time.Duration // last heartbeat; zero if there was none
	listedAt     time.Duration
	sequence     uint64
	unresponsive bool
	leaving      bool
	cores        float64
	// storeReachable is false if the peer cannot reach the store.
	storeReachable bool
}

// Messages that the service sends to itself.
type (
	tick      struct{}
	heartbeat struct {
		message *fleetpb.Heartbeat
		address *net.UDPAddr
	}
	listed struct {
		members []*fleetpb.Member
		err     error
	}
	leave         struct{ done chan<- struct{} } // done is closed when the peers have been notified
	retryRegister struct{}
)

// New returns the members service of an instance. It registers its metrics in r.
func New(instance service.InstanceConfig, log *zap.Logger, r metrics.Registry) *Service {
	s := &Service{
		instance: instance, log: log,
		zoneInterval: 1, remoteInterval: remoteFactor, relayOffset: xxhash.Sum64String(string(instance.ID)),
		peers:     map[entity.InstanceID]*peer{},
		byAddress: map[string]entity.InstanceID{},
		sent:      metrics.GetOrRegisterCounter("members.heartbeats_sent", r),
		received:  metrics.GetOrRegisterCounter("members.heartbeats_received", r),
		bad:       metrics.GetOrRegisterCounter("members.heartbeats_bad", r),

		badRollouts:     metrics.GetOrRegisterCounter("members.rollout_reports_bad", r),
		droppedRollouts: metrics.GetOrRegisterCounter("members.rollout_counts_dropped", r),

		reachable: metrics.GetOrRegisterGauge("members.heard", r),
	}
	s.view.Publish(&service.MembersView{ReachableShare: 1 / float64(assumedInstances), ReachableCount: assumedInstances, Staleness: s.staleness(),
		Instances: []entity.InstanceID{instance.ID}, KnownCount: assumedInstances})
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() kernel.Name { return service.Members }

// Needs implements kernel.Service.
func (s *Service) Needs() []kernel.Name {
	needs := []kernel.Name{service.Store, service.Feed, service.Loads, service.Keys}
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
	if s.storeSync, err = kernel.Lookup[service.StoreSync](r, service.Feed); err != nil {
		return err
	}
	if s.traffic, err = kernel.Lookup[service.TrafficExchange](r, service.Loads); err != nil {
		return err
	}
	if s.instance.ExposureShare > 0 {
		s.rollout, err = kernel.Lookup[service.RolloutExchange](r, service.Rollout)
	}
	return err
}

// Start opens the socket and starts the heartbeats. It returns an error if the peer address cannot be bound.
func (s *Service) Start(ctx context.Context) error {
	var config net.ListenConfig
	socket, err := config.ListenPacket(ctx, "udp4", s.instance.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for heartbeats")
	}
	s.socket = socket.(*net.UDPConn)
	s.readers.Go(s.read)
	return s.kernel.Deliver(ctx, service.Members, tick{})
}

// Drain notifies the peers that this instance is leaving.
func (s *Service) Drain(ctx context.Context) error {
	done := make(chan struct{})
	if err := s.kernel.Deliver(ctx, service.Members, leave{done}); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "notify peers")
	}
}

// Stop closes the socket and waits for its reader.
func (s *Service) Stop(context.Context) error {
	err := s.socket.Close()
	s.readers.Wait()
	return err
}

// MembersView returns the state of the peers. It may be called from any goroutine.
func (s *Service) MembersView() *service.MembersView { return s.view.Load() }

func (s *Service) read() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := s.socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return // the service stops
		}
		if err != nil {
			s.bad.Inc(1)
			telemetry.EventBadHeartbeat.Log(s.log, zap.Error(err))
			time.Sleep(readRetry)
			continue
		}
		message := &fleetpb.Heartbeat{}
		if err := proto.Unmarshal(buffer[:n], message); err != nil || message.From == nil {
			s.bad.Inc(1)
			telemetry.EventBadHeartbeat.Log(s.log, zap.Stringer("from", from), zap.Error(err))
			continue
		}
		s.received.Inc(1)
		s.kernel.Post(service.Members, heartbeat{message: message, address: from})
	}
}

// Handle implements kernel.Handler.
func (s *Service) Handle(t *kernel.Turn, m kernel.Message) {
	switch m := m.(type) {
	case tick:
		if s.sequence == 0 {
			s.register(t)
		}
		s.sendDue(t)
		t.After(interval, tick{})
	case heartbeat:
		s.receive(t, m)
	case listed:
		s.listed(t, m)
	case service.KeyReport:
		s.keys = m
		if m.Urgent {
			s.broadcast()
		}
		s.keys.Change = nil
	case service.RolloutChanged:
		s.broadcast()
	case retryRegister, service.StoreEraChanged:
		s.register(t)
	case leave:
		s.leaving = true
		s.broadcast()
		close(m.done)
	}
}
