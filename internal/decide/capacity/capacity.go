// Package capacity learns how much load a backend handles well: its unloaded service time, the number of requests that it works on
// at once without slowing down, and the throughput that follows from both. Package balance uses it to choose a backend.
package capacity

import "time"

// Learning rates and time limits.
const (
	// serviceRate is the weight of a new measurement in the service time.
	serviceRate = 0.2
	// curveRate is the weight of a new measurement at one occupancy. It is lower than serviceRate, since a limit that follows the
	// spread of single requests would vary between equal backends.
	curveRate = 0.08
	// priorSamples is the number of measurements that the assumption of no slowdown counts as.
	priorSamples = 4
	// trustSamples is the number of recent measurements of the idle backend at which half of a deviation is attributed to the limit.
	trustSamples = 1
	// maxIdleSamples bounds the weight of the measurements of the idle backend.
	maxIdleSamples = 8
	// tolerance is the slowdown below the slots that counts as none. Requests of one route differ by more.
	tolerance = 1.25
	// decayStep is the interval at which old measurements are decayed.
	decayStep = 100 * time.Millisecond
	// curveDecay is the fraction of a slowdown that remains after one decayStep. After 2 s of doubt a fifth remains, so that a backend
	// that has recovered is tried at a higher occupancy again.
	curveDecay = 0.92
	// curveSilence is the time without an answer at one occupancy after which its slowdown is doubted.
	curveSilence = 1500 * time.Millisecond
	// silence is the time without an answer after which a slow service time is doubted.
	silence = 300 * time.Millisecond
	// spikeDecay is the fraction of a spike that remains after one decayStep without answers.
	spikeDecay = 0.85
	// spikeFactor is the ratio to the mean service time of all backends above which a service time is doubted: the backend may have
	// recovered without anyone sending it a request. Lasting differences of speed are smaller.
	spikeFactor = 1.8
	// doubted is the ratio to the mean that is assumed in the end. It is above 1, so that the backend is tried when others are busy.
	doubted = 1.3
	// longTerm is the time over which the long-term service time is averaged.
	longTerm = 20 * time.Second
	// maxGap bounds the weight of one measurement in the long-term service time.
	maxGap = time.Second
	// maxSteps bounds the work after a long time without requests. By then everything has decayed.
	maxSteps = 60
	// minMeasurements is the number of measurements from which the long-term values count as known. With fewer, equal backends
	// seem to differ by a quarter.
	minMeasurements = 20
	// levels is the number of occupancies that are measured separately.
	levels = 4
	// maxRatio bounds a measurement relative to the service time, so that a single slow request is not taken for a slow backend.
	maxRatio = 6.0
)

// Estimator learns the capacity of one backend from the answers that one instance gets. The zero value is not usable; use New. It is
// not safe for concurrent use. Its methods allocate nothing.
type Estimator struct {
	slots     float64
	service   float64 // unloaded service time of a request of mean work, in ns
	longTerm  float64 // the same, averaged over longTerm
	mean      float64 // service time of all backends of the service, in ns, zero if unknown
	meanLimit float64 // limit, averaged over longTerm
	doubtful  bool    // the service time is doubted until the next answer
	halved    bool
	measured  int
	curve     [levels]float64       // service time at each occupancy relative to service
	counts    [levels]float64       // weight of the measurements in curve
	seen      [levels]time.Duration // time of the last measurement in curve
	limit     float64
	// answered is the time of the last answer, decayed the time up to which old measurements were decayed.
	answered, decayed time.Duration
}

// New returns the state of a backend with the given number of slots, of which nothing has been measured. Its limit is the slots.
func New(slots int) Estimator {
	e := Estimator{slots: max(float64(slots), 1)}
	e.limit, e.meanLimit = e.slots, e.slots
	for i := range e.curve {
		e.curve[i] = 1
	}
	return e
}

// Sample is the measurement of one answer.
type Sample struct {
	// Took is the time from sending to the answer, divided by the slowdown that the backend itself reports.
	Took time.Duration
	// Work is the work of the request relative to the mean.
	Work float64
	// Occupancy is the number of requests at the backend, this one included.
	Occupancy float64
	// Mean is the mean service time of all backends of the service, zero if unknown. It is assumed until the first measurement.
	Mean time.Duration
}

// Record adds a measurement. It returns the service time of the request of mean work, without queueing.
func (e *Estimator) Record(s Sample, now time.Duration) time.Duration {
	e.mean = float64(s.Mean)
	e.decay(now)
	level := e.level(s.Occupancy)
	observed := float64(s.Took) / (s.Work + max(0, s.Occupancy/e.slots-1))
	unloaded := observed / e.curve[level]
	switch {
	case e.measured == 0 && s.Mean <= 0:
		e.service, e.longTerm = unloaded, unloaded
	case e.measured == 0:
		e.service, e.longTerm = float64(s.Mean), float64(s.Mean)
	}
	// While the service time of an idle backend is known, a slow answer of a busy one says more about its limit.
	trust := e.counts[0] / (e.counts[0] + trustSamples)
	rate := serviceRate
	if level == 0 {
		e.counts[0] = min(e.counts[0]+1, maxIdleSamples)
	} else if e.service > 0 {
		rate *= 1 - trust
		e.counts[level]++
		step := trust * max(curveRate, 1/(e.counts[level]+priorSamples))
		e.curve[level] = max(1, e.curve[level]+step*(min(observed/e.service, maxRatio)-e.curve[level]))
		if e.counts[level] >= priorSamples {
			for i := range level { // a backend that is fast with more requests is no slower with fewer
				e.curve[i] = min(e.curve[i], e.curve[level])
			}
		}
		e.setLimit()
	}
	e.seen[level] = now
	e.service += rate * (unloaded - e.service)
	weight := max(float64(min(now-e.answered, maxGap))/float64(longTerm), 0)
	if e.measured < minMeasurements {
		weight = 1 / float64(e.measured+1) // the plain mean
	}
	e.longTerm += weight * (unloaded - e.longTerm)
	e.meanLimit += weight * (e.limit - e.meanLimit)
	e.measured++
	e.answered, e.doubtful = now, false
	return time.Duration(unloaded)
}

// level returns the index of the curve for an occupancy.
func (e *Estimator) level(occupancy float64) int {
	return min(max(int((occupancy-1)*levels/e.slots), 0), levels-1)
}

// setLimit sets the limit to the highest throughput at any occupancy, in requests per unloaded service time. An occupancy slows the
// backend down at least as much as a lower one.
func (e *Estimator) setLimit() {
	best, slowdown := 1.0, 1.0
	for i, measured := range e.curve {
		if measured > tolerance {
			slowdown = max(slowdown, measured)
		}
		best = max(best, e.slots*float64(i+1)/levels/slowdown)
	}
	e.limit = min(best, e.slots)
}

// decay moves old measurements towards the assumption that the backend is not slowed down.
func (e *Estimator) decay(now time.Duration) {
	steps := min(int((now-e.decayed)/decayStep), maxSteps)
	if steps <= 0 {
		return
	}
	if now-e.answered > silence && e.service > spikeFactor*e.mean {
		e.doubtful = true
	}
	for range steps {
		for i := range levels {
			if now-e.seen[i] > curveSilence {
				e.curve[i] = 1 + (e.curve[i]-1)*curveDecay
				e.counts[i] *= curveDecay
			}
		}
		if e.doubtful && e.mean > 0 && e.service > doubted*e.mean {
			e.service = doubted*e.mean + (e.service-doubted*e.mean)*spikeDecay
		}
	}
	e.setLimit()
	e.decayed = now
}

// Limit returns the number of requests that the backend works on at once without slowing down, from 1 to the slots.
func (e *Estimator) Limit(now time.Duration) float64 {
	if now-e.decayed >= decayStep {
		e.decay(now)
	}
	return e.limit
}

// ServiceTime returns the unloaded service time of a request of mean work, which is mean at all backends of the service and zero if
// unknown. It reports false before the first measurement.
func (e *Estimator) ServiceTime(now, mean time.Duration) (time.Duration, bool) {
	e.mean = float64(mean)
	if now-e.decayed >= decayStep {
		e.decay(now)
	}
	return time.Duration(e.service), e.measured > 0
}

// LastLimit returns the limit as of the last measurement or decay.
func (e *Estimator) LastLimit() float64 { return e.limit }

// LastServiceTime returns the unloaded service time as of the last measurement or decay.
func (e *Estimator) LastServiceTime() time.Duration { return time.Duration(e.service) }

// Throughput returns the number of requests of mean work per second that the backend handles well, averaged over some 20 s, so that
// load peaks and neighbours hardly change it. It reports false if there are too few measurements.
func (e *Estimator) Throughput() (float64, bool) {
	if e.measured < minMeasurements || e.longTerm <= 0 {
		return 0, false
	}
	return e.meanLimit / time.Duration(e.longTerm).Seconds(), true
}

// Change is a change of the limit that operators are told of.
type Change int

// The changes.
const (
	Unchanged Change = iota
	Halved           // the limit fell to half of the slots
	Restored         // the limit is at the slots again after it was halved
)

// Change returns the change since the last call.
func (e *Estimator) Change() Change {
	switch {
	case !e.halved && e.limit <= e.slots/2 && e.slots > 1:
		e.halved = true
		return Halved
	case e.halved && e.limit >= e.slots:
		e.halved = false
		return Restored
	}
	return Unchanged
}

// differs is the ratio of throughputs per slot below which backends count as equally fast.
const differs = 1.25

// maxRelative bounds how much faster or slower than the others a backend counts.
const maxRelative = 2.0

// Shares returns the capacities of the backends of a service relative to one slot of mean speed, from their slots and measured
// throughputs. A throughput of zero is unknown and counts as that of the mean. Backends that differ from the mean by less than a quarter
// count as equally fast, since moving keys between them would cost more than it gains.
func Shares(slots, throughputs []float64) []float64 {
	sum, known := 0.0, 0.0
	for i, t := range throughputs {
		if t > 0 {
			sum, known = sum+t, known+slots[i]
		}
	}
	shares := make([]float64, len(slots))
	for i := range shares {
		shares[i] = slots[i]
		if throughputs[i] > 0 && slots[i] > 0 {
			relative := throughputs[i] / slots[i] * known / sum
			if relative >= differs || relative <= 1/differs {
				shares[i] *= min(max(relative, 1/maxRelative), maxRelative)
			}
		}
	}
	return shares
}
