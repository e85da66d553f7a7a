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

// grant sends the grants that the back end has not acknowledged, and returns when it will try again.
func (s *Service) grant(t *kernel.Turn, a *attended) time.Duration {
	if a.lost || a.granting || a.startID == "" {
		return never
	}
	missing := a.missing()
	switch {
	case len(missing) == 0:
		return never
	case t.Now() < a.nextGrant:
		return a.nextGrant
	}
	a.granting = true
	client, target, term, startID, lapses := s.client, a.target, a.term, a.startID, a.lapses
	s.call(t, a, func(ctx context.Context) func(*kernel.Turn, *attended) {
		err := client.Grant(ctx, target, term, grantsOf(missing))
		return func(t *kernel.Turn, a *attended) {
			a.granting = false
			if err != nil {
				s.grantFailed(t, a, err)
				return
			}
			if a.startID == startID && a.lapses == lapses {
				a.acknowledge(missing)
			}
		}
	})
	return never
}

func (s *Service) grantFailed(t *kernel.Turn, a *attended, err error) {
	a.nextGrant = t.Now() + s.settings.RenewInterval
	if errors.Is(err, backend.ErrOutdatedTerm) {
		s.outranked(a)
		return
	}
	telemetry.EventSessionGrant.Log(s.logger, zap.String("backend", string(a.target.ID)), zap.Error(err))
}

// acknowledge records grants that are still assigned and forgets those that are not.
func (a *attended) acknowledge(parts []service.PartitionEpoch) {
	for _, p := range parts {
		a.granted[p] = struct{}{}
	}
	for p := range a.granted {
		if _, ok := a.assigned.owned[p]; !ok {
			delete(a.granted, p)
		}
	}
}
