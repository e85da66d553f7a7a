package rollout

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// Guards against sums that lose or repeat answers when reports are incomplete, arrive in another order, or their sender has ended.
func TestSumOfIncompleteReports(t *testing.T) {
	var e exchange
	e.init()
	want := uint64(0)
	for round := uint64(1); round <= 20; round++ {
		for _, id := range []entity.InstanceID{"a", "b"} {
			var rows []service.RolloutCounts
			for route := range 4 {
				rows = append(rows, service.RolloutCounts{
					Service: "s", To: "v2", Route: string(rune('a' + route)), New: true, Group: route % 2, Answers: 10 * round, Failed: round,
					Latencies: []uint32{0, uint32(9 * round)},
				})
			}
			stale := rows[3]
			stale.Answers--
			e.apply(id, false, &service.RolloutReport{Counts: append(rows[round%4:], stale)}, time.Second)
			if round == 20 {
				want += 10 * round * uint64(len(rows))
			}
		}
	}
	e.apply("a", true, nil, 2*time.Second)
	sum := e.totals("s", "v2")
	require.Equal(t, want, sum.NewAnswers())
	require.Zero(t, e.totals("s", "v3").NewAnswers())
	newer, _ := sum.Summaries()
	require.Equal(t, want/10, newer.Failed)
}

// BenchmarkWithoutRollout measures what a request to a service without a rollout costs.
func BenchmarkWithoutRollout(b *testing.B) {
	s := New(service.InstanceConfig{ID: "i", ExposureShare: 0.1}, zap.NewNop(), metrics.NewRegistry())
	backends := []*catalog.Backend{{ID: "x", Version: "v1"}, {ID: "y", Version: "v1"}}
	benchmarkRequest(b, s, backends)
}

// BenchmarkRunning measures what a request costs while a rollout is running.
func BenchmarkRunning(b *testing.B) {
	s := New(service.InstanceConfig{ID: "i", ExposureShare: 0.1}, zap.NewNop(), metrics.NewRegistry())
	t := newTraffic("v2", false, 0.1, 1)
	var backends []*catalog.Backend
	for i := range 40 {
		backends = append(backends, &catalog.Backend{ID: entity.BackendID(rune('a' + i)), Version: []string{"v1", "v2"}[i%2]})
	}
	t.rules.Store(&rules{phase: 1, share: 0.08, freshUntil: time.Hour, oldListed: true, canaries: map[entity.BackendID]bool{backends[1].ID: true}})
	s.traffic.Publish(&map[entity.ServiceName]*traffic{"s": t})
	benchmarkRequest(b, s, backends)
}

func benchmarkRequest(b *testing.B, s *Service, backends []*catalog.Backend) {
	b.Helper()
	result := &service.DeliveryResult{Outcome: entity.Answered(), Status: 200}
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		chosen := s.Candidates("s", backends, now)[0]
		s.Sent("s", chosen)
		s.Finished("s", "route", chosen, false, result, time.Millisecond, now)
	}
}
