package backpressure_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollenpier/pollenpier/internal/decide/backpressure"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// Guards against a limit above the slots or connections, a cold backend that gets more than one request at once, a ramp that
// grows faster than one slot per ten successes, and a ramp that never reaches its ceiling, for any order of events.
func TestRampInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		connections := rapid.IntRange(3, 12).Draw(t, "connections")
		bound := min(slots, connections-2)
		r := backpressure.NewRamp(slots, connections)
		now, successes := time.Duration(0), 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Millisecond
			switch rapid.IntRange(0, 20).Draw(t, "event") {
			case 0:
				r.Reset(rapid.SampledFrom([]backpressure.Cause{
					backpressure.CauseConnection, backpressure.CauseShed, backpressure.CauseRestart, backpressure.CauseLatency,
				}).Draw(t, "cause"), now)
				successes = 0
				if r.Limit() != 1 {
					t.Fatalf("limit %d after a fault", r.Limit())
				}
			case 1:
				if r.Generation() > 0 {
					r.RecordSuccess(r.Generation() - 1) // an answer to a request sent before the fault
				}
			default:
				r.RecordSuccess(r.Generation())
				successes++
			}
			if want := min(1+successes/10, bound); r.Limit() != want {
				t.Fatalf("limit %d after %d successes, want %d", r.Limit(), successes, want)
			}
			if ok, _ := r.Capacity(r.Limit(), now); ok {
				t.Fatal("capacity beyond the limit")
			}
		}
		if ok, wait := r.Capacity(0, now); !ok && wait > 200*time.Millisecond {
			t.Fatalf("paused for %v", wait)
		}
	})
}

// Guards against bursts to a backend that sheds requests immediately: the pause doubles after each shed and is reset by a
// success.
func TestPauseAfterSheds(t *testing.T) {
	r := backpressure.NewRamp(2, 0)
	now := time.Duration(0)
	var waits []time.Duration
	for range 4 {
		r.Reset(backpressure.CauseShed, now)
		_, wait := r.Capacity(0, now)
		waits = append(waits, wait)
		now += wait
	}
	require.Equal(t, []time.Duration{5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond}, waits)
	r.RecordSuccess(r.Generation())
	r.Reset(backpressure.CauseShed, now)
	_, wait := r.Capacity(0, now)
	require.Equal(t, 5*time.Millisecond, wait)
}

// Guards against a retry storm: however failures are distributed, retries are limited to a tenth of the requests and ten in a
// row.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b backpressure.RetryBudget
		requests, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				b.Request()
				requests++
			} else if b.Take() {
				retries++
			}
			if retries*10 > requests {
				t.Fatalf("%d retries for %d requests", retries, requests)
			}
		}
	})
}

// Guards against slow backends that are not detected, marks that a single window sets or clears, and latency jumps that are
// reported repeatedly.
func TestLatencyAgainstBaselineAndPeers(t *testing.T) {
	l := backpressure.NewLatency(0)
	now := time.Duration(0)
	window := func(d time.Duration) backpressure.Window {
		for range 20 {
			l.Record(d)
		}
		now += time.Second
		w, closed := l.Close(now)
		require.True(t, closed)
		return w
	}
	for range 5 {
		require.False(t, window(10*time.Millisecond).Jumped)
	}
	require.InDelta(t, 10*time.Millisecond, l.Floor(), float64(time.Millisecond))
	require.True(t, window(100*time.Millisecond).Jumped)
	require.False(t, window(100*time.Millisecond).Jumped)
	now += time.Second
	_, _ = l.Close(now)
	require.Zero(t, l.Floor(), "no refusals after a window without answers")

	s := backpressure.NewStragglers()
	known := []entity.BackendID{"a", "b", "c"}
	observe := func(times int, slow time.Duration) bool {
		for range times {
			s.Observe(map[entity.BackendID]time.Duration{"a": slow, "b": 10, "c": 11}, known)
		}
		return s.IsStraggler("a")
	}
	require.False(t, observe(2, 30))
	require.False(t, observe(1, 10))
	require.True(t, observe(3, 30))
	require.True(t, observe(5, 17), "the mark is kept between the thresholds")
	require.True(t, observe(2, 10))
	require.False(t, observe(1, 10))
	require.False(t, s.IsStraggler("b"))
}
