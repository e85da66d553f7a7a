package keys

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

func (s *Service) readIfDue(t *kernel.Turn) {
	now := t.Now()
	newer := s.seen > s.version
	if s.reading || s.writing || (now < s.nextRead && !newer) {
		return
	}
	if newer && s.loaded && s.coordinator == nil && now-s.seenAt < changeDelay {
		return // wait for the delta from the coordinator
	}
	if !newer && s.era.seen <= s.version.Era() && s.loaded && s.confirmedByCoordinator(now) {
		return
	}
	s.reading = true
	known, sent := s.version, now
	t.Go(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		document, err := s.store.Load(ctx, documentName, known)
		return readDone{document: document, sent: sent, err: err}
	})
}

// confirmedByCoordinator reports whether the coordinator has recently reported the current table version as the newest.
func (s *Service) confirmedByCoordinator(now time.Duration) bool {
	if s.state == nil || s.coordinator != nil || s.coordinatorMissing(now) {
		return false // a claim requires a table that was just read
	}
	p := s.peers[s.state.Coordinator]
	return p != nil && p.coordinator && p.version == s.version && now-p.at < coordinatorTimeout
}

func (s *Service) readDone(t *kernel.Turn, m readDone) {
	s.reading = false
	s.counters.reads.Inc(1)
	if m.err != nil {
		s.counters.failures.Inc(1)
		s.nextRead = t.Now() + retryRead
		s.seen = s.version // retry after the pause, not immediately
		return
	}
	s.nextRead = t.Now() + pollInterval
	if s.coordinator != nil {
		s.nextRead = t.Now() + confirmInterval
	}
	s.readAt, s.loaded = m.sent, true
	s.installRemote(t, m.document)
	if !s.era.outdated {
		s.era.refused = false
	}
}

// installRemote installs a table that was read from the store, if it is newer than the current one.
func (s *Service) installRemote(t *kernel.Turn, d service.Document) {
	if d.Version > s.version && (d.Outdated || (d.Value == nil && d.Version.Era() > s.version.Era())) {
		s.keepTable(t, d)
		return
	}
	if d.Version <= s.version || d.Value == nil {
		s.seen = max(s.version, d.Version)
		return
	}
	state, err := decodeState(d.Value)
	if err != nil {
		telemetry.EventTableUnreadable.Log(s.log, zap.Uint64("version", uint64(d.Version)), zap.Error(err))
		return
	}
	s.version, s.seen = d.Version, max(s.seen, d.Version)
	s.era.outdated = false
	if state.Coordinator != s.instance.ID {
		s.era.replaced = nil
	}
	telemetry.EventTableRead.Log(s.log, zap.Uint64("version", uint64(d.Version)), zap.String("coordinator", string(state.Coordinator)),
		zap.Uint64("term", state.Term), zap.Uint64("last_fence", state.LastFence))
	s.updateRole(t, state)
	s.install(t, state)
}

// updateRole adapts the coordinator role to a table that was read. A table that names this instance was written by it in a call
// whose answer was lost: it is executed now. If the table names another instance or another term, this instance resigns.
func (s *Service) updateRole(t *kernel.Turn, state *keyrange.State) {
	own := state.Coordinator == s.instance.ID
	switch {
	case s.coordinator == nil && own:
		s.becomeCoordinator(t, state)
		s.coordinator.executor.SetState(state, t.Now())
	case s.coordinator == nil:
	case own && state.Term == s.coordinator.term:
		s.coordinator.executor.SetState(state, t.Now())
	default:
		s.resign("another instance claimed the coordinator role")
	}
}

// install makes a state the current one and publishes it. Recorded grants are kept for ranges that the state doesn't mark as
// granted.
func (s *Service) install(t *kernel.Turn, state *keyrange.State) {
	s.state, s.since = state, t.Now()
	s.missingAt = 0
	granted := map[uint64]bool{}
	for i := range state.Tables {
		for _, r := range state.Tables[i].Ranges {
			if s.grantedFences[r.Fence] && !r.Granted {
				granted[r.Fence] = true
			}
		}
	}
	s.grantedFences = granted
	s.publish(t)
}

func (s *Service) publish(t *kernel.Turn) {
	old := s.view.Load()
	granted := make(map[uint64]bool, len(s.grantedFences))
	for f := range s.grantedFences {
		granted[f] = true
	}
	s.view.Publish(&service.KeyView{
		State: s.state, Version: s.version, Granted: granted, ReadAt: s.readAt, Since: s.since,
		Coordinator: s.coordinator != nil, Changed: make(chan struct{}),
	})
	close(old.Changed)
	if s.state != nil {
		n := 0
		for i := range s.state.Tables {
			n += len(s.state.Tables[i].Ranges)
		}
		s.counters.ranges.Update(int64(n))
	}
	s.report(t, false)
}
