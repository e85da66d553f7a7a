package balance

import "time"

// LatencyGoal is what a route requires of the time until the answer.
type LatencyGoal struct {
	// Target is the time within which an answer has its full value, measured from the arrival of the request; zero if not
	// configured.
	Target time.Duration
	// Remaining is the time until the deadline of the request, after which the caller has given up.
	Remaining time.Duration
	// Waited is the time since the request arrived.
	Waited time.Duration
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
}

// localFactor is the fraction of the time left until the target within which the answer of a backend in the instance's own zone may
// be expected for the backend to take precedence over those of other zones. The remainder is for answers that take longer than
// expected.
const localFactor = 0.6

// LocalLimit returns the expected time up to which a backend in the instance's own zone takes precedence, zero if the route has no
// latency target.
func (g LatencyGoal) LocalLimit() time.Duration {
	if g.Target <= 0 {
		return 0
	}
	return time.Duration(float64(min(g.Target-g.Waited, g.Remaining)) * localFactor)
}

// Factors that limit the expected time within which a request is worth sending.
const (
	// lateFactor is how late an answer may be expected, as a multiple of its target. Under steady overload, a longer queue
	// makes every answer late, and a shorter one leaves slots idle.
	lateFactor = 1.25
	// urgentFactor is added to lateFactor for the most urgent requests, which take precedence over others of the same service.
	urgentFactor = 0.5
	// remainingFactor is the fraction of the remaining time that an expected answer may take, since the expected time is a
	// mean.
	remainingFactor = 0.8
)

// Limits under overload that lasts.
const (
	// steadyLateFactor replaces lateFactor while overload lasts. A queue that outlasts a peak makes every answer late and serves
	// not one request more: with a tenth more requests than the backends can serve, 0.43 of them were answered in time with lateFactor
	// and 0.83 with steadyLateFactor.
	steadyLateFactor = 0.75
	// steadyRefusals is the fraction of recent requests that were refused from which overload counts as lasting.
	steadyRefusals = 0.05
)

// WorthSendingUnderLoad is WorthSending with a queue that is the shorter, the more of the recent requests were refused.
func WorthSendingUnderLoad(expected, serviceTime time.Duration, goal LatencyGoal, refused float64) (bool, time.Duration) {
	return worthSending(expected, serviceTime, goal, lateFactor-(lateFactor-steadyLateFactor)*min(refused/steadyRefusals, 1))
}

// WorthSending reports whether to send a request to a backend where its answer is expected after the given time. If not, it
// returns the time after which a slot is likely to be free.
func WorthSending(expected, serviceTime time.Duration, goal LatencyGoal) (bool, time.Duration) {
	return worthSending(expected, serviceTime, goal, lateFactor)
}

func worthSending(expected, serviceTime time.Duration, goal LatencyGoal, factor float64) (bool, time.Duration) {
	limit := time.Duration(float64(goal.Remaining) * remainingFactor)
	if goal.Target > 0 {
		if goal.Priority == 0 {
			factor += urgentFactor
		}
		// A request whose service time alone exceeds the target is still worth sending while the backend has no queue.
		limit = min(limit, max(time.Duration(float64(goal.Target)*factor)-goal.Waited, serviceTime))
	}
	if expected <= limit {
		return true, 0
	}
	return false, expected - limit
}
