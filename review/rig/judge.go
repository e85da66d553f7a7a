package main

import (
	"fmt"
	"time"
)

// Bounds of the rule OWNER.
const (
	// heldTogether is the longest time for which two endpoints may hold the same keys.
	heldTogether = 500 * time.Millisecond
)

// heldByTwo returns a description of each pair of endpoints that held the same keys for longer than the rule allows.
func heldByTwo(endpoints []*endpoint) []string {
	now := time.Now()
	var found []string
	for i, a := range endpoints {
		for _, b := range endpoints[i+1:] {
			if worst, text := longestOverlap(a, b, now); worst > heldTogether {
				found = append(found, text)
			}
		}
	}
	return found
}

// longestOverlap returns the longest time for which two endpoints held a common key, with a description.
func longestOverlap(a, b *endpoint, now time.Time) (time.Duration, string) {
	worst, text := time.Duration(0), ""
	for _, x := range merged(a.tenures(), now) {
		for _, y := range merged(b.tenures(), now) {
			from, to := max(x.from, y.from), min(x.to, y.to)
			begin, end := latest(x.begin, y.begin), earliest(x.end, y.end)
			if together := end.Sub(begin); from <= to && together > worst {
				worst = together
				text = fmt.Sprintf("keys %d-%d: %s (fence %d) and %s (fence %d) hold them together for %.3f s from %s",
					from, to, a.id, x.fence, b.id, y.fence, together.Seconds(), begin.Format("15:04:05.000"))
			}
		}
	}
	return worst, text
}

func (e *endpoint) tenures() []tenure {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]tenure(nil), e.history...)
}

// merged joins the tenures of renewals that follow one another without a gap, and cuts those that last beyond now.
func merged(all []tenure, now time.Time) []tenure {
	type span struct {
		from, to int
		fence    uint64
	}
	last := map[span]int{}
	var joined []tenure
	for _, t := range all {
		t.end = earliest(t.end, now)
		if !t.end.After(t.begin) {
			continue
		}
		s := span{t.from, t.to, t.fence}
		if i, known := last[s]; known && !t.begin.After(joined[i].end) {
			joined[i].end = latest(joined[i].end, t.end)
			continue
		}
		last[s] = len(joined)
		joined = append(joined, t)
	}
	return joined
}

// grantedDuringWork returns a description of each grant of a key on which another endpoint was still at work, before the lease of that
// one would have run out.
func grantedDuringWork(endpoints []*endpoint) []string {
	var found []string
	for _, a := range endpoints {
		a.mu.Lock()
		runs := append([]run(nil), a.runs...)
		a.mu.Unlock()
		for _, b := range endpoints {
			if a == b {
				continue
			}
			for _, t := range merged(b.tenures(), time.Now()) {
				for _, r := range runs {
					atWork := r.begin.Before(t.begin) && t.begin.Before(r.end) && t.begin.Before(r.heldUntil)
					if t.from <= r.key && r.key <= t.to && atWork {
						found = append(found, fmt.Sprintf("key %d: %s is granted it (fence %d) at %s while %s works on %s until %s",
							r.key, b.id, t.fence, t.begin.Format("15:04:05.000"), a.id, r.request, r.end.Format("15:04:05.000")))
					}
				}
			}
		}
	}
	return found
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
