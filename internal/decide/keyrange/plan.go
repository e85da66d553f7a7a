package keyrange

import (
	"cmp"
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// Candidate is a backend that may own keys.
type Candidate struct {
	Holder
	Zone entity.Zone
	// Capacity is the expected number of requests per second that the backend can serve, relative to the other candidates.
	Capacity float64
	// Slots is the capacity that a backend of mean speed with its slots would have; zero if its speed is not known.
	Slots int
	// Usable backends may be assigned keys. The others lose their keys, unless Keep is set.
	Usable bool
	// Keep means that the backend is unreachable and may still have valid grants, so that no other backend could serve its
	// keys yet.
	Keep bool
	// Cold backends are assigned keys only if there is no warm one.
	Cold bool
	// Limited backends keep the ranges that they own and are assigned others only if there is no other usable backend.
	Limited bool
	// New backends run the version to which a rollout leads. Canaries are those of them that get a part of the load while the versions
	// are compared, see Exposure.
	New, Canary bool
	// Rejected backends run a version that an earlier rollout has rejected.
	Rejected bool
}

// KeyLoad counts the recent requests by key.
type KeyLoad map[uint32]int

// Limits on the number of ranges. Each range is renewed by a call of its own.
const (
	// initialRangesPerBackend is the number of ranges that each backend gets when a service is first assigned. Neighbouring
	// ranges go to different backends, since busy keys are close together.
	initialRangesPerBackend = 10
	// initialRanges bounds the number of ranges of the first assignment, although each backend gets at least one. Each range
	// costs processing time at the coordinator.
	initialRanges = 200
	// maxRanges bounds the ranges of a service, and with it the size of the table.
	maxRanges = 2048
)

// Bounds of the rebalancing.
const (
	// overload is the factor by which a backend's requests must exceed its fair share before a range is moved away.
	overload = 1.5
	// minMovedRequests is the smallest number of requests in the window for which a move is worth its cost.
	minMovedRequests = 6
	// maxMovesPerPlan bounds the number of ranges that one plan moves to balance the load.
	maxMovesPerPlan = 24
	// maxSpeedMoves bounds the number of ranges that one plan moves because backends differ in speed. Nothing is overloaded then.
	maxSpeedMoves = 2
	// uneven is the ratio between the keys of two backends, relative to their capacities, from which a range is moved.
	uneven = 1.25
)

// Evidence is what a plan needs to know of the grants that were sent.
type Evidence struct {
	// Terminated reports whether a process has certainly terminated.
	Terminated func(Holder) bool
	// Lapsed reports whether the owner of a range can have no valid grant of it: none was sent, or all have expired.
	Lapsed func(*Range) bool
	// PreviousFree reports whether the previous owner of a range can have no valid grant of it: it has released it, has terminated, or
	// its grants have expired.
	PreviousFree func(*Range) bool
}

// planner computes the next version of one table on a copy of it.
type planner struct {
	table      *Table
	fence      *uint64
	evidence   Evidence
	candidates []Candidate
	usable     []Candidate
	canaries   []Candidate
	assigned   map[Holder]int // requests in the window, plus one per range so that idle ranges are spread too
	changed    bool
}

// Plan returns the table with every range on a usable backend and hot ranges spread, or nil if nothing is to change.
// It increments *fence for each new assignment. Ranges that have not been granted yet keep their owner unless it is unusable.
func Plan(table *Table, candidates []Candidate, keyLoad KeyLoad, evidence Evidence, fence *uint64) *Table {
	return PlanRollout(table, candidates, keyLoad, evidence, Exposure{}, fence)
}

// PlanRollout is Plan for a service with a rollout, to which Restrict has been applied.
func PlanRollout(table *Table, candidates []Candidate, keyLoad KeyLoad, evidence Evidence, exposure Exposure, fence *uint64) *Table {
	p := newPlanner(table, candidates, evidence, fence)
	if len(p.usable) == 0 {
		return nil
	}
	if len(table.Ranges) == 0 {
		p.assignInitial()
		return p.table
	}
	loads := rangeLoads(p.table, keyLoad)
	for i := range p.table.Ranges {
		p.assigned[p.table.Ranges[i].Owner] += loads[i] + 1
	}
	p.evict(loads)
	p.expose(exposure)
	p.spread(keyLoad)
	p.adjustToSpeeds(loads, keyLoad)
	if !p.changed {
		return nil
	}
	return p.table
}

func newPlanner(table *Table, candidates []Candidate, evidence Evidence, fence *uint64) *planner {
	p := &planner{
		table:      &Table{Service: table.Service, Ranges: slices.Clone(table.Ranges)},
		fence:      fence,
		evidence:   evidence,
		candidates: candidates,
		assigned:   map[Holder]int{},
	}
	for _, accepts := range []func(Candidate) bool{
		func(c Candidate) bool { return !c.Cold && !c.Limited && !c.Canary },
		func(c Candidate) bool { return !c.Limited && !c.Canary },
		func(Candidate) bool { return true },
	} {
		for _, c := range candidates {
			if c.Usable && accepts(c) {
				p.usable = append(p.usable, c)
			}
		}
		if len(p.usable) > 0 {
			break
		}
	}
	for _, c := range candidates {
		if c.Usable && c.Canary && !c.Cold && !p.isUsable(c.Holder) {
			p.canaries = append(p.canaries, c)
		}
	}
	slices.SortFunc(p.usable, func(a, b Candidate) int { return cmp.Compare(a.ID, b.ID) })
	return p
}

// assignInitial divides the key space among the usable backends in proportion to their capacities. Neighbouring ranges go to different backends.
func (p *planner) assignInitial() {
	n := len(p.usable)
	count := min(max(min(n*initialRangesPerBackend, initialRanges), n), maxRanges)
	owed := make([]float64, n)
	for i := range count {
		next := 0
		for j, c := range p.usable {
			owed[j] += c.Capacity
			if owed[j] > owed[next] {
				next = j
			}
		}
		owed[next] -= p.capacity()
		from := uint32(i * catalog.KeySpace / count)
		to := uint32((i+1)*catalog.KeySpace/count) - 1
		*p.fence++
		p.table.Ranges = append(p.table.Ranges, Range{From: from, To: to, Owner: p.usable[next].Holder, Fence: *p.fence})
	}
}

// evict moves the ranges of unusable owners to the usable backends with the least load relative to their capacity. Owners that may
// still have valid grants keep those ranges.
func (p *planner) evict(loads []int) {
	usable, kept := map[Holder]Candidate{}, map[Holder]bool{}
	for _, c := range p.candidates {
		if c.Usable {
			usable[c.Holder] = c
		}
		kept[c.Holder] = c.Keep
	}
	for i := range p.table.Ranges {
		r := &p.table.Ranges[i]
		_, isUsable := usable[r.Owner]
		if isUsable || (kept[r.Owner] && (r.Granted || !p.evidence.Lapsed(r))) {
			continue
		}
		to := p.leastLoaded(Holder{})
		if previous, ok := usable[r.PreviousOwner]; ok && !p.isPreviousFree(r) {
			to = previous
		}
		p.move(r, to, loads[i])
	}
}

// isPreviousFree reports whether nobody but the owner of a range can have a valid grant of it.
func (p *planner) isPreviousFree(r *Range) bool {
	return r.Granted || r.PreviousOwner == (Holder{}) || p.evidence.Terminated(r.PreviousOwner) || p.evidence.PreviousFree(r)
}

// move assigns a range to another owner under a new fence. The new owner waits for one previous owner only. So a range whose previous
// owner may have a valid grant beside its owner is moved only back to the previous owner, or if its owner has terminated.
func (p *planner) move(r *Range, to Candidate, load int) {
	previousOwner := r.Owner
	switch {
	case p.evidence.Terminated(r.Owner):
		previousOwner = Holder{}
		if !r.Granted {
			previousOwner = r.PreviousOwner
		}
	case to.Holder != r.PreviousOwner && !p.isPreviousFree(r):
		return
	}
	p.assigned[r.Owner] -= load + 1
	p.assigned[to.Holder] += load + 1
	*p.fence++
	*r = Range{From: r.From, To: r.To, Owner: to.Holder, Fence: *p.fence, PreviousOwner: previousOwner}
	p.changed = true
}

// leastLoaded returns the usable backend, other than except, with the smallest load relative to its capacity.
func (p *planner) leastLoaded(except Holder) Candidate {
	var best Candidate
	bestLoad := 0.0
	for _, c := range p.usable {
		load := float64(p.assigned[c.Holder]) / c.Capacity
		if c.Holder != except && (best.ID == "" || load < bestLoad) {
			best, bestLoad = c, load
		}
	}
	return best
}

// KeyLoadWindow is the time over which requests by key are counted for balancing. Load peaks last a few seconds.
const KeyLoadWindow = 1500 * time.Millisecond
