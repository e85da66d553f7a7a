package balance

import "time"

// LatencyGoal are what a route asks of the time of an answer.
type LatencyGoal struct {
	// Target is the time within which an answer has its full value, counted from the arrival; zero if not stated.
	Target time.Duration
	// Remaining is the time until nobody waits for the answer any more.
	Remaining time.Duration
	// Waited is the time since the request arrived.
	Waited time.Duration
	// Priority is the request's rank; 0 is the most urgent.
	Priority int
}

// Bounds of what is worth sending.
const (
	// lateFactor is by how much an expected answer may be later than its target. Under steady overload a longer queue makes
	// every answer late, and a shorter one leaves slots idle.
	lateFactor = 1.25
	// urgentFactor is added to lateFactor for the most urgent requests, which go before others of the same service.
	urgentFactor = 0.5
	// leftFactor is the part of the time left that an expected answer may take, since the expectation is a mean.
	leftFactor = 0.8
)

// WorthSending reports whether a request is to be sent to a back end where its answer is expected after the given time. If not,
// it returns the time after which a place is likely to be free.
func WorthSending(expected, work time.Duration, t LatencyGoal) (bool, time.Duration) {
	limit := time.Duration(float64(t.Remaining) * leftFactor)
	if t.Target > 0 {
		factor := lateFactor
		if t.Priority == 0 {
			factor += urgentFactor
		}
		// Work that takes longer than the target even alone is still worth sending while nothing waits there.
		limit = min(limit, max(time.Duration(float64(t.Target)*factor)-t.Waited, work))
	}
	if expected <= limit {
		return true, 0
	}
	return false, expected - limit
}
