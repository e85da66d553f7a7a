package keys

import (
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// report sends the members service the fields for its next heartbeats. If urgent is set, a heartbeat is sent immediately.
func (s *Service) report(t *kernel.Turn, urgent bool) {
	r := service.KeyReport{TableVersion: s.version, StoreReachable: s.storeReachable, Urgent: urgent}
	if urgent {
		r.Change, s.change = s.change, nil
	}
	if s.state != nil {
		r.CoordinatorID = s.state.Coordinator
	}
	if s.coordinator != nil {
		r.Coordinator = true
		r.GrantedFences = s.coordinator.executor.GrantedFences()
	}
	t.Send(service.Members, r)
}

func (s *Service) peerHeartbeat(t *kernel.Turn, m service.PeerHeartbeat) {
	p := s.peers[m.Instance]
	if p == nil {
		p = &peer{}
		s.peers[m.Instance] = p
	}
	storeUnreachableAt := p.storeUnreachableAt
	if p.storeReachable || p.at == 0 {
		storeUnreachableAt = m.At
	}
	*p = peer{
		at: m.At, coordinator: m.Coordinator, cores: m.Cores, storeReachable: m.StoreReachable, storeUnreachableAt: storeUnreachableAt,
		leaving: m.Leaving, version: m.TableVersion,
	}
	s.applyChange(t, m)
	s.observeVersion(m.TableVersion, m.At)
	if m.Coordinator && m.TableVersion > s.version && s.coordinator != nil {
		s.resign("another instance is the coordinator of a newer table")
	}
	s.applyGrantedFences(t, m)
}

// observeVersion records that a peer has a version of the table.
func (s *Service) observeVersion(version service.Version, now time.Duration) {
	if version.Era() == s.version.Era() {
		s.era.heard = max(s.era.heard, version)
	}
	if version <= s.seen {
		return
	}
	if s.seen <= s.version {
		s.seenAt = now
	}
	s.seen = version
}

// applyChange applies a delta to the current table, which saves a read of the store.
func (s *Service) applyChange(t *kernel.Turn, m service.PeerHeartbeat) {
	if m.Change == nil || s.state == nil || m.Change.From != s.version || s.writing || s.coordinator != nil || s.era.outdated {
		return
	}
	state, ok := m.Change.Delta.Apply(s.state)
	if !ok {
		return // the table will be read from the store instead
	}
	s.version = m.Change.To
	s.nextRead = t.Now() + pollInterval
	telemetry.EventTableRead.Log(s.log, zap.Uint64("version", uint64(s.version)), zap.String("coordinator", string(state.Coordinator)),
		zap.Uint64("term", state.Term), zap.Uint64("last_fence", state.LastFence), zap.String("told_by", string(m.Instance)))
	s.install(t, state)
}

// applyGrantedFences records the fences that the coordinator reports as granted.
func (s *Service) applyGrantedFences(t *kernel.Turn, m service.PeerHeartbeat) {
	if !m.Coordinator || m.TableVersion != s.version {
		return
	}
	changed := false
	for _, f := range m.GrantedFences {
		if !s.grantedFences[f] {
			s.grantedFences[f] = true
			changed = true
		}
	}
	if changed {
		s.publish(t)
	}
}
