package control

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
	"github.com/pollenpier/pollenpier/operator"
)

// maxReleaseSteps bounds the steps of one record. A step has at most 20 bytes.
const maxReleaseSteps = 2048

// releases finishes moves: on a release proof from the session service, or after a wait for an owner without a primary.
type releases struct {
	settings Settings
	logger   *zap.Logger
	// ready holds the assignments that are proven to have ended, and whether the proof is a lapse.
	ready map[entity.ServiceName]map[ownership.ReleaseStep]bool
	// guards holds the times before which a release that is proven without a lapse is delayed, after a change of the hot
	// keys.
	guards map[entity.ServiceName]map[entity.Partition]time.Duration
	// moving holds the moving partitions by service, and the view that they were collected from.
	moving map[entity.ServiceName]movingPartitions
	lost   lossTimes
	// nextCheckAt is when the waits for owners without a primary are checked again.
	nextCheckAt time.Duration
}

type movingPartitions struct {
	view  *ownership.ServiceView
	steps map[ownership.ReleaseStep]*movingStep
}

type movingStep struct {
	backend entity.BackendID
	// withoutPrimarySince is when the owner was first found without a primary; negative if it has one.
	withoutPrimarySince time.Duration
}

func newReleases(settings Settings, logger *zap.Logger) *releases {
	return &releases{
		settings: settings,
		logger:   logger,
		ready:    map[entity.ServiceName]map[ownership.ReleaseStep]bool{},
		guards:   map[entity.ServiceName]map[entity.Partition]time.Duration{},
		moving:   map[entity.ServiceName]movingPartitions{},
		lost:     lossTimes{},
	}
}

func (r *releases) recordProof(m service.ReleaseReady) {
	for _, p := range m.Partitions {
		if r.ready[p.Service] == nil {
			r.ready[p.Service] = map[ownership.ReleaseStep]bool{}
		}
		r.ready[p.Service][ownership.ReleaseStep{Partition: p.Partition, Epoch: p.Epoch}] = m.Lapsed
	}
}

// update collects the moving partitions of services that changed.
func (r *releases) update(now time.Duration, v *ownership.View, config *configIndex) {
	for name, view := range v.Services {
		if r.moving[name].view != view {
			_, maxRun := config.limits(name)
			r.guard(name, r.moving[name].view, view, now+withDrift(maxRun))
			r.moving[name] = movingPartitions{view: view, steps: r.collect(name, view)}
		}
	}
	for name := range r.moving {
		if v.Services[name] == nil {
			delete(r.moving, name)
			delete(r.ready, name)
			delete(r.guards, name)
		}
	}
	r.lost.update(now, v)
}

func (r *releases) collect(name entity.ServiceName, view *ownership.ServiceView) map[ownership.ReleaseStep]*movingStep {
	old := r.moving[name].steps
	steps := map[ownership.ReleaseStep]*movingStep{}
	for p, owner := range view.Owners {
		if !owner.Moving() {
			continue
		}
		step := ownership.ReleaseStep{Partition: entity.Partition(p), Epoch: owner.Epoch}
		if known, ok := old[step]; ok {
			steps[step] = known
			continue
		}
		steps[step] = &movingStep{backend: owner.Backend, withoutPrimarySince: -1}
	}
	return steps
}

func (r *releases) next(s *situation) ownership.Record {
	if record := r.release(s); record != nil {
		return record
	}
	if s.now < r.nextCheckAt {
		return nil
	}
	r.nextCheckAt = s.now + tickInterval
	return r.releaseWithoutPrimary(s)
}

// release returns a record that finishes the proven moves of one service, nil if there are none.
func (r *releases) release(s *situation) ownership.Record {
	for _, name := range slices.Sorted(maps.Keys(r.ready)) {
		if s.view.Services[name] == nil {
			continue // the proof can be newer than this instance's state
		}
		var steps []ownership.ReleaseStep
		for step, lapsed := range r.ready[name] {
			if r.isOutdated(s.view.Services[name], step) {
				delete(r.ready[name], step)
			} else if _, moving := r.moving[name].steps[step]; moving && (lapsed || r.unguarded(s, name, step)) {
				steps = append(steps, step)
			}
		}
		if len(r.ready[name]) == 0 {
			delete(r.ready, name)
		}
		if len(steps) > 0 {
			return ownership.Release{Service: name, Steps: sortedSteps(steps)}
		}
	}
	return nil
}

// guard records changes of the hot keys. A request for the key that began before the change runs under the other
// partition of the key. The end of work for this partition proves nothing about that request, so a proof without a
// lapse is valid only after the longest run.
func (r *releases) guard(name entity.ServiceName, before, after *ownership.ServiceView, until time.Duration) {
	if before == nil || maps.Equal(before.Hot, after.Hot) {
		return
	}
	if r.guards[name] == nil {
		r.guards[name] = map[entity.Partition]time.Duration{}
	}
	for hash, virtual := range after.Hot {
		if old, hot := before.Hot[hash]; !hot || old != virtual {
			r.guards[name][virtual] = until
		}
	}
	for hash := range before.Hot {
		if _, hot := after.Hot[hash]; !hot {
			r.guards[name][entity.PartitionOf(hash, after.Count)] = until
		}
	}
}

func (r *releases) unguarded(s *situation, name entity.ServiceName, step ownership.ReleaseStep) bool {
	until, guarded := r.guards[name][step.Partition]
	if guarded && s.now >= until {
		delete(r.guards[name], step.Partition)
	}
	return s.now >= until
}

// isOutdated reports whether an assignment is no longer current.
func (r *releases) isOutdated(v *ownership.ServiceView, step ownership.ReleaseStep) bool {
	return int(step.Partition) >= len(v.Owners) || v.Owners[step.Partition].Epoch > step.Epoch
}

func sortedSteps(steps []ownership.ReleaseStep) []ownership.ReleaseStep {
	slices.SortFunc(steps, func(a, b ownership.ReleaseStep) int { return int(a.Partition) - int(b.Partition) })
	return steps[:min(len(steps), maxReleaseSteps)]
}

// releaseWithoutPrimary finishes the moves from owners without a primary, once these owners must have lapsed.
func (r *releases) releaseWithoutPrimary(s *situation) ownership.Record {
	for _, name := range slices.Sorted(maps.Keys(r.moving)) {
		delay, ok := s.ranks.delay(string(name))
		if !ok {
			continue
		}
		var steps []ownership.ReleaseStep
		for step, m := range r.moving[name].steps {
			start, wait := r.wait(s, name, m)
			if start >= 0 && s.now-start >= wait+delay {
				steps = append(steps, step)
			}
		}
		if len(steps) > 0 {
			telemetry.EventControlLapsedRelease.Log(r.logger,
				zap.String("service", string(name)), zap.Int("partitions", len(steps)))
			return ownership.Release{Service: name, Steps: sortedSteps(steps), WaitedVersion: s.view.MembershipVersion}
		}
	}
	return nil
}

// wait returns the start and the length of the wait for the owner of a moving partition. The start is negative while
// the owner has a primary.
//
// A primary that has not received the record of the move is isolated from the log and stops after the cut-off hold and
// the lease. The backend stops by itself after its session, and one that does not check tokens stops after the longest
// run.
func (r *releases) wait(s *situation, name entity.ServiceName, m *movingStep) (start, wait time.Duration) {
	backend, configured := s.config.backends[m.backend]
	cutoffHold, maxRun := s.config.limits(name)
	wait = cutoffHold + r.settings.LeaseTTL + r.settings.SessionTTL
	if !backend.ChecksTokens {
		wait += maxRun
	}
	zone := entity.Zone(backend.Zone)
	if loss, lost := r.lost[zone]; configured && lost {
		if s.config.zones[zone] == operator.ZoneLost {
			return loss.appliedAt, 0
		}
		return loss.appliedAt, withDrift(wait)
	}
	withoutPrimary := s.config.known && (!configured || !hasMember(s.view, zone))
	m.withoutPrimarySince = since(m.withoutPrimarySince, withoutPrimary, s.now)
	return m.withoutPrimarySince, withDrift(wait)
}

func hasMember(v *ownership.View, zone entity.Zone) bool {
	return slices.ContainsFunc(v.Members, func(m ownership.Member) bool { return m.Zone == zone })
}
