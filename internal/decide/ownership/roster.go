package ownership

import (
	"slices"

	"github.com/pollenpier/pollenpier/internal/entity"
)

func (s *State) applyJoin(offset entity.Offset, r Join) Verdict {
	key := GroupKey{Zone: r.Member.Zone, Group: r.Member.Group}
	if s.groupVersion(key) != r.Version {
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
	s.dropEmptyGroup()
	s.members = append(s.members, r.Member)
	s.groups[key] = uint64(offset)
	s.rosterChanged()
	return applied()
}

// applyLeave removes all the given members from one group, or none of them.
func (s *State) applyLeave(offset entity.Offset, key GroupKey, version uint64, ids []entity.InstanceID) Verdict {
	if s.groupVersion(key) != version {
		return dropped(DropVersion)
	}
	leaving := make(map[entity.InstanceID]bool, len(ids))
	for _, id := range ids {
		leaving[id] = true
	}
	found := 0
	for _, m := range s.members {
		if m.Zone == key.Zone && m.Group == key.Group && leaving[m.ID] {
			found++
		}
	}
	if found == 0 || found != len(ids) {
		return dropped(DropInvalid)
	}
	s.dropEmptyGroup()
	s.members = slices.DeleteFunc(slices.Clone(s.members), func(m Member) bool { return leaving[m.ID] })
	s.groups[key] = uint64(offset)
	s.rosterChanged()
	return applied()
}

// groupVersion returns the version on which the next change of a group must be based. It is zero for a group without members.
func (s *State) groupVersion(key GroupKey) uint64 {
	if empty, ok := s.emptyGroup(); ok && empty == key {
		return 0
	}
	return s.groups[key]
}

// emptyGroup returns the group that has a version but no members, if there is one. It is always the group that changed last.
func (s *State) emptyGroup() (GroupKey, bool) {
	var last GroupKey
	for key, version := range s.groups {
		if version > s.groups[last] {
			last = key
		}
	}
	_, known := s.groups[last]
	occupied := slices.ContainsFunc(s.members, func(m Member) bool { return m.Zone == last.Zone && m.Group == last.Group })
	return last, known && !occupied
}

// dropEmptyGroup is called before a change of members. It drops the version of the empty group, which until then is kept as the
// last change of members: without it, the membership version would return to an earlier value.
func (s *State) dropEmptyGroup() {
	if empty, ok := s.emptyGroup(); ok {
		delete(s.groups, empty)
	}
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
