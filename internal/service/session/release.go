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

// updateReleases follows the moving partitions of the log: new ones are drained, and those that no longer move are done.
func (s *Service) updateReleases(t *kernel.Turn, a *attended) {
	fresh := sortedParts(a.assigned.moving, func(p service.PartitionEpoch) bool { return a.releases[p] == nil })
	for _, p := range fresh {
		a.releases[p] = &release{}
	}
	for p := range a.releases {
		if _, ok := a.assigned.moving[p]; !ok {
			delete(a.releases, p)
		}
	}
	if len(fresh) > 0 {
		t.Send(service.Dispatch, service.DrainPartitions{Backend: a.target.ID, Partitions: fresh})
	}
}

// drained takes over that dispatch has nothing in flight for partitions. What it does not know the end of may run on with
// the drift of the back end's clock over the longest run.
func (s *Service) drained(t *kernel.Turn, m service.PartitionsDrained) {
	a := s.attended[m.Backend]
	if a == nil {
		return
	}
	for _, p := range m.Partitions {
		r := a.releases[p]
		if r == nil || r.drained {
			continue
		}
		r.drained, r.drainedAt = true, t.Now()
		if m.Until > 0 {
			r.until = m.Until + a.maxRun/driftDivisor
		}
	}
	s.advance(t, a)
}

// revoke asks the back end to stop drained partitions, and returns when it will try again. A lost back end is asked too,
// since a revocation does not extend its session. It also buries what was released by a lapse before the back end returns.
func (s *Service) revoke(t *kernel.Turn, a *attended) time.Duration {
	parts := a.revocable()
	switch {
	case a.revoking || len(parts) == 0:
		return never
	case t.Now() < a.nextRevoke:
		return a.nextRevoke
	}
	a.revoking = true
	client, target, term := s.client, a.target, a.term
	s.call(t, a, func(ctx context.Context) func(*kernel.Turn, *attended) {
		err := client.Revoke(ctx, target, term, grantsOf(parts))
		return func(t *kernel.Turn, a *attended) { s.revoked(t, a, parts, err) }
	})
	return never
}

// revocable returns the partitions that the back end is to be asked to stop.
func (a *attended) revocable() []service.PartitionEpoch {
	asked := partitionSet{}
	for p, r := range a.releases {
		if r.drained && !r.revoked && !r.reported {
			asked[p] = struct{}{}
		}
	}
	if a.answering {
		for p := range a.lapsedReleases {
			asked[p] = struct{}{}
		}
	}
	return sortedParts(asked, func(service.PartitionEpoch) bool { return true })
}

func (s *Service) revoked(t *kernel.Turn, a *attended, parts []service.PartitionEpoch, err error) {
	a.revoking = false
	if err != nil {
		s.revokeFailed(t, a, err)
		return
	}
	for _, p := range parts {
		delete(a.lapsedReleases, p)
		if r := a.releases[p]; r != nil {
			r.revoked = true
		}
	}
}

func (s *Service) revokeFailed(t *kernel.Turn, a *attended, err error) {
	a.nextRevoke = t.Now() + s.settings.RenewInterval
	switch {
	case errors.Is(err, backend.ErrOutdatedTerm):
		s.outranked(a)
	case !a.lost && !errors.Is(err, backend.ErrStillRunning):
		telemetry.EventSessionRevoke.Log(s.logger, zap.String("backend", string(a.target.ID)), zap.Error(err))
	}
}

// release reports the partitions whose old owner provably runs nothing for them any more, and returns when the next proof
// may be complete.
func (s *Service) release(t *kernel.Turn, a *attended) time.Duration {
	next := never
	acknowledged, lapsed := partitionSet{}, partitionSet{}
	for p, r := range a.releases {
		if r.reported {
			continue
		}
		provenAt, byLapse := s.proof(a, r)
		switch {
		case provenAt > t.Now():
			next = min(next, provenAt)
		case byLapse:
			lapsed[p] = struct{}{}
		default:
			acknowledged[p] = struct{}{}
		}
	}
	s.report(t, a, acknowledged, false)
	s.report(t, a, lapsed, true)
	return next
}

// proof returns from when on a release is proven, never if that cannot be said yet, and whether by the lapse of the
// session.
//
// The back end's acknowledgement is a proof for as long as nothing else can run: on a back end that does not check tokens,
// also the requests must have ended that this instance and the former primary lost sight of.
//
// The lapse counts only while the session is not renewed, that is for a lost back end. A back end that checks tokens then
// refuses new requests and ends those that run, so it need not be drained.
func (s *Service) proof(a *attended, r *release) (at time.Duration, byLapse bool) {
	runsUntil := a.notBefore
	if !a.checksTokens {
		if !r.drained {
			return never, false
		}
		runsUntil = max(runsUntil, r.until, a.foreignUntil)
	}
	if r.revoked {
		return runsUntil, false
	}
	if !a.lost {
		return never, false
	}
	return max(runsUntil, a.lapsesAt(s.settings.SessionTTL)), true
}

func (s *Service) report(t *kernel.Turn, a *attended, set partitionSet, byLapse bool) {
	parts := sortedParts(set, func(service.PartitionEpoch) bool { return true })
	if len(parts) == 0 {
		return
	}
	for _, p := range parts {
		a.releases[p].reported = true
		if byLapse {
			a.lapsedReleases[p] = struct{}{}
		}
	}
	s.meters.released.Inc(int64(len(parts)))
	t.Send(service.Control, service.ReleaseReady{Backend: a.target.ID, Partitions: parts, Lapsed: byLapse})
	if byLapse {
		t.Send(service.Dispatch, service.PartitionsLapsed{Backend: a.target.ID, Partitions: parts})
	}
	telemetry.EventSessionReleased.Log(s.logger, zap.String("backend", string(a.target.ID)),
		zap.Int("partitions", len(parts)), zap.Bool("lapsed", byLapse))
}
