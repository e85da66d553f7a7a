package control

import (
	"maps"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// loadFor is how long a load report counts. Reports come about once a second from the primary.
const loadFor = 5 * time.Second

// loads are the latest reports of back ends that this instance is primary of.
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

// add takes a report; rates are the requests since the last one.
func (l *loads) add(now time.Duration, m service.BackendLatency) {
	last, known := l.reports[m.Backend]
	interval := now - last.at
	if !known || interval <= 0 || interval > loadFor {
		interval = time.Second
	}
	l.reports[m.Backend] = loadReport{at: now, rate: float64(m.Requests) / interval.Seconds(), median: m.Median}
	for _, h := range m.Hot {
		l.hot[hotKey{h.Service, h.Hash}] = hotLoad{at: now, rate: float64(h.Requests) / interval.Seconds()}
	}
}

// forget drops what is too old to count.
func (l *loads) forget(now time.Duration) {
	maps.DeleteFunc(l.reports, func(_ entity.BackendID, r loadReport) bool { return now-r.at > loadFor })
	maps.DeleteFunc(l.hot, func(_ hotKey, h hotLoad) bool { return now-h.at > loadFor })
}

// meanRate returns the mean load per slot of the reported back ends of a service, zero if there is none.
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
