package control

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// remove removes members of the own group that have exited, one at a time; all of them at once if the group has lost
// its majority.
func (r *roster) remove(s *situation, self ownership.Member) ownership.Record {
	key := ownership.GroupKey{Zone: self.Zone, Group: self.Group}
	group := s.view.Group(key)
	var dead []entity.InstanceID
	unresponsiveCount, overdue := 0, 0
	for _, m := range group {
		unresponsive := r.unresponsiveFor(s, m)
		if unresponsive < memberTimeout {
			continue
		}
		unresponsiveCount++
		if !r.isTerminated(s, m) {
			continue
		}
		dead = append(dead, m.ID)
		if unresponsive >= r.isolationTimeout(s) {
			overdue++
		}
	}
	switch {
	case len(dead) == 0:
		return r.removeGroup(s, key)
	case 2*(len(group)-unresponsiveCount) <= len(group) && overdue == len(dead):
		r.logRemoval(key, dead)
		return ownership.ForcedLeave{Group: key, Version: s.view.GroupVersions[key], Instances: dead}
	case r.mayChange(s, key) && 2*(len(group)-unresponsiveCount) > len(group):
		r.logRemoval(key, dead[:1])
		return ownership.Leave{Group: key, Version: s.view.GroupVersions[key], Instance: dead[0]}
	}
	return nil
}

func (r *roster) logRemoval(key ownership.GroupKey, ids []entity.InstanceID) {
	telemetry.EventControlMemberRemoved.Log(r.logger,
		zap.String("zone", string(key.Zone)), zap.Uint32("group", key.Group), zap.Any("instances", ids))
}

// unresponsiveFor returns for how long no heartbeat or record of a member has arrived here.
func (r *roster) unresponsiveFor(s *situation, m ownership.Member) time.Duration {
	if m.ID == s.self.ID {
		return 0
	}
	last := r.knownSince[m.ID]
	if p, ok := r.peers[m.ID]; ok {
		last = max(last, p.At)
	}
	return s.now - last
}

// isTerminated reports whether the platform no longer lists a member as live, or another process has its address. A
// list without this instance proves nothing about other instances.
func (r *roster) isTerminated(s *situation, m ownership.Member) bool {
	if m.ID == s.self.ID || !r.list.fresh(s.now) || !r.list.live[s.self.Address] {
		return false
	}
	return !r.list.live[m.Address] || r.replaced(s.view, m)
}

// replaced reports whether another instance at the member's address has joined or has sent a heartbeat later.
func (r *roster) replaced(v *ownership.View, m ownership.Member) bool {
	after := false
	for _, other := range v.Members {
		if other.ID == m.ID {
			after = true
		} else if after && other.Address == m.Address {
			return true
		}
	}
	for _, p := range r.peers {
		if p.Instance != m.ID && p.Address == m.Address && p.At > r.peers[m.ID].At {
			return true
		}
	}
	return false
}

// removeGroup removes all members of another group of which no member has been live for the isolation timeout. No
// member of that group can do so.
func (r *roster) removeGroup(s *situation, own ownership.GroupKey) ownership.Record {
	delay, ok := s.ranks.delay(rosterTask)
	if !ok || len(r.list.terminatedSince) == 0 {
		return nil
	}
	keys := make([]ownership.GroupKey, 0, len(s.view.GroupVersions))
	for key := range s.view.GroupVersions {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b ownership.GroupKey) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Group, b.Group))
	})
	for _, key := range keys {
		if key == own {
			continue
		}
		if ids, all := r.allTerminated(s, key, r.isolationTimeout(s)+delay); all {
			r.logRemoval(key, ids)
			return ownership.ForcedLeave{Group: key, Version: s.view.GroupVersions[key], Instances: ids}
		}
	}
	return nil
}

func (r *roster) allTerminated(s *situation, key ownership.GroupKey, wait time.Duration) ([]entity.InstanceID, bool) {
	var ids []entity.InstanceID
	for _, m := range s.view.Group(key) {
		since, terminated := r.list.terminatedSince[m.ID]
		if !terminated || s.now-since < wait || r.unresponsiveFor(s, m) < wait {
			return nil, false
		}
		ids = append(ids, m.ID)
	}
	return ids, len(ids) > 0
}
