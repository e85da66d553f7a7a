package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/rollout"
)

// BenchmarkObserve measures one test over 4 routes and 3 zones.
func BenchmarkObserve(b *testing.B) {
	totals := rollout.Totals{}
	c := rollout.NewComparison()
	b.ReportAllocs()
	for i := range b.N {
		for r := range 4 {
			for z := range 3 {
				p := totals.At(rollout.Stratum{Route: fmt.Sprint(r), Zone: fmt.Sprint(z)})
				for _, n := range []*rollout.Counts{&p.New[i%2], &p.Old, &p.Old} {
					n.Answers++
					n.Latencies[10+i%5]++
				}
			}
		}
		c.Observe(time.Duration(i)*100*time.Millisecond, totals, false)
	}
}
