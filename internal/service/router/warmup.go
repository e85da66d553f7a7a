package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// warmupCheckTimeout bounds a warm-up check, which a backend answers immediately.
const warmupCheckTimeout = 400 * time.Millisecond

// checkWarmup asks a backend for its warm-up. It does not wait for the answer, which counts for later requests.
func (s *Service) checkWarmup(b *catalog.Backend, svc *catalog.Service) {
	s.meters.warmupChecks.Inc(1)
	s.checks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), warmupCheckTimeout)
		defer cancel()
		remaining, err := s.checker.CheckWarmup(ctx, b, svc.HealthPath)
		s.loads.FinishWarmupCheck(b, remaining, err == nil, s.kernel.Now())
		if err != nil {
			telemetry.EventWarmupCheckFailed.Log(s.log, zap.String("backend", string(b.ID)), zap.Int64("born", b.Incarnation), zap.Error(err))
		}
	})
}
