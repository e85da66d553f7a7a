package dispatch

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

const (
	// handOverTimeout bounds the wait for running requests when a lease is handed over while the instance goes on. New
	// requests for the back end wait meanwhile, so it is well below the 1 s in which a key must be served again.
	handOverTimeout = 300 * time.Millisecond
	// handOverPause is how long the back end stays closed here after its lease was released, so that a request that still
	// finds the old lease is not taken in.
	handOverPause = 100 * time.Millisecond
)

// rebalance hands one back end over whose lease another instance should hold. After a start or a restart the leases would
// otherwise stay with the instances that were there first. One at a time: each costs a moment of unavailable time.
func (s *Service) rebalance(view *service.LeaseView) {
	if view == nil || len(view.Misplaced) == 0 || s.stopping.Load() || !s.rebalancing.CompareAndSwap(false, true) {
		return
	}
	s.rebalanced++
	name := view.Misplaced[s.rebalanced%len(view.Misplaced)]
	id, isBackend := strings.CutPrefix(string(name), string(service.BackendLease("")))
	l := s.backendQueue(entity.BackendID(id))
	if !isBackend || l == nil {
		s.rebalancing.Store(false)
		return
	}
	s.work(func(ctx context.Context) {
		defer s.rebalancing.Store(false)
		s.rebalanceLane(ctx, l)
	})
}

// rebalanceLane closes the back end here, hands its lease over if it becomes idle in time, and opens it again.
func (s *Service) rebalanceLane(ctx context.Context, l *backendQueue) {
	defer l.resume()
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout+handOverPause)
	defer cancel()
	waiting, cancelWait := context.WithTimeout(ctx, handOverTimeout)
	defer cancelWait()
	if s.handOver(waiting, l) != nil {
		return // busy; another attempt follows
	}
	telemetry.EventRebalanced.Log(s.log, zap.String("backend", string(l.id)))
	timer := time.NewTimer(handOverPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
