package keyrange_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
)

// Guards against instances whose table differs from the coordinator's after they have applied its deltas.
func TestDifferencesLeadToTheSameState(t *testing.T) {
	for seed := range uint64(10) {
		s := newSimulation(t, seed, 6)
		follower := s.state.Clone()
		for s.now < 20*time.Second {
			before := s.state
			s.step()
			if before == s.state {
				continue
			}
			next, ok := keyrange.Diff(before, s.state).Apply(follower)
			require.True(t, ok, "seed %d at %s", seed, s.now)
			require.Equal(t, s.state, next, "seed %d at %s", seed, s.now)
			follower = next
		}
	}
}

// Guards against keys without an owner or with two owners after a delta was applied to a state that it was not computed from.
func TestDifferenceOfAnotherStateIsRefused(t *testing.T) {
	twoRanges := func(cut uint32) *keyrange.State {
		return &keyrange.State{Tables: []keyrange.Table{{Service: simService, Ranges: []keyrange.Range{
			{From: 0, To: cut, Fence: 1}, {From: cut + 1, To: 65535, Fence: 2},
		}}}}
	}
	moved := twoRanges(100).Clone()
	moved.Tables[0].Ranges[0].Fence = 3
	_, ok := keyrange.Diff(twoRanges(100), moved).Apply(twoRanges(200))
	require.False(t, ok)
}
