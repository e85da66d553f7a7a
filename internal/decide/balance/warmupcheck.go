package balance

import "time"

// Times of the status checks that ask backends for their warm-up.
const (
	// warmupCheckInterval is the time between two checks of a backend, and warmupCheckRequests the number of requests after which the
	// next one is due earlier. As many requests may reach a backend that has just turned cold without limit, from each instance.
	warmupCheckInterval = warmupWindow / 2
	warmupCheckRequests = 2
	// warmupCheckTTL is how long the answer to a check counts: until that to the next one is due.
	warmupCheckTTL = warmupCheckInterval + 300*time.Millisecond
)

// WarmupCheck is what status checks tell about the warm-up of a backend. An instance that cannot read the backends' entries uses it,
// since a running backend may turn cold at any time. The zero value has no answers. It is not safe for concurrent use.
type WarmupCheck struct {
	running   bool
	startedAt time.Duration
	requests  int           // since the last check was sent
	checkedAt time.Duration // when the last answered check was sent
	answered  bool
	coldUntil time.Duration
}

// Start counts a request for the backend. It reports whether a check is due, and records that it is sent now.
func (w *WarmupCheck) Start(now time.Duration) bool {
	w.requests++
	if w.running || (w.startedAt > 0 && now-w.startedAt < warmupCheckInterval && w.requests <= warmupCheckRequests) {
		return false
	}
	w.running, w.startedAt, w.requests = true, now, 0
	return true
}

// Answered records the answer to the check that was started last: the backend stays cold for the remaining time.
func (w *WarmupCheck) Answered(remaining, now time.Duration) {
	w.running, w.answered, w.checkedAt, w.coldUntil = false, true, w.startedAt, now+remaining
}

// Failed records that the check that was started last got no answer from the backend.
func (w *WarmupCheck) Failed() { w.running = false }

// Cold reports whether the backend has answered that it is cold.
func (w *WarmupCheck) Cold(now time.Duration) bool { return now < w.coldUntil }

// Unknown reports whether there is no recent answer, so that the backend may have turned cold.
func (w *WarmupCheck) Unknown(now time.Duration) bool {
	return !w.answered || now-w.checkedAt >= warmupCheckTTL
}
