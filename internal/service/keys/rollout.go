package keys

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
)

// rolloutOf returns the state of a service's rollout, nil if there is none.
func (s *Service) rolloutOf(name entity.ServiceName) *service.RolloutState {
	if s.rollout == nil {
		return nil
	}
	return s.rollout.RolloutView().Services[name]
}

// stageOf returns the stage of a rollout as far as it concerns the ownership of keys.
func stageOf(state *service.RolloutState) keyrange.Stage {
	if state == nil {
		return keyrange.StageNone
	}
	switch state.Phase {
	case service.RolloutSwitching, service.RolloutCompleted:
		return keyrange.StageReplace
	case service.RolloutRolledBack:
		return keyrange.StageReject
	default:
		return keyrange.StageCompare
	}
}

// planAtNewStage sets when the next plan is due if a rollout has entered another stage. Owners of a rejected version get no requests from
// then on, so that their keys are moved at once. Keys move to the new version only a plan interval after this instance has learned of the
// switch: instances that have not yet learned of it would refuse most requests for these keys.
func (s *Service) planAtNewStage(now time.Duration) {
	if s.rollout == nil {
		return
	}
	for name, state := range s.rollout.RolloutView().Services {
		if stage := stageOf(state); s.coordinator.stages[name] != stage {
			s.coordinator.stages[name] = stage
			switch stage {
			case keyrange.StageReject:
				s.coordinator.nextPlan = min(s.coordinator.nextPlan, now)
			case keyrange.StageReplace:
				s.coordinator.nextPlan = now + planInterval
			case keyrange.StageNone, keyrange.StageCompare:
			}
		}
	}
}

// exposureOf returns the part of the load that the canaries of a rollout may get.
func (s *Service) exposureOf(state *service.RolloutState, now time.Duration) keyrange.Exposure {
	if stageOf(state) != keyrange.StageCompare || state.Share <= 0 {
		return keyrange.Exposure{}
	}
	return keyrange.Exposure{Share: state.Share, Load: s.keyLoad.counts(now, keyrange.ExposureWindow)}
}

// markVersion sets the fields of a candidate that depend on the version of its backend.
func markVersion(c *keyrange.Candidate, b *catalog.Backend, state *service.RolloutState, now time.Duration) {
	isNew := state != nil && state.IsNew(b)
	c.New = isNew
	c.Canary = isNew && state.Share > 0 && state.Canaries[b.ID]
	c.Rejected = state != nil && !isNew && state.Rejected[b.Version]
	c.Limited = !isNew && b.HeldBackUntil > now
}

// reportMoved tells the service named rollout which rollouts have moved all keys to the new version, as far as this instance knows.
func (s *Service) reportMoved(t *kernel.Turn) {
	if s.rollout == nil || s.state == nil || s.directory.Config == nil {
		return
	}
	for name, state := range s.rollout.RolloutView().Services {
		if svc := s.directory.Config.Services[name]; svc != nil && svc.Partitioned && state.Phase == service.RolloutSwitching {
			t.Send(service.Rollout, service.RolloutKeysMoved{Service: name, To: state.To, Done: s.allMoved(name, state)})
		}
	}
}

// allMoved reports whether all keys of a service are granted to backends of the new version. An owner that is not listed counts as one of
// an old version, since its keys are going to be moved.
func (s *Service) allMoved(name entity.ServiceName, state *service.RolloutState) bool {
	table, ok := s.state.Table(name)
	if !ok || len(table.Ranges) == 0 {
		return false
	}
	for i := range table.Ranges {
		r := &table.Ranges[i]
		b := s.directory.Backends[r.Owner.ID]
		if b == nil || b.Incarnation != r.Owner.Incarnation || !state.IsNew(b) || (!r.Granted && !s.grantedFences[r.Fence]) {
			return false
		}
	}
	return true
}
