package capacity

import (
	"math"
	"time"
)

const (
	// sharedTerm is the time over which the measurements of all instances are averaged. Noise of neighbours lasts less, and differences
	// of speed last longer.
	sharedTerm = 15 * time.Second
	// minShared is the weight of measurements, in answers, from which the mean counts as known.
	minShared = 20
)

// Measured averages what all instances have measured at one backend. A single instance of a large deployment gets too few answers of
// each backend to tell its speed within minutes. The zero value has no measurements. It is not safe for concurrent use.
type Measured struct {
	answers, total float64 // decayed sums; total is in ns
	at             time.Duration
}

// Add adds measurements: the number of answers, and the sum of the time for which each kept one slot busy.
func (m *Measured) Add(answers int, total, now time.Duration) {
	m.decay(now)
	m.answers += float64(answers)
	m.total += float64(total)
}

// Throughput returns the number of requests of mean work per second that a backend with the given slots handles well. It reports false
// if there are too few recent measurements.
func (m *Measured) Throughput(slots float64, now time.Duration) (float64, bool) {
	m.decay(now)
	if m.answers < minShared || m.total <= 0 {
		return 0, false
	}
	return slots * m.answers / time.Duration(m.total).Seconds(), true
}

func (m *Measured) decay(now time.Duration) {
	if now <= m.at {
		return
	}
	remaining := math.Exp(-float64(now-m.at) / float64(sharedTerm))
	m.answers, m.total, m.at = m.answers*remaining, m.total*remaining, now
}
