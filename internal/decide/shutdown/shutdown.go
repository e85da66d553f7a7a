// Package shutdown decides which requests an instance still accepts during a planned stop. A request that is refused has not run and
// can be served at once by another instance; one that is accepted and still running at the end of the stop has an unknown outcome.
package shutdown

import "time"

// reserveFactor is how many times its latency target a request must have until the end of the stop to be accepted. Requests are only
// sent to backends that are expected to answer within 1.75 times the target; the remainder allows for a slower answer.
const reserveFactor = 2.5

// Schedule is the schedule of a planned stop. The zero value means that no stop was requested.
type Schedule struct {
	// StopBy is when requests in progress are canceled; zero if no stop was requested.
	StopBy time.Duration
	// ConnectionsClosed is set once connections without a request have been closed. Callers then connect to other instances.
	ConnectionsClosed bool
}

// Request is a request that has arrived.
type Request struct {
	// End is when the request ends at the latest, by its caller's deadline or its route's time limit.
	End time.Duration
	// LatencyTarget is the time within which an answer has its full value; zero if not configured.
	LatencyTarget time.Duration
}

// Accepts reports whether to accept a request at the given time. Load: requests of callers that have not yet noticed the stop, and
// requests whose last part arrives late.
func (s Schedule) Accepts(r Request, now time.Duration) bool {
	switch {
	case s.StopBy == 0 || r.End <= s.StopBy:
		return true
	case s.ConnectionsClosed || r.LatencyTarget <= 0:
		return false
	default:
		return s.StopBy-now >= time.Duration(float64(r.LatencyTarget)*reserveFactor)
	}
}
