package balance

import "time"

// warmupWindow is the time over which requests to a cold backend are counted.
const warmupWindow = time.Second

const (
	// manyInstancesFactor is the number of instances, as a multiple of the rate of a cold backend, above which only some of
	// them send requests to it.
	manyInstancesFactor = 2
	// senderFactor is the number of instances that do send, as a fraction of the rate. The actual number varies randomly.
	senderFactor = 0.8
)

// WarmupLimiter limits the requests that all instances together send to a cold backend. Each instance counts its own requests
// exactly and learns the counts of its peers from their heartbeats. It is not safe for concurrent use.
type WarmupLimiter struct {
	own   []time.Duration
	peers map[string]peerCount
}

type peerCount struct {
	n  int
	at time.Duration
}

// NewWarmupLimiter returns a limiter that has counted no requests.
func NewWarmupLimiter() *WarmupLimiter { return &WarmupLimiter{peers: map[string]peerCount{}} }

// OwnCount returns the number of this instance's requests within the window before now.
func (w *WarmupLimiter) OwnCount(now time.Duration) int {
	for len(w.own) > 0 && now-w.own[0] >= warmupWindow {
		w.own = w.own[1:]
	}
	return len(w.own)
}

// SetPeerCount sets the count that a peer has reported.
func (w *WarmupLimiter) SetPeerCount(id string, n int, now time.Duration) {
	w.peers[id] = peerCount{n, now}
}

// Take reports whether one more request may be sent, and counts it. The time now is measured from the start of the process:
// during its first window, a process does not know what was sent before by itself or by peers that start at the same time, and
// sends nothing. Rate is the number of requests per second that the backend can handle. Instances is the number of instances
// that may send at the same moment without knowing of each other. Preference is this instance's preference for the backend,
// evenly distributed from 0 to 1.
func (w *WarmupLimiter) Take(now time.Duration, rate float64, instances int, preference float64) bool {
	if now < warmupWindow {
		return false
	}
	// Of many instances, only as many send as the backend can handle with one request each, since peers' counts arrive late.
	if float64(instances) > manyInstancesFactor*rate && preference*float64(instances) >= senderFactor*rate {
		return false
	}
	total := w.OwnCount(now)
	for _, p := range w.peers {
		if now-p.at < warmupWindow {
			total += p.n
		}
	}
	if float64(total)+1 > rate {
		return false
	}
	// With many instances, one request from each would already exceed the rate, so an instance sends at most one per window.
	if float64(instances) > rate && len(w.own) > 0 {
		return false
	}
	w.own = append(w.own, now)
	return true
}
