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

// renew sends a renewal when one is due and returns when the next is. A lost back end's session is left to lapse.
func (s *Service) renew(t *kernel.Turn, a *attended) time.Duration {
	switch {
	case a.lost || a.renewing:
		return never
	case t.Now() < a.nextRenew:
		return a.nextRenew
	}
	a.renewing = true
	a.nextRenew = t.Now() + s.settings.RenewInterval
	if a.startID != "" {
		a.extendedFrom = max(a.extendedFrom, a.stampAt)
	}
	lease := backend.Session{
		Holder: s.self.ID, Term: a.term, TTL: s.settings.SessionTTL, StartID: a.startID, Stamp: a.stamp,
	}
	client, target, sentAt := s.client, a.target, t.Now()
	s.call(t, a, func(ctx context.Context) func(*kernel.Turn, *attended) {
		status, err := client.RenewSession(ctx, target, lease)
		return func(t *kernel.Turn, a *attended) { s.renewed(t, a, sentAt, status, err) }
	})
	return never
}

// renewed takes over the result of a renewal. One that ends after the back end was declared lost counts for nothing.
func (s *Service) renewed(t *kernel.Turn, a *attended, sentAt time.Duration, status backend.SessionStatus, err error) {
	a.renewing = false
	if a.lost {
		return
	}
	if errors.Is(err, backend.ErrOutdatedTerm) {
		s.outranked(a)
		return
	}
	if err != nil {
		s.renewalFailed(t, a, err)
		return
	}
	s.meters.renewals.Update(t.Now() - sentAt)
	a.failingSince = never
	s.observeStart(t, a, status)
	a.stamp, a.stampAt, a.seenAt = status.Stamp, t.Now(), sentAt
	s.correctDown(t, a)
}

// correctDown tells control of a back end that answers although the log says that it is down. The primary that reported it
// lost may be gone.
func (s *Service) correctDown(t *kernel.Turn, a *attended) {
	view := s.serviceView(a.service)
	if view == nil {
		return
	}
	report, down := view.Down[a.target.ID]
	if !down || a.corrected == report {
		return
	}
	a.corrected = report
	t.Send(service.Control, service.BackendRecovered{Backend: a.target.ID})
}

// outranked stops all sending until the lease changes: another instance has a higher term, so this one's lease is over.
func (s *Service) outranked(a *attended) {
	a.outranked = true
	telemetry.EventSessionSuperseded.Log(s.logger, zap.String("backend", string(a.target.ID)),
		zap.Uint64("term", uint64(a.term)))
}

func (s *Service) renewalFailed(t *kernel.Turn, a *attended, err error) {
	s.meters.failures.Inc(1)
	a.failingSince = min(a.failingSince, t.Now())
	if backend.ConnectionRefused(err) {
		s.declareLost(t, a, err)
	}
}

// observeStart takes over the start id and the count of lapses. A process that was not seen before is cold and has no
// grants, and its session begins with the next renewal, which carries its stamp.
func (s *Service) observeStart(t *kernel.Turn, a *attended, status backend.SessionStatus) {
	if status.StartID == a.startID {
		if status.Lapses != a.lapses {
			a.lapses = status.Lapses
			clear(a.granted)
			telemetry.EventSessionLapsed.Log(s.logger, zap.String("backend", string(a.target.ID)))
		}
		return
	}
	s.processReplaced(a)
	a.startID, a.lapses = status.StartID, status.Lapses
	clear(a.granted)
	a.nextRenew = t.Now()
	t.Send(service.Dispatch, service.BackendStarted{
		Backend: a.target.ID, StartID: status.StartID, Slots: status.Slots,
	})
	telemetry.EventSessionStarted.Log(s.logger, zap.String("backend", string(a.target.ID)),
		zap.String("start", status.StartID), zap.Int("slots", status.Slots))
}

// processReplaced forgets the requests that ran on a process which is gone. Only those count that were sent before that
// process was last seen; a later one may have reached its successor.
func (s *Service) processReplaced(a *attended) {
	if a.startID == "" {
		return
	}
	if a.gainedAt <= a.seenAt {
		a.foreignUntil = 0
	}
	for _, r := range a.releases {
		if r.drained && r.drainedAt <= a.seenAt {
			r.until = 0
		}
	}
}
