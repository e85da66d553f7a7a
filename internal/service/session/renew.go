package session

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// renew sends a renewal if one is due and returns when the next one is due. The session of a lost backend is not renewed, so
// that it lapses.
func (s *Service) renew(t *kernel.Turn, b *managedBackend) time.Duration {
	switch {
	case b.lost || b.renewing:
		return never
	case t.Now() < b.nextRenew:
		return b.nextRenew
	}
	b.renewing = true
	b.nextRenew = t.Now() + s.settings.RenewInterval
	if b.startID != "" {
		b.extendedFrom = max(b.extendedFrom, b.stampAt)
	}
	lease := backend.Session{
		Holder: s.self.ID, Term: b.term, TTL: s.settings.SessionTTL, StartID: b.startID, Stamp: b.stamp,
	}
	client, target, sentAt := s.client, b.target, t.Now()
	s.call(t, b, func(ctx context.Context) func(*kernel.Turn, *managedBackend) {
		status, err := client.RenewSession(ctx, target, lease)
		return func(t *kernel.Turn, b *managedBackend) { s.renewed(t, b, sentAt, status, err) }
	})
	return never
}

// renewed applies the result of a renewal. A result that arrives after the backend was declared lost is ignored.
func (s *Service) renewed(t *kernel.Turn, b *managedBackend, sentAt time.Duration, status backend.SessionStatus, err error) {
	b.renewing = false
	if b.lost {
		return
	}
	if errors.Is(err, backend.ErrOutdatedTerm) {
		s.superseded(b)
		return
	}
	if err != nil {
		s.renewalFailed(t, b, err)
		return
	}
	s.meters.renewals.Update(t.Now() - sentAt)
	b.failingSince = never
	s.observeStart(t, b, status)
	b.stamp, b.stampAt, b.seenAt = status.Stamp, t.Now(), sentAt
	s.correctDown(t, b)
}

// correctDown reports to the control service that a backend answers although it is recorded as down in the log. The primary
// that reported it lost may have terminated.
func (s *Service) correctDown(t *kernel.Turn, b *managedBackend) {
	view := s.serviceView(b.service)
	if view == nil {
		return
	}
	report, down := view.Down[b.target.ID]
	if !down || b.correctedReport == report {
		return
	}
	b.correctedReport = report
	t.Send(service.Control, service.BackendRecovered{Backend: b.target.ID})
}

// superseded stops all calls until the lease changes: another instance has a higher term, so this instance's lease has ended.
func (s *Service) superseded(b *managedBackend) {
	b.superseded = true
	telemetry.EventSessionSuperseded.Log(s.logger, zap.String("backend", string(b.target.ID)),
		zap.Uint64("term", uint64(b.term)))
}

func (s *Service) renewalFailed(t *kernel.Turn, b *managedBackend, err error) {
	s.meters.failures.Inc(1)
	b.failingSince = min(b.failingSince, t.Now())
	if backend.ConnectionRefused(err) {
		s.declareLost(t, b, err)
	}
}

// observeStart applies the reported start id and count of lapses. A process that was not seen before is cold and has no
// grants, and its session begins with the next renewal, which contains its stamp.
func (s *Service) observeStart(t *kernel.Turn, b *managedBackend, status backend.SessionStatus) {
	if status.StartID == b.startID {
		if status.Lapses != b.lapses {
			b.lapses = status.Lapses
			clear(b.granted)
			telemetry.EventSessionLapsed.Log(s.logger, zap.String("backend", string(b.target.ID)))
		}
		return
	}
	s.processReplaced(b)
	b.startID, b.lapses = status.StartID, status.Lapses
	clear(b.granted)
	b.nextRenew = t.Now()
	t.Send(service.Dispatch, service.BackendStarted{
		Backend: b.target.ID, StartID: status.StartID, Slots: status.Slots,
	})
	telemetry.EventSessionStarted.Log(s.logger, zap.String("backend", string(b.target.ID)),
		zap.String("start", status.StartID), zap.Int("slots", status.Slots))
}

// processReplaced stops waiting for requests that ran on a terminated process. This applies only to requests that were sent
// before that process was last seen; a later request may have reached the new process.
func (s *Service) processReplaced(b *managedBackend) {
	if b.startID == "" {
		return
	}
	if b.gainedAt <= b.seenAt {
		b.previousPrimaryUntil = 0
	}
	for _, r := range b.releases {
		if r.drained && r.drainedAt <= b.seenAt {
			r.until = 0
		}
	}
}
