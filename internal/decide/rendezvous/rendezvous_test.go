package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/rendezvous"
)

// Guards against an order that depends on the order of the input, and against a change of the roster that moves names between
// the remaining candidates.
func TestRemovalMovesOnlyTheNamesOfTheRemovedCandidate(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e"}
	reversed := slices.Clone(members)
	slices.Reverse(reversed)
	first := map[string]int{}
	for i := range 1000 {
		name := fmt.Sprint("backend/", i)
		order := rendezvous.Order(name, members)
		require.Equal(t, order, rendezvous.Order(name, reversed))
		first[order[0]]++
		remaining := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == "c" })
		want := slices.DeleteFunc(slices.Clone(order), func(m string) bool { return m == "c" })
		require.Equal(t, want, rendezvous.Order(name, remaining))
	}
	for _, m := range members {
		require.InDelta(t, 200, first[m], 60, "names won by %s", m)
	}
}

// Guards against most names of a zone going to one group, and against a choice that depends on the order of the groups.
func TestNamesAreSpreadOverTheGroups(t *testing.T) {
	won := map[uint32]int{}
	for i := range 1000 {
		name := fmt.Sprint("backend/", i)
		g, ok := rendezvous.Group(name, []uint32{0, 1, 2, 3})
		require.True(t, ok)
		again, _ := rendezvous.Group(name, []uint32{3, 1, 0, 2})
		require.Equal(t, g, again)
		won[g]++
	}
	for g := range uint32(4) {
		require.InDelta(t, 250, won[g], 70)
	}
	_, ok := rendezvous.Group("x", nil)
	require.False(t, ok)
}
