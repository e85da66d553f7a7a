// Package quota decides whether a store-based instance may admit one more request of a customer. Every instance decides on its
// own and learns of its peers' admissions only from their heartbeats.
//
// Each instance tracks the level of the customer's full token bucket: it deducts its own admissions at once and those of its
// peers when they are reported. Unreachable peers may admit requests too, so an instance uses only the share of rate and burst
// that belongs to the reachable instances.
package quota

import (
	"math"
	"time"
)

// startSeconds is the initial level of a new bucket, in seconds of its rate. An instance that has just started does not know
// what was admitted before, so it must not start with the full burst.
const startSeconds = 0.25

// reserveShare bounds the fraction of the burst that is reserved for peers' admissions that are not known yet.
const reserveShare = 0.5

// minBurst is the smallest burst in requests. Requests do not arrive at equal intervals, so with a smaller one a customer that asks for
// less than its rate would be refused much of it.
const minBurst = 8

// Constants for admission where peers' reports arrive late.
const (
	// promptStaleness is the staleness up to which the reserve alone keeps the customer within its rate.
	promptStaleness = 250 * time.Millisecond
	// localShares is how many times its share of the rate an instance may admit within one staleness interval, in addition to
	// localDemands times the recent demand of its own callers. A customer's callers keep their connections, so a few instances
	// may receive all of its requests.
	localShares  = 2
	localDemands = 1.5
	// demandTime is the time over which demand is averaged.
	demandTime = 3 * time.Second
	// overloadFactor is the demand, as a multiple of the customer's rate, above which instances admit by their shares of the
	// demand. Below it, only the level of the bucket decides.
	overloadFactor = 1.1
	// overloadDeviations is the number of standard deviations of the averaged demand that are added to that.
	overloadDeviations = 1.5
	// learningTime is how long after its start an instance may not know yet that a customer's demand exceeds its rate.
	learningTime = 3 * time.Second
	// minShareBurst is the smallest burst of an instance's share, in requests, if the instances together have as many. With a burst of
	// one, an instance with a demand slightly above its share would waste much of it, since requests do not arrive at equal intervals.
	minShareBurst = 3
	// maxRetry bounds the retry time returned for refused callers of an overloaded customer. A burst is likely to have ended by
	// then.
	maxRetry = 5 * time.Second
	// maxDebt bounds how far peers' admissions that are reported late can push a bucket below zero, in bursts.
	maxDebt = 4
)

// Bucket is one customer's token bucket, as far as this instance knows its level. It is not safe for concurrent use.
type Bucket struct {
	since       time.Duration
	rate, burst float64
	level       float64
	at          time.Duration
	// reachable is the share of the instances that was reachable at the last refill.
	reachable float64
	// localAt begins the window of the admissions that peers do not know yet, and local counts them.
	localAt time.Duration
	local   float64
	// demand is the recent rate of requests at this instance.
	demand average
	// reportedDemand is the portion of demand that has been reported to peers, and allDemand the same for all instances
	// together. Both are equally old, so that the shares of all instances add up to one.
	reportedDemand, allDemand average
	// share holds the tokens that this instance may spend for an overloaded customer. It is filled by the instance's share of
	// the demand.
	share   float64
	shareAt time.Duration
}

// average is a number of requests per second, averaged over demandTime.
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

// Peers is what this instance knows about its peers.
type Peers struct {
	// ReachableShare is the fraction of all instances that are reachable, including this one, and ReachableCount their number.
	ReachableShare float64
	ReachableCount int
	// Staleness is the maximum age of peers' reports.
	Staleness time.Duration
}

// NewBucket returns a bucket with the given rate in requests per second and burst in requests. A burst below minBurst counts as minBurst,
// and a rate of zero means no limit.
func NewBucket(rate, burst float64, now time.Duration) *Bucket {
	burst = max(burst, minBurst)
	return &Bucket{rate: rate, burst: burst, level: min(rate*startSeconds, burst), at: now, since: now}
}

// SetLimits changes the rate, in requests per second, and the burst, in requests.
func (b *Bucket) SetLimits(rate, burst float64) {
	b.rate, b.burst = rate, max(burst, minBurst)
	b.level = min(b.level, b.burst)
}

// Take admits one request if the reachable instances' share of the bucket has a token. A reserve is kept for admissions by
// peers that this instance does not know yet. If the request is refused, the second result is the time after which to retry.
func (b *Bucket) Take(now time.Duration, peers Peers) (bool, time.Duration) {
	if b.rate <= 0 {
		return true, 0
	}
	b.refill(now, peers.ReachableShare)
	b.refillShare(now, peers)
	b.demand.add(1, now)
	if now-b.localAt >= peers.Staleness {
		b.localAt, b.local = now, 0
	}
	capacity := b.capacity(peers.ReachableShare)
	needed := 1 + min(b.rate*peers.ReachableShare*peers.Staleness.Seconds(), capacity*reserveShare, capacity-1)
	if b.level < needed {
		return false, b.retry(now, peers, time.Duration((needed-b.level)/(b.rate*peers.ReachableShare)*float64(time.Second)))
	}
	if wait := b.localWait(now, peers); wait > 0 {
		return false, b.retry(now, peers, wait)
	}
	b.level--
	b.share--
	b.local++
	return true, 0
}

// localWait returns how long this instance must wait before it may admit another request when reports between instances are late.
// If all instances admitted whatever the level allows, together they would exceed it by the demand of one staleness interval, and
// then refuse every request one interval later.
func (b *Bucket) localWait(now time.Duration, peers Peers) time.Duration {
	switch {
	case b.isPrompt(peers):
		return 0
	case b.isOverloaded(now):
		if b.share >= 1 {
			return 0
		}
		return bounded((1 - b.share) / b.shareRate(now, peers))
	case b.local >= b.localLimit(now, peers):
		return b.localAt + peers.Staleness - now
	}
	return 0
}

// isPrompt reports whether the reserve covers what peers may have admitted since their last reports.
func (b *Bucket) isPrompt(peers Peers) bool {
	unknown := b.rate * peers.ReachableShare * peers.Staleness.Seconds()
	return peers.Staleness <= promptStaleness && unknown <= b.capacity(peers.ReachableShare)*reserveShare
}

// retry returns when a refused caller is likely to be admitted, if the next token is due after wait. Each token of an
// overloaded customer goes to only one of many callers.
func (b *Bucket) retry(now time.Duration, peers Peers, wait time.Duration) time.Duration {
	if !b.isOverloaded(now) {
		return wait
	}
	callersPerToken := max(1, b.demand.read(now)/b.shareRate(now, peers))
	return max(wait, bounded(callersPerToken*wait.Seconds()))
}

// bounded converts seconds to a duration of at most maxRetry. The share of an instance that has been idle for long is so small
// that the time until its next token overflows a duration.
func bounded(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxRetry.Seconds()) * float64(time.Second))
}

// isOverloaded reports whether the customer asks for more than its rate. The demand of a low rate varies much from one average to the next, so
// it must exceed the rate by more than its usual deviation.
func (b *Bucket) isOverloaded(now time.Duration) bool {
	deviation := math.Sqrt(b.rate / (2 * demandTime.Seconds()))
	return b.allDemand.read(now) > overloadFactor*b.rate+overloadDeviations*deviation
}

// shareRate returns this instance's share of an overloaded customer's rate, in requests per second. The share is proportional
// to the instance's demand. As long as this instance has not reported any demand, the share is rate/ReachableCount.
func (b *Bucket) shareRate(now time.Duration, peers Peers) float64 {
	local, all := b.reportedDemand.read(now), b.allDemand.read(now)
	if local <= 0 || all <= 0 {
		return b.rate / float64(max(peers.ReachableCount, 1))
	}
	return b.rate * peers.ReachableShare * local / all
}

// refillShare fills this instance's share. It holds at most the tokens of one staleness interval, or minShareBurst if that is
// more.
func (b *Bucket) refillShare(now time.Duration, peers Peers) {
	if now > b.shareAt {
		rate := b.shareRate(now, peers)
		// Many instances with minShareBurst each would exceed the rate of a small customer together.
		least := min(minShareBurst, max(1, (b.rate+b.burst)/float64(max(peers.ReachableCount, 1))))
		b.share = min(b.share+rate*(now-b.shareAt).Seconds(), max(least, rate*peers.Staleness.Seconds()))
		b.shareAt = now
	}
	b.share = max(b.share, 0) // requests admitted before the customer was overloaded do not count
}

// localLimit returns how many requests this instance may admit before its peers know: a multiple of its share of the rate, plus
// a multiple of its recent demand.
func (b *Bucket) localLimit(now time.Duration, peers Peers) float64 {
	staleness := peers.Staleness.Seconds()
	share := b.rate * staleness / float64(max(peers.ReachableCount, 1))
	if now-b.since < learningTime {
		// A demand that began before this instance may exceed the rate, and peers may have started at the same time.
		return max(1, math.Floor(share))
	}
	return max(1, localShares*share) + localDemands*b.demand.read(now)*staleness
}

// AddReportedDemand records that n more requests to this instance have been reported to its peers.
func (b *Bucket) AddReportedDemand(n float64, now time.Duration) {
	b.reportedDemand.add(n, now)
	b.allDemand.add(n, now)
}

// AddPeerDemand records that a peer received n more requests.
func (b *Bucket) AddPeerDemand(n float64, now time.Duration) { b.allDemand.add(n, now) }

// Refund returns the token of a request that no backend has run.
func (b *Bucket) Refund() { b.level = min(b.level+1, b.burst) }

// ChargePeer deducts n admissions of a peer.
func (b *Bucket) ChargePeer(n float64) { b.level = max(b.level-n, -maxDebt*b.burst) }

// capacity returns the highest level of the bucket. It is at least one request: a smaller one would admit none.
func (b *Bucket) capacity(share float64) float64 { return max(b.burst*share, 1) }

// refill adds the tokens of the reachable instances. When instances become unreachable, their share of the burst is theirs: without that,
// many isolated instances together would start with a token each.
func (b *Bucket) refill(now time.Duration, share float64) {
	if share < b.reachable {
		b.level = min(b.level, b.burst*share)
	}
	b.reachable = share
	if now > b.at {
		b.level += b.rate * share * (now - b.at).Seconds()
		b.at = now
	}
	b.level = min(b.level, b.capacity(share))
}
