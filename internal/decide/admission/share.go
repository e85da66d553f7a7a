package admission

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// totalShare is the sum of the shares of all zones.
const totalShare = 1000

// Share returns a zone's share of a customer's rate and burst. Shares are in thousandths that sum to 1000; nil means equal
// shares for all zones. The rate is divided exactly. The burst is divided into whole tokens that sum to the burst: the
// remaining tokens go to the zones with the largest fractions, and among equal fractions in an order that differs between
// customers, so that small bursts do not all go to one zone.
func Share(customer entity.CustomerID, total Limits, zones []entity.Zone, shares map[entity.Zone]uint32, zone entity.Zone) Limits {
	zoneShares := make([]zoneShare, 0, len(zones))
	for i, z := range slices.Sorted(slices.Values(zones)) {
		weight := uint64(shares[z])
		if shares == nil {
			weight = evenWeight(i, len(zones))
		}
		rank := xxhash.Sum64String(string(customer) + "\x00" + string(z))
		zoneShares = append(zoneShares, zoneShare{zone: z, weight: weight, rank: rank})
	}
	divideBurst(zoneShares, uint64(total.Burst))
	for _, p := range zoneShares {
		if p.zone == zone {
			return Limits{Rate: total.Rate * float64(p.weight) / totalShare, Burst: int(p.burst)}
		}
	}
	return Limits{}
}

// evenWeight returns the weight of the zone with the given index among count zones, in the order of their names. The first
// zones get the remainder, as in the recorded shares that replace equal shares.
func evenWeight(index, count int) uint64 {
	weight := totalShare / count
	if index < totalShare%count {
		weight++
	}
	return uint64(weight)
}

type zoneShare struct {
	zone      entity.Zone
	weight    uint64
	rank      uint64
	burst     uint64
	remainder uint64
}

// divideBurst assigns whole tokens to each zone and distributes the remaining ones.
func divideBurst(zoneShares []zoneShare, burst uint64) {
	assigned, weight := uint64(0), uint64(0)
	for i := range zoneShares {
		p := &zoneShares[i]
		p.burst, p.remainder = burst*p.weight/totalShare, burst*p.weight%totalShare
		assigned += p.burst
		weight += p.weight
	}
	slices.SortFunc(zoneShares, func(a, b zoneShare) int {
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(a.rank, b.rank), cmp.Compare(a.zone, b.zone))
	})
	// Shares that wrongly sum to more than totalShare never add tokens.
	remaining := min(burst*weight/totalShare, burst) - min(assigned, burst)
	for i := range zoneShares {
		if remaining == 0 {
			return
		}
		if zoneShares[i].remainder > 0 {
			zoneShares[i].burst++
			remaining--
		}
	}
}
