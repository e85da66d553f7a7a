package control

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/decide/rendezvous"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// Names of the tasks that are not services. They cannot equal a service name, because service names contain no space.
const (
	rosterTask     = "roster of other groups"
	zonesTask      = "zones of the configuration"
	sharesTask     = "zone shares"
	checkpointTask = "checkpoint of the state"
)

// ranks orders the members for each task by rendezvous hashing. Rank 0 is the coordinator of the task; each following
// rank takes over after another coordinatorDelay without progress. Two coordinators at once are harmless.
type ranks struct {
	self    entity.InstanceID
	view    *ownership.View // the view that members was taken from
	members []ownership.Member
	cache   map[string]int
}

// update applies the roster of a view. Members of lost zones are left out, so they are no coordinators.
func (r *ranks) update(v *ownership.View, self entity.InstanceID) {
	if r.view != nil && r.view.ZonesVersion == v.ZonesVersion && sameRoster(r.view, v) {
		return
	}
	*r = ranks{self: self, view: v, cache: map[string]int{}}
	for _, m := range v.Members {
		if _, lost := v.LostZones[m.Zone]; !lost {
			r.members = append(r.members, m)
		}
	}
}

// rank returns this instance's rank for a task. It returns false if the instance is not a member or its rank is above
// maxRank.
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

// delay returns how long this instance waits for the lower ranks. It returns false if the instance does not
// participate.
func (r *ranks) delay(task string) (time.Duration, bool) {
	rank, ok := r.rank(task)
	return time.Duration(rank) * coordinatorDelay, ok
}
