package control

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/decide/rendezvous"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// Names of the tasks that are no service. Service names contain no space.
const (
	rosterTask     = "roster of other groups"
	zonesTask      = "zones of the configuration"
	sharesTask     = "zone shares"
	checkpointTask = "checkpoint of the state"
)

// ranks orders the members for each task by rendezvous: rank 0 is its coordinator, and the following ones take over when
// nothing happens for coordinatorDelay each. Two coordinators at once are harmless.
type ranks struct {
	self    entity.InstanceID
	seen    *ownership.View // the last view whose roster was taken
	members []ownership.Member
	cache   map[string]int
}

// update takes the roster of a view. Members of lost zones coordinate nothing.
func (r *ranks) update(v *ownership.View, self entity.InstanceID) {
	if r.seen != nil && r.seen.ZonesVersion == v.ZonesVersion && sameRoster(r.seen, v) {
		return
	}
	*r = ranks{self: self, seen: v, cache: map[string]int{}}
	for _, m := range v.Members {
		if _, lost := v.LostZones[m.Zone]; !lost {
			r.members = append(r.members, m)
		}
	}
}

// rank returns this instance's place for a task. It reports false if it is not a member or too far behind.
func (r *ranks) rank(task string) (int, bool) {
	rank, known := r.cache[task]
	if !known {
		rank = -1
		order := rendezvous.OrderBy(task, r.members, func(m ownership.Member) string { return string(m.ID) })
		for i, m := range order {
			if m.ID == r.self {
				rank = i
			}
		}
		if r.cache != nil {
			r.cache[task] = rank
		}
	}
	return rank, rank >= 0 && rank <= maxRank
}

// delay returns how long this instance waits for those before it. It reports false if it does not take part.
func (r *ranks) delay(task string) (time.Duration, bool) {
	rank, ok := r.rank(task)
	return time.Duration(rank) * coordinatorDelay, ok
}
