package backpressure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the upper limit of the histogram; longer service times are recorded as this value.
	maxLatency = 60 * time.Second
	// histogramDigits limits the precision of service times to 10%, which is enough to detect a factor of two and keeps the
	// size of a histogram at 3 KB.
	histogramDigits = 1
	// latencyWindow is the length of one measurement window.
	latencyWindow = time.Second
	// jumpFactor and jumpFloor define a latency jump: the median of a window is more than four times the backend's own baseline
	// and exceeds it by more than 20 ms, which is longer than the scheduling pauses of a busy machine.
	jumpFactor = 4
	jumpFloor  = 20 * time.Millisecond
	// minSamples is the number of service times below which the median of a window is not compared.
	minSamples = 10
	// baselineWeight is the weight of a new window in the average of medians. The baseline covers about 10 windows.
	baselineWeight = 0.1
	// feasiblePercentile is the percentile of service times that is taken as the shortest time a request can need. A higher
	// percentile would refuse requests that could still be answered in time.
	feasiblePercentile = 10
)

// Latency measures service times at one backend in windows of one second and compares them with the backend's own baseline. It
// is not safe for concurrent use.
type Latency struct {
	current   *hdrhistogram.Histogram
	last      *hdrhistogram.Histogram
	startedAt time.Duration
	baseline  float64 // microseconds, average of the medians of windows; zero before the first
	floor     time.Duration
}

// NewLatency returns an empty measurement whose first window starts now.
func NewLatency(now time.Duration) *Latency {
	return &Latency{current: newHistogram(), last: newHistogram(), startedAt: now}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits)
}

// Record adds one service time to the current window.
func (l *Latency) Record(d time.Duration) {
	us := min(max(d.Microseconds(), 1), maxLatency.Microseconds())
	// The value is within the range of the histogram, so RecordValue cannot fail.
	_ = l.current.RecordValue(us)
}

// Window is the result of a closed window.
type Window struct {
	Median  time.Duration // zero without samples
	Samples uint64
	// Jumped is true if the median is far above the backend's own baseline.
	Jumped bool
}

// Close closes the window and returns its result, or reports false if the window has not ended yet. After a jump, the baseline
// is set to the new level, so that a lasting change of the service time is reported as one jump.
func (l *Latency) Close(now time.Duration) (Window, bool) {
	if now < l.startedAt+latencyWindow {
		return Window{}, false
	}
	l.current, l.last = l.last, l.current
	l.current.Reset()
	l.startedAt = now
	l.floor = 0
	w := Window{Samples: uint64(l.last.TotalCount())}
	if w.Samples == 0 {
		return w, true
	}
	l.floor = micros(l.last.ValueAtPercentile(feasiblePercentile))
	w.Median = micros(l.last.ValueAtPercentile(50))
	if w.Samples >= minSamples {
		w.Jumped = l.detectJump(w.Median)
	}
	return w, true
}

func (l *Latency) detectJump(median time.Duration) bool {
	us := float64(median.Microseconds())
	baseline := l.baseline
	switch {
	case baseline == 0:
		l.baseline = us
		return false
	case us > jumpFactor*baseline && median > micros(int64(baseline))+jumpFloor:
		l.baseline = us
		return true
	default:
		l.baseline = baseline + baselineWeight*(us-baseline)
		return false
	}
}

// Baseline returns the usual median service time, zero if unknown.
func (l *Latency) Baseline() time.Duration { return micros(int64(l.baseline)) }

// Exceeds reports whether a request that has run for d without an answer indicates a latency jump by itself.
func (l *Latency) Exceeds(d time.Duration) bool {
	baseline := l.Baseline()
	return baseline > 0 && d > jumpFactor*baseline+jumpFloor
}

// Floor returns a time that nearly every request needs at this backend, zero if unknown. It is based only on the last window
// and is zero after a window without answers, so that an outdated measurement cannot cause refusals indefinitely.
func (l *Latency) Floor() time.Duration { return l.floor }

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
