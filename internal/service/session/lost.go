package session

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// watch declares a backend lost when its renewals have failed for Settings.DetectAfter, and returns when that will be.
func (s *Service) watch(t *kernel.Turn, b *managedBackend) time.Duration {
	if b.lost || b.failingSince == never {
		return never
	}
	if due := b.failingSince + s.settings.DetectAfter; t.Now() < due {
		return due
	}
	s.declareLost(t, b, nil)
	return never
}

// declareLost stops the renewals of a backend and reports it to the control service, which moves its partitions. The cause
// may be nil.
func (s *Service) declareLost(t *kernel.Turn, b *managedBackend, cause error) {
	b.lost, b.lostAt, b.answering = true, t.Now(), false
	b.backoff = s.settings.ProbeMin
	b.nextProbe = t.Now() + b.backoff
	s.meters.lost.Inc(1)
	t.Send(service.Control, service.BackendLost{Backend: b.target.ID})
	telemetry.EventSessionLost.Log(s.logger, zap.String("backend", string(b.target.ID)), zap.Error(cause))
}

// probe requests the health of a lost backend, which does not extend its session, and returns when the next probe is due.
func (s *Service) probe(t *kernel.Turn, b *managedBackend) time.Duration {
	switch {
	case !b.lost:
		return never
	case s.mayResume(t, b):
		s.resume(t, b)
		return never
	case b.probing:
		return never
	case t.Now() < b.nextProbe:
		return b.nextProbe
	}
	b.probing = true
	client, target := s.client, b.target
	s.call(t, b, func(ctx context.Context) func(*kernel.Turn, *managedBackend) {
		_, err := client.Health(ctx, target)
		return func(t *kernel.Turn, b *managedBackend) { s.probed(t, b, err) }
	})
	return never
}

func (s *Service) probed(t *kernel.Turn, b *managedBackend, err error) {
	b.probing = false
	b.answering = err == nil
	if b.answering {
		b.backoff = s.settings.ProbeMin
	}
	b.nextProbe = t.Now() + b.backoff
	b.backoff = min(2*b.backoff, s.settings.ProbeMax)
}

// mayResume reports whether the session of a lost backend may be renewed again: it answers, and its partitions have been
// released. Partitions may fail to move, since the log is unavailable or no other backend can own them; for those it waits
// at most Settings.MaxLostTime.
func (s *Service) mayResume(t *kernel.Turn, b *managedBackend) bool {
	switch {
	case !b.answering || len(b.releases) > 0 || len(b.lapsedReleases) > 0:
		return false
	case len(b.assigned.owned) == 0:
		return true
	default:
		return t.Now() >= b.lostAt+s.settings.MaxLostTime
	}
}

// resume starts to renew the session of a recovered backend again. The next renewal is sent immediately, and its answer
// contains the start id.
func (s *Service) resume(t *kernel.Turn, b *managedBackend) {
	b.lost, b.failingSince = false, never
	b.nextRenew = t.Now()
	clear(b.granted)
	t.Send(service.Control, service.BackendRecovered{Backend: b.target.ID})
	telemetry.EventSessionRecovered.Log(s.logger, zap.String("backend", string(b.target.ID)))
}
