package ownership

import (
	"maps"
	"slices"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// shareState holds a customer's shares. The effective shares and what is pending sum to ShareTotal.
type shareState struct {
	version   entity.Offset
	effective map[entity.Zone]uint32
	// pending are the shares after the move under way, nil if none is.
	pending map[entity.Zone]uint32
}

func (s *State) applyShares(offset entity.Offset, r Shares) Verdict {
	state, known := s.shares[r.Customer]
	if known && state.version != r.Version || !known && r.Version != 0 {
		return dropped(DropVersion)
	}
	if len(r.Next) == 0 {
		if !known {
			return dropped(DropInvalid)
		}
		delete(s.shares, r.Customer)
		s.sharesChanged()
		return applied()
	}
	current, currentOK := shareMap(r.Current)
	if known {
		current, currentOK = state.effective, state.pending == nil
	}
	next, nextOK := shareMap(r.Next)
	if !currentOK || !nextOK || r.Customer == "" || maps.Equal(current, next) {
		return dropped(DropInvalid)
	}
	s.shares[r.Customer] = &shareState{version: offset, effective: lower(current, next), pending: next}
	s.sharesChanged()
	return applied()
}

func (s *State) applySharesSettled(offset entity.Offset, r SharesSettled) Verdict {
	state, known := s.shares[r.Customer]
	if !known || state.version != r.Version {
		return dropped(DropVersion)
	}
	if state.pending == nil {
		return dropped(DropInvalid)
	}
	s.shares[r.Customer] = &shareState{version: offset, effective: state.pending}
	s.sharesChanged()
	return applied()
}

// lower returns the smaller of both shares of each zone: what each zone may spend while shares move.
func lower(current, next map[entity.Zone]uint32) map[entity.Zone]uint32 {
	result := make(map[entity.Zone]uint32, len(current))
	for zone, share := range current {
		if kept := min(share, next[zone]); kept > 0 {
			result[zone] = kept
		}
	}
	return result
}

// shareMap converts shares and reports whether they sum to ShareTotal with each zone named once.
func shareMap(list []ZoneShare) (map[entity.Zone]uint32, bool) {
	shares := make(map[entity.Zone]uint32, len(list))
	sum := uint64(0)
	for _, z := range list {
		if _, twice := shares[z.Zone]; twice || z.Zone == "" {
			return nil, false
		}
		sum += uint64(z.Share)
		shares[z.Zone] = z.Share
	}
	maps.DeleteFunc(shares, func(_ entity.Zone, share uint32) bool { return share == 0 })
	return shares, sum == ShareTotal
}

func (s *State) sharesChanged() { s.cached.ZoneShares = nil }

func (s *State) cacheShares() {
	s.cached.ZoneShares = make(map[entity.CustomerID]map[entity.Zone]uint32, len(s.shares))
	s.cached.ShareVersions = make(map[entity.CustomerID]entity.Offset, len(s.shares))
	s.cached.PendingShares = map[entity.CustomerID]map[entity.Zone]uint32{}
	for customer, state := range s.shares {
		// The maps of a shareState never change; a change replaces the shareState.
		s.cached.ZoneShares[customer] = state.effective
		s.cached.ShareVersions[customer] = state.version
		if state.pending != nil {
			s.cached.PendingShares[customer] = state.pending
		}
	}
}

// EvenShares divides the whole evenly. The first zones in order of their names get the rest.
func EvenShares(zones []entity.Zone) []ZoneShare {
	sorted := slices.Sorted(slices.Values(zones))
	list := make([]ZoneShare, 0, len(sorted))
	for i, zone := range sorted {
		share := uint32(ShareTotal / len(sorted))
		if i < ShareTotal%len(sorted) {
			share++
		}
		list = append(list, ZoneShare{Zone: zone, Share: share})
	}
	return list
}
