package session

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// watch declares a back end lost when its renewals have failed for long enough, and returns when that will be.
func (s *Service) watch(t *kernel.Turn, a *attended) time.Duration {
	if a.lost || a.failingSince == never {
		return never
	}
	if due := a.failingSince + s.settings.DetectAfter; t.Now() < due {
		return due
	}
	s.declareLost(t, a, nil)
	return never
}

// declareLost stops the renewals of a back end and has its partitions moved.
func (s *Service) declareLost(t *kernel.Turn, a *attended, cause error) {
	a.lost, a.lostAt, a.answering = true, t.Now(), false
	a.backoff = s.settings.ProbeMin
	a.nextProbe = t.Now() + a.backoff
	s.meters.lost.Inc(1)
	t.Send(service.Control, service.BackendLost{Backend: a.target.ID})
	telemetry.EventSessionLost.Log(s.logger, zap.String("backend", string(a.target.ID)), zap.Error(cause))
}

// probe asks a lost back end for its health, which does not extend its session, and returns when the next probe is due.
func (s *Service) probe(t *kernel.Turn, a *attended) time.Duration {
	switch {
	case !a.lost:
		return never
	case s.mayReturn(t, a):
		s.comeBack(t, a)
		return never
	case a.probing:
		return never
	case t.Now() < a.nextProbe:
		return a.nextProbe
	}
	a.probing = true
	client, target := s.client, a.target
	s.call(t, a, func(ctx context.Context) func(*kernel.Turn, *attended) {
		_, err := client.Health(ctx, target)
		return func(t *kernel.Turn, a *attended) { s.probed(t, a, err) }
	})
	return never
}

func (s *Service) probed(t *kernel.Turn, a *attended, err error) {
	a.probing = false
	a.answering = err == nil
	if a.answering {
		a.backoff = s.settings.ProbeMin
	}
	a.nextProbe = t.Now() + a.backoff
	a.backoff = min(2*a.backoff, s.settings.ProbeMax)
}

// mayReturn reports whether the session of a lost back end may be renewed again: it answers, and its partitions have been
// released. Those that do not move, since the log is down or nobody else can take them, are waited for only so long.
func (s *Service) mayReturn(t *kernel.Turn, a *attended) bool {
	switch {
	case !a.answering || len(a.releases) > 0 || len(a.lapsedReleases) > 0:
		return false
	case len(a.assigned.owned) == 0:
		return true
	default:
		return t.Now() >= a.lostAt+s.settings.LostHold
	}
}

// comeBack renews the session of a lost back end again. Its next renewal is sent at once and tells its start id.
func (s *Service) comeBack(t *kernel.Turn, a *attended) {
	a.lost, a.failingSince = false, never
	a.nextRenew = t.Now()
	clear(a.granted)
	t.Send(service.Control, service.BackendRecovered{Backend: a.target.ID})
	telemetry.EventSessionRecovered.Log(s.logger, zap.String("backend", string(a.target.ID)))
}
