package keyrange

import (
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// Expired reports whether all grants of an owner have certainly expired, although they were not released.
func (e *Executor) Expired(holder Holder, now time.Duration) bool {
	if e.state == nil {
		return false
	}
	for t := range e.state.Tables {
		table := &e.state.Tables[t]
		for i := range table.Ranges {
			r := &table.Ranges[i]
			if r.Owner != holder {
				continue
			}
			if p := e.ranges[idOf(table.Service, r)]; p == nil || now < p.grantedUntil() {
				return false
			}
		}
	}
	return true
}

// Lapsed reports whether the owner of a range can have no valid grant of it: none was sent, or all have expired.
func (e *Executor) Lapsed(service entity.ServiceName, r *Range, now time.Duration) bool {
	p := e.ranges[idOf(service, r)]
	return p != nil && now >= p.grantedUntil()
}

// PreviousFree reports whether the previous owner of a range can have no valid grant of it any more.
func (e *Executor) PreviousFree(service entity.ServiceName, r *Range) bool {
	p := e.ranges[idOf(service, r)]
	return p != nil && p.stage != stageRelease
}

// GrantedState returns a copy of the state in which the ranges that have been granted to their owners are marked.
func (e *Executor) GrantedState(state *State) *State {
	marked := state.Clone()
	for t := range marked.Tables {
		table := &marked.Tables[t]
		for i := range table.Ranges {
			r := &table.Ranges[i]
			if p := e.ranges[idOf(table.Service, r)]; p != nil && p.stage == stageGranted {
				r.Granted, r.PreviousOwner = true, Holder{}
			}
		}
	}
	return marked
}

// GrantedFences returns the fences, in ascending order, of the ranges that have been granted to their owners but are not yet
// marked in the table.
func (e *Executor) GrantedFences() []uint64 {
	var fences []uint64
	if e.state == nil {
		return nil
	}
	for t := range e.state.Tables {
		table := &e.state.Tables[t]
		for i := range table.Ranges {
			r := &table.Ranges[i]
			if p := e.ranges[idOf(table.Service, r)]; p != nil && p.stage == stageGranted && !r.Granted {
				fences = append(fences, r.Fence)
			}
		}
	}
	slices.Sort(fences)
	return slices.Compact(fences)
}
