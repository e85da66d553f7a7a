package main

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// The frequencies are those of the design page, section 2; where it gives none, an assumption is named.
const (
	zoneLossesPerYear = 6 // a zone every other month
	// longCutsPerYear and longCut stand for "an hour now and then", assumed to be once a month.
	longCutsPerYear = 12
	longCut         = time.Hour
	// shortCutsPerYear is a rack or switch every week, assumed to cut its zone off for an exponentially distributed time.
	shortCutsPerYear = 52
	// zonesOfASite is that of both deployments.
	zonesOfASite = 3
	// takeoverDelay follows the hold: silence of 3 s, loss of the authority, lease and session times with drift.
	takeoverDelay = 3*time.Second + 600*time.Millisecond + 808*time.Millisecond
	// coldTime is how long keys answer slowly after a move to a cold back end, assumed.
	coldTime = time.Minute
)

// holdCost is what a value of cutoff_hold costs in a year, in minutes times the part of all keys that is concerned.
type holdCost struct {
	zoneLoss float64 // unavailable because the zone is lost
	outside  float64 // unavailable for callers outside a zone that is cut off
	refused  float64 // refused to callers inside a cut-off zone that has stopped
	slow     float64 // answered slowly after takeovers and returns
}

// weights of the two users: Ziedlapu weighs tail latency more, Kitabi zone loss and wrongful refusals.
type weights struct {
	name                  string
	unavailable, refusals float64
	latency               float64
}

var users = []weights{
	{"equal weights", 1, 1, 1},
	{"ziedlapu (latency 3)", 1, 1, 3},
	{"kitabi (zone loss and refusals 3)", 3, 3, 1},
}

var holds = []time.Duration{
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second, 30 * time.Second, time.Minute,
	2 * time.Minute, 5 * time.Minute,
}

// surroundings are the assumptions that decide between the values.
type surroundings struct {
	inside   float64       // part of the callers of a zone's keys that is inside the zone
	shortCut time.Duration // mean length of the short cuts
}

// measureHolds computes the table for callers that are spread evenly, and then the best values under other assumptions.
func measureHolds() error {
	const even, mostly = 1.0 / zonesOfASite, 0.9
	printHolds(surroundings{even, 20 * time.Second})
	for _, s := range []surroundings{
		{even, 5 * time.Second}, {even, 20 * time.Second}, {even, time.Minute}, {mostly, 5 * time.Second}, {mostly, 20 * time.Second},
	} {
		fmt.Printf("  %.2f of the callers inside, short cuts of %v: best", s.inside, s.shortCut)
		for _, u := range users {
			best := bestHold(u, s)
			fmt.Printf("; %s %v, 30s costs %+.1f%%", u.name, best, 100*(u.total(30*time.Second, s)/u.total(best, s)-1))
		}
		fmt.Println()
	}
	return nil
}

// total weighs the costs of a value.
func (u weights) total(hold time.Duration, s surroundings) float64 {
	c := costOf(hold, s)
	return u.unavailable*(c.zoneLoss+c.outside) + u.refusals*c.refused + u.latency*c.slow
}

func bestHold(u weights, s surroundings) time.Duration {
	return slices.MinFunc(holds, func(a, b time.Duration) int { return cmp.Compare(u.total(a, s), u.total(b, s)) })
}

func printHolds(s surroundings) {
	fmt.Printf("  key-minutes per year, %.2f of the callers of a zone's keys inside it, short cuts of %v\n", s.inside, s.shortCut)
	fmt.Printf("  %-11s %9s %9s %9s %9s", "cutoff_hold", "zone loss", "outside", "refused", "slow")
	for _, u := range users {
		fmt.Printf("   %s", u.name)
	}
	fmt.Println()
	for _, hold := range holds {
		c := costOf(hold, s)
		fmt.Printf("  %-11v %9.2f %9.2f %9.2f %9.2f", hold, c.zoneLoss, c.outside, c.refused, c.slow)
		for _, u := range users {
			fmt.Printf("   %*.2f", len(u.name), u.total(hold, s))
		}
		fmt.Println()
	}
}

// costOf adds up the expected costs of a year.
func costOf(hold time.Duration, s surroundings) holdCost {
	const part = 1.0 / zonesOfASite
	takeover := hold + takeoverDelay
	long := min(takeover, longCut)
	// Of an exponential time with mean m, the expected part before t is m*(1-exp(-t/m)), and the part after it m*exp(-t/m).
	mean := s.shortCut.Minutes()
	reached := func(t time.Duration) float64 { return math.Exp(-t.Minutes() / mean) }
	takeovers := zoneLossesPerYear + longCutsPerYear + shortCutsPerYear*reached(takeover)
	return holdCost{
		zoneLoss: part * zoneLossesPerYear * takeover.Minutes(),
		outside: part * (1 - s.inside) *
			(longCutsPerYear*long.Minutes() + shortCutsPerYear*mean*(1-reached(takeover))),
		refused: part * s.inside *
			(longCutsPerYear*(longCut-hold).Minutes() + shortCutsPerYear*mean*reached(hold)),
		slow: part * takeovers * 2 * coldTime.Minutes(), // there and back
	}
}
