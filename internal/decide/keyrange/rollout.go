package keyrange

import (
	"cmp"
	"slices"
	"time"
)

// Stage is the progress of a rollout as far as it concerns the ownership of keys.
type Stage uint8

// Stages of a rollout.
const (
	// StageNone means that there is no rollout.
	StageNone Stage = iota
	// StageCompare means that only the canaries of the new version own keys, by which it is compared with the old one.
	StageCompare
	// StageReplace means that the backends of the new version take over all keys.
	StageReplace
	// StageReject means that the backends of the old version take all keys back.
	StageReject
)

// Restrict makes the candidates unusable that may own no keys in a stage of a rollout. If that left no usable backend of the version
// that is to own the keys, it changes nothing: serving keys takes precedence.
func Restrict(candidates []Candidate, stage Stage) {
	wanted := func(c *Candidate) bool { return c.New == (stage == StageReplace) && !c.Rejected }
	if stage == StageNone || !slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Usable && wanted(&c) }) {
		for i := range candidates {
			candidates[i].Canary = false
		}
		return
	}
	for i := range candidates {
		c := &candidates[i]
		c.Canary = c.Canary && c.New && stage == StageCompare
		c.Usable = c.Usable && (wanted(c) || c.Canary)
	}
}

// Exposure is the part of the load that canaries get while versions are compared.
type Exposure struct {
	// Share is the largest part of the requests for keys that canaries own.
	Share float64
	// Load counts the requests by key within ExposureWindow.
	Load KeyLoad
}

// ExposureWindow is the time over which requests by key are counted for canaries. It is longer than KeyLoadWindow, since a small share of
// few requests cannot be measured.
const ExposureWindow = 6 * time.Second

// Bounds of the canaries' load, relative to the share.
const (
	// excessLoad is the factor by which the canaries' load must exceed their share before ranges move back, and excessRequests the
	// number of requests. Counts vary by chance.
	excessLoad     = 1.25
	excessRequests = 2
	// missingLoad is the part of a canary's load that must be missing before it gets another range.
	missingLoad = 0.25
	// splitLoad is the part of the missing load at which a larger range is split. A split is not exact.
	splitLoad = 0.6
	// maxSplitsPerCanary bounds the ranges that one plan tries to split for a canary.
	maxSplitsPerCanary = 3
)

// expose gives the canaries ranges up to their share of the load, and takes ranges back if their load exceeds it.
func (p *planner) expose(e Exposure) {
	total := 0
	for _, n := range e.Load {
		total += n
	}
	if len(p.canaries) == 0 || total < minMovedRequests {
		return
	}
	limit := e.Share * float64(total)
	loads := rangeLoads(p.table, e.Load)
	by := p.byOwner(loads)
	exposed := 0
	for _, c := range p.canaries {
		exposed += by[c.Holder]
	}
	if float64(exposed) > limit*excessLoad+excessRequests {
		p.withdraw(float64(exposed)-limit, loads)
		return
	}
	left := limit - float64(exposed)
	for _, c := range p.canaries {
		target := limit / float64(len(p.canaries))
		missing := min(target-float64(by[c.Holder]), left)
		if missing < max(1, missingLoad*target) {
			continue
		}
		left -= p.fill(c, missing, e.Load)
	}
}

func (p *planner) isCanary(h Holder) bool {
	return slices.ContainsFunc(p.canaries, func(c Candidate) bool { return c.Holder == h })
}

// withdraw moves ranges from the canaries to the other backends until the excess is removed.
func (p *planner) withdraw(excess float64, loads []int) {
	var owned []int
	for i := range p.table.Ranges {
		if r := &p.table.Ranges[i]; r.Granted && loads[i] > 0 && p.isCanary(r.Owner) {
			owned = append(owned, i)
		}
	}
	slices.SortFunc(owned, func(a, b int) int { return cmp.Compare(loads[b], loads[a]) })
	for _, i := range owned {
		if excess <= 0 {
			return
		}
		p.move(&p.table.Ranges[i], p.leastLoaded(Holder{}), loads[i])
		excess -= float64(loads[i])
	}
}

// fill moves ranges with at most the missing load to a canary and returns their load.
func (p *planner) fill(c Candidate, missing float64, load KeyLoad) float64 {
	filled := 0.0
	for splits := 0; missing-filled >= 1; {
		loads := rangeLoads(p.table, load)
		fitting, larger := p.rangesFor(loads, missing-filled)
		if fitting >= 0 {
			filled += float64(loads[fitting])
			p.move(&p.table.Ranges[fitting], c, loads[fitting])
			continue
		}
		splits++
		if larger < 0 || splits > maxSplitsPerCanary || filled >= missing/2 || !p.split(larger, load, splitLoad*(missing-filled)) {
			break
		}
	}
	return filled
}

// rangesFor returns the range with the most requests among those that a canary may get with the given load, and the smallest one with
// more, which may be split. An index is -1 if there is none.
func (p *planner) rangesFor(loads []int, missing float64) (fitting, larger int) {
	fitting, larger = -1, -1
	for i := range p.table.Ranges {
		r := &p.table.Ranges[i]
		switch {
		case !r.Granted || loads[i] == 0 || !p.isUsable(r.Owner):
		case float64(loads[i]) <= missing:
			if fitting < 0 || loads[i] > loads[fitting] {
				fitting = i
			}
		case r.From < r.To && (larger < 0 || loads[i] < loads[larger]):
			larger = i
		}
	}
	return fitting, larger
}

// isUsable reports whether balancing may move ranges of the owner.
func (p *planner) isUsable(h Holder) bool {
	return slices.ContainsFunc(p.usable, func(c Candidate) bool { return c.Holder == h })
}
