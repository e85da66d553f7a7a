package balance

import (
	"math"
	"time"
)

const (
	// pressureTime is the time over which refusals are averaged. Hot spells last a few seconds.
	pressureTime = 1500 * time.Millisecond
	// maxRetry bounds the time that refused callers are told. What keeps a place busy for longer is likely to have changed by then.
	maxRetry = 5 * time.Second
)

// AcceptanceRate is how many of the requests for one place found room lately. The zero value has seen none.
type AcceptanceRate struct {
	asked, placed float64 // averaged over pressureTime
	at            time.Duration
}

// Record notes a request and whether there was room for it.
func (p *AcceptanceRate) Record(placed bool, now time.Duration) {
	if now > p.at {
		decay := math.Exp(-(now - p.at).Seconds() / pressureTime.Seconds())
		p.asked, p.placed, p.at = p.asked*decay, p.placed*decay, now
	}
	p.asked++
	if placed {
		p.placed++
	}
}

// RetryAfter returns when a refused caller is likely to find room, if a place is free after the given time. Where few of many callers
// find room, each of them has to wait for the others: told the time until the next place is free, all would come back for it.
func (p *AcceptanceRate) RetryAfter(free time.Duration) time.Duration {
	chance := (p.placed + 1) / (p.asked + 1)
	return min(time.Duration(float64(free)/chance), max(maxRetry, free))
}
