// Package quota decides whether a customer may send one more request, when every instance admits on its own and learns of the
// others' admissions a moment later.
//
// Each instance keeps the level of the customer's whole token bucket: it takes its own admissions at once and those of the
// others when it hears of them. Instances that cannot be heard may admit too, so an instance uses only the part of rate and
// burst that falls to the instances that it hears.
package quota

import (
	"math"
	"time"
)

// startSeconds is how many seconds' worth of the rate a new bucket holds. An instance that has just started does not know what
// was admitted before, so it must not start with the whole burst.
const startSeconds = 0.25

// reservePart bounds the part of the burst that is kept in reserve for admissions that are not known yet.
const reservePart = 0.5

// Admission where instances hear of each other late.
const (
	// promptLag is the lag up to which the reserve alone keeps the rate.
	promptLag = 250 * time.Millisecond
	// ownParts is how many times its part of the rate an instance may admit within one lag, and ownDemands how many times what
	// its own callers have asked for lately. A customer's callers keep their connections, so that a few instances may get all of
	// its requests.
	ownParts   = 2
	ownDemands = 1.5
	// demandTime is the time over which the own demand is averaged.
	demandTime = 3 * time.Second
	// overloaded is how many times its rate a customer asks for when instances admit by their parts of the demand. Below that the
	// bucket's level alone decides.
	overloaded = 1.1
	// unknownTime is how long after its start an instance may not know yet that a customer asks for more than its rate.
	unknownTime = 3 * time.Second
	// partHold is how many requests the part of an instance holds at least. With one, an instance that is asked for little more than
	// its part would lose much of it, since requests do not come at equal intervals.
	partHold = 3
	// maxRetry bounds the time that refused callers of an overloaded customer are told. A rush is likely to have ended by then.
	maxRetry = 5 * time.Second
	// maxDebt bounds how far admissions that are heard of late bring a bucket below zero, in bursts.
	maxDebt = 4
)

// Bucket is the level of one customer's token bucket as this instance knows it.
type Bucket struct {
	since       time.Duration
	rate, burst float64
	level       float64
	at          time.Duration
	// ownAt begins the window of the admissions that the others do not know yet, and own counts them.
	ownAt time.Duration
	own   float64
	// demand is how much this instance was asked to admit lately.
	demand average
	// toldDemand is the part of demand that the others have been told, and allDemand the same of all instances together. Each is
	// as old as the others, so that the parts of all instances add up to one.
	toldDemand, allDemand average
	// part is what this instance may admit of an overloaded customer, filled by its part of the demand.
	part   float64
	partAt time.Duration
}

// average is a number of requests a second, averaged over demandTime.
type average struct {
	value float64
	at    time.Duration
}

// add counts n requests.
func (a *average) add(n float64, now time.Duration) {
	a.value, a.at = a.read(now)+n/demandTime.Seconds(), max(a.at, now)
}

func (a *average) read(now time.Duration) float64 {
	return a.value * math.Exp(-max(0, (now-a.at).Seconds())/demandTime.Seconds())
}

// Peers is what is known of the other instances.
type Peers struct {
	// ReachableShare is the part of all instances that this one hears, itself included, and ReachableCount their number.
	ReachableShare float64
	ReachableCount int
	// Staleness is how old what they tell may be.
	Staleness time.Duration
}

// NewBucket returns a bucket of the given rate in requests a second and burst in requests.
func NewBucket(rate, burst float64, now time.Duration) *Bucket {
	return &Bucket{rate: rate, burst: burst, level: min(rate*startSeconds, burst), at: now, since: now}
}

// SetLimits changes rate and burst.
func (b *Bucket) SetLimits(rate, burst float64) {
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// Take admits one request if the part of the bucket that falls to the heard instances has a token. What the others may admit
// without this instance knowing stays in reserve. The second result is the time until the next token if it is refused.
func (b *Bucket) Take(now time.Duration, o Peers) (bool, time.Duration) {
	if b.rate <= 0 {
		return true, 0
	}
	b.refill(now, o.ReachableShare)
	b.refillPart(now, o)
	b.demand.add(1, now)
	if now-b.ownAt >= o.Staleness {
		b.ownAt, b.own = now, 0
	}
	needed := 1 + min(b.rate*o.Staleness.Seconds(), b.burst*reservePart*o.ReachableShare)
	if b.level < needed {
		return false, b.retry(now, o, time.Duration((needed-b.level)/(b.rate*o.ReachableShare)*float64(time.Second)))
	}
	if wait := b.ownWait(now, o); wait > 0 {
		return false, b.retry(now, o, wait)
	}
	b.level--
	b.part--
	b.own++
	return true, 0
}

// ownWait is how long an instance that others hear late must wait before it may admit a request beside them. If all of them admitted
// whatever the level allows, they would exceed it together by the demand of one lag, and refuse everything a lag later.
func (b *Bucket) ownWait(now time.Duration, o Peers) time.Duration {
	switch {
	case o.Staleness <= promptLag:
		return 0
	case b.isOverloaded(now):
		if b.part >= 1 {
			return 0
		}
		return bounded((1 - b.part) / b.partRate(now, o))
	case b.own >= b.ownLimit(now, o):
		return b.ownAt + o.Staleness - now
	}
	return 0
}

// retry returns when a refused caller is likely to be admitted, if the next token is due after wait. Of an overloaded customer's
// callers only some get one each time.
func (b *Bucket) retry(now time.Duration, o Peers, wait time.Duration) time.Duration {
	if !b.isOverloaded(now) {
		return wait
	}
	crowd := max(1, b.demand.read(now)/b.partRate(now, o))
	return max(wait, bounded(crowd*wait.Seconds()))
}

// bounded returns a time of at most maxRetry. The part of an instance that has been idle for long is so small that the time until its
// next token is beyond any duration.
func bounded(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxRetry.Seconds()) * float64(time.Second))
}

func (b *Bucket) isOverloaded(now time.Duration) bool {
	return b.allDemand.read(now) > overloaded*b.rate
}

// partRate is the part of an overloaded customer's rate that falls to this instance, in requests a second: by what it was asked for,
// or an even part if that is not told yet.
func (b *Bucket) partRate(now time.Duration, o Peers) float64 {
	own, all := b.toldDemand.read(now), b.allDemand.read(now)
	if own <= 0 || all <= 0 {
		return b.rate / float64(max(o.ReachableCount, 1))
	}
	return b.rate * o.ReachableShare * own / all
}

// refillPart fills the part of this instance. It holds no more than comes in one lag, or partHold.
func (b *Bucket) refillPart(now time.Duration, o Peers) {
	if now > b.partAt {
		rate := b.partRate(now, o)
		b.part = min(b.part+rate*(now-b.partAt).Seconds(), max(partHold, rate*o.Staleness.Seconds()))
		b.partAt = now
	}
	b.part = max(b.part, 0) // what was admitted before the customer was overloaded does not count
}

// ownLimit is how many requests an instance admits before the others know: a few times its part of the rate, or of what it was
// asked for lately.
func (b *Bucket) ownLimit(now time.Duration, o Peers) float64 {
	lag := o.Staleness.Seconds()
	part := b.rate * lag / float64(max(o.ReachableCount, 1))
	if now-b.since < unknownTime {
		return max(1, math.Floor(part)) // a demand that began before this instance may be over the rate, and others may have started as well
	}
	return max(1, ownParts*part) + ownDemands*b.demand.read(now)*lag
}

// AddReportedDemand notes that the others are told of n more requests that this instance was asked to admit.
func (b *Bucket) AddReportedDemand(n float64, now time.Duration) {
	b.toldDemand.add(n, now)
	b.allDemand.add(n, now)
}

// AddPeerDemand notes that another instance was asked to admit n more requests.
func (b *Bucket) AddPeerDemand(n float64, now time.Duration) { b.allDemand.add(n, now) }

// Refund gives back the token of a request that no back end has run.
func (b *Bucket) Refund() { b.level = min(b.level+1, b.burst) }

// ChargePeer takes the admissions of another instance.
func (b *Bucket) ChargePeer(n float64) { b.level = max(b.level-n, -maxDebt*b.burst) }

func (b *Bucket) refill(now time.Duration, share float64) {
	if now > b.at {
		b.level += b.rate * share * (now - b.at).Seconds()
		b.at = now
	}
	b.level = min(b.level, max(b.burst*share, 1))
}
