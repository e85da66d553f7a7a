package backpressure_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/backpressure"
)

// A backend in cold start handles two requests at once until it has answered 20. These are the defaults of the simulated backend
// (standin).
const (
	coldCapacity    = 2
	coldWarmAfter   = 20
	coldServiceTime = 20 * time.Millisecond
	coldSlots       = 8
)

// Guards against a backend in cold start getting more requests at once than it can handle while requests queue for it. Without
// a ramp, it gets more.
func TestRampAgainstColdStart(t *testing.T) {
	ramp := backpressure.NewRamp(coldSlots, 0)
	excess, warm := sendWhileCold(ramp.Limit, func() { ramp.RecordSuccess(ramp.Generation()) })
	excessWithoutRamp, warmWithoutRamp := sendWhileCold(func() int { return coldSlots }, func() {})
	t.Logf("requests beyond the capacity of a cold backend until %d are answered: ramp %d, no ramp %d; warm after %v, without a ramp "+
		"%v if it survives", coldWarmAfter, excess, excessWithoutRamp, warm, warmWithoutRamp)
	require.Zero(t, excess)
	require.Positive(t, excessWithoutRamp)
}

// sendWhileCold sends as many requests as the limit allows at each moment. It returns how many requests began beyond the
// capacity of the backend and when the backend was warm.
func sendWhileCold(limit func() int, success func()) (excess int, warmAt time.Duration) {
	var running []time.Duration // end times, in order of sending
	now, answered := time.Duration(0), 0
	for answered < coldWarmAfter {
		for len(running) < limit() {
			if len(running) >= coldCapacity {
				excess++
			}
			running = append(running, now+coldServiceTime)
		}
		now = running[0]
		running = running[1:]
		answered++
		success()
	}
	return excess, now
}
