package members

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/pollenpier/pollenpier/internal/decide/rendezvous"
	"github.com/pollenpier/pollenpier/internal/decide/storesync"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/fleetpb"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// sendDue updates the peers and sends the heartbeats that are due in this interval.
func (s *Service) sendDue(t *kernel.Turn) {
	s.sequence++
	s.ticks++
	now := t.Now()
	s.updateIntervals(now)
	for id, p := range s.peers {
		s.expirePeer(id, p, now)
	}
	s.reader = s.zoneReader()
	if due := s.duePeers(); len(due) > 0 || s.ticks%s.zoneInterval == 0 {
		report := s.traffic.Report(now, s.reportWindow(), now < s.fullUntil)
		s.pending = append(s.pending, report.Keys...)
		s.reportLeaving(t, report.Leaving)
		s.sendTo(due, s.compose(report))
	}
	s.reportKeys(t)
	s.publish(now)
}

// duePeers returns the peers to which a heartbeat is due in this interval. Most intervals of a large deployment have none.
func (s *Service) duePeers() []*peer {
	var due []*peer
	for _, p := range s.peers {
		if s.due(p) {
			due = append(due, p)
		}
	}
	return due
}

// sendTo sends a heartbeat to peers, to those in large other zones through relays.
func (s *Service) sendTo(due []*peer, message *fleetpb.Heartbeat) {
	var relays []*peer
	if s.ticks%s.remoteInterval == 0 {
		relays = s.relays()
	}
	remoteDatagram := s.encode(message)
	zoneDatagram := remoteDatagram
	if inZone := s.zoneHeartbeat(message); inZone != message {
		zoneDatagram = s.encode(inZone)
	}
	for _, p := range due {
		switch {
		case p.zone == s.instance.Zone:
			s.write(p, zoneDatagram)
		case s.reachedByRelay(p, relays):
		default:
			s.write(p, remoteDatagram)
		}
	}
	if len(relays) > 0 {
		message.PassOn = true
		s.send(message, relays...)
	}
}

// reportLeaving sends the backends that are leaving, as stated to this instance or to a peer, to the directory.
func (s *Service) reportLeaving(t *kernel.Turn, processes []uint64) {
	if len(processes) > 0 {
		t.Send(service.Directory, service.BackendsLeaving{Processes: processes, At: t.Now() - interval})
	}
}

// reportKeys sends the requested keys to the coordinator only, which uses them to balance key ranges.
func (s *Service) reportKeys(t *kernel.Turn) {
	if s.ticks%reportEvery != 0 || len(s.pending) == 0 {
		return
	}
	if s.keys.CoordinatorID == s.instance.ID {
		t.Send(service.Keys, service.KeysRequested{Keys: s.pending, At: t.Now()})
	} else if p := s.peers[s.keys.CoordinatorID]; p != nil {
		s.send(&fleetpb.Heartbeat{From: s.self(), KeysOnly: true, Keys: s.pending}, p)
	}
	s.pending = nil
}

// broadcast immediately sends a heartbeat to every peer.
func (s *Service) broadcast() {
	s.sequence++
	now := s.kernel.Now()
	report := s.traffic.Report(now, s.reportWindow(), now < s.fullUntil)
	s.pending = append(s.pending, report.Keys...)
	message := s.compose(report)
	if c := s.keys.Change; c != nil {
		message.Delta = fleetpb.EncodeDelta(c.Delta, uint64(c.From), uint64(c.To))
		if proto.Size(message.Delta) > maxDelta {
			message.Delta = nil // peers read the table from the store
		}
	}
	s.send(message, slices.Collect(maps.Values(s.peers))...)
}

func (s *Service) compose(r service.TrafficReport) *fleetpb.Heartbeat {
	m := &fleetpb.Heartbeat{
		From: s.self(), Sequence: s.sequence, TableVersion: uint64(s.keys.TableVersion), Coordinator: s.keys.Coordinator,
		Millicores: uint32(s.instance.Cores * millicores), StoreReachable: s.keys.StoreReachable, HeldFences: s.keys.GrantedFences, Leaving: s.leaving,
		Crashing: r.Crashing, Refusing: r.Refusing, LeavingBackends: r.Leaving,
	}
	for id, n := range r.InFlight {
		m.Backends = append(m.Backends, id)
		m.InFlight = append(m.InFlight, n)
	}
	for id, n := range r.ColdSent {
		m.Cold = append(m.Cold, id)
		m.ColdSent = append(m.ColdSent, n)
	}
	for id, n := range r.Admitted {
		m.Customers = append(m.Customers, id)
		m.Admitted = append(m.Admitted, n)
		m.Refused = append(m.Refused, r.Refused[id])
	}
	return m
}

// millicores is the number of millicores in a core.
const millicores = 1000

// zoneHeartbeat returns the heartbeat for the peers in this instance's zone. That of the zone reader carries the store update; peers
// ignore those of other instances.
func (s *Service) zoneHeartbeat(m *fleetpb.Heartbeat) *fleetpb.Heartbeat {
	if s.reachableInZone < sharedReads || s.reader != s.instance.ID {
		return m
	}
	return s.withStoreUpdate(m)
}

func (s *Service) withStoreUpdate(m *fleetpb.Heartbeat) *fleetpb.Heartbeat {
	local := s.storeSync.LocalUpdate()
	zoneMessage := proto.CloneOf(m)
	zoneMessage.NewsRead, zoneMessage.NewsChanged, zoneMessage.NewsOperator = local.EntriesOffset, local.LastChangeOffset, local.OperatorOffset
	zoneMessage.NewsAgeMs = uint32(local.Age.Milliseconds())
	for _, b := range local.Batches {
		zoneMessage.News = append(zoneMessage.News, &fleetpb.NewsBatch{After: b.After, UpTo: b.UpTo, Records: b.Records})
	}
	for _, b := range local.OperatorBatches {
		zoneMessage.OperatorNews = append(zoneMessage.OperatorNews, &fleetpb.NewsBatch{After: b.After, UpTo: b.UpTo, Records: b.Records})
	}
	return zoneMessage
}

// storeUpdateOf returns the store update in a heartbeat.
func storeUpdateOf(m *fleetpb.Heartbeat) storesync.Update {
	update := storesync.Update{
		EntriesOffset: m.NewsRead, LastChangeOffset: m.NewsChanged, OperatorOffset: m.NewsOperator,
		Age: time.Duration(m.NewsAgeMs) * time.Millisecond,
	}
	for _, b := range m.News {
		update.Batches = append(update.Batches, storesync.Batch{After: b.After, UpTo: b.UpTo, Records: b.Records})
	}
	for _, b := range m.OperatorNews {
		update.OperatorBatches = append(update.OperatorBatches, storesync.Batch{After: b.After, UpTo: b.UpTo, Records: b.Records})
	}
	return update
}

func trafficOf(m *fleetpb.Heartbeat) service.TrafficReport {
	r := service.TrafficReport{
		InFlight: map[uint32]uint32{}, ColdSent: map[uint32]uint32{}, Admitted: map[uint32]uint64{}, Refused: map[uint32]uint64{},
		Crashing: m.Crashing, Refusing: m.Refusing, Leaving: m.LeavingBackends,
	}
	for i := range min(len(m.Backends), len(m.InFlight)) {
		r.InFlight[m.Backends[i]] = m.InFlight[i]
	}
	for i := range min(len(m.Cold), len(m.ColdSent)) {
		r.ColdSent[m.Cold[i]] = m.ColdSent[i]
	}
	for i := range min(len(m.Customers), len(m.Admitted)) {
		r.Admitted[m.Customers[i]] = m.Admitted[i]
		if i < len(m.Refused) {
			r.Refused[m.Customers[i]] = m.Refused[i]
		}
	}
	return r
}

// zoneReader returns the instance that reads the store for its zone. Instances that temporarily disagree about it read the store
// themselves.
func (s *Service) zoneReader() entity.InstanceID {
	var candidates []entity.InstanceID
	if s.keys.StoreReachable && !s.leaving {
		candidates = append(candidates, s.instance.ID)
	}
	for id, p := range s.peers {
		if p.zone == s.instance.Zone && p.at > 0 && !p.unresponsive && !p.leaving && p.storeReachable {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		return s.instance.ID
	}
	order := rendezvous.Order("reader", candidates)
	return slices.MaxFunc(order, func(a, b entity.InstanceID) int { return cmp.Compare(s.cores(a), s.cores(b)) })
}

// cores returns the number of CPU cores of an instance. The instance with the most cores is the zone reader, since its peers wait
// for the updates that it sends.
func (s *Service) cores(id entity.InstanceID) float64 {
	if p := s.peers[id]; p != nil {
		return p.cores
	}
	return s.instance.Cores
}

// updateIntervals sets the heartbeat intervals by the number of peers.
func (s *Service) updateIntervals(now time.Duration) {
	inZone, remote := 0, 0
	for _, p := range s.peers {
		switch {
		case p.unresponsive || (p.at == 0 && !p.mayAdmit(now)):
		case p.zone == s.instance.Zone:
			inZone++
		default:
			remote++
		}
	}
	s.reachableInZone = inZone
	s.zoneInterval = uint64(1 + max(inZone-1, 0)/zonePeers)
	s.remoteInterval = remoteFactor * uint64(1+max(remote-1, 0)/remotePeers)
}

// staleness returns the maximum age of what peers report. Until the list of instances has been read, there may be many peers that
// were not heard yet, whose heartbeats are infrequent.
func (s *Service) staleness() time.Duration {
	age := time.Duration(max(s.zoneInterval, s.remoteInterval)) * interval
	if !s.listRead {
		return max(age, unlistedStaleness)
	}
	return age
}

// reportWindow returns the time that a traffic report covers. It is longer than two heartbeats at the longest interval, in case one of
// them is lost.
func (s *Service) reportWindow() time.Duration {
	return 2*max(s.staleness(), minReportWindow) + interval
}

// timeout returns how long after its last heartbeat a peer still counts as reachable.
func (s *Service) timeout() time.Duration { return max(peerTimeout, maxMissedHeartbeats*s.staleness()) }

// due reports whether a peer is sent a heartbeat in this interval.
func (s *Service) due(p *peer) bool {
	switch {
	case p.unresponsive || p.at == 0:
		return s.ticks%unresponsiveInterval == 0 || s.ticks < unresponsiveInterval
	case s.keys.Coordinator:
		return s.ticks%min(s.remoteInterval, coordinatorEvery) == 0
	case p.zone != s.instance.Zone:
		return s.ticks%s.remoteInterval == 0
	default:
		return s.ticks%s.zoneInterval == 0
	}
}

// send sends a heartbeat to the given peers.
func (s *Service) send(message *fleetpb.Heartbeat, to ...*peer) {
	raw := s.encode(message)
	for _, p := range to {
		s.write(p, raw)
	}
}

// encode returns the datagram of a heartbeat. If the heartbeat cannot be encoded or is too large, it logs an event and returns
// nil.
func (s *Service) encode(message *fleetpb.Heartbeat) []byte {
	raw, err := proto.Marshal(message)
	if err != nil || len(raw) > maxDatagram {
		s.bad.Inc(1)
		telemetry.EventBadHeartbeat.Log(s.log, zap.Int("bytes", len(raw)), zap.Error(err))
		return nil
	}
	return raw
}

func (s *Service) write(p *peer, raw []byte) {
	if raw == nil {
		return
	}
	if _, err := s.socket.WriteToUDP(raw, p.address); err != nil {
		s.bad.Inc(1)
		return
	}
	s.sent.Inc(1)
}
