package balance

import "time"

// warmupWindow is the time over which requests to a cold backend are counted.
const warmupWindow = time.Second

const (
	// fewInstancesFactor is the limit, as a multiple of the rate, on what all instances send in one window before they hear of each
	// other. Above 1, instances with many callers use what others leave. It must not exceed the overshoot that backends tolerate.
	fewInstancesFactor = 1.5
	// manyInstances is the number of instances, as a multiple of the rate, above which peers' counts arrive too late to keep the
	// rate, and the quotas alone add up to it.
	manyInstances = 2
)

// WarmupLimiter limits the requests that all instances together send to a cold backend. Each instance counts its own requests
// exactly and learns the counts of its peers from their heartbeats. Peers that it does not hear of may reach the backend too, so
// it also keeps a quota of its own; the quotas of all instances add up to at most fewInstancesFactor times the rate. It is not
// safe for concurrent use.
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

// WarmupSharing describes the instances that may send requests to a cold backend.
type WarmupSharing struct {
	// Instances is the number of all such instances, reachable or not, including this one.
	Instances int
	// Rank is the position of this instance in an order of them that all instances share, from 0.
	Rank int
}

// quota returns the number of requests that this instance may send in one window, whatever its peers send.
func (s WarmupSharing) quota(rate float64) int {
	total := fewInstancesFactor * rate
	if float64(s.Instances) > manyInstances*rate {
		total = rate
	}
	whole, instances := max(1, int(total)), max(1, s.Instances)
	quota := whole / instances
	if s.Rank < whole%instances {
		quota++
	}
	return quota
}

// Take reports whether one more request may be sent, and counts it. The time now is measured from the start of the process:
// during its first window, a process does not know what was sent before by itself or by peers that start at the same time, and
// sends nothing. Rate is the number of requests per second that the backend can handle.
func (w *WarmupLimiter) Take(now time.Duration, rate float64, sharing WarmupSharing) bool {
	if now < warmupWindow {
		return false
	}
	own := w.OwnCount(now)
	if own >= sharing.quota(rate) {
		return false
	}
	total := own
	for _, p := range w.peers {
		if now-p.at < warmupWindow {
			total += p.n
		}
	}
	if float64(total)+1 > rate {
		return false
	}
	w.own = append(w.own, now)
	return true
}
