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

// claimIfDue claims the coordinator role if there is no coordinator and this instance's turn in the succession order has come.
func (s *Service) claimIfDue(t *kernel.Turn) {
	now := t.Now()
	if !s.loaded || s.coordinator != nil || s.writing || !s.coordinatorMissing(now) {
		s.missingAt = s.missingSince(now)
		return
	}
	if s.missingAt == 0 {
		s.missingAt = now
	}
	if now-s.missingAt < s.claimDelay(now) {
		return
	}
	if now-s.readAt > retryRead {
		s.nextRead = now // a claim requires the newest table
		return
	}
	next := &keyrange.State{}
	if s.state != nil {
		next = s.state.WithGranted(s.grantedFences)
	}
	if s.era.outdated {
		next = s.recoveredState(next)
	}
	next.Coordinator = s.instance.ID
	next.Term++
	telemetry.EventCoordinatorClaim.Log(s.log, zap.Uint64("term", next.Term), zap.Duration("missing_for", now-s.missingAt),
		zap.Int("heard", len(s.eligible(now))))
	s.writeTable(t, next)
}

// missingSince returns since when the coordinator has been missing, or zero if it is not missing.
func (s *Service) missingSince(now time.Duration) time.Duration {
	if s.coordinator == nil && s.loaded && s.coordinatorMissing(now) {
		return s.missingAt
	}
	return 0
}

// coordinatorMissing reports whether the coordinator is unresponsive, leaving, or cannot reach the store.
func (s *Service) coordinatorMissing(now time.Duration) bool {
	if s.state == nil || s.state.Coordinator == "" {
		return true
	}
	p := s.peers[s.state.Coordinator]
	if p == nil {
		return now-s.startedAt > coordinatorTimeout
	}
	if now-p.at > coordinatorTimeout || p.leaving {
		return true
	}
	return s.storeReachable && !p.storeReachable && now-p.storeUnreachableAt > storeOutageTimeout
}

// eligible returns the instances that may become coordinator, including this one.
func (s *Service) eligible(now time.Duration) []entity.InstanceID {
	ids := []entity.InstanceID{s.instance.ID}
	for id, p := range s.peers {
		if now-p.at < candidateTimeout && p.storeReachable && !p.leaving {
			ids = append(ids, id)
		}
	}
	return ids
}

// claimDelay returns how long the coordinator must be missing before this instance claims the role.
func (s *Service) claimDelay(now time.Duration) time.Duration {
	eligible := s.eligible(now)
	known := 1
	for _, p := range s.peers {
		if now-p.at < isolationWait {
			known++
		}
	}
	if 2*len(eligible) < known {
		return isolationWait
	}
	for i, id := range s.succession(eligible) {
		if id == s.instance.ID {
			return time.Duration(i) * claimStagger
		}
	}
	return isolationWait
}

// succession returns the instances in the order in which they become coordinator. Instances with the most cores come first, since
// renewals and plans need more CPU than the smallest instances have. Ties are broken by rendezvous hashing.
func (s *Service) succession(ids []entity.InstanceID) []entity.InstanceID {
	cores := func(id entity.InstanceID) float64 {
		if p := s.peers[id]; p != nil {
			return p.cores
		}
		return s.instance.Cores
	}
	order := rendezvous.Order("coordinator", ids)
	slices.SortStableFunc(order, func(a, b entity.InstanceID) int { return cmp.Compare(cores(b), cores(a)) })
	return order
}

// writeTable replaces the table in the store if its version is still the current one here.
func (s *Service) writeTable(t *kernel.Turn, state *keyrange.State) {
	raw, err := fleetpb.EncodeState(state)
	if err != nil { // no input leads here: names that cannot be encoded are refused where entries and configurations are decoded
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
		s.nextRead = t.Now() // this write or that of another instance may have taken effect
		return
	}
	if s.state != nil && !s.era.outdated {
		s.change = &service.TableChange{From: s.version, To: m.version, Delta: keyrange.Diff(s.state, m.state)}
	}
	s.version, s.seen = m.version, max(s.seen, m.version)
	s.readAt = m.sent
	s.tableRestored(m.state)
	telemetry.EventTableWritten.Log(s.log, zap.Uint64("version", uint64(m.version)), zap.Uint64("term", m.state.Term),
		zap.Uint64("last_fence", m.state.LastFence))
	if s.coordinator == nil {
		s.becomeCoordinator(t, m.state)
	}
	s.coordinator.executor.SetState(m.state, t.Now())
	s.install(t, m.state)
	s.report(t, true)
}

// becomeCoordinator makes this instance the coordinator.
func (s *Service) becomeCoordinator(t *kernel.Turn, state *keyrange.State) {
	timing := keyrange.Timing{
		GrantTTL: min(defaultGrantTTL, s.instance.MaxGrantTTL), LongGrantTTL: s.instance.MaxGrantTTL, Renew: renewInterval, Retry: commandRetryDelay,
	}
	s.coordinator = newCoordinator(state.Term, timing, s.readAt, t.Now(), state)
	s.coordinator.previous = s.era.replaced
	s.chooseTTL()
	s.counters.coordinating.Update(1)
	telemetry.EventCoordinatorGained.Log(s.log, zap.Uint64("term", state.Term), zap.Uint64("version", uint64(s.version)))
}

// chooseTTL selects the long grant TTL, the longest that the platform allows, while the store is unavailable: if this instance
// fails during the outage, no other instance can take over until the store has recovered.
func (s *Service) chooseTTL() {
	if s.coordinator != nil && s.coordinator.executor.UseLongTTL(!s.storeReachable) {
		telemetry.EventGrantTTLChanged.Log(s.log, zap.Bool("long", !s.storeReachable), zap.Uint64("term", s.coordinator.term))
	}
}

// resign gives up the coordinator role.
func (s *Service) resign(reason string) {
	telemetry.EventCoordinatorLost.Log(s.log, zap.Uint64("term", s.coordinator.term), zap.String("why", reason))
	s.coordinator = nil
	s.counters.coordinating.Update(0)
}
