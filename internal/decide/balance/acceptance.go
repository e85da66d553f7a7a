package balance

import (
	"math"
	"time"
)

const (
	// acceptanceWindow is the time over which refusals are averaged. Load peaks last a few seconds.
	acceptanceWindow = 1500 * time.Millisecond
	// maxRetry bounds the retry time returned for refused callers. What keeps a backend busy for longer is likely to have
	// changed by then.
	maxRetry = 5 * time.Second
)

// AcceptanceRate tracks the fraction of recent requests for one backend or service that were accepted. The zero value has
// recorded no requests. It is not safe for concurrent use.
type AcceptanceRate struct {
	offered, accepted float64 // averaged over acceptanceWindow
	at                time.Duration
}

// Record counts a request and whether it was accepted.
func (a *AcceptanceRate) Record(accepted bool, now time.Duration) {
	if now > a.at {
		decay := math.Exp(-(now - a.at).Seconds() / acceptanceWindow.Seconds())
		a.offered, a.accepted, a.at = a.offered*decay, a.accepted*decay, now
	}
	a.offered++
	if accepted {
		a.accepted++
	}
}

// RetryAfter returns when a refused caller is likely to be accepted, if the next slot is free after untilFree. When only a few
// of many callers are accepted, each of them has to wait for the others: if all retried after untilFree, they would compete for
// the same slot.
func (a *AcceptanceRate) RetryAfter(untilFree time.Duration) time.Duration {
	chance := (a.accepted + 1) / (a.offered + 1)
	return min(time.Duration(float64(untilFree)/chance), max(maxRetry, untilFree))
}

// Refused returns the fraction of recent requests that were refused.
func (a *AcceptanceRate) Refused(now time.Duration) float64 {
	// Averages that have not been updated since are smaller by a factor that is the same for both.
	decay := 1.0
	if age := now - a.at; age > 0 {
		decay = max(0, 1-float64(age)/float64(acceptanceWindow))
	}
	return (a.offered - a.accepted) * decay / (a.offered*decay + 1)
}
