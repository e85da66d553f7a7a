package rollout

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

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
