package keyrange

import "slices"

// spread moves hot ranges, or hot parts of them, from overloaded backends to the least loaded ones.
func (p *planner) spread(keyLoad KeyLoad) {
	total := 0
	for _, n := range keyLoad {
		total += n
	}
	if len(p.usable) < 2 || total < minMovedRequests {
		return
	}
	cannotRelieve := map[Holder]bool{}
	for range maxMovesPerPlan {
		loads := rangeLoads(p.table, keyLoad)
		by := p.byOwner(loads)
		from, ok := p.mostOverloaded(by, float64(total), cannotRelieve)
		if !ok {
			return
		}
		if !p.relieve(from, by, loads, keyLoad, float64(total)) {
			cannotRelieve[from.Holder] = true
		}
	}
}

// byOwner returns the number of requests by owner.
func (p *planner) byOwner(loads []int) map[Holder]int {
	by := map[Holder]int{}
	for i := range p.table.Ranges {
		by[p.table.Ranges[i].Owner] += loads[i]
	}
	return by
}

// capacity returns the total capacity of the usable backends.
func (p *planner) capacity() float64 {
	sum := 0.0
	for _, c := range p.usable {
		sum += c.Capacity
	}
	return sum
}

// mostOverloaded returns the usable backend with the most requests relative to its capacity, if they exceed its fair share by
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

// relieve moves one range, or a part of one, from an overloaded backend to the least loaded one. It reports false if no move
// would lower the load of the busier of the two.
func (p *planner) relieve(from Candidate, by map[Holder]int, loads []int, keyLoad KeyLoad, total float64) bool {
	to := p.leastBusy(by, from.Holder)
	gap := float64(by[from.Holder]) - float64(by[to.Holder])*from.Capacity/to.Capacity
	// A part that fills the receiver no further than its fair share does not have to be moved again at once.
	spare := total*to.Capacity/p.capacity() - float64(by[to.Holder])
	desired := min(gap/2, max(spare, minMovedRequests/2))
	i, fits := p.bestRange(from.Holder, loads, desired)
	if i < 0 || desired < minMovedRequests/2 {
		return false
	}
	if !fits {
		switch {
		case p.split(i, keyLoad, desired):
			loads = rangeLoads(p.table, keyLoad)
		case float64(loads[i]) > gap-minMovedRequests/2:
			return false // a single hot key, whose load would be the same at any backend
		}
	}
	fence := p.table.Ranges[i].Fence
	p.move(&p.table.Ranges[i], to, loads[i])
	return p.table.Ranges[i].Fence != fence
}

// leastBusy returns the usable backend, other than except, with the fewest requests relative to its capacity. Ties go to the one
// with the smallest assigned load, so that many moves do not all go to the same backend.
func (p *planner) leastBusy(by map[Holder]int, except Holder) Candidate {
	var best Candidate
	bestLoad, bestAssigned := 0.0, 0.0
	for _, c := range p.usable {
		if c.Holder == except {
			continue
		}
		load, assigned := float64(by[c.Holder])/c.Capacity, float64(p.assigned[c.Holder])/c.Capacity
		if best.ID == "" || load < bestLoad || (load == bestLoad && assigned < bestAssigned) {
			best, bestLoad, bestAssigned = c, load, assigned
		}
	}
	return best
}

// bestRange returns the granted range of an owner with the most requests, among those with not many more than desired. If all
// have many more, it returns the one with the fewest requests and reports that it does not fit. The index is -1 if there is none.
func (p *planner) bestRange(owner Holder, loads []int, desired float64) (int, bool) {
	fitting, larger := -1, -1
	for i := range p.table.Ranges {
		r := &p.table.Ranges[i]
		switch {
		case r.Owner != owner || !r.Granted || loads[i] == 0:
		case float64(loads[i]) <= desired*overload:
			if fitting < 0 || loads[i] > loads[fitting] {
				fitting = i
			}
		case larger < 0 || loads[i] < loads[larger]:
			larger = i
		}
	}
	if fitting >= 0 && (larger < 0 || float64(loads[fitting]) >= desired/2) {
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

// split divides range i so that its first part has about the desired number of requests. A hot key that has more requests on its
// own is separated from its neighbours. Both parts keep owner and fence.
func (p *planner) split(i int, keyLoad KeyLoad, desired float64) bool {
	r := p.table.Ranges[i]
	if len(p.table.Ranges) >= maxRanges || r.From == r.To {
		return false
	}
	sum := 0
	for key := r.From; key < r.To; key++ {
		if sum > 0 && float64(sum+keyLoad[key]) > desired*overload {
			p.splitAt(i, key)
			return true
		}
		sum += keyLoad[key]
		if float64(sum) >= desired {
			p.splitAt(i, key+1)
			return true
		}
	}
	p.splitAt(i, r.To)
	return true
}

// splitAt divides range i before the given key.
func (p *planner) splitAt(i int, key uint32) {
	first, second := p.table.Ranges[i], p.table.Ranges[i]
	first.To, second.From = key-1, key
	p.table.Ranges = slices.Replace(p.table.Ranges, i, i+1, first, second)
}

// rangeLoads returns the number of requests in the window for each range.
func rangeLoads(t *Table, keyLoad KeyLoad) []int {
	loads := make([]int, len(t.Ranges))
	for key, n := range keyLoad {
		if i, ok := t.Find(key); ok {
			loads[i] += n
		}
	}
	return loads
}
