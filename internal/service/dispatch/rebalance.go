package dispatch

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/sleep"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

const (
	// handOverTimeout bounds the wait for running requests when a lease is handed over while the instance keeps running.
	// New requests for the backend wait meanwhile, so it is well below the 1 s within which a key must be served again.
	handOverTimeout = 300 * time.Millisecond
	// handOverPause is how long the queue stays stopped after its lease was released, so that a request that still sees the
	// old lease is not admitted.
	handOverPause = 100 * time.Millisecond
)

// rebalance hands over one backend whose lease another instance should hold. After a start or a restart the leases would
// otherwise stay with the instances that started first. Backends are handed over one at a time, because each handover makes
// the backend briefly unavailable.
func (s *Service) rebalance(view *service.LeaseView) {
	if view == nil || len(view.Misplaced) == 0 || s.stopping.Load() || !s.rebalancing.CompareAndSwap(false, true) {
		return
	}
	s.rebalanceAttempts++
	name := view.Misplaced[s.rebalanceAttempts%len(view.Misplaced)]
	id, isBackend := strings.CutPrefix(string(name), string(service.BackendLease("")))
	q := s.backendQueue(entity.BackendID(id))
	if !isBackend || q == nil {
		s.rebalancing.Store(false)
		return
	}
	s.startWorker(func(ctx context.Context) {
		defer s.rebalancing.Store(false)
		s.rebalanceQueue(ctx, q)
	})
}

// rebalanceQueue stops the queue, hands its lease over if it becomes idle within handOverTimeout, and resumes the queue.
func (s *Service) rebalanceQueue(ctx context.Context, q *backendQueue) {
	defer q.resume()
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout+handOverPause)
	defer cancel()
	waiting, cancelWait := context.WithTimeout(ctx, handOverTimeout)
	defer cancelWait()
	if s.handOver(waiting, q) != nil {
		return // still busy; a later report tries again
	}
	telemetry.EventRebalanced.Log(s.log, zap.String("backend", string(q.id)))
	_ = sleep.For(ctx, handOverPause) // the queue is resumed in any case
}
