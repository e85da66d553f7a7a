package ownership

import (
	"maps"
	"slices"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// shareState contains a customer's zone shares. The effective shares sum to ShareTotal unless a move is pending; the pending
// ones always do.
type shareState struct {
	version   entity.Offset
	effective map[entity.Zone]uint32
	// pending are the shares after the move in progress, nil if there is none.
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
	s.shares[r.Customer] = &shareState{version: offset, effective: minShares(current, next), pending: next}
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

// minShares returns the smaller of both shares for each zone: the share that each zone may use during a move.
func minShares(current, next map[entity.Zone]uint32) map[entity.Zone]uint32 {
	result := make(map[entity.Zone]uint32, len(current))
	for zone, share := range current {
		if smaller := min(share, next[zone]); smaller > 0 {
			result[zone] = smaller
		}
	}
	return result
}

// shareMap converts a list of shares to a map and reports whether they sum to ShareTotal and each zone occurs once.
func shareMap(list []ZoneShare) (map[entity.Zone]uint32, bool) {
	shares := make(map[entity.Zone]uint32, len(list))
	sum := uint64(0)
	for _, z := range list {
		if _, duplicate := shares[z.Zone]; duplicate || z.Zone == "" {
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
		// The maps of a shareState are immutable; a change replaces the shareState.
		s.cached.ZoneShares[customer] = state.effective
		s.cached.ShareVersions[customer] = state.version
		if state.pending != nil {
			s.cached.PendingShares[customer] = state.pending
		}
	}
}

// EvenShares divides ShareTotal evenly among the zones. The remainder goes to the first zones by name, one thousandth each.
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
