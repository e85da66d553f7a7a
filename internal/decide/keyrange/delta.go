package keyrange

import (
	"slices"

	"github.com/pollenpier/pollenpier/internal/catalog"
)

// Delta is the difference between two successive states. It is small enough to be sent to all instances at once.
type Delta struct {
	// State is the newer state; its tables contain only the ranges that differ.
	State State
}

// Diff returns the delta that turns one state into a newer one. from may be nil.
func Diff(from, to *State) Delta {
	d := Delta{State: State{Coordinator: to.Coordinator, Term: to.Term, LastFence: to.LastFence}}
	for i := range to.Tables {
		changed := Table{Service: to.Tables[i].Service}
		before := map[Range]bool{}
		if from != nil {
			if table, ok := from.Table(changed.Service); ok {
				for _, r := range table.Ranges {
					before[r] = true
				}
			}
		}
		for _, r := range to.Tables[i].Ranges {
			if !before[r] {
				changed.Ranges = append(changed.Ranges, r)
			}
		}
		d.State.Tables = append(d.State.Tables, changed)
	}
	return d
}

// Apply returns the state that results from applying the delta to from. It reports false if the result would not cover all
// keys exactly once; the caller must then read the complete state.
func (d Delta) Apply(from *State) (*State, bool) {
	result := &State{Coordinator: d.State.Coordinator, Term: d.State.Term, LastFence: d.State.LastFence}
	for _, changed := range d.State.Tables {
		merged := Table{Service: changed.Service, Ranges: d.unchangedRanges(from, changed)}
		merged.Ranges = append(merged.Ranges, changed.Ranges...)
		slices.SortFunc(merged.Ranges, func(a, b Range) int { return int(a.From) - int(b.From) })
		if !merged.complete() {
			return nil, false
		}
		result.Tables = append(result.Tables, merged)
	}
	return result, true
}

// unchangedRanges returns the ranges of the previous table that no changed range overlaps.
func (d Delta) unchangedRanges(from *State, changed Table) []Range {
	before, ok := from.Table(changed.Service)
	if !ok {
		return nil
	}
	var unchanged []Range
	for _, r := range before.Ranges {
		i, found := slices.BinarySearchFunc(changed.Ranges, r.From, func(c Range, key uint32) int { return int(c.To) - int(key) })
		overlaps := i < len(changed.Ranges) && changed.Ranges[i].From <= r.To
		if !found && !overlaps {
			unchanged = append(unchanged, r)
		}
	}
	return unchanged
}

// complete reports whether the ranges cover all keys exactly once. An empty table is complete.
func (t *Table) complete() bool {
	next := uint32(0)
	for i := range t.Ranges {
		if t.Ranges[i].From != next || t.Ranges[i].To < next {
			return false
		}
		next = t.Ranges[i].To + 1
	}
	return len(t.Ranges) == 0 || next == catalog.KeySpace
}
