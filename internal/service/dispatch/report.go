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
	// reportInterval is the time between two latency reports to the control service.
	reportInterval = time.Second
	// reportedHotKeys is the number of keys in one report.
	reportedHotKeys = 8
)

// tick is the message that the service sends to itself to start a report.
type tick struct{}

// report closes the latency windows and sends the control service the measurements that placement needs.
func (s *Service) report(t *kernel.Turn) {
	defer t.After(reportInterval, tick{})
	p := s.plan.Load()
	if p == nil {
		return
	}
	medians := map[entity.ServiceName]map[entity.BackendID]time.Duration{}
	backends := map[entity.ServiceName][]entity.BackendID{}
	var reports []service.BackendLatency
	running, waiting := 0, 0
	leases := s.leases.Leases()
	s.rebalance(leases)
	for id, q := range p.queues {
		if _, primary := heldLease(leases, id, t.Now()); primary {
			q.repairIfDue(t.Now())
		}
		r := q.closeWindow(t.Now())
		running += r.running
		waiting += r.waiting
		backends[q.service] = append(backends[q.service], id)
		if r.message.Median > 0 {
			if medians[q.service] == nil {
				medians[q.service] = map[entity.BackendID]time.Duration{}
			}
			medians[q.service][id] = r.message.Median
		}
		if r.message.Requests > 0 {
			reports = append(reports, r.message)
		}
	}
	s.meters.load(running, waiting)
	s.updateStragglers(medians, backends)
	for _, r := range reports {
		r.Straggler = s.straggling(p.queues[r.Backend].service, r.Backend)
		t.Send(service.Control, r)
	}
}

// updateStragglers compares the medians of each service's backends, marks stragglers and logs changes.
func (s *Service) updateStragglers(medians map[entity.ServiceName]map[entity.BackendID]time.Duration,
	backends map[entity.ServiceName][]entity.BackendID) {
	for name, ids := range backends {
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
	return st != nil && st.IsStraggler(id)
}

// queueReport is the state of one queue at the end of a window.
type queueReport struct {
	message service.BackendLatency
	running int
	waiting int
}

// closeWindow closes the queue's measurement window and returns its report.
func (q *backendQueue) closeWindow(now time.Duration) queueReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	w, closed := q.latency.Close(now)
	if closed && w.Jumped {
		q.resetRamp(backpressure.CauseLatency, now)
	}
	r := queueReport{
		message: service.BackendLatency{Backend: q.id, Median: w.Median, Requests: q.count},
		running: len(q.running),
		waiting: q.queue.Len(),
	}
	q.count = 0
	for _, h := range q.hot.Top(reportedHotKeys) {
		r.message.Hot = append(r.message.Hot, service.HotKey{Service: h.Service, Hash: h.Hash, Requests: h.Requests})
	}
	q.startQueued(now)
	return r
}
