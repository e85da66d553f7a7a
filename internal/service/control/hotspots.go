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
	// hotspotWindow is the time between two checks of the load reports.
	hotspotWindow = time.Second
	// hotSlots is the load from which a key is hot, in units of the mean load of a slot.
	hotSlots = 1.0
	// minHotRate is the load in requests per second below which no key is hot. Without it every requested key of an idle
	// service would be hot.
	minHotRate = 5.0
	// hotWindows is the number of consecutive windows with a high load after which a key is hot.
	hotWindows = 2
	// coldSlots is the load below which a hot key is cold again, in the unit of hotSlots. The gap to hotSlots prevents a
	// key from alternating between the two.
	coldSlots = 0.25
	// coldPeriod is how long a hot key must be cold before it returns to its base partition. The hottest keys change in
	// minutes.
	coldPeriod = time.Minute
	// maxHotStep bounds the keys that one record adds or removes.
	maxHotStep = 64
	// slowStep is the time between two reductions of a straggler's share; twice that time passes between two increases. It
	// is long enough for the partitions to move and for the latency to show the effect.
	slowStep = 5 * time.Second
	// minShare is the smallest fraction of its share that a straggler keeps, in thousandths. A straggler must keep some
	// load, because a recovery of its latency could not be measured otherwise.
	minShare = 250
)

// hotspots reduces the share of stragglers and moves hot keys. It acts on the backends that this instance is the
// primary of, because only their primary knows their load.
type hotspots struct {
	loads           loads
	nextCheckAt     time.Duration
	stragglers      map[entity.ServiceName]*backpressure.Stragglers
	hotWindowCounts map[hotKey]int
	coldSince       map[hotKey]time.Duration
	slowAt          map[entity.BackendID]time.Duration
}

func newHotspots() *hotspots {
	return &hotspots{
		loads:           newLoads(),
		stragglers:      map[entity.ServiceName]*backpressure.Stragglers{},
		hotWindowCounts: map[hotKey]int{},
		coldSince:       map[hotKey]time.Duration{},
		slowAt:          map[entity.BackendID]time.Duration{},
	}
}

func (h *hotspots) addReport(now time.Duration, m service.BackendLatency) { h.loads.add(now, m) }

func (h *hotspots) next(s *situation) ownership.Record {
	if s.now < h.nextCheckAt || !s.config.known {
		return nil
	}
	h.loads.expire(s.now)
	h.dropUnconfigured(s.config)
	if len(h.loads.reports) == 0 {
		return nil
	}
	h.nextCheckAt = s.now + hotspotWindow
	var first ownership.Record
	for _, name := range slices.Sorted(maps.Keys(s.config.services)) {
		view := s.view.Services[name]
		if view == nil {
			continue
		}
		// Every service is checked, so that all windows are counted. Only one record is appended; the others are found again.
		record := h.check(s, name, view)
		if first == nil {
			first = record
		}
	}
	return first
}

// dropUnconfigured removes the state of backends and services that are no longer configured.
func (h *hotspots) dropUnconfigured(c *configIndex) {
	maps.DeleteFunc(h.slowAt, func(id entity.BackendID, _ time.Duration) bool {
		_, configured := c.backends[id]
		return !configured
	})
	maps.DeleteFunc(h.stragglers, func(name entity.ServiceName, _ *backpressure.Stragglers) bool {
		return c.services[name] == nil
	})
	maps.DeleteFunc(h.coldSince, func(key hotKey, _ time.Duration) bool { return c.services[key.service] == nil })
}

func (h *hotspots) check(s *situation, name entity.ServiceName, view *ownership.ServiceView) ownership.Record {
	mean := h.loads.meanRate(s, name)
	slow := h.slow(s, name, view)
	add := h.becameHot(name, view, mean)
	remove, home := h.becameCold(s, name, view, mean)
	switch {
	case len(slow) > 0:
		return ownership.Move{Service: name, Version: view.Version, Count: view.Count, Slow: slow}
	case len(add)+len(remove) > 0:
		return ownership.HotKeys{Service: name, Version: view.Version, Add: add, Remove: remove}
	}
	if len(home) == 0 {
		home = h.rebalance(s, name, view)
	}
	if len(home) == 0 {
		return nil
	}
	return ownership.Move{Service: name, Version: view.Version, Count: view.Count, Steps: limitSteps(home)}
}

// slow returns the changed shares of backends that became stragglers or recovered.
func (h *hotspots) slow(s *situation, name entity.ServiceName, view *ownership.ServiceView) []ownership.SlowMark {
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
			keep = ownership.FullShare
		}
		if next := h.nextShare(s.now, id, keep, detector.IsStraggler(id)); next != keep {
			marks = append(marks, ownership.SlowMark{Backend: id, Keep: next})
		}
	}
	return marks
}

func (h *hotspots) nextShare(now time.Duration, id entity.BackendID, keep uint32, straggling bool) uint32 {
	last, changed := h.slowAt[id]
	next, wait := min(keep*2, ownership.FullShare), 2*slowStep
	if straggling {
		next, wait = max(keep/2, minShare), slowStep
	}
	if next == keep || changed && now-last < wait {
		return keep
	}
	h.slowAt[id] = now
	return next
}

// becameHot returns the keys that have become hot at backends that this instance has load reports of.
func (h *hotspots) becameHot(name entity.ServiceName, view *ownership.ServiceView, mean float64) []entity.KeyHash {
	var add []entity.KeyHash
	for key, load := range h.loads.hot {
		if key.service != name {
			continue
		}
		if _, hot := view.Hot[key.hash]; hot || load.rate < max(hotSlots*mean, minHotRate) {
			delete(h.hotWindowCounts, key)
			continue
		}
		base := view.Owners[entity.PartitionOf(key.hash, view.Count)]
		_, reported := h.loads.reports[base.Backend]
		if !reported || base.Moving() {
			continue
		}
		h.hotWindowCounts[key]++
		if h.hotWindowCounts[key] >= hotWindows {
			add = append(add, key.hash)
		}
	}
	maps.DeleteFunc(h.hotWindowCounts, func(key hotKey, _ int) bool {
		_, known := h.loads.hot[key]
		return !known
	})
	slices.Sort(add)
	capacity := max(ownership.MaxHotKeys-len(view.Hot), 0)
	return add[:min(len(add), maxHotStep, capacity)]
}

// becameCold returns the hot keys to remove, and the moves of those that must first go back to the owner of their base
// partition.
func (h *hotspots) becameCold(
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
		case s.now-h.coldSince[key] < coldPeriod || own.Moving() || base.Moving() || base.Backend == "":
		case own.Backend != base.Backend:
			home = append(home, ownership.MoveStep{Partition: virtual, To: base.Backend})
		case len(remove) < maxHotStep:
			remove = append(remove, hash)
			delete(h.coldSince, key)
		}
	}
	return remove, home
}

// rebalance returns moves of hot keys from overloaded owners to others. Backends without a report count as having the
// mean load.
func (h *hotspots) rebalance(s *situation, name entity.ServiceName, view *ownership.ServiceView) []ownership.MoveStep {
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
