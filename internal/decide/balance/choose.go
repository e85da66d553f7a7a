package balance

import (
	"math"
	"time"
)

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
	// freshReports is the age of peers' reports up to which the lowest cost decides, staleReports the one from which the choice is
	// entirely random.
	freshReports = 300 * time.Millisecond
	staleReports = time.Second
	// quietUse is the fraction of the limits in use up to which the lowest cost decides even with stale reports: nothing waits then,
	// and a random choice would send more to slow backends. busyUse is the fraction from which the age of the reports alone matters.
	quietUse = 0.3
	busyUse  = 0.7
	// crowdingSlope is how much the cost rises up to the limit, while nothing waits. Without it the requests of one instance fill
	// one backend after the other, and nothing shows how fast a backend is that is not full. staleCrowdingSlope replaces it with
	// stale reports, by which more requests than known may be at a backend.
	crowdingSlope      = 0.3
	staleCrowdingSlope = 1.0
	// peerAverage is the time over which stale reports are averaged, relative to their age. Peaks that they show are over: with
	// last reports of 1 s, 62 instances answered 0.91 of the requests in time, with the mean of 3 s 0.98.
	peerAverage = 3
)

// Choose returns the index of the candidate with the lowest cost, or -1 if there is none. A candidate in the instance's own zone whose
// cost is at most localLimit takes precedence over all others: a shorter time does not benefit the caller then, and the answer does
// not cross zones. The function random must return numbers from 0 to 1. Load: large answers, and zones with different load.
func Choose(now time.Duration, work Work, candidates []Candidate, localLimit time.Duration, random func() float64) int {
	return choose(now, work, candidates, localLimit, 0, random)
}

// ChooseWithStaleness is Choose with peers whose reports are up to staleness old. If requests are much shorter than that, instances that
// all use the backend with the lowest cost would send it everything until their next reports. So the older the reports, the more the
// choice is a random one in which a backend's probability is proportional to what it can handle relative to its cost.
func ChooseWithStaleness(
	now time.Duration, work Work, candidates []Candidate, localLimit, staleness time.Duration, random func() float64,
) int {
	over := time.Duration(0)
	if staleness > freshReports && len(candidates) > 1 { // the owner of a key is not chosen, and its last reports say most
		over = staleness * peerAverage
	}
	used, limit := 0.0, 0.0
	for _, c := range candidates {
		c.Endpoint.averagePeers(over, now)
		used, limit = used+c.Endpoint.ahead(now), limit+c.Endpoint.limit(now)
	}
	spread := min(max(float64(staleness-freshReports)/float64(staleReports-freshReports), 0), 1)
	spread *= min(max((used/max(limit, 1)-quietUse)/(busyUse-quietUse), 0), 1)
	return choose(now, work, candidates, localLimit, spread, random)
}

func choose(
	now time.Duration, work Work, candidates []Candidate, localLimit time.Duration, spread float64, random func() float64,
) int {
	best, bestCost := -1, 0.0
	local, localCost, localBase := -1, 0.0, time.Duration(0)
	for i, c := range candidates {
		if c.Endpoint.Paused(now) || c.Endpoint.HeldOff(now) > 0 {
			continue
		}
		base := c.Endpoint.Cost(now, work, c.Cold)
		cost := float64(base) * (1 + preferenceSpread*c.Preference) * (1 + randomSpread*random())
		cost *= c.Endpoint.crowding(now, crowdingSlope+(staleCrowdingSlope-crowdingSlope)*spread)
		if spread > 0 {
			// The smallest of exponentially distributed numbers, each divided by a weight, is chosen in proportion to the weights.
			cost *= math.Pow(-math.Log(1-random())/c.Endpoint.limit(now), spread)
		}
		// With stale reports the precedence is decided after the choice. Otherwise the few backends under the limit would get the
		// requests of all others until the next reports.
		if c.SameZone && (base <= localLimit || spread > 0) && (local < 0 || cost < localCost) {
			local, localCost, localBase = i, cost, base
		}
		if !c.SameZone {
			cost *= crossZonePenalty
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if local >= 0 && localBase <= localLimit {
		return local
	}
	return best
}
