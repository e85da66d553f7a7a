package rollout

import (
	"math"
	"time"
)

// Buckets of latencies. Bucket b contains latencies from firstBucket x bucketRatio^b, the last one all longer ones (8.7 s).
const (
	Buckets     = 30
	firstBucket = 500 * time.Microsecond
	bucketRatio = 1.4
)

// Bucket returns the bucket of a latency.
func Bucket(latency time.Duration) int {
	if latency < firstBucket {
		return 0
	}
	return min(int(math.Log(float64(latency)/float64(firstBucket))/math.Log(bucketRatio)), Buckets-1)
}

// Counts are the answers of one version.
type Counts struct {
	Answers uint64
	Failed  uint64
	// Latencies counts the answers that did not fail.
	Latencies [Buckets]uint32
}

// Add adds counts.
func (c *Counts) Add(o *Counts) {
	c.Answers += o.Answers
	c.Failed += o.Failed
	for i, n := range o.Latencies {
		c.Latencies[i] += n
	}
}

// Subtract subtracts earlier counts of the same answers.
func (c *Counts) Subtract(o *Counts) {
	c.Answers -= min(o.Answers, c.Answers)
	c.Failed -= min(o.Failed, c.Failed)
	for i, n := range o.Latencies {
		c.Latencies[i] -= min(n, c.Latencies[i])
	}
}

// Groups is the number of groups into which the backends of the new version are divided. A version is bad only if both are: a single
// backend that is slow or fails may have a slow machine.
const Groups = 2

// Stratum is a set of requests for which the versions are compared with each other: a slow zone then does not look like a slow version.
type Stratum struct {
	Route string
	Zone  string // of the backend
}

// Pair contains the counts of both versions in a stratum.
type Pair struct {
	New [Groups]Counts
	Old Counts
}

func (p *Pair) subtract(o *Pair) {
	for g := range p.New {
		p.New[g].Subtract(&o.New[g])
	}
	p.Old.Subtract(&o.Old)
}

// Totals are the cumulative counts of a rollout by stratum.
type Totals map[Stratum]*Pair

// maxStrata bounds the strata of a rollout. Further ones are counted together.
const maxStrata = 64

// At returns the pair of a stratum, which it adds if there is room for it.
func (t Totals) At(s Stratum) *Pair {
	p := t[s]
	if p != nil {
		return p
	}
	if len(t) >= maxStrata {
		s = Stratum{}
		if p = t[s]; p != nil {
			return p
		}
	}
	p = &Pair{}
	t[s] = p
	return p
}

// Add adds the counts of another instance.
func (t Totals) Add(o Totals) {
	for s, p := range o {
		sum := t.At(s)
		for g := range p.New {
			sum.New[g].Add(&p.New[g])
		}
		sum.Old.Add(&p.Old)
	}
}

// NewAnswers returns the number of answers of the new version.
func (t Totals) NewAnswers() uint64 {
	n := uint64(0)
	for _, p := range t {
		for g := range p.New {
			n += p.New[g].Answers
		}
	}
	return n
}

// slowAbove is how many buckets above the old version's median on the route an answer counts as slow in a summary.
const slowAbove = 3

// Summary is the number of answers of one version.
type Summary struct{ Answers, Failed, Slow uint64 }

func (s *Summary) add(c *Counts, median int) {
	s.Answers += c.Answers
	s.Failed += c.Failed
	for _, n := range c.Latencies[min(median+slowAbove, Buckets):] {
		s.Slow += uint64(n)
	}
}

// Summaries returns the answers of both versions.
func (t Totals) Summaries() (newer, older Summary) {
	routes := map[string]*histogram{}
	for s, p := range t {
		if routes[s.Route] == nil {
			routes[s.Route] = &histogram{}
		}
		routes[s.Route].add(histogramOf(&p.Old), 1, 1)
	}
	for s, p := range t {
		median := routes[s.Route].median()
		for g := range p.New {
			newer.add(&p.New[g], median)
		}
		older.add(&p.Old, median)
	}
	return newer, older
}
