package control

import (
	"maps"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// reportMaxAge is how long a load report is valid. The primary of a backend sends one about once a second.
const reportMaxAge = 5 * time.Second

// loads holds the latest load reports of backends that this instance is the primary of.
type loads struct {
	reports map[entity.BackendID]loadReport
	hot     map[hotKey]hotLoad
}

type loadReport struct {
	at     time.Duration
	rate   float64 // requests per second
	median time.Duration
}

type hotKey struct {
	service entity.ServiceName
	hash    entity.KeyHash
}

type hotLoad struct {
	at   time.Duration
	rate float64 // requests per second
}

func newLoads() loads {
	return loads{reports: map[entity.BackendID]loadReport{}, hot: map[hotKey]hotLoad{}}
}

// add records a report. Its rates are computed from the requests since the previous report.
func (l *loads) add(now time.Duration, m service.BackendLatency) {
	last, known := l.reports[m.Backend]
	interval := now - last.at
	if !known || interval <= 0 || interval > reportMaxAge {
		interval = time.Second
	}
	l.reports[m.Backend] = loadReport{at: now, rate: float64(m.Requests) / interval.Seconds(), median: m.Median}
	for _, h := range m.Hot {
		l.hot[hotKey{h.Service, h.Hash}] = hotLoad{at: now, rate: float64(h.Requests) / interval.Seconds()}
	}
}

// expire removes reports that have expired.
func (l *loads) expire(now time.Duration) {
	maps.DeleteFunc(l.reports, func(_ entity.BackendID, r loadReport) bool { return now-r.at > reportMaxAge })
	maps.DeleteFunc(l.hot, func(_ hotKey, h hotLoad) bool { return now-h.at > reportMaxAge })
}

// meanRate returns the mean load per slot of the backends of a service that have a report, in requests per second; zero
// if there is none.
func (l *loads) meanRate(s *situation, name entity.ServiceName) float64 {
	rate, slots := 0.0, 0
	for _, b := range s.config.services[name].Backends {
		if r, ok := l.reports[entity.BackendID(b.Name)]; ok {
			rate += r.rate
			slots += b.Slots
		}
	}
	if slots == 0 {
		return 0
	}
	return rate / float64(slots)
}
