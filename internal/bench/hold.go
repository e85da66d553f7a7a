package main

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// The frequencies are those of the design page, section 2. Values that it does not contain are marked as assumed.
const (
	zoneLossesPerYear = 6 // a zone every other month
	// longIsolationsPerYear and longIsolation model network partitions of "an hour now and then", assumed to be once a month.
	longIsolationsPerYear = 12
	longIsolation         = time.Hour
	// shortIsolationsPerYear is one failure of a rack or switch every week, assumed to isolate its zone for an exponentially
	// distributed time.
	shortIsolationsPerYear = 52
	// zonesPerDeployment is the same in both deployments.
	zonesPerDeployment = 3
	// takeoverDelay passes after the cut-off hold before another zone serves the keys: 3 s until the zone counts as
	// unresponsive, then the loss of its authority, then lease and session times with clock drift.
	takeoverDelay = 3*time.Second + 600*time.Millisecond + 808*time.Millisecond
	// coldTime is how long keys are answered slowly after a move to a cold backend, assumed.
	coldTime = time.Minute
)

// cutoffHoldCost is the cost of a value of cutoff_hold per year, in minutes times the fraction of all keys that is affected.
type cutoffHoldCost struct {
	zoneLoss float64 // unavailable because the zone is lost
	outside  float64 // unavailable for callers outside an isolated zone
	refused  float64 // refused to callers inside an isolated zone that has stopped serving
	slow     float64 // answered slowly after takeovers and moves back
}

// weights are the weights of the costs for one user. Ziedlapu gives more weight to tail latency, Kitabi to zone loss and to
// refusals of requests that could have been served.
type weights struct {
	name                  string
	unavailable, refusals float64
	latency               float64
}

var userWeights = []weights{
	{"equal weights", 1, 1, 1},
	{"ziedlapu (latency 3)", 1, 1, 3},
	{"kitabi (zone loss and refusals 3)", 3, 3, 1},
}

var cutoffHolds = []time.Duration{
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second, 30 * time.Second, time.Minute,
	2 * time.Minute, 5 * time.Minute,
}

// assumptions are the quantities on which the best value of cutoff_hold depends.
type assumptions struct {
	insideFraction     float64       // fraction of the callers of a zone's keys that is inside the zone
	meanShortIsolation time.Duration // mean duration of the short network partitions
}

// measureCutoffHolds prints the table of costs for evenly distributed callers, and the best values under several assumptions.
func measureCutoffHolds() error {
	const even, mostly = 1.0 / zonesPerDeployment, 0.9
	printCutoffHolds(assumptions{even, 20 * time.Second})
	for _, given := range []assumptions{
		{even, 5 * time.Second}, {even, 20 * time.Second}, {even, time.Minute}, {mostly, 5 * time.Second}, {mostly, 20 * time.Second},
	} {
		fmt.Printf("  %.2f of the callers inside, short network partitions of %v: best", given.insideFraction, given.meanShortIsolation)
		for _, w := range userWeights {
			best := bestCutoffHold(w, given)
			fmt.Printf("; %s %v, 30s costs %+.1f%%", w.name, best, 100*(w.total(30*time.Second, given)/w.total(best, given)-1))
		}
		fmt.Println()
	}
	return nil
}

// total returns the weighted sum of the costs of a value.
func (w weights) total(cutoffHold time.Duration, given assumptions) float64 {
	c := costOf(cutoffHold, given)
	return w.unavailable*(c.zoneLoss+c.outside) + w.refusals*c.refused + w.latency*c.slow
}

func bestCutoffHold(w weights, given assumptions) time.Duration {
	return slices.MinFunc(cutoffHolds, func(a, b time.Duration) int { return cmp.Compare(w.total(a, given), w.total(b, given)) })
}

func printCutoffHolds(given assumptions) {
	fmt.Printf("  key-minutes per year, %.2f of the callers of a zone's keys inside it, short network partitions of %v\n", given.insideFraction, given.meanShortIsolation)
	fmt.Printf("  %-11s %9s %9s %9s %9s", "cutoff_hold", "zone loss", "outside", "refused", "slow")
	for _, w := range userWeights {
		fmt.Printf("   %s", w.name)
	}
	fmt.Println()
	for _, cutoffHold := range cutoffHolds {
		c := costOf(cutoffHold, given)
		fmt.Printf("  %-11v %9.2f %9.2f %9.2f %9.2f", cutoffHold, c.zoneLoss, c.outside, c.refused, c.slow)
		for _, w := range userWeights {
			fmt.Printf("   %*.2f", len(w.name), w.total(cutoffHold, given))
		}
		fmt.Println()
	}
}

// costOf returns the expected costs of a value per year.
func costOf(cutoffHold time.Duration, given assumptions) cutoffHoldCost {
	const zoneFraction = 1.0 / zonesPerDeployment
	takeover := cutoffHold + takeoverDelay
	longDelay := min(takeover, longIsolation)
	// For an exponentially distributed duration with mean m, the expected time before t is m*(1-exp(-t/m)) and the expected
	// time after t is m*exp(-t/m).
	mean := given.meanShortIsolation.Minutes()
	probabilityLonger := func(t time.Duration) float64 { return math.Exp(-t.Minutes() / mean) }
	takeovers := zoneLossesPerYear + longIsolationsPerYear + shortIsolationsPerYear*probabilityLonger(takeover)
	return cutoffHoldCost{
		zoneLoss: zoneFraction * zoneLossesPerYear * takeover.Minutes(),
		outside: zoneFraction * (1 - given.insideFraction) *
			(longIsolationsPerYear*longDelay.Minutes() + shortIsolationsPerYear*mean*(1-probabilityLonger(takeover))),
		refused: zoneFraction * given.insideFraction *
			(longIsolationsPerYear*(longIsolation-cutoffHold).Minutes() + shortIsolationsPerYear*mean*probabilityLonger(cutoffHold)),
		slow: zoneFraction * takeovers * 2 * coldTime.Minutes(), // one move to another zone and one back
	}
}
