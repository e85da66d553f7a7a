package dispatch

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/pollenpier/pollenpier/internal/decide/backpressure"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// Parameters of the samples of histograms, as recommended by the metrics library for a decay over about five minutes.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

// meters holds the metrics of the service. Times are in microseconds.
type meters struct {
	registry     metrics.Registry
	requests     metrics.Counter
	retries      metrics.Counter
	replays      metrics.Counter
	blames       metrics.Counter
	copiesFailed metrics.Counter
	queueWait    metrics.Histogram
	serviceTime  metrics.Histogram
	inFlight     metrics.Gauge
	queued       metrics.Gauge
	outcomes     sync.Map // metrics.Counter by outcomeName
}

type outcomeName struct {
	kind   entity.OutcomeKind
	reason entity.Reason
}

func newMeters(r metrics.Registry) *meters {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleDecay))
	}
	return &meters{
		registry:     r,
		requests:     metrics.GetOrRegisterCounter("dispatch.requests", r),
		retries:      metrics.GetOrRegisterCounter("dispatch.retries", r),
		replays:      metrics.GetOrRegisterCounter("dispatch.replays", r),
		blames:       metrics.GetOrRegisterCounter("dispatch.blames", r),
		copiesFailed: metrics.GetOrRegisterCounter("dispatch.copies_failed", r),
		queueWait:    histogram("dispatch.queue_wait_us"),
		serviceTime:  histogram("dispatch.service_time_us"),
		inFlight:     metrics.GetOrRegisterGauge("dispatch.in_flight", r),
		queued:       metrics.GetOrRegisterGauge("dispatch.queued", r),
	}
}

// outcome counts a finished request by its outcome.
func (m *meters) outcome(o entity.Outcome) {
	name := outcomeName{o.Kind, o.Reason}
	if c, ok := m.outcomes.Load(name); ok {
		c.(metrics.Counter).Inc(1)
		return
	}
	text := "dispatch.outcome." + o.Kind.String()
	if o.Reason != "" {
		text += "." + string(o.Reason)
	}
	c := metrics.GetOrRegisterCounter(text, m.registry)
	m.outcomes.Store(name, c)
	c.Inc(1)
}

func (m *meters) cold(cause backpressure.Cause) {
	metrics.GetOrRegisterCounter("dispatch.cold."+cause.String(), m.registry).Inc(1)
}

func (m *meters) granted(wait time.Duration) { m.queueWait.Update(wait.Microseconds()) }
func (m *meters) served(run time.Duration)   { m.serviceTime.Update(run.Microseconds()) }
func (m *meters) load(running, waiting int) {
	m.inFlight.Update(int64(running))
	m.queued.Update(int64(waiting))
}
