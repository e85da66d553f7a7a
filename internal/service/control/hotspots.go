package control

import (
	"maps"
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/backpressure"
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/decide/placement"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

const (
	// heatWindow is the time between two looks at the load reports.
	heatWindow = time.Second
	// hotSlots is the load from which a key is hot, in units of the mean load of a slot.
	hotSlots = 1.0
	// minHotRate is the load in requests per second below which no key is hot. Otherwise any key would be in an idle service.
	minHotRate = 5.0
	// hotWindows is the number of windows in a row that make a key hot.
	hotWindows = 2
	// coldSlots is the load below which a hot key is cold again; the gap to hotSlots keeps it from alternating.
	coldSlots = 0.25
	// coldFor is how long a hot key is cold before it returns to its base partition. The hottest keys change in minutes.
	coldFor = time.Minute
	// maxHotStep bounds the keys that one record adds or removes.
	maxHotStep = 64
	// slowStep is the time between two reductions of a straggler's share, and twice that between two increases: long enough
	// for the partitions to have moved and the latency to show it.
	slowStep = 5 * time.Second
	// leastShare is the smallest part of its share that a straggler keeps, in thousandths. It must keep some load, because
	// without it its latency could not be seen to recover.
	leastShare = 250
)

// heat gives stragglers less and moves hot keys. It acts on the back ends that this instance is primary of, because only
// their primary knows their load.
type heat struct {
	loads      loads
	nextLook   time.Duration
	stragglers map[entity.ServiceName]*backpressure.Stragglers
	hotSince   map[hotKey]int
	coldSince  map[hotKey]time.Duration
	slowAt     map[entity.BackendID]time.Duration
}

func newHeat() *heat {
	return &heat{
		loads:      newLoads(),
		stragglers: map[entity.ServiceName]*backpressure.Stragglers{},
		hotSince:   map[hotKey]int{},
		coldSince:  map[hotKey]time.Duration{},
		slowAt:     map[entity.BackendID]time.Duration{},
	}
}

func (h *heat) measured(now time.Duration, m service.BackendLatency) { h.loads.add(now, m) }

func (h *heat) next(s *situation) ownership.Record {
	if s.now < h.nextLook || !s.config.known {
		return nil
	}
	h.loads.forget(s.now)
	h.forget(s.config)
	if len(h.loads.reports) == 0 {
		return nil
	}
	h.nextLook = s.now + heatWindow
	var first ownership.Record
	for _, name := range slices.Sorted(maps.Keys(s.config.services)) {
		view := s.view.Services[name]
		if view == nil {
			continue
		}
		// Every service is looked at, so that all windows are counted. One record goes out; the rest is found again.
		record := h.look(s, name, view)
		if first == nil {
			first = record
		}
	}
	return first
}

// forget drops what is known of back ends and services that are no longer configured.
func (h *heat) forget(c *configIndex) {
	maps.DeleteFunc(h.slowAt, func(id entity.BackendID, _ time.Duration) bool {
		_, configured := c.backends[id]
		return !configured
	})
	maps.DeleteFunc(h.stragglers, func(name entity.ServiceName, _ *backpressure.Stragglers) bool {
		return c.services[name] == nil
	})
	maps.DeleteFunc(h.coldSince, func(key hotKey, _ time.Duration) bool { return c.services[key.service] == nil })
}

func (h *heat) look(s *situation, name entity.ServiceName, view *ownership.ServiceView) ownership.Record {
	mean := h.loads.meanRate(s, name)
	slow := h.slow(s, name, view)
	add := h.hotter(name, view, mean)
	remove, home := h.colder(s, name, view, mean)
	switch {
	case len(slow) > 0:
		return ownership.Move{Service: name, Version: view.Version, Count: view.Count, Slow: slow}
	case len(add)+len(remove) > 0:
		return ownership.HotKeys{Service: name, Version: view.Version, Add: add, Remove: remove}
	}
	if len(home) == 0 {
		home = h.spread(s, name, view)
	}
	if len(home) == 0 {
		return nil
	}
	return ownership.Move{Service: name, Version: view.Version, Count: view.Count, Steps: fitting(home)}
}

// slow returns the changed shares of back ends that became stragglers or recovered.
func (h *heat) slow(s *situation, name entity.ServiceName, view *ownership.ServiceView) []ownership.SlowMark {
	detector, ok := h.stragglers[name]
	if !ok {
		detector = backpressure.NewStragglers()
		h.stragglers[name] = detector
	}
	medians := map[entity.BackendID]time.Duration{}
	known := make([]entity.BackendID, 0, len(s.config.services[name].Backends))
	for _, b := range s.config.services[name].Backends {
		id := entity.BackendID(b.Name)
		known = append(known, id)
		if r, reported := h.loads.reports[id]; reported && r.median > 0 {
			medians[id] = r.median
		}
	}
	detector.Observe(medians, known)
	var marks []ownership.SlowMark
	for _, id := range known {
		if _, measured := medians[id]; !measured {
			continue
		}
		keep, reduced := view.Slow[id]
		if !reduced {
			keep = ownership.WholeShare
		}
		if next := h.nextShare(s.now, id, keep, detector.Straggling(id)); next != keep {
			marks = append(marks, ownership.SlowMark{Backend: id, Keep: next})
		}
	}
	return marks
}

func (h *heat) nextShare(now time.Duration, id entity.BackendID, keep uint32, straggling bool) uint32 {
	last, changed := h.slowAt[id]
	next, wait := min(keep*2, ownership.WholeShare), 2*slowStep
	if straggling {
		next, wait = max(keep/2, leastShare), slowStep
	}
	if next == keep || changed && now-last < wait {
		return keep
	}
	h.slowAt[id] = now
	return next
}

// hotter returns the keys that have become hot at back ends that this instance reports on.
func (h *heat) hotter(name entity.ServiceName, view *ownership.ServiceView, mean float64) []entity.KeyHash {
	var add []entity.KeyHash
	for key, load := range h.loads.hot {
		if key.service != name {
			continue
		}
		if _, hot := view.Hot[key.hash]; hot || load.rate < max(hotSlots*mean, minHotRate) {
			delete(h.hotSince, key)
			continue
		}
		base := view.Owners[entity.PartitionOf(key.hash, view.Count)]
		_, reported := h.loads.reports[base.Backend]
		if !reported || base.Moving() {
			continue
		}
		h.hotSince[key]++
		if h.hotSince[key] >= hotWindows {
			add = append(add, key.hash)
		}
	}
	maps.DeleteFunc(h.hotSince, func(key hotKey, _ int) bool {
		_, known := h.loads.hot[key]
		return !known
	})
	slices.Sort(add)
	room := max(ownership.MaxHotKeys-len(view.Hot), 0)
	return add[:min(len(add), maxHotStep, room)]
}

// colder returns the hot keys to remove, and the moves home of those that must first return to their base partition's owner.
func (h *heat) colder(
	s *situation, name entity.ServiceName, view *ownership.ServiceView, mean float64,
) (remove []entity.KeyHash, home []ownership.MoveStep) {
	for _, hash := range slices.Sorted(maps.Keys(view.Hot)) {
		key, virtual := hotKey{name, hash}, view.Hot[hash]
		own, base := view.Owners[virtual], view.Owners[entity.PartitionOf(hash, view.Count)]
		_, reported := h.loads.reports[own.Backend]
		if !reported || h.loads.hot[key].rate >= coldSlots*mean {
			delete(h.coldSince, key)
			continue
		}
		if _, cold := h.coldSince[key]; !cold {
			h.coldSince[key] = s.now
		}
		switch {
		case s.now-h.coldSince[key] < coldFor || own.Moving() || base.Moving() || base.Backend == "":
		case own.Backend != base.Backend:
			home = append(home, ownership.MoveStep{Partition: virtual, To: base.Backend})
		case len(remove) < maxHotStep:
			remove = append(remove, hash)
			delete(h.coldSince, key)
		}
	}
	return remove, home
}

// spread returns moves of hot keys away from overloaded owners. Back ends without a report count as having the mean load.
func (h *heat) spread(s *situation, name entity.ServiceName, view *ownership.ServiceView) []ownership.MoveStep {
	if len(view.Hot) == 0 {
		return nil
	}
	mean := h.loads.meanRate(s, name)
	input := placementInput(s, name, view)
	for i := range input.Backends {
		b := &input.Backends[i]
		b.Rate = mean * float64(b.Slots)
		if r, ok := h.loads.reports[b.ID]; ok {
			b.Rate = r.rate
		}
	}
	input.VirtualRate = make(map[entity.Partition]float64, len(view.Hot))
	for hash, partition := range view.Hot {
		input.VirtualRate[partition] = h.loads.hot[hotKey{name, hash}].rate
	}
	var steps []ownership.MoveStep
	for _, m := range placement.Propose(input, placement.DefaultSettings()) {
		_, reported := h.loads.reports[view.Owners[m.Partition].Backend]
		if m.Reason == placement.ReasonBalance && uint32(m.Partition) >= view.Count && reported {
			steps = append(steps, ownership.MoveStep{Partition: m.Partition, To: m.To})
		}
	}
	return steps
}
