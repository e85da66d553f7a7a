// Package balance decides which backend gets a request and whether sending it is worthwhile. The decision is based on the
// requests in flight from all instances, the measured service time and the load that the backend last reported. The loads
// service of a store-based instance uses it.
package balance

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// Weights of measurements, penalties and pauses.
const (
	// learnRate is the weight of a new measurement of the service time.
	learnRate = 0.2
	// failureRate is the weight of a new success or failure in the fraction of failures.
	failureRate = 0.25
	// failurePenalty is added to the cost factor of a backend that fails all requests, and proportionally less for one that
	// fails some of them.
	failurePenalty = 6.0
	// loadReportAge is how long a backend's report of its current slowdown is valid. The slowdown changes several times a
	// second.
	loadReportAge = 250 * time.Millisecond
	// firstPause is how long a backend that could not be reached gets no requests. The pause doubles up to maxPause.
	firstPause = 200 * time.Millisecond
	maxPause   = 1600 * time.Millisecond
	// initialServiceTime is assumed before the first measurement.
	initialServiceTime = 90 * time.Millisecond
	// coldFactor is how much longer a cold backend is expected to take.
	coldFactor = 2.0
)

// Endpoint is what an instance knows about the load of one backend. The zero value is not usable; use NewEndpoint. It is not
// safe for concurrent use.
type Endpoint struct {
	slots        int
	inFlight     int
	peers        map[entity.InstanceID]int
	peerInFlight int

	serviceTime time.Duration // of a request of mean work, without queueing, at no slowdown
	measured    int           // number of measurements of serviceTime
	slowdown    float64
	slowdownAt  time.Duration
	failures    float64 // fraction of recent requests that failed or were refused, 0 to 1

	pausedUntil time.Duration
	pause       time.Duration
	// heldOffUntil is when the time ends for which the backend itself asked for no requests.
	heldOffUntil time.Duration
}

// NewEndpoint returns the state of a backend of which only the number of slots is known.
func NewEndpoint(slots int) *Endpoint {
	return &Endpoint{slots: max(slots, 1), peers: map[entity.InstanceID]int{}, serviceTime: initialServiceTime, slowdown: 1}
}

// InFlight returns the number of this instance's requests on the backend.
func (e *Endpoint) InFlight() int { return e.inFlight }

// TotalInFlight returns the number of requests from all instances on the backend, as far as peers have reported theirs.
func (e *Endpoint) TotalInFlight() int { return e.inFlight + e.peerInFlight }

// Start counts a request that is sent now. It returns the number of requests on the backend, including this one.
func (e *Endpoint) Start() int {
	e.inFlight++
	return e.TotalInFlight()
}

// SetPeerInFlight sets the number of requests that a peer has in flight on the backend.
func (e *Endpoint) SetPeerInFlight(id entity.InstanceID, n int) {
	e.peerInFlight += n - e.peers[id]
	if n == 0 {
		delete(e.peers, id)
		return
	}
	e.peers[id] = n
}

// ReportSlowdown applies the backend's own report of how long requests take at the moment, relative to their usual service
// time.
func (e *Endpoint) ReportSlowdown(slowdown float64, now time.Duration) {
	e.slowdown, e.slowdownAt = max(slowdown, 0.1), now
}

// Succeeded finishes a request that was answered after took. Position is the number of requests on the backend when it was
// sent, as returned by Start. It returns the service time of the request, without queueing and at no slowdown.
func (e *Endpoint) Succeeded(took time.Duration, position int, work Work, now time.Duration) time.Duration {
	e.inFlight--
	e.failures *= 1 - failureRate
	e.pause, e.pausedUntil = 0, 0
	sample := float64(took) / (work.factor() + e.queue(position)) / e.currentSlowdown(now)
	mean := e.meanServiceTime(work)
	e.serviceTime = mean + time.Duration(learnRate*(sample-float64(mean)))
	e.measured++
	return time.Duration(sample * work.factor())
}

// minMeasurements is the number of measurements from which the service time counts as known.
const minMeasurements = 4

// MeasuredServiceTime returns the service time without queueing and at no slowdown. It reports false if there are too few
// measurements.
func (e *Endpoint) MeasuredServiceTime() (time.Duration, bool) {
	return e.serviceTime, e.measured >= minMeasurements
}

// Failed finishes a request that the backend refused, failed or did not answer.
func (e *Endpoint) Failed() {
	e.inFlight--
	e.failures += failureRate * (1 - e.failures)
}

// Unreachable finishes a request for which no connection could be opened, and pauses the backend.
func (e *Endpoint) Unreachable(now time.Duration) {
	e.inFlight--
	e.pause = min(max(2*e.pause, firstPause), maxPause)
	e.pausedUntil = now + e.pause
}

// Abandoned finishes a request whose caller has given up.
func (e *Endpoint) Abandoned() { e.inFlight-- }

// Paused reports whether the backend gets no requests because it could not be reached recently.
func (e *Endpoint) Paused(now time.Duration) bool { return now < e.pausedUntil }

// ServiceTime returns the expected service time of a request without queueing, at the current slowdown.
func (e *Endpoint) ServiceTime(now time.Duration, work Work) time.Duration {
	return time.Duration(float64(e.meanServiceTime(work)) * work.factor() * e.currentSlowdown(now))
}

// Expected returns the expected time until a request that is sent now is answered.
func (e *Endpoint) Expected(now time.Duration, work Work, cold bool) time.Duration {
	expected := float64(e.meanServiceTime(work)) * e.currentSlowdown(now) * (work.factor() + e.queue(e.TotalInFlight()+1))
	if cold {
		expected *= coldFactor
	}
	return time.Duration(expected)
}

// Cost returns the expected time with a penalty for failures. It is used to choose between backends.
func (e *Endpoint) Cost(now time.Duration, work Work, cold bool) time.Duration {
	return time.Duration(float64(e.Expected(now, work, cold)) * (1 + failurePenalty*e.failures))
}

// meanServiceTime returns the service time of a request of mean work at this backend. A backend without a measurement counts as one
// of mean speed.
func (e *Endpoint) meanServiceTime(work Work) time.Duration {
	if e.measured == 0 && work.Mean > 0 {
		return work.Mean
	}
	return e.serviceTime
}

// queue returns how long a request waits for a slot if it is at the given position on the backend, in service times.
func (e *Endpoint) queue(position int) float64 {
	return max(0, float64(position)/float64(e.slots)-1)
}

func (e *Endpoint) currentSlowdown(now time.Duration) float64 {
	if now-e.slowdownAt > loadReportAge {
		return 1
	}
	return e.slowdown
}
