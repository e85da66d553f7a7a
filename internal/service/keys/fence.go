package keys

import (
	"context"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// fenceRaised is the result of raising the fence at a backend against grants to earlier processes.
type fenceRaised struct {
	target keyrange.Holder
	err    error
}

// canSend reports whether commands can be sent to a backend now. A process that was not granted anything yet needs its fence
// raised against grants to earlier processes; canSend starts that and returns false until it is done.
func (s *Service) canSend(t *kernel.Turn, h keyrange.Holder) bool {
	k := s.coordinator.contact(h)
	b := s.address(h)
	if k.busy || (b != nil && s.isBeingChecked(b.Address)) {
		return false
	}
	if k.fenced || b == nil {
		return true
	}
	if s.mayHold(h) {
		k.fenced = true // this process has been granted keys already
		return true
	}
	if !s.isUnconfirmed(b) {
		s.raiseFence(t, h, k)
	}
	return false
}

// fenceSuccessors raises the fence at the processes that have succeeded an owner under its ID or at its address. Until its record was
// read, such a process may have taken renewals that were meant for the owner, so the owner's keys are free only when it has dropped them.
func (s *Service) fenceSuccessors(t *kernel.Turn) {
	for h := range s.tableRoles().owners {
		if next, ok := s.successor(h); ok && s.takesGrants(next) {
			s.fenceProcess(t, next)
		}
	}
}

// fenceProcess raises the fence at a process that was not granted anything yet, once. Those that were are fenced.
func (s *Service) fenceProcess(t *kernel.Turn, h keyrange.Holder) {
	k := s.coordinator.contact(h)
	switch {
	case k.fenced || k.busy || t.Now() < k.nextFence:
	case s.mayHold(h):
		k.fenced = true
	default:
		s.raiseFence(t, h, k)
	}
}

// raiseFence makes a new process drop and reject grants that were sent to an earlier process at its address. Ranges that are assigned
// to it later have higher fences.
func (s *Service) raiseFence(t *kernel.Turn, h keyrange.Holder, k *backendContact) {
	lowest := s.state.LastFence + 1
	for i := range s.state.Tables {
		for _, r := range s.state.Tables[i].Ranges {
			if r.Owner == h {
				lowest = min(lowest, r.Fence)
			}
		}
	}
	b := s.address(h)
	k.busy, k.nextFence = true, t.Now()+commandRetryDelay
	t.Go(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		return fenceRaised{target: h, err: s.commands.RaiseFence(ctx, b, lowest)}
	})
}

func (s *Service) fenceRaised(t *kernel.Turn, m fenceRaised) {
	if s.coordinator == nil {
		return
	}
	k := s.coordinator.contact(m.target)
	k.busy = false
	if m.err != nil {
		telemetry.EventCommandFailed.Log(s.log, zap.String("order", "fence"), zap.String("backend", string(m.target.ID)), zap.Error(m.err))
		k.recordFailure(t.Now())
		return
	}
	k.fenced = true
	k.recordAnswer(t.Now())
	s.sendDue(t)
}
