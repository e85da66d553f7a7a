package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// meters are the metrics of the gateway.
type meters struct {
	registry metrics.Registry
	requests metrics.Counter
	inFlight metrics.Counter
	retries  metrics.Counter
	latency  metrics.Timer
}

func newMeters(r metrics.Registry) *meters {
	return &meters{
		registry: r,
		requests: metrics.GetOrRegisterCounter("gateway.requests", r),
		inFlight: metrics.GetOrRegisterCounter("gateway.in_flight", r),
		retries:  metrics.GetOrRegisterCounter("gateway.retries", r),
		latency:  metrics.GetOrRegisterTimer("gateway.latency", r),
	}
}

// record counts a finished request by its outcome and records its latency.
func (m *meters) record(o entity.Outcome, took time.Duration) {
	name := "gateway.outcome." + o.Kind.String()
	if o.Reason != "" {
		name += "." + string(o.Reason)
	}
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
	m.latency.Update(took)
}
