package backpressure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the largest service time that the histogram tells apart; longer ones count as this.
	maxLatency = 60 * time.Second
	// histogramDigits keeps service times to 10%, which is enough for a factor of two and keeps a histogram at 3 KB.
	histogramDigits = 1
	// latencyWindow is the length of one window of measurements.
	latencyWindow = time.Second
	// jumpFactor and jumpFloor define a latency jump: the median of a window is four times the server's own past, and
	// at least 20 ms longer, which is more than the pauses of a busy machine.
	jumpFactor = 4
	jumpFloor  = 20 * time.Millisecond
	// minSamples is the number of service times below which the median of a window is not compared.
	minSamples = 10
	// pastWeight is the weight of a new window in the average of medians: the past covers about 10 windows.
	pastWeight = 0.1
	// feasiblePercentile is the percentile of service times that counts as the shortest time a request can need. A
	// higher one would refuse requests that could still have been answered in time.
	feasiblePercentile = 10
)

// Latency measures service times at one back end in windows of one second and compares them with the server's own past.
type Latency struct {
	current *hdrhistogram.Histogram
	last    *hdrhistogram.Histogram
	started time.Duration
	past    float64 // microseconds, average of the medians of windows; zero before the first
	floor   time.Duration
}

// NewLatency returns an empty measurement whose first window starts now.
func NewLatency(now time.Duration) *Latency {
	return &Latency{current: newHistogram(), last: newHistogram(), started: now}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits)
}

// Record adds one service time.
func (l *Latency) Record(d time.Duration) {
	us := min(max(d.Microseconds(), 1), maxLatency.Microseconds())
	// The value is within the histogram's range, which is the only error that RecordValue has.
	_ = l.current.RecordValue(us)
}

// Window is the result of one closed window.
type Window struct {
	Median  time.Duration // zero without samples
	Samples uint64
	// Jumped is true if the median is far above the server's own past.
	Jumped bool
}

// Close ends the window if it is over and returns its result. The past takes over the new level, so that a lasting change
// of service time counts as one jump.
func (l *Latency) Close(now time.Duration) (Window, bool) {
	if now < l.started+latencyWindow {
		return Window{}, false
	}
	l.current, l.last = l.last, l.current
	l.current.Reset()
	l.started = now
	l.floor = 0
	w := Window{Samples: uint64(l.last.TotalCount())}
	if w.Samples == 0 {
		return w, true
	}
	l.floor = micros(l.last.ValueAtPercentile(feasiblePercentile))
	w.Median = micros(l.last.ValueAtPercentile(50))
	if w.Samples >= minSamples {
		w.Jumped = l.compare(w.Median)
	}
	return w, true
}

func (l *Latency) compare(median time.Duration) bool {
	us := float64(median.Microseconds())
	past := l.past
	switch {
	case past == 0:
		l.past = us
		return false
	case us > jumpFactor*past && median > micros(int64(past))+jumpFloor:
		l.past = us
		return true
	default:
		l.past = past + pastWeight*(us-past)
		return false
	}
}

// Baseline returns the usual median service time, zero if unknown.
func (l *Latency) Baseline() time.Duration { return micros(int64(l.past)) }

// Exceeds reports whether a request that ran for d without an answer shows a latency jump by itself.
func (l *Latency) Exceeds(d time.Duration) bool {
	past := l.Baseline()
	return past > 0 && d > jumpFactor*past+jumpFloor
}

// Floor returns a time that nearly every request needs at this back end, zero if unknown. It comes from the last window
// only: without answers it returns to zero, so that an outdated measurement cannot refuse requests for ever.
func (l *Latency) Floor() time.Duration { return l.floor }

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
