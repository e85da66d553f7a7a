package balance_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/balance"
)

// busy returns a candidate with two slots and the given number of requests in flight.
func busy(requests int, sameZone bool, preference float64) balance.Candidate {
	e := balance.NewEndpoint(2)
	for range requests {
		e.Start()
	}
	return balance.Candidate{Endpoint: e, SameZone: sameZone, Preference: preference}
}

// Guards against requests that cross zones although a backend of the same zone has a free slot, and against requests that queue
// in the same zone while slots are free in another.
func TestSameZoneIsPreferredWhileItHasFreeSlots(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1)).Float64
	for range 100 {
		require.Equal(t, 1, balance.Choose(0, balance.Work{}, []balance.Candidate{busy(0, false, 0), busy(1, true, 1)}, 0, random))
		require.Equal(t, 0, balance.Choose(0, balance.Work{}, []balance.Candidate{busy(0, false, 0.5), busy(2, true, 0.5)}, 0, random))
	}
}

// Guards against a large deployment opening a new connection for almost every request: among idle backends, each instance
// prefers its own, and instances differ.
func TestInstancesKeepToTheirPreference(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 1)).Float64
	chosen := map[int]int{}
	for range 100 {
		chosen[balance.Choose(0, balance.Work{}, []balance.Candidate{busy(0, true, 0.9), busy(0, true, 0.1), busy(1, true, 0.8)}, 0, random)]++
	}
	require.GreaterOrEqual(t, chosen[1], 90)
}
