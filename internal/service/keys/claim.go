package keys

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/decide/rendezvous"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/fleetpb"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

func decodeState(raw []byte) (*keyrange.State, error) { return fleetpb.DecodeState(raw) }

// claimIfDue makes this instance the coordinator if there is none and it is the first in line.
func (s *Service) claimIfDue(t *kernel.Turn) {
	now := t.Now()
	if !s.loaded || s.coordinator != nil || s.writing || !s.coordinatorMissing(now) {
		s.lostAt = s.stillLost(now)
		return
	}
	if s.lostAt == 0 {
		s.lostAt = now
	}
	if now-s.lostAt < s.claimDelay(now) {
		return
	}
	if now-s.readAt > retryRead {
		s.nextRead = now // claims on the newest table only
		return
	}
	next := &keyrange.State{}
	if s.state != nil {
		next = s.state.WithGranted(s.held)
	}
	next.Coordinator = s.site.ID
	next.Term++
	telemetry.EventCoordinatorClaim.Log(s.log, zap.Uint64("term", next.Term), zap.Duration("missing_for", now-s.lostAt),
		zap.Int("heard", len(s.heard(now))))
	s.write(t, next)
}

// stillLost keeps the time of the loss while the coordinator is missing.
func (s *Service) stillLost(now time.Duration) time.Duration {
	if s.coordinator == nil && s.loaded && s.coordinatorMissing(now) {
		return s.lostAt
	}
	return 0
}

// coordinatorMissing reports whether the coordinator is silent, leaving, or cut off from the store.
func (s *Service) coordinatorMissing(now time.Duration) bool {
	if s.state == nil || s.state.Coordinator == "" {
		return true
	}
	p := s.peers[s.state.Coordinator]
	if p == nil {
		return now-s.startedAt > coordinatorSilence
	}
	if now-p.at > coordinatorSilence || p.leaving {
		return true
	}
	return s.storeGood && !p.storeGood && now-p.storeBadAt > storelessFor
}

// heard returns the instances that may coordinate, this one included.
func (s *Service) heard(now time.Duration) []entity.InstanceID {
	ids := []entity.InstanceID{s.site.ID}
	for id, p := range s.peers {
		if now-p.at < candidateSilence && p.storeGood && !p.leaving {
			ids = append(ids, id)
		}
	}
	return ids
}

// claimDelay is how long the coordinator must be missing before this instance claims.
func (s *Service) claimDelay(now time.Duration) time.Duration {
	heard := s.heard(now)
	known := 1
	for _, p := range s.peers {
		if now-p.at < isolationWait {
			known++
		}
	}
	if 2*len(heard) < known {
		return isolationWait
	}
	for i, id := range s.succession(heard) {
		if id == s.site.ID {
			return time.Duration(i) * claimStagger
		}
	}
	return isolationWait
}

// succession orders instances by who coordinates first: those with the most processor, since renewals and plans take more than
// the smallest have, and among equals by rendezvous.
func (s *Service) succession(ids []entity.InstanceID) []entity.InstanceID {
	cores := func(id entity.InstanceID) float64 {
		if p := s.peers[id]; p != nil {
			return p.cores
		}
		return s.site.Cores
	}
	order := rendezvous.Order("coordinator", ids)
	slices.SortStableFunc(order, func(a, b entity.InstanceID) int { return cmp.Compare(cores(b), cores(a)) })
	return order
}

// write replaces the table if nobody else has.
func (s *Service) write(t *kernel.Turn, state *keyrange.State) {
	raw, err := fleetpb.EncodeState(state)
	if err != nil {
		t.InvariantViolated(err)
		return
	}
	s.writing = true
	known, sent := s.version, t.Now()
	t.Go(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		version, err := s.store.Replace(ctx, documentName, raw, known)
		return writeDone{state: state, version: version, sent: sent, err: err}
	})
}

func (s *Service) writeDone(t *kernel.Turn, m writeDone) {
	s.writing = false
	s.counters.writes.Inc(1)
	if m.err != nil {
		telemetry.EventTableFailed.Log(s.log, zap.Uint64("known", uint64(s.version)), zap.Uint64("term", m.state.Term), zap.Error(m.err))
		s.counters.failures.Inc(1)
		s.nextRead = t.Now() // the write may have taken effect, or another instance's
		return
	}
	if s.state != nil {
		s.change = &service.TableChange{From: s.version, To: m.version, Delta: keyrange.Diff(s.state, m.state)}
	}
	s.version, s.seen = m.version, max(s.seen, m.version)
	s.readAt = m.sent
	telemetry.EventTableWritten.Log(s.log, zap.Uint64("version", uint64(m.version)), zap.Uint64("term", m.state.Term),
		zap.Uint64("last_fence", m.state.LastFence))
	if s.coordinator == nil {
		s.begin(t, m.state)
	}
	s.coordinator.executor.SetState(m.state, t.Now())
	s.take(t, m.state)
	s.report(t, true)
}

// begin makes this instance the coordinator.
func (s *Service) begin(t *kernel.Turn, state *keyrange.State) {
	timing := keyrange.Timing{
		GrantTTL: min(usualHold, s.site.MaxGrantTTL), LongGrantTTL: s.site.MaxGrantTTL, Renew: renewInterval, Retry: orderRetry,
	}
	s.coordinator = newCoordinator(state.Term, timing, t.Now(), state)
	s.chooseHolds()
	s.counters.coordinating.Update(1)
	telemetry.EventCoordinatorGained.Log(s.log, zap.Uint64("term", state.Term), zap.Uint64("version", uint64(s.version)))
}

// chooseHolds makes back ends hold their keys for as long as the platform allows while the store is away: if this instance is
// lost then, no other one can take over before its return.
func (s *Service) chooseHolds() {
	if s.coordinator != nil {
		s.coordinator.executor.UseLongTTL(!s.storeGood)
	}
}

// resign ends the coordination.
func (s *Service) resign(why string) {
	telemetry.EventCoordinatorLost.Log(s.log, zap.Uint64("term", s.coordinator.term), zap.String("why", why))
	s.coordinator = nil
	s.counters.coordinating.Update(0)
}

var _ service.KeySource = (*Service)(nil)
