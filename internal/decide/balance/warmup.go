package balance

import "time"

// rampWindow is the time over which requests to a cold back end are counted.
const rampWindow = time.Second

const (
	// manyInstances is the number of instances, as a multiple of the rate of a cold back end, from which only some send to it.
	manyInstances = 2
	// senders is the number of those that do, as a part of the rate; how many they are varies by chance.
	senders = 0.8
)

// WarmupLimiter counts the requests that a cold back end gets from all instances. Each instance counts its own exactly and learns the
// others' counts from their heartbeats.
type WarmupLimiter struct {
	own   []time.Duration
	peers map[string]peerCount
}

type peerCount struct {
	n  int
	at time.Duration
}

// NewWarmupLimiter returns a ramp without requests.
func NewWarmupLimiter() *WarmupLimiter { return &WarmupLimiter{peers: map[string]peerCount{}} }

// OwnCount returns this instance's requests within the window before now.
func (r *WarmupLimiter) OwnCount(now time.Duration) int {
	for len(r.own) > 0 && now-r.own[0] >= rampWindow {
		r.own = r.own[1:]
	}
	return len(r.own)
}

// SetPeerCount takes the count of another instance.
func (r *WarmupLimiter) SetPeerCount(id string, n int, now time.Duration) {
	r.peers[id] = peerCount{n, now}
}

// Take reports whether one more request may be sent, and counts it. Now is the time since the start of the process: in its first
// window a process does not know what was sent before, by itself or by others that start with it, and sends nothing. Rate is
// the number of requests a second that the back end bears; instances is the number that may send at the same moment without
// knowing of each other. Preference is the instance's own for the back end, evenly distributed from 0 to 1.
func (r *WarmupLimiter) Take(now time.Duration, rate float64, instances int, preference float64) bool {
	if now < rampWindow {
		return false
	}
	// Of many instances only as many send as the back end bears with one request each, since they hear of each other late.
	if float64(instances) > manyInstances*rate && preference*float64(instances) >= senders*rate {
		return false
	}
	total := r.OwnCount(now)
	for _, p := range r.peers {
		if now-p.at < rampWindow {
			total += p.n
		}
	}
	if float64(total)+1 > rate {
		return false
	}
	// With many instances even the first request of each would be too many, so each waits its part of the window.
	if float64(instances) > rate && len(r.own) > 0 {
		return false
	}
	r.own = append(r.own, now)
	return true
}
