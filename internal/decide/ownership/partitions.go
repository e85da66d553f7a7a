package ownership

import (
	"maps"
	"slices"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// serviceState is the assignment of one service. A published view is copied before the next change.
type serviceState struct {
	view      *ServiceView
	published bool
}

func (s *serviceState) publish() *ServiceView {
	s.published = true
	return s.view
}

func (s *serviceState) edit() *ServiceView {
	if s.published {
		s.view = &ServiceView{
			Count:   s.view.Count,
			Hot:     maps.Clone(s.view.Hot),
			Owners:  slices.Clone(s.view.Owners),
			Down:    maps.Clone(s.view.Down),
			Slow:    maps.Clone(s.view.Slow),
			Version: s.view.Version,
		}
		s.published = false
	}
	return s.view
}

func newServiceView(count uint32) *ServiceView {
	return &ServiceView{
		Count:  count,
		Hot:    map[entity.KeyHash]entity.Partition{},
		Owners: make([]Owner, count),
		Down:   map[entity.BackendID]entity.Offset{},
		Slow:   map[entity.BackendID]uint32{},
	}
}

// ValidCount reports whether a number of base partitions is a power of two of at most MaxPartitions.
func ValidCount(count uint32) bool {
	return count > 0 && count <= MaxPartitions && count&(count-1) == 0
}

func (s *State) applyMove(offset entity.Offset, r Move) Verdict {
	service, known := s.services[r.Service]
	if !known {
		if r.Version != 0 {
			return dropped(DropVersion)
		}
		if !ValidCount(r.Count) {
			return dropped(DropInvalid)
		}
		service = &serviceState{view: newServiceView(r.Count)}
	}
	if service.view.Version != r.Version {
		return dropped(DropVersion)
	}
	if service.view.Count != r.Count || !service.view.acceptsMove(r) {
		return dropped(DropInvalid)
	}
	s.services[r.Service] = service
	view := service.edit()
	for _, step := range r.Steps {
		view.move(offset, step)
	}
	for _, id := range r.Down {
		view.Down[id] = offset
	}
	for _, id := range r.Up {
		delete(view.Down, id)
	}
	for _, mark := range r.Slow {
		view.Slow[mark.Backend] = mark.Keep
		if mark.Keep == FullShare {
			delete(view.Slow, mark.Backend)
		}
	}
	view.Version = entity.Epoch(offset)
	return applied()
}

// acceptsMove reports whether a move fits the assignment: each partition must exist, occur once and actually change.
func (v *ServiceView) acceptsMove(r Move) bool {
	if len(r.Steps)+len(r.Down)+len(r.Up)+len(r.Slow) == 0 {
		return false
	}
	if len(v.Down)+len(r.Down) > MaxDown || len(v.Slow)+len(r.Slow) > MaxDown {
		return false
	}
	virtual := v.virtualInUse()
	seen := make(map[entity.Partition]bool, len(r.Steps))
	for _, step := range r.Steps {
		if seen[step.Partition] || step.To == "" || !v.exists(step.Partition, virtual) {
			return false
		}
		seen[step.Partition] = true
		owner := v.Owners[step.Partition]
		unowned := owner.Backend == ""
		if unowned && step.To == NoBackend || !unowned && !owner.Moving() && step.To == owner.Backend || step.To == owner.To {
			return false
		}
	}
	return true
}

func (v *ServiceView) move(offset entity.Offset, step MoveStep) {
	owner := &v.Owners[step.Partition]
	if owner.Backend == "" {
		*owner = Owner{Backend: step.To, Epoch: entity.Epoch(offset)}
		return
	}
	owner.To = step.To
}

func (v *ServiceView) exists(p entity.Partition, virtual map[entity.Partition]bool) bool {
	return uint32(p) < v.Count || virtual[p]
}

func (v *ServiceView) virtualInUse() map[entity.Partition]bool {
	used := make(map[entity.Partition]bool, len(v.Hot))
	for _, p := range v.Hot {
		used[p] = true
	}
	return used
}

func (s *State) applyRelease(offset entity.Offset, r Release) Verdict {
	service, known := s.services[r.Service]
	if !known {
		return dropped(DropEpoch)
	}
	if r.WaitedVersion != 0 && r.WaitedVersion != s.membershipVersion() {
		return dropped(DropVersion)
	}
	current := slices.ContainsFunc(r.Steps, service.view.releases)
	if !current {
		return dropped(DropEpoch)
	}
	view := service.edit()
	for _, step := range r.Steps {
		if !view.releases(step) {
			continue
		}
		owner := &view.Owners[step.Partition]
		next := owner.To
		if next == NoBackend {
			next = ""
		}
		*owner = Owner{Backend: next, Epoch: entity.Epoch(offset)}
	}
	view.Version = entity.Epoch(offset)
	return applied()
}

// releases reports whether the step refers to the current assignment of a moving partition.
func (v *ServiceView) releases(step ReleaseStep) bool {
	if int(step.Partition) >= len(v.Owners) {
		return false
	}
	owner := v.Owners[step.Partition]
	return owner.Moving() && owner.Epoch == step.Epoch
}

func (s *State) applyRemoveService(r RemoveService) Verdict {
	service, known := s.services[r.Service]
	if !known || service.view.Version != r.Version {
		return dropped(DropVersion)
	}
	if !service.view.Unowned() {
		return dropped(DropInvalid)
	}
	delete(s.services, r.Service)
	return applied()
}

// Unowned reports whether no partition of the service has an owner.
func (v *ServiceView) Unowned() bool {
	return !slices.ContainsFunc(v.Owners, func(o Owner) bool { return o.Backend != "" })
}
