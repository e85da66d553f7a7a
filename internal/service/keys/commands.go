package keys

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// Bounds of orders to back ends.
const (
	// orderTimeout bounds a grant, which a back end answers at once.
	orderTimeout = 800 * time.Millisecond
	// releaseTimeout bounds a release, which is answered when the running work has ended.
	releaseTimeout = 2500 * time.Millisecond
	// parallelReleases bounds the releases that wait at one back end at the same time.
	parallelReleases = 8
	// maxKnown bounds the remembered processes.
	maxKnown = 8192
)

// fleetChanged takes over a new view of the back ends.
func (s *Service) fleetChanged(_ *kernel.Turn, view *service.DirectoryView) {
	s.fleet = view
	s.places = make(map[string]keyrange.Holder, len(view.Backends))
	if len(s.known) > maxKnown {
		s.known = map[keyrange.Holder]*catalog.Backend{}
	}
	for _, b := range view.Backends {
		h := keyrange.Holder{ID: b.ID, Incarnation: b.Incarnation}
		s.known[h] = b
		if other, taken := s.places[b.Address]; !taken || other.Incarnation < h.Incarnation {
			s.places[b.Address] = h
		}
	}
}

// lastKnown returns where a process was that is no longer listed, or nil if it is not known or another process is there.
func (s *Service) lastKnown(h keyrange.Holder) *catalog.Backend {
	b := s.known[h]
	if b == nil || s.replaced(h, b) {
		return nil
	}
	return b
}

// replaced reports whether another process, started later, is listed at the address of a process.
func (s *Service) replaced(h keyrange.Holder, b *catalog.Backend) bool {
	other, taken := s.places[b.Address]
	return taken && other != h && other.Incarnation > h.Incarnation
}

func (c *contact) answeredAt(now time.Duration) { c.answered, c.failing = now, 0 }

func (c *contact) failed(now time.Duration) {
	if c.failing == 0 {
		c.failing = now
	}
}

// sendBatch sends orders to one back end on a worker.
func (s *Service) sendBatch(t *kernel.Turn, target keyrange.Holder, orders []keyrange.Command) {
	k := s.coordinator.contact(target)
	k.busy = true
	b := s.address(target)
	term, planned := s.coordinator.term, t.Now()
	t.Go(func(ctx context.Context) kernel.Message {
		return ordersDone{term: term, target: target, results: s.run(ctx, b, orders, planned)}
	})
}

// run sends the releases side by side, since each waits for running work, and then the grants one after the other. After an
// order without an answer the others are not sent.
func (s *Service) run(
	ctx context.Context, b *catalog.Backend, orders []keyrange.Command, planned time.Duration,
) []timedResult {
	results := make([]timedResult, len(orders))
	var releases sync.WaitGroup
	slots := make(chan struct{}, parallelReleases)
	for i, order := range orders {
		if order.Kind != keyrange.KindRelease {
			continue
		}
		releases.Go(func() {
			slots <- struct{}{}
			results[i] = s.send(ctx, b, order, planned, releaseTimeout)
			<-slots
		})
	}
	releases.Wait()
	silent := false
	for i, order := range orders {
		switch {
		case order.Kind == keyrange.KindRelease:
			silent = silent || results[i].Outcome == keyrange.NoAnswer
		case silent:
			results[i] = timedResult{Result: keyrange.Result{Command: order, Outcome: keyrange.NotSent}}
		default:
			results[i] = s.send(ctx, b, order, planned, orderTimeout)
			silent = results[i].Outcome != keyrange.Done && results[i].Outcome != keyrange.Refused
		}
	}
	return results
}

func (s *Service) send(
	ctx context.Context, b *catalog.Backend, order keyrange.Command, planned time.Duration, timeout time.Duration,
) timedResult {
	sent := s.kernel.Now()
	if order.Kind == keyrange.KindGrant {
		order.TTL -= sent - planned
	}
	if b == nil || (order.Kind == keyrange.KindGrant && order.TTL <= 0) {
		return timedResult{Result: keyrange.Result{Command: order, Outcome: keyrange.NotSent}, sent: sent, done: sent}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result := s.orders.SendCommand(ctx, b, order)
	return timedResult{Result: result, sent: sent, done: s.kernel.Now()}
}

// ordersDone takes the results of a batch.
func (s *Service) ordersDone(t *kernel.Turn, m ordersDone) {
	c := s.coordinator
	if c == nil || c.term != m.term {
		return
	}
	k := c.contact(m.target)
	k.busy = false
	heldBefore := len(s.held)
	for _, r := range m.results {
		s.count(r)
		switch r.Outcome {
		case keyrange.Done, keyrange.Refused:
			k.answeredAt(r.done)
		case keyrange.OtherProcess:
			k.gone = true
		case keyrange.NoAnswer, keyrange.NotSent:
			k.failed(t.Now())
		}
		if r.Outcome != keyrange.Done {
			telemetry.EventCommandFailed.Log(s.log, zap.String("backend", string(m.target.ID)), zap.Uint8("kind", uint8(r.Kind)),
				zap.Uint32("from", r.From), zap.Uint32("to", r.To), zap.Uint64("fence", r.Fence), zap.Uint8("outcome", uint8(r.Outcome)))
		}
		if c.executor.HandleResult(r.Result, r.sent, t.Now()) {
			s.held[r.Fence] = true
			telemetry.EventRangeGranted.Log(s.log, zap.String("backend", string(m.target.ID)), zap.Uint32("from", r.From),
				zap.Uint32("to", r.To), zap.Uint64("fence", r.Fence))
		}
	}
	if c.executor.Fenced() {
		s.nextRead = t.Now()
	}
	if len(s.held) != heldBefore {
		s.publish(t)
		s.announceSoon(t)
	}
	s.sendDue(t)
}

func (s *Service) count(r timedResult) {
	switch {
	case r.Outcome != keyrange.Done:
		s.counters.orderFailures.Inc(1)
	case r.Kind == keyrange.KindGrant:
		s.counters.grants.Inc(1)
	default:
		s.counters.releases.Inc(1)
	}
}
