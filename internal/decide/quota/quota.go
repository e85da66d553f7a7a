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
	// maxDebt bounds how far admissions that are heard of late bring a bucket below zero, in bursts.
	maxDebt = 4
)

// Bucket is the level of one customer's token bucket as this instance knows it.
type Bucket struct {
	rate, burst float64
	level       float64
	at          time.Duration
	// ownAt begins the window of the admissions that the others do not know yet, and own counts them.
	ownAt time.Duration
	own   float64
	// demand is the average number of requests a second that this instance was asked to admit, at demandAt.
	demand   float64
	demandAt time.Duration
}

// Others is what is known of the other instances.
type Others struct {
	// Share is the part of all instances that this one hears, itself included, and Heard their number.
	Share float64
	Heard int
	// Lag is how old what they tell may be.
	Lag time.Duration
}

// NewBucket returns a bucket of the given rate in requests a second and burst in requests.
func NewBucket(rate, burst float64, now time.Duration) *Bucket {
	return &Bucket{rate: rate, burst: burst, level: min(rate*startSeconds, burst), at: now}
}

// SetLimits changes rate and burst.
func (b *Bucket) SetLimits(rate, burst float64) {
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// Take admits one request if the part of the bucket that falls to the heard instances has a token. What the others may admit
// without this instance knowing stays in reserve. The second result is the time until the next token if it is refused.
func (b *Bucket) Take(now time.Duration, o Others) (bool, time.Duration) {
	if b.rate <= 0 {
		return true, 0
	}
	b.refill(now, o.Share)
	b.ask(now)
	if now-b.ownAt >= o.Lag {
		b.ownAt, b.own = now, 0
	}
	needed := 1 + min(b.rate*o.Lag.Seconds(), b.burst*reservePart*o.Share)
	if b.level < needed {
		return false, time.Duration((needed - b.level) / (b.rate * o.Share) * float64(time.Second))
	}
	if o.Lag > promptLag && b.own >= b.ownLimit(o) {
		return false, b.ownAt + o.Lag - now
	}
	b.level--
	b.own++
	return true, 0
}

// ownLimit is how many requests an instance admits before the others know: a few times its part of the rate, or of what it was
// asked for lately. If all of them admitted whatever their level allows, they would exceed it together by the demand of one lag.
func (b *Bucket) ownLimit(o Others) float64 {
	lag := o.Lag.Seconds()
	return max(1, ownParts*b.rate*lag/float64(max(o.Heard, 1))) + ownDemands*b.demand*lag
}

// ask counts a request in the own demand.
func (b *Bucket) ask(now time.Duration) {
	passed := (now - b.demandAt).Seconds() / demandTime.Seconds()
	b.demand = b.demand*math.Exp(-passed) + 1/demandTime.Seconds()
	b.demandAt = now
}

// Return gives back the token of a request that no back end has run.
func (b *Bucket) Return() { b.level = min(b.level+1, b.burst) }

// Charge takes the admissions of another instance.
func (b *Bucket) Charge(n float64) { b.level = max(b.level-n, -maxDebt*b.burst) }

func (b *Bucket) refill(now time.Duration, share float64) {
	if now > b.at {
		b.level += b.rate * share * (now - b.at).Seconds()
		b.at = now
	}
	b.level = min(b.level, max(b.burst*share, 1))
}
