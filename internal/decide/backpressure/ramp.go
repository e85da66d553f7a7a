// Package backpressure decides how much load a backend gets and which request is sent next. It contains the limit of concurrent
// requests and its ramp, measured latency, stragglers, hot keys, the connection limit, the retry budget and the fair queue. The
// dispatch and control services of a log-based instance use it.
package backpressure

import "time"

const (
	// successesPerSlot is the number of successes after which a cold backend gets one more slot.
	successesPerSlot = 10
	// reservedConnections is the number of connections reserved for session renewals and grants, which share the connection
	// limit with requests.
	reservedConnections = 2
	// firstPause is the pause after the first shed or failed connection. It is a few times the time needed to open a connection
	// (1 ms), so that a single shed hardly delays the queue.
	firstPause = 5 * time.Millisecond
	// maxPause bounds the doubling of the pause, so that a recovered backend gets a request within 200 ms.
	maxPause = 200 * time.Millisecond
)

// Cause is the reason why a backend is treated as cold.
type Cause uint8

// Causes of a reset to one slot.
const (
	CauseConnection Cause = iota + 1
	CauseShed
	CauseRestart
	CauseLatency
)

// String returns the name of the cause for logs and metrics.
func (c Cause) String() string {
	switch c {
	case CauseConnection:
		return "connection"
	case CauseShed:
		return "shed"
	case CauseRestart:
		return "restart"
	case CauseLatency:
		return "latency"
	default:
		return "none"
	}
}

// Ramp limits the number of concurrent requests on a backend. The zero value allows none; use NewRamp. It is not safe for
// concurrent use.
//
// Invariant: 1 <= limit <= ceiling.
type Ramp struct {
	ceiling    int
	limit      int
	successes  int
	generation uint64
	pause      time.Duration
	pausedTill time.Duration
}

// NewRamp returns the ramp of a cold backend.
func NewRamp(slots, maxConnections int) Ramp {
	return Ramp{ceiling: ceiling(slots, maxConnections), limit: 1}
}

// ceiling returns the number of slots that the connection limit allows, at least one.
func ceiling(slots, maxConnections int) int {
	if maxConnections > 0 {
		slots = min(slots, maxConnections-reservedConnections)
	}
	return max(slots, 1)
}

// SetSlots changes the slots of the warm backend. A lower value takes effect at once; a higher one is reached through the ramp.
func (r *Ramp) SetSlots(slots, maxConnections int) {
	r.ceiling = ceiling(slots, maxConnections)
	r.limit = min(r.limit, r.ceiling)
}

// Resume applies the limit that a previous primary has measured on the same process. It never lowers the limit.
func (r *Ramp) Resume(limit int) { r.limit = max(r.limit, min(limit, r.ceiling)) }

// Limit returns the number of requests that may run at once.
func (r *Ramp) Limit() int { return r.limit }

// Generation changes with each reset. A success counts only for the generation in which its request was sent, since answers
// from before a restart do not apply to the process after it.
func (r *Ramp) Generation() uint64 { return r.generation }

// RecordSuccess counts a request that was answered with a status below 500 and adds one slot after every successesPerSlot of them.
func (r *Ramp) RecordSuccess(generation uint64) {
	r.pause = 0
	if generation != r.generation || r.limit >= r.ceiling {
		return
	}
	r.successes++
	if r.successes >= successesPerSlot {
		r.successes = 0
		r.limit++
	}
}

// Reset limits the backend to one request at a time. After a shed or a failed connection, it also pauses sending, twice as long
// each time until a success, because a refusal takes no time and the next request would otherwise follow at once.
func (r *Ramp) Reset(cause Cause, now time.Duration) {
	r.limit = 1
	r.successes = 0
	r.generation++
	if cause != CauseShed && cause != CauseConnection {
		return
	}
	if now < r.pausedTill {
		return
	}
	r.pause = min(max(2*r.pause, firstPause), maxPause)
	r.pausedTill = now + r.pause
}

// Capacity reports whether one more request may be sent while inFlight requests are running. If it may not be sent because of a
// pause, wait is the remaining pause.
func (r *Ramp) Capacity(inFlight int, now time.Duration) (ok bool, wait time.Duration) {
	if inFlight >= r.limit {
		return false, 0
	}
	if now < r.pausedTill {
		return false, r.pausedTill - now
	}
	return true, 0
}
