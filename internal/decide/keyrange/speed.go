package keyrange

// adjustToSpeeds moves a few ranges from backends with many keys for their capacity to those with few, if one of the two is slower or
// faster than its slots suggest. Backends of equal speed keep their keys. What decides is the size of the ranges, since the requests of
// a short time vary too much: a slow backend would lose a range at each chance.
func (p *planner) adjustToSpeeds(loads []int, keyLoad KeyLoad) {
	total := 0
	for _, n := range keyLoad {
		total += n
	}
	if p.changed || len(p.usable) < 2 || total < minMovedRequests {
		return // moves for other reasons come first, and keys without requests are not worth a move
	}
	for range maxSpeedMoves {
		if !p.adjustOnce(loads) {
			return
		}
	}
}

// adjustOnce moves one range and reports whether it did.
func (p *planner) adjustOnce(loads []int) bool {
	keys, requests := map[Holder]float64{}, p.byOwner(loads)
	sum := 0.0
	for i := range p.table.Ranges {
		r := &p.table.Ranges[i]
		keys[r.Owner] += r.size()
		sum += r.size()
	}
	var from, to Candidate
	for _, c := range p.usable {
		if from.ID == "" || keys[c.Holder]/c.Capacity > keys[from.Holder]/from.Capacity {
			from = c
		}
		if to.ID == "" || keys[c.Holder]/c.Capacity < keys[to.Holder]/to.Capacity {
			to = c
		}
	}
	if !from.slow() && !to.fast() || keys[from.Holder]/from.Capacity < uneven*keys[to.Holder]/to.Capacity {
		return false
	}
	// Both end no further from their share than they are now.
	share := sum / p.capacity()
	desired := min(keys[from.Holder]-share*from.Capacity, share*to.Capacity-keys[to.Holder])
	best := -1
	for i := range p.table.Ranges {
		r := &p.table.Ranges[i]
		busier := float64(requests[to.Holder]+loads[i])/to.Capacity > float64(max(requests[from.Holder]-loads[i], 0))/from.Capacity*overload+minMovedRequests
		if r.Owner != from.Holder || !r.Granted || r.size() > overload*desired || busier {
			continue
		}
		if best < 0 || r.size() > p.table.Ranges[best].size() {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	fence := p.table.Ranges[best].Fence
	p.move(&p.table.Ranges[best], to, loads[best])
	return p.table.Ranges[best].Fence != fence
}

func (r *Range) size() float64 { return float64(r.Keys()) }

// slow and fast report whether the backend's speed is known to differ from the mean.
func (c Candidate) slow() bool { return c.Slots > 0 && c.Capacity < float64(c.Slots) }
func (c Candidate) fast() bool { return c.Slots > 0 && c.Capacity > float64(c.Slots) }
