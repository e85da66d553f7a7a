package keyrange

import (
	"cmp"
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// Candidate is a back end that may hold keys.
type Candidate struct {
	Holder
	Zone entity.Zone
	// Capacity is the number of requests a second that it is expected to serve, relative to the others.
	Capacity float64
	// Usable back ends may be given keys. Others lose what they have, unless Keep is set.
	Usable bool
	// Keep says that the back end cannot be reached and may still hold its keys, so that moving them would serve nobody.
	Keep bool
	// Cold back ends are given keys only if no warm one is left.
	Cold bool
}

// KeyLoad counts the recent requests by key.
type KeyLoad map[uint32]int

// Numbers of ranges. Each range is renewed by a call of its own.
const (
	// initialRangesPerBackend is the number of ranges that each back end gets first. Neighbouring ranges go to different back
	// ends, since busy keys are close together.
	initialRangesPerBackend = 10
	// initialRanges bounds the first ranges of a service, though each back end gets one. Each range takes part of the
	// coordinator's time.
	initialRanges = 200
	// maxRanges bounds the ranges of a service, and with it the size of the table.
	maxRanges = 2048
)

// Bounds of the rebalancing.
const (
	// overload is how far above its fair share a back end's requests must be before a range is moved away.
	overload = 1.5
	// minMovedRequests is the smallest number of requests in the window for which a move is worth its price.
	minMovedRequests = 6
	// maxMovesPerPlan bounds the ranges that change hands by one plan for the sake of balance.
	maxMovesPerPlan = 24
)

// planner works on a copy of one table.
type planner struct {
	table      *Table
	fence      *uint64
	candidates []Candidate
	usable     []Candidate
	share      map[Holder]int // requests in the window, plus one for each range so that idle ranges spread too
	changed    bool
}

// Plan returns the table with every range on a usable back end and hot ranges spread, or nil if nothing is to change.
// Fences are taken from *fence. Ranges whose assignment is not settled stay where they are unless their owner is unusable.
func Plan(table *Table, candidates []Candidate, heat KeyLoad, ended func(Holder) bool, fence *uint64) *Table {
	p := newPlanner(table, candidates, fence)
	if len(p.usable) == 0 {
		return nil
	}
	if len(table.Ranges) == 0 {
		p.first()
		return p.table
	}
	loads := rangeLoads(p.table, heat)
	for i := range p.table.Ranges {
		p.share[p.table.Ranges[i].Owner] += loads[i] + 1
	}
	p.evict(loads, ended)
	p.spread(heat, ended)
	if !p.changed {
		return nil
	}
	return p.table
}

func newPlanner(table *Table, candidates []Candidate, fence *uint64) *planner {
	p := &planner{
		table:      &Table{Service: table.Service, Ranges: slices.Clone(table.Ranges)},
		fence:      fence,
		candidates: candidates,
		share:      map[Holder]int{},
	}
	for _, warmOnly := range []bool{true, false} {
		for _, c := range candidates {
			if c.Usable && (!c.Cold || !warmOnly) {
				p.usable = append(p.usable, c)
			}
		}
		if len(p.usable) > 0 {
			break
		}
	}
	slices.SortFunc(p.usable, func(a, b Candidate) int { return cmp.Compare(a.ID, b.ID) })
	return p
}

// first divides the whole key space among the usable back ends, neighbours apart.
func (p *planner) first() {
	n := len(p.usable)
	count := min(max(min(n*initialRangesPerBackend, initialRanges), n), maxRanges)
	for i := range count {
		from := uint32(i * catalog.KeySpace / count)
		to := uint32((i+1)*catalog.KeySpace/count) - 1
		*p.fence++
		p.table.Ranges = append(p.table.Ranges, Range{From: from, To: to, Owner: p.usable[i%len(p.usable)].Holder, Fence: *p.fence})
	}
}

// evict moves the ranges of unusable owners to the usable back ends with the least load for their capacity.
func (p *planner) evict(loads []int, ended func(Holder) bool) {
	usable := map[Holder]bool{}
	for _, c := range p.candidates {
		if c.Usable || c.Keep {
			usable[c.Holder] = true
		}
	}
	for i := range p.table.Ranges {
		r := &p.table.Ranges[i]
		if !usable[r.Owner] {
			p.move(r, p.leastLoaded(Holder{}), loads[i], ended)
		}
	}
}

// move assigns a range to another owner under a new fence. A range whose last assignment was never settled keeps its former
// owner as well: only the release by both would free it, so it is moved only if its owner has ended.
func (p *planner) move(r *Range, to Candidate, load int, ended func(Holder) bool) {
	former := r.Owner
	if ended(former) {
		former = Holder{}
		if !r.Granted {
			former = r.PreviousOwner
		}
	} else if !r.Granted && r.PreviousOwner != (Holder{}) {
		return
	}
	p.share[r.Owner] -= load + 1
	p.share[to.Holder] += load + 1
	*p.fence++
	*r = Range{From: r.From, To: r.To, Owner: to.Holder, Fence: *p.fence, PreviousOwner: former}
	p.changed = true
}

// leastLoaded returns the usable back end with the smallest load for its capacity, other than the one excluded.
func (p *planner) leastLoaded(except Holder) Candidate {
	var best Candidate
	bestLoad := 0.0
	for _, c := range p.usable {
		load := float64(p.share[c.Holder]) / c.Capacity
		if c.Holder != except && (best.ID == "" || load < bestLoad) {
			best, bestLoad = c, load
		}
	}
	return best
}

// spread moves hot ranges, or hot parts of them, from overloaded back ends to the least loaded ones.
func (p *planner) spread(heat KeyLoad, ended func(Holder) bool) {
	total := 0
	for _, n := range heat {
		total += n
	}
	if len(p.usable) < 2 || total < minMovedRequests {
		return
	}
	hopeless := map[Holder]bool{}
	for range maxMovesPerPlan {
		loads := rangeLoads(p.table, heat)
		by := p.byOwner(loads)
		from, ok := p.mostOverloaded(by, float64(total), hopeless)
		if !ok {
			return
		}
		if !p.relieve(from, by, loads, heat, float64(total), ended) {
			hopeless[from.Holder] = true
		}
	}
}

// byOwner sums the requests of the ranges by owner.
func (p *planner) byOwner(loads []int) map[Holder]int {
	by := map[Holder]int{}
	for i := range p.table.Ranges {
		by[p.table.Ranges[i].Owner] += loads[i]
	}
	return by
}

// capacity sums the capacity of the usable back ends.
func (p *planner) capacity() float64 {
	sum := 0.0
	for _, c := range p.usable {
		sum += c.Capacity
	}
	return sum
}

// mostOverloaded returns the usable back end with the most requests for its capacity, if that is more than its fair share by
// the factor overload.
func (p *planner) mostOverloaded(by map[Holder]int, total float64, except map[Holder]bool) (Candidate, bool) {
	var worst Candidate
	highest, capacity := 0.0, p.capacity()
	for _, c := range p.usable {
		fair := overload*total*c.Capacity/capacity + minMovedRequests/2
		if load := float64(by[c.Holder]) / c.Capacity; float64(by[c.Holder]) > fair && load > highest && !except[c.Holder] {
			worst, highest = c, load
		}
	}
	return worst, worst.ID != ""
}

// relieve moves one range, or a part of one, from an overloaded back end to the least loaded one. It reports false if no move
// would lower the load of the busier of the two.
func (p *planner) relieve(
	from Candidate, by map[Holder]int, loads []int, heat KeyLoad, total float64, ended func(Holder) bool,
) bool {
	to := p.coolest(by, from.Holder)
	gap := float64(by[from.Holder]) - float64(by[to.Holder])*from.Capacity/to.Capacity
	// A piece that fills the receiver up to its fair share need not move on at once.
	room := total*to.Capacity/p.capacity() - float64(by[to.Holder])
	wanted := min(gap/2, max(room, minMovedRequests/2))
	i, fits := p.bestRange(from.Holder, loads, wanted)
	if i < 0 || wanted < minMovedRequests/2 {
		return false
	}
	if !fits {
		switch {
		case p.split(i, heat, wanted):
			loads = rangeLoads(p.table, heat)
		case float64(loads[i]) > gap-minMovedRequests/2:
			return false // a single hot key, which is as hot elsewhere
		}
	}
	fence := p.table.Ranges[i].Fence
	p.move(&p.table.Ranges[i], to, loads[i], ended)
	return p.table.Ranges[i].Fence != fence
}

// coolest returns the usable back end with the fewest requests for its capacity. Among equals it is the one with the least to
// hold, so that many moves do not all go to the same one.
func (p *planner) coolest(by map[Holder]int, except Holder) Candidate {
	var best Candidate
	bestLoad, bestShare := 0.0, 0.0
	for _, c := range p.usable {
		if c.Holder == except {
			continue
		}
		load, share := float64(by[c.Holder])/c.Capacity, float64(p.share[c.Holder])/c.Capacity
		if best.ID == "" || load < bestLoad || (load == bestLoad && share < bestShare) {
			best, bestLoad, bestShare = c, load, share
		}
	}
	return best
}

// bestRange returns the settled range of an owner with the most requests that are not many more than wanted. If all are, it
// returns the one with the fewest and reports that it does not fit.
func (p *planner) bestRange(owner Holder, loads []int, wanted float64) (int, bool) {
	fitting, larger := -1, -1
	for i := range p.table.Ranges {
		r := &p.table.Ranges[i]
		switch {
		case r.Owner != owner || !r.Granted || loads[i] == 0:
		case float64(loads[i]) <= wanted*overload:
			if fitting < 0 || loads[i] > loads[fitting] {
				fitting = i
			}
		case larger < 0 || loads[i] < loads[larger]:
			larger = i
		}
	}
	if fitting >= 0 && (larger < 0 || float64(loads[fitting]) >= wanted/2) {
		return fitting, true
	}
	if larger >= 0 && p.table.Ranges[larger].From < p.table.Ranges[larger].To {
		return larger, false
	}
	if fitting >= 0 {
		return fitting, true
	}
	return larger, false
}

// split cuts range i so that its first part carries about the wanted number of requests. A hot key that carries more alone is
// cut off from its neighbours. Both parts keep owner and fence.
func (p *planner) split(i int, heat KeyLoad, wanted float64) bool {
	r := p.table.Ranges[i]
	if len(p.table.Ranges) >= maxRanges || r.From == r.To {
		return false
	}
	sum := 0
	for key := r.From; key < r.To; key++ {
		if sum > 0 && float64(sum+heat[key]) > wanted*overload {
			p.cut(i, key)
			return true
		}
		sum += heat[key]
		if float64(sum) >= wanted {
			p.cut(i, key+1)
			return true
		}
	}
	p.cut(i, r.To)
	return true
}

// cut divides range i before a key.
func (p *planner) cut(i int, key uint32) {
	first, second := p.table.Ranges[i], p.table.Ranges[i]
	first.To, second.From = key-1, key
	p.table.Ranges = slices.Replace(p.table.Ranges, i, i+1, first, second)
}

// rangeLoads returns the requests in the window by range.
func rangeLoads(t *Table, heat KeyLoad) []int {
	loads := make([]int, len(t.Ranges))
	for key, n := range heat {
		if i, ok := t.Find(key); ok {
			loads[i] += n
		}
	}
	return loads
}

// KeyLoadWindow is the time over which requests by key are counted for the balance. Hot spells last a few seconds.
const KeyLoadWindow = 1500 * time.Millisecond
