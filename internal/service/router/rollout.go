package router

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// exposureRetry is the time after which a caller may retry if the owner of its key may get no more requests at the moment. The limit
// is a share of the requests, so the next ones soon make room.
const exposureRetry = 100 * time.Millisecond

// rolloutState returns the state of the rollout of the call's service, nil if there is none.
func (s *Service) rolloutState(c *request) *service.RolloutState {
	if s.rollout == nil {
		return nil
	}
	return s.rollout.RolloutView().Services[c.service.Name]
}

// phaseOf returns the phase of a rollout, zero if there is none.
func phaseOf(state *service.RolloutState) service.RolloutPhase {
	if state == nil {
		return 0
	}
	return state.Phase
}

// usable returns the backends of an unpartitioned service that accept new requests. Those that are held back count only if there is no
// other.
func (s *Service) usable(c *request) []*catalog.Backend {
	list := c.view.Services[c.service.Name]
	state, now := s.rolloutState(c), s.kernel.Now()
	usable, heldBack := make([]*catalog.Backend, 0, len(list)), 0
	for _, b := range list {
		if !b.Draining && !c.view.Evacuated[b.Zone] {
			usable = append(usable, b)
			if isHeldBack(state, b, now) {
				heldBack++
			}
		}
	}
	if heldBack == 0 || heldBack == len(usable) {
		return usable
	}
	others := usable[:0]
	for _, b := range usable {
		if !isHeldBack(state, b, now) {
			others = append(others, b)
		}
	}
	return others
}

// isHeldBack reports whether a backend is held back. The backends of a version to which a rollout leads are not: the rollout decides.
func isHeldBack(state *service.RolloutState, b *catalog.Backend, now time.Duration) bool {
	return b.HeldBackUntil > now && (state == nil || !state.IsNew(b))
}

// rolloutCandidates returns those of the usable backends to which the rollout of the service lets the request go, nil if there is no
// rollout. The second result are the backends to try if none of the first can take it: a new version that is only being compared must
// not cause a refusal.
func (s *Service) rolloutCandidates(c *request, usable []*catalog.Backend) (wanted, others []*catalog.Backend) {
	state := s.rolloutState(c)
	c.phase = phaseOf(state)
	if state == nil {
		return nil, nil
	}
	untried := usable
	if len(c.tried) > 0 {
		untried = make([]*catalog.Backend, 0, len(usable))
		for _, b := range usable {
			if !c.tried[b.ID] {
				untried = append(untried, b)
			}
		}
	}
	wanted = s.rollout.Candidates(c.service.Name, untried, s.kernel.Now())
	if state.Phase != service.RolloutRunning || len(wanted) == 0 || !state.IsNew(wanted[0]) {
		return wanted, nil
	}
	for _, b := range untried {
		if !state.IsNew(b) {
			others = append(others, b)
		}
	}
	return wanted, others
}

// begin counts an attempt at a backend for the rollout of its service. It returns false if the phase has changed since the backend was
// chosen, so that it may have to be another: once a phase is published, no instance may send by an earlier one.
func (s *Service) begin(c *request, b *catalog.Backend) bool {
	if s.rollout == nil {
		return true
	}
	s.rollout.Sent(c.service.Name, b)
	if phaseOf(s.rolloutState(c)) == c.phase {
		return true
	}
	s.end(c, b, false, &service.DeliveryResult{Outcome: entity.NotRun(entity.ReasonCanceled, "")}, 0)
	return false
}

// end counts the end of an attempt for the rollout of its service.
func (s *Service) end(c *request, b *catalog.Backend, cold bool, result *service.DeliveryResult, took time.Duration) {
	if s.rollout != nil {
		s.rollout.Finished(c.service.Name, c.route.Name, b, cold, result, took, s.kernel.Now())
	}
}

// mayUseVersion reports whether a request may be sent to the owner of its key, as far as the rollout of the service goes.
func (s *Service) mayUseVersion(c *request, owner *catalog.Backend) bool {
	state := s.rolloutState(c)
	c.phase = phaseOf(state)
	switch {
	case state == nil:
		return true
	case state.Phase == service.RolloutCompleted && !state.IsNew(owner):
		return false // the backend stops; this instance has an outdated table
	default:
		return s.rollout.MayUseOwner(c.service.Name, owner, s.kernel.Now())
	}
}
