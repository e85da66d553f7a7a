package ownership

import (
	"slices"

	"github.com/pollenpier/pollenpier/internal/entity"
)

func (s *State) applyJoin(offset entity.Offset, r Join) Verdict {
	key := GroupKey{Zone: r.Member.Zone, Group: r.Member.Group}
	if s.groups[key] != r.Version {
		return dropped(DropVersion)
	}
	size := 0
	for _, m := range s.members {
		if m.ID == r.Member.ID {
			return dropped(DropInvalid)
		}
		if m.Zone == key.Zone && m.Group == key.Group {
			size++
		}
	}
	if size >= MaxGroupSize {
		return dropped(DropGroupFull)
	}
	s.members = append(s.members, r.Member)
	s.groups[key] = uint64(offset)
	s.rosterChanged()
	return applied()
}

// applyLeave removes all the given members from one group, or none of them.
func (s *State) applyLeave(offset entity.Offset, key GroupKey, version uint64, ids []entity.InstanceID) Verdict {
	if s.groups[key] != version {
		return dropped(DropVersion)
	}
	leaving := make(map[entity.InstanceID]bool, len(ids))
	for _, id := range ids {
		leaving[id] = true
	}
	size, found := 0, 0
	for _, m := range s.members {
		if m.Zone != key.Zone || m.Group != key.Group {
			continue
		}
		size++
		if leaving[m.ID] {
			found++
		}
	}
	if found == 0 || found != len(ids) {
		return dropped(DropInvalid)
	}
	s.members = slices.DeleteFunc(slices.Clone(s.members), func(m Member) bool { return leaving[m.ID] })
	s.groups[key] = uint64(offset)
	if size == found {
		// An empty group needs no version: it has no members, and the next Join is based on version zero again.
		delete(s.groups, key)
	}
	s.rosterChanged()
	return applied()
}

func (s *State) rosterChanged() {
	s.cached.Members = nil
	s.cached.GroupVersions = nil
	// Votes of zones without members, and votes against them, do not count.
	s.dropVotesOfEmptyZones()
}

// JoinGroup returns the lease group of a zone that a new instance should join: the lowest-numbered one that is not full. The
// first group holds the zone's leases, so it must not shrink while later groups grow.
func (v *View) JoinGroup(zone entity.Zone) GroupKey {
	sizes := map[uint32]int{}
	for _, m := range v.Members {
		if m.Zone == zone {
			sizes[m.Group]++
		}
	}
	key := GroupKey{Zone: zone}
	for sizes[key.Group] >= MaxGroupSize {
		key.Group++
	}
	return key
}
