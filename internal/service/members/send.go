package members

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/pollenpier/pollenpier/internal/fleetpb"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
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
		s.pending.add(report)
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

// broadcast immediately sends a heartbeat to every peer.
func (s *Service) broadcast() {
	s.sequence++
	now := s.kernel.Now()
	report := s.traffic.Report(now, s.reportWindow(), now < s.fullUntil)
	s.pending.add(report)
	message := s.compose(report)
	if c := s.keys.Change; c != nil {
		message.Delta = fleetpb.EncodeDelta(c.Delta, uint64(c.From), uint64(c.To))
		if proto.Size(message.Delta) > maxDelta {
			message.Delta = nil // peers read the table from the store
		}
	}
	s.send(message, slices.Collect(maps.Values(s.peers))...)
}

// send sends a heartbeat to the given peers.
func (s *Service) send(message *fleetpb.Heartbeat, to ...*peer) {
	raw := s.encode(message)
	for _, p := range to {
		s.write(p, raw)
	}
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
