package dispatch

import (
	"maps"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// freshnessBound is the age that a fresh view of the log may have (see service.LeaseView.FreshUntil).
const freshnessBound = 300 * time.Millisecond

// removedMember is a member that left this instance's lease group. Records may have been held by it and another member
// only, so it counts as a member without memory since then.
type removedMember struct {
	id entity.InstanceID
	at time.Duration
}

// history is what this instance has seen of the former owners of a partition.
type history struct {
	// zone is the zone of the last other owner, empty if none was seen.
	zone entity.Zone
	// also are partitions whose requests may concern the same keys: the base partition of a hot key or the reverse.
	also []entity.Partition
	// revision changes when the memory has to be collected again although the epoch is the same.
	revision int
	// born is true if the partition was seen without any owner ever, at bornAt at the latest. No request can have run
	// before that.
	born   bool
	bornAt time.Duration
}

// applyView notes the changes of owners and members between two views.
func (s *Service) applyView(next *ownership.View, now time.Duration) {
	st := &s.state
	before := st.view
	if before == nil {
		before = &ownership.View{}
	}
	st.noteRemoved(s.peersIn(before), next, now, s.settings.MemoryWindow)
	past := maps.Clone(st.past)
	if past == nil {
		past = map[outcome.PartitionKey]history{}
	}
	for name, view := range next.Services {
		old := before.Services[name]
		if old != nil && old.Version == view.Version && len(old.Owners) == len(view.Owners) {
			continue
		}
		if old == nil {
			old = &ownership.ServiceView{}
		}
		st.noteOwners(past, name, old, view, st.view != nil && st.viewAt >= 0)
		st.noteHotKeys(past, name, old, view)
	}
	st.past = past
	st.view = next
	st.viewAt = -1
	if leases := s.leases.Leases(); leases != nil && now < leases.FreshUntil {
		st.viewAt = max(now-freshnessBound, s.started)
	}
}

func (st *controlState) noteRemoved(peers []ownership.Member, next *ownership.View, now, window time.Duration) {
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

// noteOwners records new owners. Fresh says that the old view was the end of the log, so that a partition without an
// owner in it never had one: an older view shows only that it had none at that point of the replay.
func (st *controlState) noteOwners(past map[outcome.PartitionKey]history, name entity.ServiceName,
	old, next *ownership.ServiceView, fresh bool) {
	for i, owner := range next.Owners {
		if owner.Backend == "" {
			continue
		}
		key := outcome.PartitionKey{Service: name, Partition: entity.Partition(i)}
		if i >= len(old.Owners) || neverOwned(old.Owners[i]) {
			if fresh && uint32(i) < next.Count {
				past[key] = history{born: true, bornAt: st.viewAt}
			}
			continue
		}
		former := old.Owners[i].Backend
		if former == "" || former == owner.Backend {
			continue
		}
		h := past[key]
		h.zone = st.zoneOf(former)
		past[key] = h
	}
}

func neverOwned(o ownership.Owner) bool { return o.Backend == "" && o.Epoch == 0 && !o.Moving() }

// noteHotKeys links virtual partitions with the base partitions of their keys.
func (st *controlState) noteHotKeys(past map[outcome.PartitionKey]history, name entity.ServiceName,
	old, next *ownership.ServiceView) {
	for hash, virtual := range next.Hot {
		base := entity.PartitionOf(hash, next.Count)
		key := outcome.PartitionKey{Service: name, Partition: virtual}
		h := past[key]
		if len(h.also) == 1 && h.also[0] == base {
			continue
		}
		h = past[outcome.PartitionKey{Service: name, Partition: base}]
		if int(base) < len(old.Owners) {
			h.zone = st.zoneOf(old.Owners[base].Backend)
		}
		h.also = []entity.Partition{base}
		h.revision++
		past[key] = h
	}
	for hash, virtual := range old.Hot {
		if now, still := next.Hot[hash]; (still && now == virtual) || int(virtual) >= len(old.Owners) {
			continue
		}
		key := outcome.PartitionKey{Service: name, Partition: entity.PartitionOf(hash, next.Count)}
		h := past[key]
		h.zone = st.zoneOf(old.Owners[virtual].Backend)
		h.also = []entity.Partition{virtual}
		h.revision++
		past[key] = h
	}
}

// zoneOf returns the zone of a configured back end.
func (st *controlState) zoneOf(id entity.BackendID) entity.Zone { return st.backends[id].zone }
