package keyrange_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
)

// planWithSpeeds plans until nothing changes, with evenly spread requests, and returns the keys of each backend and the most ranges that
// one plan has moved.
func planWithSpeeds(t *testing.T, start, speeds []float64) ([]int, int) {
	t.Helper()
	s := newSimulation(t, 1, len(speeds))
	for key := range uint32(65536) {
		if key%97 == 0 {
			s.keyLoad[key] = 1
		}
	}
	candidates := func(speeds []float64) []keyrange.Candidate {
		list := s.candidates()
		for i := range list {
			list[i].Slots, list[i].Capacity = 4, 4*speeds[i]
		}
		return list
	}
	table := keyrange.Plan(&keyrange.Table{Service: simService}, candidates(start), s.keyLoad, s.evidence(), &s.fence)
	most, plans := 0, 0
	for planned := table; planned != nil; plans++ {
		require.Less(t, plans, 100, "the moves do not end")
		table = planned
		moved := 0
		for i := range table.Ranges {
			if !table.Ranges[i].Granted && plans > 0 {
				moved++
			}
			table.Ranges[i].Granted, table.Ranges[i].PreviousOwner = true, keyrange.Holder{}
		}
		most = max(most, moved)
		planned = keyrange.Plan(table, candidates(speeds), s.keyLoad, s.evidence(), &s.fence)
	}
	keys := make([]int, len(speeds))
	for _, r := range table.Ranges {
		for i, c := range candidates(speeds) {
			if c.Holder == r.Owner {
				keys[i] += r.Keys()
			}
		}
	}
	return keys, most
}

// Guards against slow backends that own as many keys as fast ones, from the first assignment on or once their speed is known, and
// against moves of many ranges at once, which cost more than they gain.
func TestSlowBackendsOwnFewerKeys(t *testing.T) {
	equal, speeds := []float64{1, 1, 1, 1, 1, 1}, []float64{0.7, 1, 1.4, 0.7, 1, 1.4}
	keys, moved := planWithSpeeds(t, equal, equal)
	require.Zero(t, moved, "backends of equal speed")
	require.InDelta(t, 1, float64(keys[0])/float64(keys[1]), 0.01)
	for _, start := range [][]float64{equal, speeds} {
		keys, moved = planWithSpeeds(t, start, speeds)
		require.InDelta(t, 0.7, float64(keys[0])/float64(keys[1]), 0.15)
		require.InDelta(t, 1.4, float64(keys[2])/float64(keys[1]), 0.25)
		require.LessOrEqual(t, moved, 2)
	}
}
