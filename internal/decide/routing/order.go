package routing

import (
	"slices"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/decide/rendezvous"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// backendLeasePrefix is the prefix of the name of a backend's lease. It must be the same as in service.BackendLease, which
// decision packages cannot import; a test compares them.
const backendLeasePrefix = "backend/"

// roster contains the members of a view by lease group.
type roster struct {
	members map[ownership.GroupKey][]ownership.Member
}

func newRoster(view *ownership.View) *roster {
	r := &roster{members: map[ownership.GroupKey][]ownership.Member{}}
	for _, m := range view.Members {
		key := ownership.GroupKey{Zone: m.Zone, Group: m.Group}
		r.members[key] = append(r.members[key], m)
	}
	return r
}

// candidateOrder computes which instances may be the primary of a backend, and in which order to ask them. It reuses the
// results that a change of the roster does not affect: with 10,000 backends, computing all hashes takes several 100 ms.
type candidateOrder struct {
	previous        *roster
	previousChoices map[entity.BackendID]choice
	roster          *roster
	choices         map[entity.BackendID]choice
	// unchangedGroups records for each group of the current roster whether it has the same members in the previous one.
	unchangedGroups map[ownership.GroupKey]bool
}

// choice is the lease group of a backend and its members, best first.
type choice struct {
	key        ownership.GroupKey
	candidates []ownership.Member
}

// begin starts the computation for a view. The caller then calls candidates once for every backend.
func (o *candidateOrder) begin(view *ownership.View) {
	o.previous, o.previousChoices = o.roster, o.choices
	if o.previous == nil {
		o.previous = newRoster(&ownership.View{})
	}
	o.roster, o.choices = newRoster(view), make(map[entity.BackendID]choice, len(o.previousChoices))
	o.unchangedGroups = make(map[ownership.GroupKey]bool, len(o.roster.members))
	for key, members := range o.roster.members {
		o.unchangedGroups[key] = slices.Equal(o.previous.members[key], members)
	}
}

// candidates returns the members of the lease group that serves a backend, best first.
func (o *candidateOrder) candidates(id entity.BackendID, zone entity.Zone) []ownership.Member {
	c, known := o.previousChoices[id]
	if !known || c.key.Zone != zone {
		c, known = choice{key: ownership.GroupKey{Zone: zone, Group: ownership.ClaimingGroup}}, false
	}
	if !known || !o.unchangedGroups[c.key] {
		c.candidates = rendezvous.OrderBy(backendLeasePrefix+string(id), o.roster.members[c.key],
			func(m ownership.Member) string { return string(m.ID) })
	}
	o.choices[id] = c
	return c.candidates
}
