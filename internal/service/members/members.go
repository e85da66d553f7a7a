// Package members exchanges heartbeats between instances by datagram: who is there, and what the traffic of each does. A lost
// datagram costs nothing, since the next one carries the same facts; connections that fall silent would cost a time-out each.
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

// collectionName is the collection in the store in which instances announce themselves.
const collectionName = "instances"

// Times of the heartbeats.
const (
	// interval is the time between two heartbeats to instances of the same zone. The numbers of requests in flight that they
	// carry are as old as this.
	interval = 100 * time.Millisecond
	// farFactor is by how much heartbeats to instances of other zones, whose bytes are dear, are rarer than those in the zone.
	farFactor = 2
	// nearPeers and farPeers are the numbers of other instances in the zone and outside of it up to which the intervals stay as
	// they are. With more they grow, so that an instance's heartbeats each second do not.
	nearPeers = 8
	farPeers  = 10
	// sharedReads is the number of other instances in the zone from which on one of them reads the store for all. In smaller
	// zones the reads that are spared are worth less than the time that news take.
	sharedReads = 4
	// silentEvery is the number of intervals between two heartbeats to instances that are not heard.
	silentEvery = 10
	// coordinatorEvery is the largest number of intervals between two heartbeats of the coordinator, whose silence is noticed.
	coordinatorEvery = 4
	// silence is how long an instance may be silent and still counts as heard, and silentBeats the number of missing heartbeats
	// where they are rarer.
	silence     = time.Second
	silentBeats = 4
	// wholeReports is for how long heartbeats name all customers after an instance was heard for the first time, so that some of
	// them arrive.
	wholeReports = 4 * time.Second
	// zoneSilence is how long after a missing heartbeat a whole zone counts as silent if it has at least zoneWitnesses instances.
	zoneSilence   = 600 * time.Millisecond
	zoneWitnesses = 4
	// memory is how long a silent instance counts as one that may be cut off and still admit requests.
	memory = 30 * time.Second
	// listedMemory is the same for an instance that is listed and was never heard. Entries of instances that are gone stay listed.
	listedMemory = 5 * time.Second
	// forget is how long a silent instance gets heartbeats.
	forget = 5 * time.Minute
	// registerTimeout bounds a call to the store, and registerRetry is the pause after a failed one.
	registerTimeout = 2 * time.Second
	registerRetry   = 500 * time.Millisecond
)

// unlisted is the number of instances that there may be while their list has not been read.
const unlisted = 100

// maxDatagram bounds a heartbeat in bytes. Links take datagrams of this size whole.
const maxDatagram = 16 << 10

// maxDelta bounds the difference of a table in bytes that a heartbeat carries.
const maxDelta = 8 << 10

// reportEvery is the number of intervals between two reports of the requested keys to the coordinator.
const reportEvery = 2

// Service is the service named members.
type Service struct {
	site    service.InstanceConfig
	log     *zap.Logger
	kernel  *kernel.Kernel
	store   service.DocumentStore
	traffic service.TrafficExchange
	news    service.StoreSync
	view    kernel.Snapshot[service.MembersView]
	socket  *net.UDPConn
	readers sync.WaitGroup

	// The rest belongs to the control goroutine.
	peers    map[entity.InstanceID]*peer
	byPlace  map[string]entity.InstanceID
	keys     service.KeyReport
	sequence uint64
	ticks    uint64
	pending  []uint32 // keys to report to the coordinator
	inZone   int      // other instances heard in the zone
	near     uint64   // intervals between two heartbeats in the zone
	far      uint64   // intervals between two heartbeats to other zones
	leaving  bool
	isListed bool   // the list of instances has been read
	turn     uint64 // begins the turns of relays
	// wholeUntil is the time until which heartbeats name all customers, since another instance has just been heard for the first
	// time and knows no numbers before.
	wholeUntil time.Duration

	sent, received, bad metrics.Counter
	heard               metrics.Gauge
}

type peer struct {
	id       entity.InstanceID
	zone     entity.Zone
	address  *net.UDPAddr
	at       time.Duration // zero if never heard
	listedAt time.Duration
	sequence uint64
	silent   bool
	leaving  bool
	cores    float64
	// storeGood is false if it cannot reach the store.
	storeGood bool
}

// Messages to itself.
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
	leave         struct{}
	retryRegister struct{}
)

// New returns the service.
func New(site service.InstanceConfig, log *zap.Logger, r metrics.Registry) *Service {
	s := &Service{
		site: site, log: log,
		near: 1, far: farFactor, turn: xxhash.Sum64String(string(site.ID)),
		peers:    map[entity.InstanceID]*peer{},
		byPlace:  map[string]entity.InstanceID{},
		sent:     metrics.GetOrRegisterCounter("members.heartbeats_sent", r),
		received: metrics.GetOrRegisterCounter("members.heartbeats_received", r),
		bad:      metrics.GetOrRegisterCounter("members.heartbeats_bad", r),
		heard:    metrics.GetOrRegisterGauge("members.heard", r),
	}
	s.view.Publish(&service.MembersView{ReachableShare: 1 / float64(unlisted), ReachableCount: unlisted, Staleness: s.lag()})
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() kernel.Name { return service.Members }

// Needs implements kernel.Service.
func (s *Service) Needs() []kernel.Name {
	return []kernel.Name{service.Store, service.Feed, service.Loads, service.Keys}
}

// Provision implements kernel.Service.
func (s *Service) Provision(r *kernel.Resolver) error {
	s.kernel = r.Kernel()
	var err error
	if s.store, err = kernel.Lookup[service.DocumentStore](r, service.Store); err != nil {
		return err
	}
	if s.news, err = kernel.Lookup[service.StoreSync](r, service.Feed); err != nil {
		return err
	}
	s.traffic, err = kernel.Lookup[service.TrafficExchange](r, service.Loads)
	return err
}

// Start opens the socket.
func (s *Service) Start(ctx context.Context) error {
	var config net.ListenConfig
	socket, err := config.ListenPacket(ctx, "udp4", s.site.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for heartbeats")
	}
	s.socket = socket.(*net.UDPConn)
	s.readers.Go(s.read)
	return s.kernel.Deliver(ctx, service.Members, tick{})
}

// Drain tells the other instances that this one leaves.
func (s *Service) Drain(ctx context.Context) error {
	return s.kernel.Deliver(ctx, service.Members, leave{})
}

// Stop closes the socket.
func (s *Service) Stop(context.Context) error {
	err := s.socket.Close()
	s.readers.Wait()
	return err
}

// MembersView returns the state of the other instances.
func (s *Service) MembersView() *service.MembersView { return s.view.Load() }

func (s *Service) read() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := s.socket.ReadFromUDP(buffer)
		if err != nil {
			return // the socket is closed when the service stops
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
		s.beat(t)
		t.After(interval, tick{})
	case heartbeat:
		s.hear(t, m)
	case listed:
		s.listed(t, m)
	case service.KeyReport:
		s.keys = m
		if m.Urgent {
			s.beatAll()
		}
		s.keys.Change = nil
	case retryRegister:
		s.register(t)
	case leave:
		s.leaving = true
		s.beatAll()
	}
}

// register announces this instance and reads who else is there.
func (s *Service) register(t *kernel.Turn) {
	t.Go(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, registerTimeout)
		defer cancel()
		raw, err := proto.Marshal(s.self())
		if err != nil {
			return listed{err: err}
		}
		if err := s.store.Register(ctx, collectionName, s.site.PeerAddress, raw); err != nil {
			return listed{err: err}
		}
		values, err := s.store.ListRegistered(ctx, collectionName)
		if err != nil {
			return listed{err: err}
		}
		members := make([]*fleetpb.Member, 0, len(values))
		for _, value := range values {
			member := &fleetpb.Member{}
			if err := proto.Unmarshal(value, member); err == nil {
				members = append(members, member)
			}
		}
		return listed{members: members}
	})
}

func (s *Service) self() *fleetpb.Member {
	return &fleetpb.Member{Id: string(s.site.ID), Zone: string(s.site.Zone), Address: s.site.PeerAddress}
}

func (s *Service) listed(t *kernel.Turn, m listed) {
	if m.err != nil {
		telemetry.EventMemberFailed.Log(s.log, zap.Error(m.err))
		t.After(registerRetry, retryRegister{})
		return
	}
	s.isListed = true
	for _, member := range m.members {
		s.meet(member, t.Now())
	}
	telemetry.EventMembersRead.Log(s.log, zap.Int("instances", len(m.members)))
}

// age notes instances that have fallen silent and forgets old ones.
func (s *Service) age(id entity.InstanceID, p *peer, now time.Duration) {
	last := max(p.at, p.listedAt)
	switch {
	case now-last > forget || (p.leaving && now-last > s.silentAfter()):
		s.drop(id)
	case p.at > 0 && !p.silent && now-p.at > s.silentAfter():
		p.silent = true
		s.traffic.ApplyPeerReport(service.PeerTraffic{Instance: id}, now)
		telemetry.EventMemberUnresponsive.Log(s.log, zap.String("peer", string(id)), zap.String("zone", string(p.zone)))
	}
}

// counts reports whether an instance is one that may admit requests, heard or not.
func (p *peer) counts(now time.Duration) bool {
	if p.at == 0 {
		return now-p.listedAt <= listedMemory
	}
	return !p.leaving && now-p.at <= memory
}

// silentZones returns the zones of which no instance has been heard for a heartbeat and some time. That a zone is cut off shows
// sooner than that a single instance is silent, whose heartbeats may be lost.
func (s *Service) silentZones(now time.Duration) map[entity.Zone]bool {
	newest, known := map[entity.Zone]time.Duration{}, map[entity.Zone]int{}
	for _, p := range s.peers {
		if p.at > 0 && p.counts(now) {
			newest[p.zone] = max(newest[p.zone], p.at)
			known[p.zone]++
		}
	}
	silent := map[entity.Zone]bool{}
	for zone, n := range known {
		silent[zone] = n >= zoneWitnesses && now-newest[zone] > s.lag()+zoneSilence
	}
	return silent
}

func (s *Service) publish(now time.Duration) {
	heard, known, unheard := 1, 1, 0 // unheard ones are listed and may have just started as well
	silent := s.silentZones(now)
	for _, p := range s.peers {
		if !p.counts(now) {
			continue
		}
		known++
		switch {
		case p.at == 0:
			unheard++
		case now-p.at <= s.silentAfter() && !silent[p.zone]:
			heard++
		}
	}
	if !s.isListed {
		known = max(known, unlisted)
		unheard = known - heard
	}
	s.heard.Update(int64(heard))
	s.view.Publish(&service.MembersView{ReachableShare: float64(heard) / float64(known), ReachableCount: heard + unheard, Staleness: s.lag()})
}
