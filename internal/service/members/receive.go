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

// meet remembers an instance and returns it, or nil for this one and for unusable addresses.
func (s *Service) meet(member *fleetpb.Member, now time.Duration) *peer {
	id := entity.InstanceID(member.Id)
	if id == s.site.ID || member.Address == s.site.PeerAddress {
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
	if before, ok := s.byPlace[member.Address]; ok {
		s.drop(before) // another process has taken its place
	}
	p := &peer{id: id, zone: entity.Zone(member.Zone), address: address, listedAt: now}
	s.peers[id] = p
	s.byPlace[member.Address] = id
	return p
}

func (s *Service) drop(id entity.InstanceID) {
	p := s.peers[id]
	if p == nil {
		return
	}
	delete(s.peers, id)
	if s.byPlace[p.address.String()] == id {
		delete(s.byPlace, p.address.String())
	}
	s.traffic.ForgetPeer(id)
	telemetry.EventMemberRemoved.Log(s.log, zap.String("peer", string(id)))
}

// hear takes a heartbeat.
func (s *Service) hear(t *kernel.Turn, m heartbeat) {
	p := s.meet(m.message.From, t.Now())
	if p == nil {
		return
	}
	if m.message.KeysOnly {
		t.Send(service.Keys, service.KeysRequested{Keys: m.message.Keys, At: t.Now()})
		return
	}
	if m.message.Sequence <= p.sequence {
		return
	}
	if m.message.PassOn {
		s.passOn(m.message)
	}
	if p.at == 0 {
		s.wholeUntil = t.Now() + wholeReports
	}
	if p.at == 0 || p.silent {
		telemetry.EventMemberReachable.Log(s.log, zap.String("peer", string(p.id)), zap.String("zone", string(p.zone)),
			zap.String("address", p.address.String()))
	}
	p.at, p.sequence, p.silent, p.leaving = t.Now(), m.message.Sequence, false, m.message.Leaving
	p.storeGood = m.message.StoreReachable
	p.cores = float64(m.message.Millicores) / millicores
	s.learnNews(p, m.message, t.Now())
	s.traffic.ApplyPeerReport(service.PeerTraffic{Instance: p.id, TrafficReport: trafficOf(m.message)}, t.Now())
	t.Send(service.Keys, service.PeerHeartbeat{
		Instance: p.id, Zone: p.zone, TableVersion: service.Version(m.message.TableVersion), Coordinator: m.message.Coordinator,
		StoreReachable: m.message.StoreReachable, Leaving: m.message.Leaving, HeldFences: m.message.HeldFences,
		Refusing: m.message.Refusing, Cores: p.cores, At: t.Now(), Change: s.change(m.message),
	})
	s.publish(t.Now())
}

// learnNews takes over what the zone's reader tells of the store. Heartbeats that are sent out of turn tell nothing of it.
func (s *Service) learnNews(p *peer, m *fleetpb.Heartbeat, now time.Duration) {
	if m.NewsRead > 0 && s.inZone >= sharedReads && p.id == s.reader() {
		s.news.ReceiveUpdate(newsOf(m), now)
	}
}

// change returns the difference of the table that a heartbeat carries, or nil.
func (s *Service) change(m *fleetpb.Heartbeat) *service.TableChange {
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
