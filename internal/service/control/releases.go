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

// maxReleaseSteps bounds the steps of one record; each takes at most 20 bytes.
const maxReleaseSteps = 2048

// releases ends moves: on the proof of session, or after the wait for an owner that nobody attends any more.
type releases struct {
	settings Settings
	logger   *zap.Logger
	// ready are the assignments that provably ended, and whether the proof is a lapse.
	ready map[entity.ServiceName]map[ownership.ReleaseStep]bool
	// guards hold back releases that are proven without a lapse, after a change of hot keys.
	guards map[entity.ServiceName]map[entity.Partition]time.Duration
	// moving are the partitions that move, by service, and the view that they were taken from.
	moving map[entity.ServiceName]movingPartitions
	lost   lossTimes
	// nextLook is when the waits for unattended owners are looked at again.
	nextLook time.Duration
}

type movingPartitions struct {
	view  *ownership.ServiceView
	steps map[ownership.ReleaseStep]*movingStep
}

type movingStep struct {
	backend entity.BackendID
	// unattendedSince is when the owner was first found without anybody who attends to it; negative if somebody does.
	unattendedSince time.Duration
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

func (r *releases) proven(m service.ReleaseReady) {
	for _, p := range m.Partitions {
		if r.ready[p.Service] == nil {
			r.ready[p.Service] = map[ownership.ReleaseStep]bool{}
		}
		r.ready[p.Service][ownership.ReleaseStep{Partition: p.Partition, Epoch: p.Epoch}] = m.Lapsed
	}
}

// applied collects the moving partitions of services that changed.
func (r *releases) applied(now time.Duration, v *ownership.View, config *configIndex) {
	for name, view := range v.Services {
		if r.moving[name].view != view {
			_, maxRun := config.holds(name)
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
	r.lost.applied(now, v)
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
		steps[step] = &movingStep{backend: owner.Backend, unattendedSince: -1}
	}
	return steps
}

func (r *releases) next(s *situation) ownership.Record {
	if record := r.release(s); record != nil {
		return record
	}
	if s.now < r.nextLook {
		return nil
	}
	r.nextLook = s.now + tickInterval
	return r.releaseUnattended(s)
}

// release ends the moves that are proven, for one service.
func (r *releases) release(s *situation) ownership.Record {
	for _, name := range slices.Sorted(maps.Keys(r.ready)) {
		if s.view.Services[name] == nil {
			continue // the proof can be ahead of this instance's state
		}
		var steps []ownership.ReleaseStep
		for step, lapsed := range r.ready[name] {
			if r.passed(s.view.Services[name], step) {
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

// guard notes changes of hot keys. A request for the key that began before runs under the other partition of the key, which
// the end of this one says nothing about, so a proof without a lapse counts only after the longest run.
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

// passed reports whether an assignment is no longer current.
func (r *releases) passed(v *ownership.ServiceView, step ownership.ReleaseStep) bool {
	return int(step.Partition) >= len(v.Owners) || v.Owners[step.Partition].Epoch > step.Epoch
}

func sortedSteps(steps []ownership.ReleaseStep) []ownership.ReleaseStep {
	slices.SortFunc(steps, func(a, b ownership.ReleaseStep) int { return int(a.Partition) - int(b.Partition) })
	return steps[:min(len(steps), maxReleaseSteps)]
}

// releaseUnattended ends the moves of owners that nobody attends to, once they must have lapsed.
func (r *releases) releaseUnattended(s *situation) ownership.Record {
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

// wait returns from when on and how long a moving partition's owner is waited for. The start is negative while somebody
// attends to the owner.
//
// An instance that attends to it without knowing of the move is cut off from the log and stops after the cut-off hold and
// the lease; the back end stops by itself after its session, and one that does not check tokens after the longest run.
func (r *releases) wait(s *situation, name entity.ServiceName, m *movingStep) (start, wait time.Duration) {
	backend, configured := s.config.backends[m.backend]
	hold, maxRun := s.config.holds(name)
	wait = hold + r.settings.LeaseTTL + r.settings.SessionTTL
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
	unattended := s.config.known && (!configured || !hasMember(s.view, zone))
	m.unattendedSince = since(m.unattendedSince, unattended, s.now)
	return m.unattendedSince, withDrift(wait)
}

func hasMember(v *ownership.View, zone entity.Zone) bool {
	return slices.ContainsFunc(v.Members, func(m ownership.Member) bool { return m.Zone == zone })
}
