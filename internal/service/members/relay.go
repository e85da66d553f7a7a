package members

import (
	"cmp"
	"slices"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/fleetpb"
)

// relayedZone is the number of instances of another zone from which on one of them gets a heartbeat and passes it on to the rest.
// Bytes between zones are dear; within a zone they are not.
const relayedZone = 4

// relays returns the instance of each large other zone that gets the next heartbeat. They take turns, so that one that is lost
// delays a heartbeat once, and instances begin with different ones, so that the work is shared. There are none for the coordinator,
// whose silence is noticed sooner.
func (s *Service) relays() []*peer {
	if s.keys.Coordinator {
		return nil
	}
	zones := map[entity.Zone][]*peer{}
	for _, p := range s.peers {
		if p.zone != s.site.Zone && p.at > 0 && !p.silent && !p.leaving {
			zones[p.zone] = append(zones[p.zone], p)
		}
	}
	var relays []*peer
	for _, peers := range zones {
		if len(peers) < relayedZone {
			continue
		}
		slices.SortFunc(peers, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
		relays = append(relays, peers[(s.turn+s.ticks/s.far)%uint64(len(peers))])
	}
	return relays
}

// reachedByRelay reports whether the heartbeat that is due reaches an instance of another zone through a relay. Those of which
// nothing is heard get it directly.
func (s *Service) reachedByRelay(p *peer, relays []*peer) bool {
	if p.silent || p.at == 0 {
		return false
	}
	return slices.ContainsFunc(relays, func(r *peer) bool { return r.zone == p.zone })
}

// passOn sends a heartbeat of another zone to the other instances of the own zone.
func (s *Service) passOn(m *fleetpb.Heartbeat) {
	m.PassOn = false
	var mates []*peer
	for _, p := range s.peers {
		if p.zone == s.site.Zone && p.at > 0 && !p.silent {
			mates = append(mates, p)
		}
	}
	s.send(m, mates...)
}
