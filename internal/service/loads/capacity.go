package loads

import (
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/capacity"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

const (
	// maxGauges bounds the backends that have metrics of their own. Others are left out until one of these is dropped.
	maxGauges = 64
	// gaugeInterval is the time between two updates of the metrics.
	gaugeInterval = time.Second
)

// reportChange logs whether the limit of a backend was halved or restored. The caller holds the lock.
func (s *Service) reportChange(e *endpoint) {
	learned := e.Capacity()
	switch learned.Change() {
	case capacity.Halved:
		s.halved.Inc(1)
		telemetry.EventLimitHalved.Log(s.log, zap.String("backend", string(e.id)), zap.Float64("limit", learned.LastLimit()), zap.Duration("service_time", learned.LastServiceTime()))
	case capacity.Restored:
		telemetry.EventLimitRestored.Log(s.log, zap.String("backend", string(e.id)), zap.Duration("service_time", learned.LastServiceTime()))
	case capacity.Unchanged:
	}
}

// backendGauges are the metrics of single backends.
type backendGauges struct {
	registry  metrics.Registry
	byBackend map[entity.BackendID]*backendGauge
	updated   time.Duration
}

type backendGauge struct {
	limit, inFlight, serviceTime metrics.Gauge
	names                        [3]string
}

// updateGauges sets the metrics of each backend. The caller holds the lock.
func (s *Service) updateGauges(now time.Duration) {
	if now-s.gauges.updated < gaugeInterval {
		return
	}
	s.gauges.updated = now
	for id, e := range s.endpoints {
		g := s.gauges.of(id)
		if g == nil {
			continue
		}
		g.limit.Update(int64(e.Capacity().Limit(now) * 100))
		g.inFlight.Update(int64(e.TotalInFlight()))
		g.serviceTime.Update(e.Capacity().LastServiceTime().Milliseconds())
	}
}

// of returns the metrics of a backend, nil if there are too many.
func (b *backendGauges) of(id entity.BackendID) *backendGauge {
	g := b.byBackend[id]
	if g == nil && len(b.byBackend) < maxGauges {
		prefix := "loads.backend." + metricName(string(id))
		g = &backendGauge{names: [3]string{prefix + ".limit_hundredths", prefix + ".in_flight", prefix + ".service_ms"}}
		g.limit = metrics.GetOrRegisterGauge(g.names[0], b.registry)
		g.inFlight = metrics.GetOrRegisterGauge(g.names[1], b.registry)
		g.serviceTime = metrics.GetOrRegisterGauge(g.names[2], b.registry)
		b.byBackend[id] = g
	}
	return g
}

// drop removes the metrics of a backend.
func (b *backendGauges) drop(id entity.BackendID) {
	if g := b.byBackend[id]; g != nil {
		for _, name := range g.names {
			b.registry.Unregister(name)
		}
		delete(b.byBackend, id)
	}
}

// maxMetricName bounds the part of a metric's name that comes from a backend's ID.
const maxMetricName = 48

// metricName replaces what may not be in the name of a metric.
func metricName(id string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, id[:min(len(id), maxMetricName)])
}
