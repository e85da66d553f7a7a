package backpressure_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/backpressure"
)

// coldStart is a back end that bears two requests at once until it has answered 20, as the stand-in does by default.
const (
	coldBears     = 2
	coldWarmAfter = 20
	coldWork      = 20 * time.Millisecond
	coldSlots     = 8
)

// Guards against a back end in cold start that gets more than it bears while requests queue for it. Without a ramp it does.
func TestRampAgainstColdStart(t *testing.T) {
	ramp := backpressure.NewRamp(coldSlots, 0)
	beyond, warm := startCold(ramp.Limit, func() { ramp.RecordSuccess(ramp.Generation()) })
	plain, plainWarm := startCold(func() int { return coldSlots }, func() {})
	t.Logf("requests begun beyond what a cold back end bears until %d are answered: ramp %d, no ramp %d; warm after %v, without a ramp "+
		"%v if it survives", coldWarmAfter, beyond, plain, warm, plainWarm)
	require.Zero(t, beyond)
	require.Positive(t, plain)
}

// startCold sends as many requests as the limit allows at each moment, and returns how many began beyond what the back end
// bears and when it was warm.
func startCold(limit func() int, success func()) (beyond int, warm time.Duration) {
	var running []time.Duration // ends, in order of sending
	now, answered := time.Duration(0), 0
	for answered < coldWarmAfter {
		for len(running) < limit() {
			if len(running) >= coldBears {
				beyond++
			}
			running = append(running, now+coldWork)
		}
		now = running[0]
		running = running[1:]
		answered++
		success()
	}
	return beyond, now
}
