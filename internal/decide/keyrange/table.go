// Package keyrange decides which backend owns which range of routed keys. Store-based instances use it. The table of ranges is
// kept in the platform's store and updated by conditional writes; one instance at a time, the coordinator, turns it into releases
// and grants at the backends.
//
// Invariant: a range is granted to its owner only when the previous owner has acknowledged its release under the new fence,
// has certainly terminated, or has no valid grant any more because its last one has expired.
package keyrange

import (
	"slices"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// Holder is one process of a backend. Another process under the same id is another holder.
type Holder struct {
	ID          entity.BackendID
	Incarnation int64
}

// Hash returns a hash that identifies the process in messages between instances.
func (h Holder) Hash() uint64 {
	return xxhash.Sum64String(string(h.ID) + "/" + strconv.FormatInt(h.Incarnation, 10))
}

// Range is an interval of keys with one owner.
type Range struct {
	From, To uint32 // both inclusive
	Owner    Holder
	// Fence is the fencing token of the assignment. It grows with each assignment of any range.
	Fence uint64
	// PreviousOwner owned the keys before; empty for the first assignment or if it was known to have terminated.
	PreviousOwner Holder
	// Granted is true once the owner has been granted the range under this fence.
	Granted bool
}

// Keys returns the number of keys of the range.
func (r *Range) Keys() int { return int(r.To-r.From) + 1 }

// Table is the assignment of all keys of one service. Its ranges are sorted by key and have no gaps.
type Table struct {
	Service entity.ServiceName
	Ranges  []Range
}

// Find returns the index of the range that contains a key, and false if there is none.
func (t *Table) Find(key uint32) (int, bool) {
	i := sort.Search(len(t.Ranges), func(i int) bool { return t.Ranges[i].To >= key })
	return i, i < len(t.Ranges) && t.Ranges[i].From <= key
}

// State is the document in the store: the coordinator and the tables of all partitioned services.
type State struct {
	Coordinator entity.InstanceID
	// Term is raised by each instance that becomes coordinator.
	Term uint64
	// LastFence is the largest fence assigned so far.
	LastFence uint64
	Tables    []Table
}

// Table returns the table of a service, and false if there is none.
func (s *State) Table(service entity.ServiceName) (*Table, bool) {
	for i := range s.Tables {
		if s.Tables[i].Service == service {
			return &s.Tables[i], true
		}
	}
	return nil, false
}

// WithGranted returns a copy in which the ranges with the given fences are marked as granted to their owners.
func (s *State) WithGranted(granted map[uint64]bool) *State {
	c := s.Clone()
	for t := range c.Tables {
		for i := range c.Tables[t].Ranges {
			if r := &c.Tables[t].Ranges[i]; granted[r.Fence] {
				r.Granted, r.PreviousOwner = true, Holder{}
			}
		}
	}
	return c
}

// AssignAgain returns the table with the same owners under new fences, as if its keys had never been granted. Fence is the largest
// one assigned so far.
func (t *Table) AssignAgain(fence *uint64) Table {
	again := Table{Service: t.Service, Ranges: slices.Clone(t.Ranges)}
	for i := range again.Ranges {
		*fence++
		r := &again.Ranges[i]
		r.Fence, r.PreviousOwner, r.Granted = *fence, Holder{}, false
	}
	return again
}

// OlderThan reports whether other was written after s, if both are versions of one table.
func (s *State) OlderThan(other *State) bool {
	if s.Term != other.Term {
		return s.Term < other.Term
	}
	return s.LastFence < other.LastFence
}

// Clone returns a deep copy.
func (s *State) Clone() *State {
	c := *s
	c.Tables = slices.Clone(s.Tables)
	for i := range c.Tables {
		c.Tables[i].Ranges = slices.Clone(s.Tables[i].Ranges)
	}
	return &c
}
