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

// updateReleases applies changes of the moving partitions in the log: new ones are drained, and those that no longer move
// are removed.
func (s *Service) updateReleases(t *kernel.Turn, b *managedBackend) {
	added := sortedPartitions(b.assigned.moving, func(p service.PartitionEpoch) bool { return b.releases[p] == nil })
	for _, p := range added {
		b.releases[p] = &release{}
	}
	for p := range b.releases {
		if _, ok := b.assigned.moving[p]; !ok {
			delete(b.releases, p)
		}
	}
	if len(added) > 0 {
		t.Send(service.Dispatch, service.DrainPartitions{Backend: b.target.ID, Partitions: added})
	}
}

// drained records that dispatch has no requests in flight for partitions. Requests without a known end may run longer than
// reported, by the drift of the backend's clock over max_run.
func (s *Service) drained(t *kernel.Turn, m service.PartitionsDrained) {
	b := s.managed[m.Backend]
	if b == nil {
		return
	}
	for _, p := range m.Partitions {
		r := b.releases[p]
		if r == nil || r.drained {
			continue
		}
		r.drained, r.drainedAt = true, t.Now()
		if m.Until > 0 {
			r.until = m.Until + b.maxRun/driftDivisor
		}
	}
	s.advance(t, b)
}

// revoke asks the backend to stop drained partitions and returns when it tries again. A lost backend is asked too, since a
// revocation does not extend its session. Partitions that were released by a lapse are also revoked before the session of a
// recovered backend is resumed.
func (s *Service) revoke(t *kernel.Turn, b *managedBackend) time.Duration {
	partitions := b.revocable()
	switch {
	case b.revoking || len(partitions) == 0:
		return never
	case t.Now() < b.nextRevoke:
		return b.nextRevoke
	}
	b.revoking = true
	client, target, term := s.client, b.target, b.term
	s.call(t, b, func(ctx context.Context) func(*kernel.Turn, *managedBackend) {
		err := client.Revoke(ctx, target, term, grantsOf(partitions))
		return func(t *kernel.Turn, b *managedBackend) { s.revoked(t, b, partitions, err) }
	})
	return never
}

// revocable returns the partitions that the backend must be asked to stop.
func (b *managedBackend) revocable() []service.PartitionEpoch {
	set := partitionSet{}
	for p, r := range b.releases {
		if r.drained && !r.revoked && !r.reported {
			set[p] = struct{}{}
		}
	}
	if b.answering {
		for p := range b.lapsedReleases {
			set[p] = struct{}{}
		}
	}
	return sortedPartitions(set, func(service.PartitionEpoch) bool { return true })
}

func (s *Service) revoked(t *kernel.Turn, b *managedBackend, partitions []service.PartitionEpoch, err error) {
	b.revoking = false
	if err != nil {
		s.revokeFailed(t, b, err)
		return
	}
	for _, p := range partitions {
		delete(b.lapsedReleases, p)
		if r := b.releases[p]; r != nil {
			r.revoked = true
		}
	}
}

func (s *Service) revokeFailed(t *kernel.Turn, b *managedBackend, err error) {
	b.nextRevoke = t.Now() + s.settings.RenewInterval
	switch {
	case errors.Is(err, backend.ErrOutdatedTerm):
		s.superseded(b)
	case !b.lost && !errors.Is(err, backend.ErrStillRunning):
		telemetry.EventSessionRevoke.Log(s.logger, zap.String("backend", string(b.target.ID)), zap.Error(err))
	}
}

// release reports the partitions whose old owner provably runs no more requests for them, and returns when the next proof
// may be complete.
func (s *Service) release(t *kernel.Turn, b *managedBackend) time.Duration {
	next := never
	acknowledged, lapsed := partitionSet{}, partitionSet{}
	for p, r := range b.releases {
		if r.reported {
			continue
		}
		provenAt, byLapse := s.proof(b, r)
		switch {
		case provenAt > t.Now():
			next = min(next, provenAt)
		case byLapse:
			lapsed[p] = struct{}{}
		default:
			acknowledged[p] = struct{}{}
		}
	}
	s.report(t, b, acknowledged, false)
	s.report(t, b, lapsed, true)
	return next
}

// proof returns the time at which a release is proven, never if that is not known yet, and whether it is proven by the lapse
// of the session.
//
// The backend's acknowledgement is a proof if no other request can run: on a backend that does not check tokens, the
// requests whose end is unknown to this instance and those of the previous primary must have ended too.
//
// The lapse is a proof only while the session is not renewed, that is for a lost backend. A backend that checks tokens then
// refuses new requests and ends those that run, so it need not be drained.
func (s *Service) proof(b *managedBackend, r *release) (at time.Duration, byLapse bool) {
	runsUntil := b.notBefore
	if !b.checksTokens {
		if !r.drained {
			return never, false
		}
		runsUntil = max(runsUntil, r.until, b.previousPrimaryUntil)
	}
	if r.revoked {
		return runsUntil, false
	}
	if !b.lost {
		return never, false
	}
	return max(runsUntil, b.lapsesAt(s.settings.SessionTTL)), true
}

func (s *Service) report(t *kernel.Turn, b *managedBackend, set partitionSet, byLapse bool) {
	partitions := sortedPartitions(set, func(service.PartitionEpoch) bool { return true })
	if len(partitions) == 0 {
		return
	}
	for _, p := range partitions {
		b.releases[p].reported = true
		if byLapse {
			b.lapsedReleases[p] = struct{}{}
		}
	}
	s.meters.released.Inc(int64(len(partitions)))
	t.Send(service.Control, service.ReleaseReady{Backend: b.target.ID, Partitions: partitions, Lapsed: byLapse})
	if byLapse {
		t.Send(service.Dispatch, service.PartitionsLapsed{Backend: b.target.ID, Partitions: partitions})
	}
	telemetry.EventSessionReleased.Log(s.logger, zap.String("backend", string(b.target.ID)),
		zap.Int("partitions", len(partitions)), zap.Bool("lapsed", byLapse))
}
