package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Verdict is the result of a comparison.
type Verdict struct {
	// Bad means that the new version is worse than the old one. A comparison that has found this keeps to it.
	Bad bool
	// Suspect means that there is some evidence, which is not enough yet, and Likely that there is enough for a single decision, such as
	// that to switch, but not for one that is repeated many times a second.
	Suspect, Likely bool
	Reason          string
}

// Parameters of the test, chosen by the seeded histories (histories_test.go).
const (
	// interval is the length of a block. The versions are compared within each block, since all backends of a service may be slow or
	// fail at one time. History is the number of blocks that are kept apart, so that the test sees the last seconds without earlier,
	// better ones.
	interval = 250 * time.Millisecond
	history  = 33
	// minFailed and minSlow are the smallest numbers of bad answers of a bad version.
	minFailed = 4
	minSlow   = 6
	// spreadFailed and spreadSlow are the number of blocks in which the bad answers must have come. A crash or a pause of a process
	// ends many requests at one time.
	spreadFailed = 2
	spreadSlow   = 3
	// minFailedExcess and minSlowExcess are the smallest differences between the shares of the versions that count. Bad versions fail
	// at least one request in ten.
	minFailedExcess = 0.04
	minSlowExcess   = 0.05
	// evidence is the log-likelihood ratio from which a version is bad, likely and suspicion those of the weaker verdicts.
	evidence  = 9.0
	likely    = 6.5
	suspicion = 3.0
	// slowDispersion divides the ratio of slow answers, which come in groups: a queue delays all requests in it.
	slowDispersion = 1.3
	// groupEvidence is the log-likelihood ratio that each group of backends must show by itself, groupExcess the part of the difference
	// between the versions, and minGroup the number of answers from which a group counts.
	groupEvidence = 3.0
	groupExcess   = 0.5
	minGroup      = 4
	// minMedian is the number of the old version's recent answers on a route from which their median is used, instead of that of all.
	minMedian = 20
	// slowDecay and failedDecay are the weights of earlier answers in the recent ones at each block. Where a block has too few answers,
	// recent ones are taken. Times of slowness begin and end more often than times of failures. RecentWeight is the weight of their
	// number, since following blocks use the same ones.
	slowDecay    = 0.7
	failedDecay  = 0.9
	recentWeight = 0.5
	// enoughOld is the number of answers of the old version for each one of the new version that a block must have, and minOld the
	// smallest number.
	enoughOld = 4
	minOld    = 4
	// loadedAbove and loadedExcess bound the slow answers that count after the switch: the new version then has all the load, with
	// possibly half of the slots.
	loadedAbove  = 4
	loadedExcess = 0.2
)

// windows are the numbers of blocks over which the versions are compared, beside the whole time.
var windows = [...]int{4, 8, 16, 32}

// kinds are the kinds of bad answers that are tested. An answer is slow if its latency is the given number of buckets above the old
// version's median; with a ratio of 1.4 these begin at about 1.7, 2.4, 3.3 and 6.4 times the median.
var kinds = [...]struct {
	name       string
	above      int // 0 for failures
	excess     float64
	dispersion float64
	spread     float64
	least      float64 // bad answers
}{
	{"failed", 0, minFailedExcess, 1, spreadFailed, minFailed},
	{"slow", 2, minSlowExcess, slowDispersion, spreadSlow, minSlow},
	{"slow", 3, minSlowExcess, slowDispersion, spreadSlow, minSlow},
	{"slow", 4, minSlowExcess, slowDispersion, spreadSlow, minSlow},
	{"slow", 6, minSlowExcess, slowDispersion, spreadSlow, minSlow},
}

// histogram contains answers of one version, possibly weighted. Failed ones have no latency.
type histogram struct {
	answers, failed, timed float64
	latencies              [Buckets]float64
}

func histogramOf(c *Counts) *histogram {
	h := &histogram{answers: float64(c.Answers), failed: float64(c.Failed)}
	for i, n := range c.Latencies {
		h.latencies[i] = float64(n)
		h.timed += float64(n)
	}
	return h
}

// add adds answers after multiplying the earlier ones by their weights.
func (h *histogram) add(o *histogram, failedWeight, slowWeight float64) {
	h.answers = failedWeight*h.answers + o.answers
	h.failed = failedWeight*h.failed + o.failed
	h.timed = slowWeight*h.timed + o.timed
	for i, n := range o.latencies {
		h.latencies[i] = slowWeight*h.latencies[i] + n
	}
}

// measure returns the number of bad answers of a kind, and that of all to which they are compared.
func (h *histogram) measure(kind, median int) (bad, all float64) {
	above := kinds[kind].above
	if above == 0 {
		return h.failed, h.answers
	}
	for _, n := range h.latencies[min(median+above, Buckets):] {
		bad += n
	}
	return bad, h.timed
}

// median returns the bucket of the median latency.
func (h *histogram) median() int {
	n := 0.0
	for i, x := range h.latencies {
		n += x
		if n >= h.timed/2 {
			return i
		}
	}
	return Buckets - 1
}

// sums are the bad answers of one kind of the new version, and what the old version tells of them. They are additive over strata and
// blocks.
type sums struct {
	bad, all [Groups]float64
	// expected is the number of bad answers if the new version had the share of the old one in each stratum and block. Variance is the
	// sum of all^2 / answers of the old version, from which follows how exactly this is known.
	expected, variance float64
	blocks             float64 // with bad answers
}

func (s *sums) add(o *sums, sign float64) {
	for g := range s.bad {
		s.bad[g] += sign * o.bad[g]
		s.all[g] += sign * o.all[g]
	}
	s.expected += sign * o.expected
	s.variance += sign * o.variance
	s.blocks += sign * o.blocks
}

// scope contains the sums of one route, or of all routes, by kind.
type scope [len(kinds)]sums

// Comparison tests whether the new version is worse than the old one as counts arrive. It is not safe for concurrent use.
type Comparison struct {
	indexes map[Stratum]int
	strata  []Stratum
	routes  []string // the names of the scopes; the first one stands for all routes
	// start are the counts at the beginning of the present block.
	start   []Pair
	startAt time.Duration
	recent  []histogram // recent answers of the old version by stratum
	// past are the sums at the beginning of the last blocks, the newest last, from which those of any period follow.
	past    [][]scope
	verdict Verdict
}

// NewComparison returns a comparison without observations.
func NewComparison() *Comparison {
	return &Comparison{indexes: map[Stratum]int{}, routes: []string{""}}
}

// Restart discards the verdict and the sums. Later observations are tested without the given answers of the new version.
func (c *Comparison) Restart(now time.Duration, totals Totals) {
	c.verdict, c.past = Verdict{}, nil
	c.start, c.startAt = c.flatten(totals), now
}

// Observe applies the cumulative counts at a time and returns the verdict. Loaded means that the new version has all the load, so that
// some of its answers are slower than those of the old version were.
func (c *Comparison) Observe(now time.Duration, totals Totals, loaded bool) Verdict {
	if c.verdict.Bad {
		return c.verdict
	}
	current := c.flatten(totals)
	block := slices.Clone(current)
	for i := range c.start {
		block[i].subtract(&c.start[i])
	}
	sum := make([]scope, len(c.routes))
	if len(c.past) > 0 {
		copy(sum, c.past[len(c.past)-1])
	}
	c.addBlock(sum, block, current)
	c.verdict = c.test(sum, loaded)
	if now-c.startAt >= interval {
		c.endBlock(now, current, block, sum)
	}
	return c.verdict
}

// endBlock begins the next block.
func (c *Comparison) endBlock(now time.Duration, current, block []Pair, sum []scope) {
	for i := range block {
		c.recent[i].add(histogramOf(&block[i].Old), failedDecay, slowDecay)
	}
	if len(c.past) == history {
		copy(c.past, c.past[1:])
		c.past = c.past[:history-1]
	}
	c.past, c.start, c.startAt = append(c.past, sum), current, now
}

// flatten returns the counts in the order of c.strata, to which it adds new strata.
func (c *Comparison) flatten(totals Totals) []Pair {
	known := len(c.strata)
	for s := range totals {
		if _, ok := c.indexes[s]; !ok {
			c.strata = append(c.strata, s)
		}
	}
	slices.SortFunc(c.strata[known:], func(a, b Stratum) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Zone, b.Zone))
	})
	for i, s := range c.strata[known:] {
		c.indexes[s] = known + i
		if !slices.Contains(c.routes[1:], s.Route) {
			c.routes = append(c.routes, s.Route)
		}
	}
	c.recent = append(c.recent, make([]histogram, len(c.strata)-len(c.recent))...)
	flat := make([]Pair, len(c.strata))
	for s, p := range totals {
		flat[c.indexes[s]] = *p
	}
	return flat
}

// scopeOf returns the scope of the route of a stratum.
func (c *Comparison) scopeOf(stratum int) int {
	return 1 + slices.Index(c.routes[1:], c.strata[stratum].Route)
}

// old is what is known of the old version in a stratum or on a route: its answers in the present block, the recent ones and all.
type old struct{ block, recent, whole histogram }

func (o *old) add(x *old) {
	o.block.add(&x.block, 1, 1)
	o.recent.add(&x.recent, 1, 1)
	o.whole.add(&x.whole, 1, 1)
}

// addBlock adds the answers of one block to the sums.
func (c *Comparison) addBlock(sum []scope, block, whole []Pair) {
	strata, routes := make([]old, len(block)), make([]old, len(sum))
	for i := range block {
		o := &strata[i]
		o.block, o.recent, o.whole = *histogramOf(&block[i].Old), *histogramOf(&block[i].Old), *histogramOf(&whole[i].Old)
		o.recent.add(&c.recent[i], 1, 1)
		routes[c.scopeOf(i)].add(o)
	}
	total := scope{}
	route := make([]scope, len(sum))
	for i := range block {
		if block[i].New[0].Answers+block[i].New[1].Answers == 0 {
			continue
		}
		s := c.scopeOf(i)
		median := routes[s].whole.median()
		if routes[s].recent.timed >= minMedian {
			median = routes[s].recent.median()
		}
		answers := [Groups]*histogram{histogramOf(&block[i].New[0]), histogramOf(&block[i].New[1])}
		for kind := range kinds {
			route[s][kind].compare(kind, median, answers, &strata[i], &routes[s])
		}
	}
	for s := range route {
		for kind := range kinds {
			total[kind].add(&route[s][kind], 1)
			route[s][kind].countBlock()
			sum[s][kind].add(&route[s][kind], 1)
		}
	}
	for kind := range kinds {
		total[kind].blocks = 0
		total[kind].countBlock()
		sum[0][kind].add(&total[kind], 1)
	}
}

// compare adds the answers of the new version in a stratum.
func (s *sums) compare(kind, median int, answers [Groups]*histogram, stratum, route *old) {
	var bad, all [Groups]float64
	n := 0.0
	for g, h := range answers {
		bad[g], all[g] = h.measure(kind, median)
		n += all[g]
	}
	// The first of these with enough answers is used, the last one with any otherwise.
	baselines := [...]struct {
		h      *histogram
		weight float64
	}{
		{&stratum.block, 1}, {&stratum.recent, recentWeight}, {&route.block, 1}, {&route.recent, recentWeight},
		{&stratum.whole, recentWeight}, {&route.whole, recentWeight},
	}
	var oldBad, oldAll, weight float64
	for _, b := range baselines {
		x, y := b.h.measure(kind, median)
		if y > 0 {
			oldBad, oldAll, weight = x, y, b.weight
		}
		if y >= max(minOld, enoughOld*n) {
			break
		}
	}
	if n == 0 || oldAll == 0 {
		return // nothing to compare, or nothing to compare with
	}
	for g := range answers {
		s.bad[g] += bad[g]
		s.all[g] += all[g]
	}
	s.expected += n * oldBad / oldAll
	s.variance += n * n / (weight * oldAll)
}

// countBlock counts the block if it has bad answers.
func (s *sums) countBlock() {
	if s.bad[0]+s.bad[1] > 0 {
		s.blocks = 1
	}
}

// test runs all tests on the sums up to now.
func (c *Comparison) test(sum []scope, loaded bool) Verdict {
	var result Verdict
	for s := range sum {
		if s == 1 && len(sum) == 2 {
			break // a single route
		}
		for kind := range sum[s] {
			if loaded && kinds[kind].above > 0 && kinds[kind].above < loadedAbove {
				continue
			}
			whole := &sum[s][kind]
			result = c.testPeriod(result, s, kind, whole, whole, loaded)
			for _, w := range windows {
				if result.Bad {
					return result
				}
				if len(c.past) <= w {
					break
				}
				period := sum[s][kind]
				if earlier := c.past[len(c.past)-1-w]; s < len(earlier) {
					period.add(&earlier[s][kind], -1)
				}
				result = c.testPeriod(result, s, kind, &period, whole, loaded)
			}
		}
	}
	return result
}

// testPeriod runs one test on the sums over a period, of which whole are those over the whole time. It returns the stronger one of its
// verdict and an earlier one.
func (c *Comparison) testPeriod(earlier Verdict, s, kind int, period, whole *sums, loaded bool) Verdict {
	k := &kinds[kind]
	excess := k.excess
	if loaded && k.above > 0 {
		excess = loadedExcess
	}
	bad, all := period.bad[0]+period.bad[1], period.all[0]+period.all[1]
	if bad < k.least || all == 0 {
		return earlier
	}
	oldShare, oldAll := period.expected/all, all*all/period.variance
	ratio := logLikelihoodRatio(all, bad, oldAll, oldShare*oldAll) / k.dispersion
	if bad/all-oldShare < excess || ratio < suspicion {
		return earlier
	}
	v := Verdict{Suspect: true}
	if period.blocks >= k.spread && period.inAllGroups(whole, oldShare, oldAll, k.dispersion) {
		v.Likely, v.Bad = ratio >= likely, ratio >= evidence
	}
	if earlier.Likely && !v.Bad || earlier.Suspect && !v.Likely {
		return earlier
	}
	name := "all routes"
	if s > 0 {
		name = "route " + c.routes[s]
	}
	v.Reason = fmt.Sprintf("%s: %.0f of %.0f answers %s, %.1f%% at the old version", name, bad, all, k.name, 100*oldShare)
	return v
}

// inAllGroups reports whether each group of backends that gets requests has a larger share of bad answers than the old version.
func (s *sums) inAllGroups(whole *sums, oldShare, oldAll, dispersion float64) bool {
	excess := groupExcess * ((s.bad[0]+s.bad[1])/(s.all[0]+s.all[1]) - oldShare)
	for g := range s.all {
		if whole.all[g] < minGroup {
			continue
		}
		if s.all[g] < minGroup || s.bad[g]/s.all[g]-oldShare < excess ||
			logLikelihoodRatio(s.all[g], s.bad[g], oldAll, oldShare*oldAll)/dispersion < groupEvidence {
			return false
		}
	}
	return true
}

// logLikelihoodRatio returns the logarithm of the likelihood ratio between two different shares of bad answers and a common one, or
// zero if the new version's share is not the larger one.
func logLikelihoodRatio(newAll, newBad, oldAll, oldBad float64) float64 {
	if newAll <= 0 || oldAll <= 0 || newBad/newAll <= oldBad/oldAll {
		return 0
	}
	common := (newBad + oldBad) / (newAll + oldAll)
	return newAll*divergence(newBad/newAll, common) + oldAll*divergence(oldBad/oldAll, common)
}

// divergence returns the Kullback-Leibler divergence between two shares.
func divergence(p, q float64) float64 {
	d := 0.0
	if p > 0 {
		d += p * math.Log(p/q)
	}
	if p < 1 {
		d += (1 - p) * math.Log((1-p)/(1-q))
	}
	return d
}
