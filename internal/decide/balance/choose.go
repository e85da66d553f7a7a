package balance

import "time"

// Candidate is a backend to which the request may be sent.
type Candidate struct {
	Endpoint *Endpoint
	Cold     bool
	// SameZone is true for a backend in the instance's own zone.
	SameZone bool
	// Preference, from 0 to 1, orders backends of equal cost. It differs between instances and is constant for each of them, so
	// that instances with the same information do not all choose the same backend, and connections are reused.
	Preference float64
}

// Factors of the cost.
const (
	// crossZonePenalty makes a backend in another zone more expensive because of the traffic between zones. A backend with a
	// free slot in another zone costs less than one in the same zone whose slots are all in use.
	crossZonePenalty = 1.4
	// preferenceSpread is the range of the factor by which the preference changes the cost.
	preferenceSpread = 0.3
	// randomSpread is the range of the random factor, which keeps the entire load of an instance from oscillating between
	// backends.
	randomSpread = 0.05
)

// Choose returns the index of the candidate with the lowest cost, or -1 if there is none. A candidate in the instance's own zone whose
// cost is at most localLimit takes precedence over all others: a shorter time does not benefit the caller then, and the answer does
// not cross zones. The function random must return numbers from 0 to 1. Load: large answers, and zones with different load.
func Choose(now time.Duration, work Work, candidates []Candidate, localLimit time.Duration, random func() float64) int {
	best, bestCost := -1, 0.0
	local, localCost := -1, 0.0
	for i, c := range candidates {
		if c.Endpoint.Paused(now) || c.Endpoint.HeldOff(now) > 0 {
			continue
		}
		base := c.Endpoint.Cost(now, work, c.Cold)
		cost := float64(base) * (1 + preferenceSpread*c.Preference) * (1 + randomSpread*random())
		if c.SameZone && base <= localLimit && (local < 0 || cost < localCost) {
			local, localCost = i, cost
		}
		if !c.SameZone {
			cost *= crossZonePenalty
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if local >= 0 {
		return local
	}
	return best
}
