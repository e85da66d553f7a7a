package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/backpressure"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

const (
	// reportInterval is the time between two reports of latency to control.
	reportInterval = time.Second
	// reportedHotKeys is the number of keys in one report.
	reportedHotKeys = 8
)

// tick is the message to itself that starts a report.
type tick struct{}

// report closes the latency windows and tells control what placement needs.
func (s *Service) report(t *kernel.Turn) {
	defer t.After(reportInterval, tick{})
	p := s.plan.Load()
	if p == nil {
		return
	}
	medians := map[entity.ServiceName]map[entity.BackendID]time.Duration{}
	known := map[entity.ServiceName][]entity.BackendID{}
	var reports []service.BackendLatency
	running, waiting := 0, 0
	leases := s.leases.Leases()
	s.rebalance(leases)
	for id, l := range p.queues {
		if _, primary := heldLease(leases, id, t.Now()); primary {
			l.repairIfDue(t.Now())
		}
		r := l.closeWindow(t.Now())
		running += r.running
		waiting += r.waiting
		known[l.service] = append(known[l.service], id)
		if r.message.Median > 0 {
			if medians[l.service] == nil {
				medians[l.service] = map[entity.BackendID]time.Duration{}
			}
			medians[l.service][id] = r.message.Median
		}
		if r.message.Requests > 0 {
			reports = append(reports, r.message)
		}
	}
	s.meters.load(running, waiting)
	s.compare(medians, known)
	for _, r := range reports {
		r.Straggler = s.straggling(p.queues[r.Backend].service, r.Backend)
		t.Send(service.Control, r)
	}
}

// compare marks stragglers and logs changes.
func (s *Service) compare(medians map[entity.ServiceName]map[entity.BackendID]time.Duration,
	known map[entity.ServiceName][]entity.BackendID) {
	for name, ids := range known {
		if s.stragglers[name] == nil {
			s.stragglers[name] = backpressure.NewStragglers()
		}
		before := map[entity.BackendID]bool{}
		for _, id := range ids {
			before[id] = s.straggling(name, id)
		}
		s.stragglers[name].Observe(medians[name], ids)
		for _, id := range ids {
			now := s.straggling(name, id)
			if now && !before[id] {
				telemetry.EventStragglerMarked.Log(s.log, zap.String("backend", string(id)))
			}
			if !now && before[id] {
				telemetry.EventStragglerCleared.Log(s.log, zap.String("backend", string(id)))
			}
		}
	}
}

func (s *Service) straggling(name entity.ServiceName, id entity.BackendID) bool {
	st := s.stragglers[name]
	return st != nil && st.Straggling(id)
}

// laneReport is the state of one queue at the end of a window.
type laneReport struct {
	message service.BackendLatency
	running int
	waiting int
}

// closeWindow ends the queue's window of measurements.
func (l *backendQueue) closeWindow(now time.Duration) laneReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, closed := l.latency.Close(now)
	if closed && w.Jumped {
		l.cold(backpressure.CauseLatency, now)
	}
	r := laneReport{
		message: service.BackendLatency{Backend: l.id, Median: w.Median, Requests: l.count},
		running: len(l.running),
		waiting: l.queue.Len(),
	}
	l.count = 0
	for _, h := range l.hot.Top(reportedHotKeys) {
		r.message.Hot = append(r.message.Hot, service.HotKey{Service: h.Service, Hash: h.Hash, Requests: h.Requests})
	}
	l.pump(now)
	return r
}
