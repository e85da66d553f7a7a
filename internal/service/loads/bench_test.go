package loads_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/balance"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// BenchmarkChoose measures the choice of a backend and the record of its answer, with 12 backends.
func BenchmarkChoose(b *testing.B) {
	for _, staleness := range []time.Duration{200 * time.Millisecond, 2 * time.Second} {
		b.Run(staleness.String(), func(b *testing.B) {
			s := newLoads()
			q := service.LoadQuery{
				Service: &catalog.Service{Name: "s"}, Zone: "a", Route: "r", Members: &service.MembersView{KnownCount: 12, Staleness: staleness},
				Goal: balance.LatencyGoal{Remaining: 4 * time.Second, Target: time.Second}, Now: 2 * time.Second,
			}
			for i := range 12 {
				q.Candidates = append(q.Candidates, &catalog.Backend{ID: entity.BackendID(fmt.Sprint("b", i)), Incarnation: 1, Slots: 4, Zone: "a"})
			}
			result := *served
			result.Load = &service.BackendLoad{Running: 1, Slots: 4, Slowdown: 1}
			for range 24 { // half of the slots are in use
				s.Choose(q)
			}
			b.ReportAllocs()
			for b.Loop() {
				q.Now += 2 * time.Millisecond
				_, attempt := s.Choose(q)
				s.FinishAttempt(attempt, &result, q.Now+time.Millisecond)
			}
		})
	}
}
