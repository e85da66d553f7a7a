package capacity_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/capacity"
)

// Guards against owners of hot keys that get as many requests as others although they are slower, and against keys that move because of
// a difference that may be chance.
func TestSharesFollowTheMeasuredThroughputs(t *testing.T) {
	shares := capacity.Shares([]float64{2, 2, 4, 2}, []float64{20, 10, 0, 20})
	require.InDelta(t, 2, shares[0], 0.01, "20% faster than the mean")
	require.InDelta(t, 1.2, shares[1], 0.01)
	require.InDelta(t, 4, shares[2], 0.01, "not measured")
	require.InDelta(t, 2*4.0/3, capacity.Shares([]float64{2, 2, 2}, []float64{20, 20, 5})[0], 0.01)
	require.GreaterOrEqual(t, capacity.Shares([]float64{2, 2, 2}, []float64{20, 20, 0.1})[2], 1.0, "limited because there are few measurements")
}

// Guards against a limit that stays low after the backend works well again, and against a change that is reported more than once.
func TestLimitIsHalvedAndRestored(t *testing.T) {
	e := capacity.New(4)
	now := time.Duration(0)
	answer := func(occupancy float64, took time.Duration) {
		now += 20 * time.Millisecond
		e.Record(capacity.Sample{Took: took, Work: 1, Occupancy: occupancy, Mean: 100 * time.Millisecond}, now)
	}
	for range 30 {
		answer(1, 100*time.Millisecond)
		answer(3, 200*time.Millisecond)
		answer(4, 300*time.Millisecond)
	}
	require.LessOrEqual(t, e.Limit(now), 2.0)
	require.Equal(t, capacity.Halved, e.Change())
	require.Equal(t, capacity.Unchanged, e.Change())
	recovered := now
	for now < recovered+2*time.Second {
		answer(1, 100*time.Millisecond)
		answer(2, 100*time.Millisecond)
		answer(4, 100*time.Millisecond)
	}
	require.Equal(t, 4.0, e.Limit(now))
	require.Equal(t, capacity.Restored, e.Change())
}
