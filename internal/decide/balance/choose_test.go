package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/balance"
)

// busy returns a candidate with two slots and requests on it.
func busy(requests int, near bool, preference float64) balance.Candidate {
	e := balance.NewEndpoint(2)
	for range requests {
		e.Start()
	}
	return balance.Candidate{Endpoint: e, SameZone: near, Preference: preference}
}

// Guards against requests that cross zones although a back end of the own zone has a free slot, and against those that queue in
// the own zone while slots are free in another.
func TestOwnZoneFirstWhileItHasFreeSlots(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1)).Float64
	for range 100 {
		require.Equal(t, 1, balance.Choose(0, []balance.Candidate{busy(0, false, 0), busy(1, true, 1)}, random))
		require.Equal(t, 0, balance.Choose(0, []balance.Candidate{busy(0, false, 0.5), busy(2, true, 0.5)}, random))
	}
}

// Guards against a new connection for almost every request of a large deployment: among free back ends an instance keeps to its own
// preference, and instances differ.
func TestInstancesKeepToTheirPreference(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 1)).Float64
	chosen := map[int]int{}
	for range 100 {
		chosen[balance.Choose(0, []balance.Candidate{busy(0, true, 0.9), busy(0, true, 0.1), busy(1, true, 0.8)}, random)]++
	}
	require.GreaterOrEqual(t, chosen[1], 90)
}

// Guards against owners of hot keys that are given as many as others although they work more slowly.
func TestSpeedsFollowTheMeasuredWork(t *testing.T) {
	work := []time.Duration{90 * time.Millisecond, 180 * time.Millisecond, 0, 90 * time.Millisecond, 10 * time.Second}
	speeds := balance.Speeds(work[:4])
	require.InDelta(t, 4.0/3, speeds[0], 0.01)
	require.InDelta(t, 2.0/3, speeds[1], 0.01)
	require.InDelta(t, 1, speeds[2], 0.01, "nothing is known")
	require.GreaterOrEqual(t, balance.Speeds(work)[4], 0.5, "measurements are few")
}
