// Package backpressure decides how much load a back end gets and whose request is next: slots and their ramp, measured
// latency, stragglers, the connection limit, the retry budget and the fair queue.
package backpressure

import "time"

const (
	// successesPerSlot is the number of successes after which a cold back end gets one more slot.
	successesPerSlot = 10
	// reservedConnections are kept free of requests for session renewals and grants, which share the connection limit.
	reservedConnections = 2
	// firstPause is the pause after the first shed or failed connection. It is a few times the opening of a connection
	// (1 ms), so that a single shed hardly delays the queue.
	firstPause = 5 * time.Millisecond
	// maxPause bounds the doubling of the pause, so that a back end that works again gets a request within 200 ms.
	maxPause = 200 * time.Millisecond
)

// Cause says why a back end counts as cold.
type Cause uint8

// Causes of a return to one slot.
const (
	CauseConnection Cause = iota + 1
	CauseShed
	CauseRestart
	CauseLatency
)

// String names the cause in logs and metrics.
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

// Ramp bounds the number of requests that run on a back end at once. The zero value allows none; use NewRamp.
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

// NewRamp returns the ramp of a cold back end.
func NewRamp(slots, maxConnections int) Ramp {
	return Ramp{ceiling: ceiling(slots, maxConnections), limit: 1}
}

// ceiling is the number of slots that the connection limit allows, at least one.
func ceiling(slots, maxConnections int) int {
	if maxConnections > 0 {
		slots = min(slots, maxConnections-reservedConnections)
	}
	return max(slots, 1)
}

// SetSlots changes the slots of the warm back end. A lower value is in force at once, a higher one is ramped up to.
func (r *Ramp) SetSlots(slots, maxConnections int) {
	r.ceiling = ceiling(slots, maxConnections)
	r.limit = min(r.limit, r.ceiling)
}

// Resume takes over the limit that a former primary has measured on the same process. It never lowers the limit.
func (r *Ramp) Resume(limit int) { r.limit = max(r.limit, min(limit, r.ceiling)) }

// Limit returns the number of requests that may run at once.
func (r *Ramp) Limit() int { return r.limit }

// Generation changes with each return to one. A success counts only for the generation in which its request was sent:
// answers from before a restart say nothing about the process after it.
func (r *Ramp) Generation() uint64 { return r.generation }

// RecordSuccess counts an answered request and opens one more slot after successesPerSlot of them.
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

// Reset returns the back end to one request at a time. After a shed or a failed connection it also pauses sending, twice
// as long each time until a success, because a refusal takes no time and would otherwise be followed by the next request
// at once.
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

// Capacity reports whether one more request may be sent while inFlight are running. If it may not because of a pause, the
// pause ends after wait.
func (r *Ramp) Capacity(inFlight int, now time.Duration) (ok bool, wait time.Duration) {
	if inFlight >= r.limit {
		return false, 0
	}
	if now < r.pausedTill {
		return false, r.pausedTill - now
	}
	return true, 0
}
