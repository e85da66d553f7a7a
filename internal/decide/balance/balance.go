// Package balance decides which backend gets a request and whether sending it is worthwhile. The decision is based on the
// requests in flight from all instances, the measured service time and the load that the backend last reported. The loads
// service of a store-based instance uses it.
package balance

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/capacity"
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
	// occupancyAge is the time over which a backend's report of its requests is replaced by what peers report.
	occupancyAge = 200 * time.Millisecond
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
	// meanPeers is the mean of peerInFlight over the time in which peers report, used while their reports are stale.
	meanPeers   float64
	meanPeersAt time.Duration
	stale       bool
	// unreported is how many more requests the backend had, by its own report, than this instance knew of at unreportedAt.
	unreported   float64
	unreportedAt time.Duration

	serviceTime time.Duration // of a request of mean work, without queueing, at no slowdown
	measured    int           // number of measurements of serviceTime
	slowdown    float64
	slowdownAt  time.Duration
	reported    int // requests at the backend by its last report, zero if there was none since the last answer
	// capacity is learned if adaptive is true. Otherwise the slots are the capacity, and serviceTime is used.
	capacity capacity.Estimator
	adaptive bool
	failures float64 // fraction of recent requests that failed or were refused, 0 to 1

	pausedUntil time.Duration
	pause       time.Duration
	// heldOffUntil is when the time ends for which the backend itself asked for no requests.
	heldOffUntil time.Duration
}

// NewEndpoint returns the state of a backend of which only the number of slots is known.
func NewEndpoint(slots int) *Endpoint {
	return &Endpoint{slots: max(slots, 1), peers: map[entity.InstanceID]int{}, serviceTime: initialServiceTime, slowdown: 1}
}

// NewAdaptiveEndpoint returns the state of a backend of which only the number of slots is known, and whose capacity is learned.
func NewAdaptiveEndpoint(slots int) *Endpoint {
	e := NewEndpoint(slots)
	e.capacity, e.adaptive = capacity.New(slots), true
	return e
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

// ReportOccupancy applies the backend's own report of the number of requests that it runs or queues. It applies to the answer that is
// recorded next.
func (e *Endpoint) ReportOccupancy(requests int) { e.reported = requests }

// Succeeded finishes a request that was answered after took. Position is the number of requests on the backend when it was
// sent, as returned by Start. It returns the service time of the request, without queueing and at no slowdown.
func (e *Endpoint) Succeeded(took time.Duration, position int, work Work, now time.Duration) time.Duration {
	e.inFlight--
	e.failures *= 1 - failureRate
	e.pause, e.pausedUntil = 0, 0
	if e.adaptive {
		return e.learn(took, position, work, now)
	}
	sample := float64(took) / (work.factor() + e.queue(position)) / e.currentSlowdown(now)
	mean := e.meanServiceTime(work)
	e.serviceTime = mean + time.Duration(learnRate*(sample-float64(mean)))
	e.measured++
	return time.Duration(sample * work.factor())
}

// learn records an answer in the learned capacity.
func (e *Endpoint) learn(took time.Duration, position int, work Work, now time.Duration) time.Duration {
	occupancy := float64(max(position, 1))
	if e.reported > 0 {
		// The position does not contain what peers have sent since their last report, and the backend's report does not contain
		// what ended before it.
		occupancy = (occupancy + float64(e.reported)) / 2
		e.unreported, e.unreportedAt = float64(e.reported-1-e.TotalInFlight()), now
		e.reported = 0
	}
	sample := capacity.Sample{
		Took: time.Duration(float64(took) / e.currentSlowdown(now)), Work: work.factor(), Occupancy: occupancy, Mean: work.Mean,
	}
	unloaded := e.capacity.Record(sample, now)
	e.serviceTime, _ = e.capacity.ServiceTime(now, work.Mean)
	e.measured++
	return time.Duration(float64(unloaded) * work.factor())
}

// Capacity returns the learned capacity; nil if it is not learned.
func (e *Endpoint) Capacity() *capacity.Estimator {
	if !e.adaptive {
		return nil
	}
	return &e.capacity
}

// SlotTime returns the time for which a request of mean work keeps one of the backend's slots busy, given the service time that
// Succeeded has returned for a request: it is longer if the backend slows down below its slots.
func (e *Endpoint) SlotTime(served time.Duration, work Work) time.Duration {
	unloaded := float64(served) / work.factor()
	if !e.adaptive {
		return time.Duration(unloaded)
	}
	return time.Duration(unloaded * float64(e.slots) / max(e.capacity.LastLimit(), 1))
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
	return time.Duration(float64(e.currentServiceTime(now, work)) * work.factor() * e.currentSlowdown(now))
}

// Expected returns the expected time until a request that is sent now is answered.
func (e *Endpoint) Expected(now time.Duration, work Work, cold bool) time.Duration {
	expected := float64(e.currentServiceTime(now, work)) * e.currentSlowdown(now) * (work.factor() + e.waiting(now))
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

// currentServiceTime returns the service time without queueing and at no slowdown.
func (e *Endpoint) currentServiceTime(now time.Duration, work Work) time.Duration {
	if !e.adaptive {
		return e.meanServiceTime(work)
	}
	if learned, ok := e.capacity.ServiceTime(now, work.Mean); ok {
		return learned
	}
	return e.meanServiceTime(work)
}

// waiting returns how long a request that is sent now waits, in service times.
func (e *Endpoint) waiting(now time.Duration) float64 {
	if !e.adaptive {
		return e.queue(e.TotalInFlight() + 1)
	}
	return max(0, (e.ahead(now)+1)/e.capacity.Limit(now)-1)
}

// ahead returns the number of requests on the backend as far as it is known.
func (e *Endpoint) ahead(now time.Duration) float64 {
	if e.stale {
		return float64(e.inFlight) + e.meanPeers
	}
	known := float64(e.TotalInFlight())
	if age := now - e.unreportedAt; age < occupancyAge {
		known += e.unreported * (1 - float64(age)/float64(occupancyAge))
	}
	return max(known, float64(e.inFlight))
}

// crowding returns the factor by which the cost of a backend rises with its requests before any of them waits.
func (e *Endpoint) crowding(now time.Duration, slope float64) float64 {
	if !e.adaptive {
		return 1
	}
	return 1 + slope*e.ahead(now)/e.capacity.Limit(now)
}

// averagePeers makes the expected time depend on the mean of what peers have reported over the given time, zero for their last reports.
func (e *Endpoint) averagePeers(over, now time.Duration) {
	e.stale = over > 0
	if e.stale {
		e.meanPeers += (float64(e.peerInFlight) - e.meanPeers) * min(float64(now-e.meanPeersAt)/float64(over), 1)
	}
	e.meanPeersAt = now
}

// limit returns the number of requests that the backend works on at once without slowing down.
func (e *Endpoint) limit(now time.Duration) float64 {
	if !e.adaptive {
		return float64(e.slots)
	}
	return e.capacity.Limit(now)
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
