package members

import (
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/fleetpb"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// addPeer returns the peer of a member record and adds it if it is new. It returns nil for this instance and for addresses that
// cannot be resolved.
func (s *Service) addPeer(member *fleetpb.Member, now time.Duration) *peer {
	id := entity.InstanceID(member.Id)
	if id == s.instance.ID || member.Address == s.instance.PeerAddress {
		return nil
	}
	if p := s.peers[id]; p != nil {
		return p
	}
	address, err := net.ResolveUDPAddr("udp4", member.Address)
	if err != nil {
		s.bad.Inc(1)
		return nil
	}
	if previous, ok := s.byAddress[member.Address]; ok {
		s.removePeer(previous) // another process uses its address
	}
	p := &peer{id: id, zone: entity.Zone(member.Zone), address: address, listedAt: now}
	s.peers[id] = p
	s.byAddress[member.Address] = id
	return p
}

func (s *Service) removePeer(id entity.InstanceID) {
	p := s.peers[id]
	if p == nil {
		return
	}
	delete(s.peers, id)
	if s.byAddress[p.address.String()] == id {
		delete(s.byAddress, p.address.String())
	}
	s.traffic.ForgetPeer(id)
	if s.rollout != nil {
		s.rollout.ForgetRolloutPeer(id)
	}
	telemetry.EventMemberRemoved.Log(s.log, zap.String("peer", string(id)))
}

// receive applies a heartbeat and forwards its parts to the services that use them. A heartbeat that is not newer than the last
// one of the same peer is ignored.
func (s *Service) receive(t *kernel.Turn, m heartbeat) {
	p := s.addPeer(m.message.From, t.Now())
	if p == nil {
		return
	}
	if m.message.KeysOnly {
		t.Send(service.Keys, service.KeysRequested{Keys: m.message.Keys, Measured: measurementsOf(m.message), At: t.Now()})
		return
	}
	if m.message.Sequence <= p.sequence {
		return
	}
	if m.message.PassOn {
		s.relay(m.message)
	}
	if p.at == 0 {
		s.fullUntil = t.Now() + fullReports
	}
	changed := p.at == 0 || p.unresponsive || p.leaving != m.message.Leaving
	if p.at == 0 || p.unresponsive {
		telemetry.EventMemberReachable.Log(s.log, zap.String("peer", string(p.id)), zap.String("zone", string(p.zone)),
			zap.String("address", p.address.String()))
	}
	p.at, p.sequence, p.unresponsive, p.leaving = t.Now(), m.message.Sequence, false, m.message.Leaving
	p.storeReachable = m.message.StoreReachable
	p.cores = float64(m.message.Millicores) / millicores
	s.receiveStoreUpdate(p, m.message, t.Now())
	s.traffic.ApplyPeerReport(service.PeerTraffic{Instance: p.id, TrafficReport: trafficOf(m.message)}, t.Now())
	s.reportLeaving(t, m.message.LeavingBackends)
	s.receiveRollouts(p, m.message, t.Now())
	t.Send(service.Keys, service.PeerHeartbeat{
		Instance: p.id, Zone: p.zone, TableVersion: service.Version(m.message.TableVersion), Coordinator: m.message.Coordinator,
		StoreReachable: m.message.StoreReachable, Leaving: m.message.Leaving, GrantedFences: m.message.HeldFences,
		Refusing: m.message.Refusing, Cores: p.cores, At: t.Now(), Change: s.tableChange(m.message),
	})
	if changed { // the age of the others' heartbeats is published at each interval
		s.publish(t.Now())
	}
}

// receiveStoreUpdate applies the store update of the zone reader. Heartbeats that are broadcast between the intervals carry none.
func (s *Service) receiveStoreUpdate(p *peer, m *fleetpb.Heartbeat, now time.Duration) {
	if m.EntriesOffset > 0 && s.reachableInZone >= sharedReads && p.id == s.reader {
		s.storeSync.ReceiveUpdate(storeUpdateOf(m), now)
	}
}

// receiveRollouts applies the report on rollouts in a heartbeat. A report that cannot be decoded counts as none.
func (s *Service) receiveRollouts(p *peer, m *fleetpb.Heartbeat, now time.Duration) {
	if s.rollout == nil {
		return
	}
	report, err := fleetpb.Rollout(m)
	if err != nil {
		s.badRollouts.Inc(1)
		telemetry.EventBadHeartbeat.Log(s.log, zap.String("from", m.From.Address), zap.Error(err))
	}
	s.rollout.ApplyRolloutReport(p.id, m.Leaving, report, now)
}

// tableChange returns the table delta in a heartbeat, or nil if there is none or it cannot be decoded.
func (s *Service) tableChange(m *fleetpb.Heartbeat) *service.TableChange {
	if m.Delta == nil {
		return nil
	}
	delta, err := fleetpb.DecodeDelta(m.Delta)
	if err != nil {
		s.bad.Inc(1)
		telemetry.EventBadHeartbeat.Log(s.log, zap.String("from", m.From.Address), zap.Error(err))
		return nil
	}
	return &service.TableChange{From: service.Version(m.Delta.FromVersion), To: service.Version(m.Delta.ToVersion), Delta: delta}
}
