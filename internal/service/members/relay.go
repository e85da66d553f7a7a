package members

import (
	"cmp"
	"slices"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/fleetpb"
)

// minRelayedZone is the minimum number of instances in another zone at which only one of them is sent a heartbeat and relays it
// to the remainder of its zone. Traffic between zones is expensive, traffic within a zone is not.
const minRelayedZone = 4

// relays returns the instance of each large other zone that is sent the next heartbeat. Relays rotate, so that a failed one
// delays only one heartbeat, and instances start the rotation at different relays, so that the load is distributed. The
// coordinator uses no relays, since its peers detect a missing heartbeat of the coordinator sooner.
func (s *Service) relays() []*peer {
	if s.keys.Coordinator {
		return nil
	}
	zones := map[entity.Zone][]*peer{}
	for _, p := range s.peers {
		if p.zone != s.instance.Zone && p.at > 0 && !p.unresponsive && !p.leaving {
			zones[p.zone] = append(zones[p.zone], p)
		}
	}
	var relays []*peer
	for _, peers := range zones {
		if len(peers) < minRelayedZone {
			continue
		}
		slices.SortFunc(peers, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
		relays = append(relays, peers[(s.relayOffset+s.ticks/s.remoteInterval)%uint64(len(peers))])
	}
	return relays
}

// reachedByRelay reports whether the heartbeat that is due reaches an instance of another zone through a relay. Peers that are
// unresponsive or never sent a heartbeat are sent heartbeats directly.
func (s *Service) reachedByRelay(p *peer, relays []*peer) bool {
	if p.unresponsive || p.at == 0 {
		return false
	}
	return slices.ContainsFunc(relays, func(r *peer) bool { return r.zone == p.zone })
}

// relay forwards a heartbeat from another zone to the reachable peers in this instance's zone.
func (s *Service) relay(m *fleetpb.Heartbeat) {
	m.PassOn = false
	var targets []*peer
	for _, p := range s.peers {
		if p.zone == s.instance.Zone && p.at > 0 && !p.unresponsive {
			targets = append(targets, p)
		}
	}
	s.send(m, targets...)
}
