package control

import (
	"maps"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/decide/placement"
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
	at   time.Duration
	rate float64
}

type hotKey struct {
	service entity.ServiceName
	hash    entity.KeyHash
}

type hotLoad struct {
	at   time.Duration
	rate float64
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
	l.reports[m.Backend] = loadReport{at: now, rate: float64(m.Requests) / interval.Seconds()}
	for _, h := range m.Hot {
		l.hot[hotKey{h.Service, h.Hash}] = hotLoad{at: now, rate: float64(h.Requests) / interval.Seconds()}
	}
	maps.DeleteFunc(l.reports, func(_ entity.BackendID, r loadReport) bool { return now-r.at > loadFor })
	maps.DeleteFunc(l.hot, func(_ hotKey, h hotLoad) bool { return now-h.at > loadFor })
}

// apply sets the measured load of a back end, if there is a recent report.
func (l *loads) apply(now time.Duration, b *placement.Backend) {
	if r, ok := l.reports[b.ID]; ok && now-r.at <= loadFor {
		b.Rate = r.rate
	}
}

// virtual returns the measured load of the virtual partitions of a service.
func (l *loads) virtual(
	now time.Duration, name entity.ServiceName, view *ownership.ServiceView,
) map[entity.Partition]float64 {
	rates := make(map[entity.Partition]float64, len(view.Hot))
	for hash, partition := range view.Hot {
		if h, ok := l.hot[hotKey{name, hash}]; ok && now-h.at <= loadFor {
			rates[partition] = h.rate
		}
	}
	return rates
}
