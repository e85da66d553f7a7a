package rollout

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/rendezvous"
	"github.com/pollenpier/pollenpier/internal/decide/rollout"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// warmSuccessors is the number of instances that run the test on all counts besides the coordinator. A successor then knows the
// course of the counts and not only their sum.
const warmSuccessors = 2

// rank returns the number of reachable instances that precede this one as coordinator of a service.
func (s *Service) rank(name entity.ServiceName, now time.Duration) int {
	if s.leaving {
		return math.MaxInt
	}
	return rendezvous.Rank(string(name), s.instance.ID, s.exchange.reachable(now))
}

// first reports whether this instance coordinates the rollout of a service.
func (s *Service) first(name entity.ServiceName, now time.Duration) bool {
	return now-s.startedAt >= startDelay && s.rank(name, now) == 0
}

// coordinate does the work of the coordinator if this instance is it. Safety does not rest on there being one: each change of phase is
// a compare-and-set on the document.
func (s *Service) coordinate(t *kernel.Turn, r *state) {
	now := t.Now()
	rank := s.rank(r.service, now)
	if first := rank == 0 && now-s.startedAt >= startDelay; first != r.coordinating {
		r.coordinating, r.wanted = first, 0
		event := telemetry.EventRolloutNotCoordinator
		if first {
			event = telemetry.EventRolloutCoordinator
		}
		s.logState(event, r, now)
	}
	if rank > warmSuccessors || r.phase.Ended() {
		r.all = nil
		s.tellIfDue(t, r)
		return
	}
	if r.all == nil {
		r.all = rollout.NewComparison()
	}
	totals := s.exchange.totals(r.service, r.to)
	totals.Add(r.traffic.copyTotals())
	verdict := r.all.Observe(now, totals, r.phase == rollout.Switching)
	if !r.coordinating {
		return
	}
	majority := s.exchange.majority(now)
	if majority && r.written {
		r.confirm(now)
	}
	s.decide(t, r, totals, verdict, majority)
	s.tellIfDue(t, r)
}

// decide determines the next phase. A rollback is applied before it is written, all other phases after.
func (s *Service) decide(t *kernel.Turn, r *state, totals rollout.Totals, verdict rollout.Verdict, majority bool) {
	now := t.Now()
	p := rollout.Progress{
		Phase: r.phase, Age: now - r.seenAt, Duration: r.duration, Withdrawn: r.withdrawn, Verdict: verdict, NewAnswers: totals.NewAnswers(),
		Majority: majority, Applied: s.applied(r, now), KeysMoved: r.keysMoved || !s.partitioned(r.service),
	}
	for _, b := range s.directory.Services[r.service] {
		switch {
		case !s.usable(b) || r.rejected[b.Version]:
		case b.Version == r.to:
			p.NewSlots += slots(b)
		default:
			p.OldSlots += slots(b)
		}
	}
	if p.OldSlots == 0 && p.NewSlots > 0 && r.phase == rollout.Running && !r.oldGone {
		r.oldGone = true
		newer, older := totals.Summaries()
		s.logState(telemetry.EventRolloutOldGone, r, now, zap.Uint64("new_answers", newer.Answers), zap.Uint64("old_answers", older.Answers))
	}
	phase, reason := rollout.Next(p)
	switch {
	case phase == r.phase:
		r.wanted = 0
	case phase == rollout.RolledBack:
		r.wanted = 0
		s.enter(t, r, phase, reason)
	case r.written && r.phase == s.document.Services[r.service].Phase:
		r.wanted, r.wantedReason = phase, reason
	}
}

// slots returns the number of requests that a backend processes concurrently.
func slots(b *catalog.Backend) int { return max(b.Slots, 1) }

// applied reports whether this instance and all that can be reached send only to the new version and have no request in progress at
// old backends.
func (s *Service) applied(r *state, now time.Duration) bool {
	return s.appliedPhase(r, now) >= rollout.Switching && s.flights.old(r.service, r.to) == 0 && s.exchange.applied(r.service, r.to, now)
}

// appliedPhase returns the phase that this instance reports.
func (s *Service) appliedPhase(r *state, now time.Duration) rollout.Phase {
	if r.phase == rollout.Switching && (r.tripped || now-r.since < settleTime) {
		return rollout.Running
	}
	return r.phase
}
