// Package balance decides which back end gets a request and whether sending it is worth while: from the requests in flight of
// all instances, the measured time of work and what the back end last said of its load.
package balance

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// Weights of measurements and penalties.
const (
	// learnRate is the weight of a new measurement of the time of work.
	learnRate = 0.2
	// failureRate is the weight of a new success or failure in the share of failures.
	failureRate = 0.25
	// failurePenalty multiplies the expected time of a back end that fails all requests, less for part of them.
	failurePenalty = 6.0
	// loadReportAge is how long a back end's word on its momentary slowdown counts. It changes several times a second.
	loadReportAge = 250 * time.Millisecond
	// firstPause is how long a back end that could not be reached gets nothing; it doubles up to maxPause.
	firstPause = 200 * time.Millisecond
	maxPause   = 1600 * time.Millisecond
	// initialWork is assumed before anything was measured.
	initialWork = 90 * time.Millisecond
	// coldFactor is how much longer a cold back end is expected to take.
	coldFactor = 2.0
)

// Endpoint is what an instance knows of one back end's load. The zero value is not usable; use NewEndpoint.
type Endpoint struct {
	slots    int
	inFlight int
	peers    map[entity.InstanceID]int
	ofPeers  int

	work     time.Duration // time of work without waiting, at no slowdown
	measured int           // number of measurements of work
	slowdown float64
	saidAt   time.Duration
	failures float64 // share of recent requests that failed or were refused, 0 to 1

	pausedUntil time.Duration
	pause       time.Duration
}

// NewEndpoint returns the state of a back end that nothing is known of but its slots.
func NewEndpoint(slots int) *Endpoint {
	return &Endpoint{slots: max(slots, 1), peers: map[entity.InstanceID]int{}, work: initialWork, slowdown: 1}
}

// InFlight returns this instance's requests on the back end.
func (e *Endpoint) InFlight() int { return e.inFlight }

// TotalInFlight returns the requests of all instances on the back end, as far as they are known.
func (e *Endpoint) TotalInFlight() int { return e.inFlight + e.ofPeers }

// Start counts a request that is sent now. It returns the number of requests ahead of it and itself.
func (e *Endpoint) Start() int {
	e.inFlight++
	return e.TotalInFlight()
}

// SetPeerInFlight takes over the requests in flight of another instance.
func (e *Endpoint) SetPeerInFlight(id entity.InstanceID, n int) {
	e.ofPeers += n - e.peers[id]
	if n == 0 {
		delete(e.peers, id)
		return
	}
	e.peers[id] = n
}

// ReportSlowdown takes the back end's own word on how long work takes at the moment, relative to the usual.
func (e *Endpoint) ReportSlowdown(slowdown float64, now time.Duration) {
	e.slowdown, e.saidAt = max(slowdown, 0.1), now
}

// Succeeded ends a request that was answered after the given time, with position requests on the back end when it began.
func (e *Endpoint) Succeeded(took time.Duration, position int, now time.Duration) {
	e.inFlight--
	e.failures *= 1 - failureRate
	e.pause, e.pausedUntil = 0, 0
	work := float64(took) / e.queueFactor(position) / e.momentary(now)
	e.work += time.Duration(learnRate * (work - float64(e.work)))
	e.measured++
}

// leastMeasurements is the number of measurements from which the time of work counts as known.
const leastMeasurements = 4

// MeasuredServiceTime returns the time of work without waiting at no slowdown. It reports false if too little is known of it.
func (e *Endpoint) MeasuredServiceTime() (time.Duration, bool) {
	return e.work, e.measured >= leastMeasurements
}

// Failed ends a request that the back end refused, failed or did not answer.
func (e *Endpoint) Failed() {
	e.inFlight--
	e.failures += failureRate * (1 - e.failures)
}

// Unreachable ends a request for which no connection could be opened, and pauses the back end.
func (e *Endpoint) Unreachable(now time.Duration) {
	e.inFlight--
	e.pause = min(max(2*e.pause, firstPause), maxPause)
	e.pausedUntil = now + e.pause
}

// Abandoned ends a request whose caller left.
func (e *Endpoint) Abandoned() { e.inFlight-- }

// Paused reports whether the back end could not be reached lately.
func (e *Endpoint) Paused(now time.Duration) bool { return now < e.pausedUntil }

// ServiceTime returns the expected time of work of one request without waiting.
func (e *Endpoint) ServiceTime(now time.Duration) time.Duration {
	return time.Duration(float64(e.work) * e.momentary(now))
}

// Expected returns when a request sent now is expected to be answered, from now.
func (e *Endpoint) Expected(now time.Duration, cold bool) time.Duration {
	expected := float64(e.work) * e.momentary(now) * e.queueFactor(e.TotalInFlight()+1)
	if cold {
		expected *= coldFactor
	}
	return time.Duration(expected)
}

// Cost is Expected with a penalty for failures, for the choice among several.
func (e *Endpoint) Cost(now time.Duration, cold bool) time.Duration {
	return time.Duration(float64(e.Expected(now, cold)) * (1 + failurePenalty*e.failures))
}

// queueFactor is by how much a request takes longer than its work if it is the given one on the back end.
func (e *Endpoint) queueFactor(position int) float64 {
	return max(1, float64(position)/float64(e.slots))
}

func (e *Endpoint) momentary(now time.Duration) float64 {
	if now-e.saidAt > loadReportAge {
		return 1
	}
	return e.slowdown
}

// Candidate is a back end that may get the request.
type Candidate struct {
	Endpoint *Endpoint
	Cold     bool
	// SameZone is true for a back end in the instance's own zone.
	SameZone bool
	// Preference orders the back ends that cost the same, from 0 to 1. It differs from instance to instance and stays the same for
	// each, so that instances that know the same do not all choose the same back end, and connections are used again.
	Preference float64
}

// Factors of the cost.
const (
	// farPenalty makes a back end in another zone cost more, for the bytes that cross. One with a free slot there costs less than
	// one nearby whose slots are all taken.
	farPenalty = 1.4
	// preferenceSpread is the width of the factor by which the preference changes the cost.
	preferenceSpread = 0.3
	// spread is the width of the random factor, which keeps the load of an instance from moving to and fro as a whole.
	spread = 0.05
)

// Choose returns the index of the candidate with the least cost, or -1 if there is none. Random returns numbers from 0 to 1.
func Choose(now time.Duration, candidates []Candidate, random func() float64) int {
	best, bestCost := -1, 0.0
	for i, c := range candidates {
		if c.Endpoint.Paused(now) {
			continue
		}
		cost := float64(c.Endpoint.Cost(now, c.Cold)) * (1 + preferenceSpread*c.Preference) * (1 + spread*random())
		if !c.SameZone {
			cost *= farPenalty
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}
