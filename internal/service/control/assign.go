package control

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/decide/placement"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/telemetry"
	"github.com/pollenpier/pollenpier/operator"
)

// initialWait is how long the first assignment of a service waits for members in all zones that have backends of the
// service. Without the wait the first zone would own everything, and most of it would move again soon after.
const initialWait = 3 * time.Second

// assigner assigns the partitions of each service according to the configuration and the placement.
type assigner struct {
	logger *zap.Logger
	// generation is increased by each change that is not a change of the service's own assignment.
	generation uint64
	services   map[entity.ServiceName]*assignState
	zones      entity.Offset
	members    int
}

type assignState struct {
	view       *ownership.ServiceView
	generation uint64
	checkedAt  time.Duration
	// desiredSince is when a record became necessary, without a change of the assignment since; negative if none is
	// necessary.
	desiredSince time.Duration
	seenAt       time.Duration
	refused      bool // the mismatch of partition counts has been logged
}

func newAssigner(logger *zap.Logger) *assigner {
	return &assigner{logger: logger, services: map[entity.ServiceName]*assignState{}}
}

func (a *assigner) changed() { a.generation++ }

func (a *assigner) next(s *situation) ownership.Record {
	if !s.config.known {
		return nil
	}
	if a.zones != s.view.ZonesVersion || a.members != len(s.view.Members) {
		a.zones, a.members = s.view.ZonesVersion, len(s.view.Members)
		a.changed()
	}
	for _, name := range a.names(s) {
		if record := a.nextRecord(s, name); record != nil {
			return record
		}
	}
	return nil
}

// names returns the services of the configuration and of the state.
func (a *assigner) names(s *situation) []entity.ServiceName {
	all := make(map[entity.ServiceName]bool, len(s.config.services))
	for name := range s.config.services {
		all[name] = true
	}
	for name := range s.view.Services {
		all[name] = true
	}
	maps.DeleteFunc(a.services, func(name entity.ServiceName, _ *assignState) bool { return !all[name] })
	return slices.Sorted(maps.Keys(all))
}

// nextRecord returns the record that a service needs if this instance is due to write it, nil otherwise.
func (a *assigner) nextRecord(s *situation, name entity.ServiceName) ownership.Record {
	delay, ok := s.ranks.delay(string(name))
	if !ok {
		return nil
	}
	view := s.view.Services[name]
	state, known := a.services[name]
	if !known {
		state = &assignState{desiredSince: -1, seenAt: s.now, checkedAt: s.now - balanceInterval}
		a.services[name] = state
	}
	changed := state.view != view || state.generation != a.generation
	interval := balanceInterval
	if view != nil {
		interval += time.Duration(len(view.Owners)) * balancePerPartition
	}
	due := s.now-state.checkedAt >= interval || (changed && delay == 0)
	if !due {
		return nil
	}
	if state.view != view {
		state.desiredSince = -1 // another coordinator is making progress
	}
	state.view, state.generation, state.checkedAt = view, a.generation, s.now
	record := a.desiredRecord(s, name, view, state)
	state.desiredSince = since(state.desiredSince, record != nil, s.now)
	if record == nil || s.now-state.desiredSince < delay {
		return nil
	}
	return record
}

func (a *assigner) desiredRecord(
	s *situation, name entity.ServiceName, view *ownership.ServiceView, state *assignState,
) ownership.Record {
	svc, configured := s.config.services[name]
	switch {
	case !configured:
		return unassign(name, view)
	case view == nil && s.now-state.seenAt < initialWait && !allZonesHaveMembers(s, svc):
		return nil
	case view == nil:
		view = emptyView(svc.Partitions)
	case view.Count != svc.Partitions:
		if !state.refused {
			telemetry.EventControlPartitionCount.Log(a.logger, zap.String("service", string(name)),
				zap.Uint32("configured", svc.Partitions), zap.Uint32("recorded", view.Count))
		}
		state.refused = true
	}
	return a.move(s, name, view)
}

func (a *assigner) move(s *situation, name entity.ServiceName, view *ownership.ServiceView) ownership.Record {
	move := ownership.Move{Service: name, Version: view.Version, Count: view.Count}
	for _, m := range placement.Propose(placementInput(s, name, view), placement.DefaultSettings()) {
		move.Steps = append(move.Steps, ownership.MoveStep{Partition: m.Partition, To: m.To})
	}
	move.Steps = limitSteps(move.Steps)
	for id := range view.Down {
		if b, ok := s.config.backends[id]; !ok || b.service != name {
			move.Up = append(move.Up, id) // removed from the configuration: delete its mark
		}
	}
	slices.Sort(move.Up)
	for id := range view.Slow {
		if b, ok := s.config.backends[id]; !ok || b.service != name {
			move.Slow = append(move.Slow, ownership.SlowMark{Backend: id, Keep: ownership.FullShare})
		}
	}
	if len(move.Steps)+len(move.Up)+len(move.Slow) == 0 {
		return nil
	}
	return move
}

func emptyView(count uint32) *ownership.ServiceView {
	return &ownership.ServiceView{Count: count, Owners: make([]ownership.Owner, count)}
}

// unassign moves the partitions of a removed service to no owner, and removes the service once none of them has an
// owner.
func unassign(name entity.ServiceName, view *ownership.ServiceView) ownership.Record {
	if view.Unowned() {
		return ownership.RemoveService{Service: name, Version: view.Version}
	}
	move := ownership.Move{Service: name, Version: view.Version, Count: view.Count}
	for p, owner := range view.Owners {
		if owner.Backend != "" && owner.To != ownership.NoBackend {
			move.Steps = append(move.Steps, ownership.MoveStep{Partition: entity.Partition(p), To: ownership.NoBackend})
		}
	}
	move.Steps = limitSteps(move.Steps)
	if len(move.Steps) == 0 {
		return nil // wait for the releases
	}
	return move
}

// allZonesHaveMembers reports whether each active zone with backends of the service has a member that can manage them.
func allZonesHaveMembers(s *situation, svc *operator.Service) bool {
	members := memberZones(s.view)
	for _, b := range svc.Backends {
		if s.config.zones[entity.Zone(b.Zone)] == operator.ZoneActive && !members[entity.Zone(b.Zone)] {
			return false
		}
	}
	return true
}

// placementInput returns the input of the placement for a service. It contains no loads, because each instance knows
// only those of its own backends.
func placementInput(s *situation, name entity.ServiceName, view *ownership.ServiceView) placement.Input {
	input := placement.Input{Owners: view.Owners, Count: view.Count}
	svc, ok := s.config.services[name]
	if !ok {
		return input
	}
	members := memberZones(s.view)
	for _, b := range svc.Backends {
		backend := placement.Backend{
			ID: entity.BackendID(b.Name), Zone: entity.Zone(b.Zone), Slots: b.Slots, Rate: -1,
			State: backendState(s, view, b, members),
		}
		if keep, slow := view.Slow[backend.ID]; slow {
			backend.Factor = float64(keep) / ownership.FullShare
		}
		input.Backends = append(input.Backends, backend)
	}
	return input
}

func backendState(
	s *situation, view *ownership.ServiceView, b operator.Backend, members map[entity.Zone]bool,
) placement.BackendState {
	zone := entity.Zone(b.Zone)
	_, zoneLost := s.view.LostZones[zone]
	_, down := view.Down[entity.BackendID(b.Name)]
	switch {
	case zoneLost, down, s.config.zones[zone] == operator.ZoneLost:
		return placement.Lost
	case !members[zone]:
		if s.zones.emptyFor(s, zone) < emptyZoneGrace {
			return placement.Frozen
		}
		return placement.Lost
	case b.State == operator.BackendDrain, s.config.zones[zone] == operator.ZoneOut:
		return placement.Leaving
	default:
		return placement.Active
	}
}
