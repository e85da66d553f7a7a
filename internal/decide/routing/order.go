package routing

import (
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/decide/rendezvous"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// backendLeasePrefix begins the name of a back end's lease. It must equal that of service.BackendLease, which decisions
// cannot import; a test compares them.
const backendLeasePrefix = "backend/"

// askOrder computes which instances may be the primary of a back end, and in which order to ask them.
type askOrder struct {
	groups  map[entity.Zone][]uint32
	members map[ownership.GroupKey][]ownership.Member
}

func newAskOrder(view *ownership.View) *askOrder {
	o := &askOrder{
		groups:  map[entity.Zone][]uint32{},
		members: map[ownership.GroupKey][]ownership.Member{},
	}
	for _, m := range view.Members {
		key := ownership.GroupKey{Zone: m.Zone, Group: m.Group}
		if _, ok := o.members[key]; !ok {
			o.groups[m.Zone] = append(o.groups[m.Zone], m.Group)
		}
		o.members[key] = append(o.members[key], m)
	}
	return o
}

// candidates returns the members of the lease group that serves a back end, best first.
func (o *askOrder) candidates(id entity.BackendID, zone entity.Zone) []ownership.Member {
	name := backendLeasePrefix + string(id)
	group, ok := rendezvous.Group(name, o.groups[zone])
	if !ok {
		return nil
	}
	members := o.members[ownership.GroupKey{Zone: zone, Group: group}]
	return rendezvous.OrderBy(name, members, func(m ownership.Member) string { return string(m.ID) })
}
