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

// grant sends the grants that the backend has not acknowledged and returns when it tries again, never if that is not
// planned.
func (s *Service) grant(t *kernel.Turn, b *managedBackend) time.Duration {
	if b.lost || b.granting || b.startID == "" {
		return never
	}
	missing := b.missing()
	switch {
	case len(missing) == 0:
		return never
	case t.Now() < b.nextGrant:
		return b.nextGrant
	}
	b.granting = true
	client, target, term, startID, lapses := s.client, b.target, b.term, b.startID, b.lapses
	s.call(t, b, func(ctx context.Context) func(*kernel.Turn, *managedBackend) {
		err := client.Grant(ctx, target, term, grantsOf(missing))
		return func(t *kernel.Turn, b *managedBackend) {
			b.granting = false
			if err != nil {
				s.grantFailed(t, b, err)
				return
			}
			if b.startID == startID && b.lapses == lapses {
				b.acknowledge(missing)
			}
		}
	})
	return never
}

func (s *Service) grantFailed(t *kernel.Turn, b *managedBackend, err error) {
	b.nextGrant = t.Now() + s.settings.RenewInterval
	if errors.Is(err, backend.ErrOutdatedTerm) {
		s.superseded(b)
		return
	}
	telemetry.EventSessionGrant.Log(s.logger, zap.String("backend", string(b.target.ID)), zap.Error(err))
}

// acknowledge records the grants as acknowledged and removes all grants that are no longer assigned.
func (b *managedBackend) acknowledge(partitions []service.PartitionEpoch) {
	for _, p := range partitions {
		b.granted[p] = struct{}{}
	}
	for p := range b.granted {
		if _, ok := b.assigned.owned[p]; !ok {
			delete(b.granted, p)
		}
	}
}
