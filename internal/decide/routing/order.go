package routing

import (
	"slices"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/decide/rendezvous"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// backendLeasePrefix begins the name of a back end's lease. It must equal that of service.BackendLease, which decisions
// cannot import; a test compares them.
const backendLeasePrefix = "backend/"

// roster groups the members of a view.
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

// askOrder computes which instances may be the primary of a back end, and in which order to ask them. It keeps what a
// change of the roster leaves as it was: with 10,000 back ends the hashes of all take several 100 ms.
type askOrder struct {
	former *roster
	known  map[entity.BackendID]choice
	roster *roster
	chosen map[entity.BackendID]choice
	// sameMembers holds what the two rosters have in common.
	sameMembers map[ownership.GroupKey]bool
}

// choice is the lease group of a back end and its members, best first.
type choice struct {
	key        ownership.GroupKey
	candidates []ownership.Member
}

// begin starts the computation for a view. Every back end is then asked for once.
func (o *askOrder) begin(view *ownership.View) {
	o.former, o.known = o.roster, o.chosen
	if o.former == nil {
		o.former = newRoster(&ownership.View{})
	}
	o.roster, o.chosen = newRoster(view), make(map[entity.BackendID]choice, len(o.known))
	o.sameMembers = make(map[ownership.GroupKey]bool, len(o.roster.members))
	for key, members := range o.roster.members {
		o.sameMembers[key] = slices.Equal(o.former.members[key], members)
	}
}

// candidates returns the members of the lease group that serves a back end, best first.
func (o *askOrder) candidates(id entity.BackendID, zone entity.Zone) []ownership.Member {
	c, known := o.known[id]
	if !known || c.key.Zone != zone {
		c, known = choice{key: ownership.GroupKey{Zone: zone, Group: ownership.ClaimingGroup}}, false
	}
	if !known || !o.sameMembers[c.key] {
		c.candidates = rendezvous.OrderBy(backendLeasePrefix+string(id), o.roster.members[c.key],
			func(m ownership.Member) string { return string(m.ID) })
	}
	o.chosen[id] = c
	return c.candidates
}
