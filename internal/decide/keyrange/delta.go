package keyrange

import (
	"slices"

	"github.com/pollenpier/pollenpier/internal/catalog"
)

// Delta is the difference between two successive states, small enough to be told to all instances at once.
type Delta struct {
	// State is the newer state; its tables hold only the ranges that differ.
	State State
}

// Diff returns what turns one state into a newer one.
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

// Apply returns the state after a difference. It reports false if the result would not cover all keys once, so that the whole
// state must be read.
func (d Delta) Apply(from *State) (*State, bool) {
	result := &State{Coordinator: d.State.Coordinator, Term: d.State.Term, LastFence: d.State.LastFence}
	for _, changed := range d.State.Tables {
		merged := Table{Service: changed.Service, Ranges: d.kept(from, changed)}
		merged.Ranges = append(merged.Ranges, changed.Ranges...)
		slices.SortFunc(merged.Ranges, func(a, b Range) int { return int(a.From) - int(b.From) })
		if !merged.whole() {
			return nil, false
		}
		result.Tables = append(result.Tables, merged)
	}
	return result, true
}

// kept returns the ranges of the former table that no changed range touches.
func (d Delta) kept(from *State, changed Table) []Range {
	before, ok := from.Table(changed.Service)
	if !ok {
		return nil
	}
	var kept []Range
	for _, r := range before.Ranges {
		i, found := slices.BinarySearchFunc(changed.Ranges, r.From, func(c Range, key uint32) int { return int(c.To) - int(key) })
		touched := i < len(changed.Ranges) && changed.Ranges[i].From <= r.To
		if !found && !touched {
			kept = append(kept, r)
		}
	}
	return kept
}

// whole reports whether the ranges cover all keys once. An empty table is whole.
func (t *Table) whole() bool {
	next := uint32(0)
	for i := range t.Ranges {
		if t.Ranges[i].From != next || t.Ranges[i].To < next {
			return false
		}
		next = t.Ranges[i].To + 1
	}
	return len(t.Ranges) == 0 || next == catalog.KeySpace
}
