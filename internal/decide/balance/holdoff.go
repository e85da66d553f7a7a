package balance

import "time"

// maxHoldOff bounds the time for which a backend can ask for no requests, so that an absurd value does not make the backend
// useless.
const maxHoldOff = time.Minute

// HoldOff records that the backend refused a request and asks for no requests for d. A backend under overload asks this of each
// instance separately. Requests in flight may still be answered; that does not end the time.
func (e *Endpoint) HoldOff(d, now time.Duration) {
	e.heldOffUntil = max(e.heldOffUntil, now+min(d, maxHoldOff))
}

// HeldOff returns how much longer the backend asks for no requests, zero if it accepts some.
func (e *Endpoint) HeldOff(now time.Duration) time.Duration { return max(e.heldOffUntil-now, 0) }

// Spread of the callers' returns after a backend accepts requests again.
const (
	// holdOffSpread is the time over which the returns are spread, relative to the time that the callers have to wait.
	holdOffSpread = 0.5
	// minHoldOffSpread keeps the returns apart after a short wait.
	minHoldOffSpread = 200 * time.Millisecond
)

// ReturnAfterHoldOff returns when a refused caller should return: after the first of the candidates accepts requests again, spread
// over some time so that the refused callers do not return at once. It returns zero if none of the candidates asked for no
// requests. The function random must return numbers from 0 to 1.
func ReturnAfterHoldOff(now time.Duration, candidates []Candidate, random func() float64) time.Duration {
	shortest := time.Duration(0)
	for _, c := range candidates {
		if d := c.Endpoint.HeldOff(now); d > 0 && (shortest == 0 || d < shortest) {
			shortest = d
		}
	}
	if shortest == 0 {
		return 0
	}
	spread := max(time.Duration(float64(shortest)*holdOffSpread), minHoldOffSpread)
	return shortest + time.Duration(float64(spread)*random())
}
