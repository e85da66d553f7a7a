package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// freshnessBound is the maximum age of a fresh view of the log (see service.LeaseView.FreshUntil).
const freshnessBound = 300 * time.Millisecond

// removedMember is a member that left this instance's lease group. Some records may have been held only by it and one other
// member, so it counts as a member without memory from that time on.
type removedMember struct {
	id entity.InstanceID
	at time.Duration
}

// history is what this instance has observed of the previous owners of a partition.
type history struct {
	// previousGroup holds the members of the lease group that served the previous owner. They may hold records that this
	// instance's own group does not have.
	previousGroup []ownership.Member
	// related are partitions whose requests may concern the same keys: the base partition of a hot key or the reverse.
	related []entity.Partition
	// revision changes when the memory must be collected again although the epoch is the same.
	revision int
	// unowned is true if the last view before the first owner showed the partition without an owner. That view was known to
	// be the end of the log at unownedAt, so no request can have run on the partition before that time.
	unowned   bool
	unownedAt time.Duration
}

// historyEdit changes a copy of the published map. The copy is made at the first change.
type historyEdit struct {
	entries map[outcome.PartitionKey]history
	copied  bool
}

func (e *historyEdit) set(key outcome.PartitionKey, h history) {
	if !e.copied {
		e.copied = true
		e.entries = maps.Clone(e.entries)
	}
	if e.entries == nil {
		e.entries = map[outcome.PartitionKey]history{}
	}
	e.entries[key] = h
}

// applyView records the changes of owners and members between the current view and the next one.
func (s *Service) applyView(next *ownership.View, now time.Duration) {
	st := &s.state
	before := st.view
	if before == nil {
		before = &ownership.View{}
	}
	st.recordRemoved(s.peersIn(before), next, now, s.settings.MemoryWindow)
	edit := &historyEdit{entries: st.histories}
	for name, view := range next.Services {
		old := before.Services[name]
		if old != nil && old.Version == view.Version && len(old.Owners) == len(view.Owners) {
			continue
		}
		if old == nil {
			old = &ownership.ServiceView{}
		}
		st.recordOwners(edit, name, before, old, view)
		st.recordHotKeys(edit, name, before, old, view)
	}
	st.recordGroups(edit, before, next)
	st.histories = edit.entries
	st.view = next
	st.viewAt = -1
	if leases := s.leases.Leases(); leases != nil && now < leases.FreshUntil {
		st.viewAt = max(now-freshnessBound, s.started)
	}
}

func (st *controlState) recordRemoved(peers []ownership.Member, next *ownership.View, now, window time.Duration) {
	present := make(map[entity.InstanceID]bool, len(next.Members))
	for _, m := range next.Members {
		present[m.ID] = true
	}
	var removed []removedMember
	for _, r := range st.removed {
		if now-r.at < window {
			removed = append(removed, r)
		}
	}
	for _, m := range peers {
		if !present[m.ID] {
			removed = append(removed, removedMember{m.ID, now})
		}
	}
	st.removed = removed
}

// recordOwners records new owners. If the old view was the end of the log, a partition without an owner in it never had
// one; otherwise the view shows only that there was none at that point of the replay.
func (st *controlState) recordOwners(edit *historyEdit, name entity.ServiceName,
	before *ownership.View, old, next *ownership.ServiceView) {
	fresh := st.view != nil && st.viewAt >= 0
	for i, owner := range next.Owners {
		key := outcome.PartitionKey{Service: name, Partition: entity.Partition(i)}
		if i >= len(old.Owners) || neverOwned(old.Owners[i]) {
			if fresh && owner.Backend != "" && uint32(i) < next.Count {
				edit.set(key, history{unowned: true, unownedAt: st.viewAt})
			}
			continue
		}
		previous := old.Owners[i].Backend
		if previous == "" || previous == owner.Backend {
			continue
		}
		h := edit.entries[key]
		h.previousGroup = st.groupOf(before, previous)
		edit.set(key, h)
	}
}

func neverOwned(o ownership.Owner) bool { return o.Backend == "" && o.Epoch == 0 && !o.Moving() }

// recordHotKeys links virtual partitions with the base partitions of their keys.
func (st *controlState) recordHotKeys(edit *historyEdit, name entity.ServiceName,
	before *ownership.View, old, next *ownership.ServiceView) {
	for hash, virtual := range next.Hot {
		base := entity.PartitionOf(hash, next.Count)
		key := outcome.PartitionKey{Service: name, Partition: virtual}
		h := edit.entries[key]
		if len(h.related) == 1 && h.related[0] == base {
			continue
		}
		h = edit.entries[outcome.PartitionKey{Service: name, Partition: base}]
		if int(base) < len(old.Owners) {
			h.previousGroup = st.groupOf(before, old.Owners[base].Backend)
		}
		h.related = []entity.Partition{base}
		h.revision++
		edit.set(key, h)
	}
	for hash, virtual := range old.Hot {
		if now, still := next.Hot[hash]; (still && now == virtual) || int(virtual) >= len(old.Owners) {
			continue
		}
		key := outcome.PartitionKey{Service: name, Partition: entity.PartitionOf(hash, next.Count)}
		h := edit.entries[key]
		h.previousGroup = st.groupOf(before, old.Owners[virtual].Backend)
		h.related = []entity.Partition{virtual}
		h.revision++
		edit.set(key, h)
	}
}

// recordGroups records that backends are served by another lease group than before, because groups were added or removed.
func (st *controlState) recordGroups(edit *historyEdit, before, next *ownership.View) {
	if slices.Equal(groupsOf(before), groupsOf(next)) {
		return
	}
	for name, view := range next.Services {
		for i, owner := range view.Owners {
			if owner.Backend == "" {
				continue
			}
			was, hadGroup := st.groupKey(before, owner.Backend)
			is, _ := st.groupKey(next, owner.Backend)
			if !hadGroup || was == is {
				continue
			}
			key := outcome.PartitionKey{Service: name, Partition: entity.Partition(i)}
			h := edit.entries[key]
			h.previousGroup = before.Group(was)
			h.revision++
			edit.set(key, h)
		}
	}
}

// groupsOf returns the lease groups in a fixed order.
func groupsOf(v *ownership.View) []ownership.GroupKey {
	keys := make([]ownership.GroupKey, 0, len(v.Members))
	for _, m := range v.Members {
		keys = append(keys, ownership.GroupKey{Zone: m.Zone, Group: m.Group})
	}
	slices.SortFunc(keys, func(a, b ownership.GroupKey) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Group, b.Group))
	})
	return slices.Compact(keys)
}

// groupKey returns the key of the lease group that serves a backend, and whether the view has that group.
func (st *controlState) groupKey(v *ownership.View, id entity.BackendID) (ownership.GroupKey, bool) {
	key := ownership.GroupKey{Zone: st.backends[id].zone, Group: ownership.ClaimingGroup}
	return key, slices.Contains(groupsOf(v), key)
}

// groupOf returns the members of the lease group that serves a backend.
func (st *controlState) groupOf(v *ownership.View, id entity.BackendID) []ownership.Member {
	key, ok := st.groupKey(v, id)
	if !ok {
		return nil
	}
	return v.Group(key)
}
