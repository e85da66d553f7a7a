package balance

import "time"

// refusalTTL is how long a backend counts as cold after a refused connection if no process answers. Without it, an instance whose quota
// for cold backends is zero would never use the backend again.
const refusalTTL = 5 * time.Second

// RestartDetector decides from connections whether a backend that is listed as warm may have restarted. A refused connection proves that
// no process listened at that moment, so the process that answers later has started since and is cold. A reset connection proves nothing,
// because full backends reset connections. The zero value has seen no connections. It is not safe for concurrent use.
type RestartDetector struct {
	refused   bool          // no process has answered since refusedAt
	refusedAt time.Duration // time of the last refused connection
	coldUntil time.Duration // end of the warm-up of the process that answered after it
}

// ConnectionRefused records a refused connection.
func (r *RestartDetector) ConnectionRefused(now time.Duration) {
	r.refused, r.refusedAt = true, now
}

// Answered records that a request that was sent at the given time was answered. It reports whether the process that answered counts as
// cold from then on, because it has started after a refused connection. Warmup is how long a backend is cold after its start.
func (r *RestartDetector) Answered(sent, now, warmup time.Duration) bool {
	if !r.refused || sent < r.refusedAt {
		return false
	}
	r.refused, r.coldUntil = false, now+warmup
	return true
}

// Cold reports whether the backend counts as cold because it may have restarted.
func (r *RestartDetector) Cold(now time.Duration) bool {
	return (r.refused && now-r.refusedAt < refusalTTL) || now < r.coldUntil
}
