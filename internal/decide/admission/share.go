package admission

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// whole is the sum of the shares of all zones.
const whole = 1000

// Share returns a zone's part of a customer's rate and burst. Shares are in thousandths that sum to 1000; nil means even
// shares over the zones. The parts of the rate are fractions that sum to the rate. The parts of the burst are whole tokens
// that sum to the burst: the remainder goes to the zones with the largest fractions, and among equals to the first in an
// order that differs between customers, so that small bursts do not all fall to one zone.
func Share(customer entity.CustomerID, total Limits, zones []entity.Zone, shares map[entity.Zone]uint32, zone entity.Zone) Limits {
	parts := make([]part, 0, len(zones))
	for i, z := range slices.Sorted(slices.Values(zones)) {
		weight := uint64(shares[z])
		if shares == nil {
			weight = evenWeight(i, len(zones))
		}
		rank := xxhash.Sum64String(string(customer) + "\x00" + string(z))
		parts = append(parts, part{zone: z, weight: weight, rank: rank})
	}
	divideBurst(parts, uint64(total.Burst))
	for _, p := range parts {
		if p.zone == zone {
			return Limits{Rate: total.Rate * float64(p.weight) / whole, Burst: int(p.burst)}
		}
	}
	return Limits{}
}

// evenWeight returns the weight of the zone with the given index among count zones, in the order of their names. The first
// get the rest, as in the records of shares that replace even shares.
func evenWeight(index, count int) uint64 {
	weight := whole / count
	if index < whole%count {
		weight++
	}
	return uint64(weight)
}

type part struct {
	zone   entity.Zone
	weight uint64
	rank   uint64
	burst  uint64
	rest   uint64
}

// divideBurst gives each part its whole tokens and distributes those that are left.
func divideBurst(parts []part, burst uint64) {
	given, weight := uint64(0), uint64(0)
	for i := range parts {
		p := &parts[i]
		p.burst, p.rest = burst*p.weight/whole, burst*p.weight%whole
		given += p.burst
		weight += p.weight
	}
	slices.SortFunc(parts, func(a, b part) int {
		return cmp.Or(cmp.Compare(b.rest, a.rest), cmp.Compare(a.rank, b.rank), cmp.Compare(a.zone, b.zone))
	})
	// Shares that wrongly sum to more than the whole never add tokens.
	left := min(burst*weight/whole, burst) - min(given, burst)
	for i := range parts {
		if left == 0 {
			return
		}
		if parts[i].rest > 0 {
			parts[i].burst++
			left--
		}
	}
}
