package ownership

import (
	"maps"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// zoneState contains the lost zones and the votes against zones that are not lost.
type zoneState struct {
	lost    map[entity.Zone]entity.Offset
	votes   map[entity.Zone]map[entity.Zone]entity.Offset
	version entity.Offset
}

func newZoneState() zoneState {
	return zoneState{
		lost:  map[entity.Zone]entity.Offset{},
		votes: map[entity.Zone]map[entity.Zone]entity.Offset{},
	}
}

func (z *zoneState) clone() (map[entity.Zone]entity.Offset, map[entity.Zone]map[entity.Zone]entity.Offset) {
	votes := make(map[entity.Zone]map[entity.Zone]entity.Offset, len(z.votes))
	for zone, from := range z.votes {
		votes[zone] = maps.Clone(from)
	}
	return maps.Clone(z.lost), votes
}

func (s *State) applyZoneLost(offset entity.Offset, r ZoneLost) Verdict {
	if s.zones.version != r.Version {
		return dropped(DropVersion)
	}
	if _, lost := s.zones.lost[r.Zone]; lost || r.Zone == "" {
		return dropped(DropInvalid)
	}
	if r.Confirmed {
		s.declareLost(offset, r.Zone)
		return applied()
	}
	zones := s.memberZones()
	if !zones[r.From] || !zones[r.Zone] || r.From == r.Zone {
		return dropped(DropInvalid)
	}
	votes := s.zones.votes[r.Zone]
	if _, voted := votes[r.From]; voted {
		return dropped(DropInvalid)
	}
	if votes == nil {
		votes = map[entity.Zone]entity.Offset{}
		s.zones.votes[r.Zone] = votes
	}
	votes[r.From] = offset
	if len(votes) > len(zones)/2 {
		s.declareLost(offset, r.Zone)
	}
	s.zonesChanged(offset)
	return applied()
}

func (s *State) applyZoneBack(offset entity.Offset, r ZoneBack) Verdict {
	if s.zones.version != r.Version {
		return dropped(DropVersion)
	}
	_, lost := s.zones.lost[r.Zone]
	_, voted := s.zones.votes[r.Zone][r.From]
	switch {
	case r.From == r.Zone && (lost || len(s.zones.votes[r.Zone]) > 0):
		delete(s.zones.lost, r.Zone)
		delete(s.zones.votes, r.Zone)
	case voted:
		s.withdrawVote(r.Zone, r.From)
	default:
		return dropped(DropInvalid)
	}
	s.zonesChanged(offset)
	return applied()
}

func (s *State) declareLost(offset entity.Offset, zone entity.Zone) {
	s.zones.lost[zone] = offset
	delete(s.zones.votes, zone)
	s.zonesChanged(offset)
}

func (s *State) withdrawVote(zone, from entity.Zone) {
	delete(s.zones.votes[zone], from)
	if len(s.zones.votes[zone]) == 0 {
		delete(s.zones.votes, zone)
	}
}

// dropVotesOfEmptyZones drops votes of and against zones without members, so that the number of votes stays bounded.
func (s *State) dropVotesOfEmptyZones() {
	if len(s.zones.votes) == 0 {
		return
	}
	zones := s.memberZones()
	for zone, votes := range s.zones.votes {
		for from := range votes {
			if !zones[zone] || !zones[from] {
				s.withdrawVote(zone, from)
				s.zonesChanged(s.zones.version)
			}
		}
	}
}

func (s *State) zonesChanged(version entity.Offset) {
	s.zones.version = version
	s.cached.LostZones = nil
	s.cached.LostVotes = nil
}

// membershipVersion returns the offset of the last change of members, lost zones or votes. It never decreases.
func (s *State) membershipVersion() entity.Offset {
	last := s.zones.version
	for _, version := range s.groups {
		last = max(last, entity.Offset(version))
	}
	return last
}

func (s *State) memberZones() map[entity.Zone]bool {
	zones := map[entity.Zone]bool{}
	for _, m := range s.members {
		zones[m.Zone] = true
	}
	return zones
}
