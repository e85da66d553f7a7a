package rollout

import (
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/rollout"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// publish publishes the states of all rollouts to traffic goroutines and for reports.
func (s *Service) publish(t *kernel.Turn) {
	now := t.Now()
	if len(s.rollouts) == 0 {
		if s.traffic.Load() != nil {
			s.traffic.Publish(nil)
			s.view.Publish(&service.RolloutView{})
			s.exchange.self.Publish(nil)
		}
		return
	}
	all := make(map[entity.ServiceName]*traffic, len(s.rollouts))
	view := &service.RolloutView{Services: make(map[entity.ServiceName]*service.RolloutState, len(s.rollouts))}
	var list []published
	for name, r := range s.rollouts {
		if !r.phase.Ended() || s.mixed(name) {
			all[name] = r.traffic
		}
		rules := s.rulesOf(r, now)
		r.traffic.rules.Store(rules)
		view.Services[name] = &service.RolloutState{
			Service: name, To: r.to, Phase: service.RolloutPhase(r.phase), Share: rules.share, Canaries: rules.canaries, Rejected: rules.rejected,
		}
		if r.phase.Ended() && now-r.since >= reportEnded {
			continue
		}
		p := published{seenAt: r.seenAt, confirmedAt: r.confirmedAt, keysAtOld: s.keysAtOld(r), state: service.RolloutReportState{
			Service: name, To: r.to, Phase: service.RolloutPhase(s.appliedPhase(r, now)), Reason: r.reason, Duration: r.duration,
		}}
		if r.written {
			p.state.Version = r.version
		}
		if !r.phase.Ended() {
			p.traffic = r.traffic
		}
		list = append(list, p)
	}
	s.traffic.Publish(&all)
	s.view.Publish(view)
	s.exchange.self.Publish(&list)
}

// mixed reports whether the platform lists backends of several versions of a service.
func (s *Service) mixed(name entity.ServiceName) bool {
	list := s.directory.Services[name]
	for _, b := range list {
		if b.Version != list[0].Version {
			return true
		}
	}
	return false
}

// rulesOf returns the rules for the traffic of a rollout.
func (s *Service) rulesOf(r *state, now time.Duration) *rules {
	limits := &rules{phase: r.phase, tripped: r.tripped, freshUntil: r.confirmedAt + freshness, rejected: r.rejected}
	if !r.written {
		limits.freshUntil = 0
	}
	if stale := r.phase == rollout.Running && !r.fresh(now); stale != r.stale {
		r.stale = stale
		event := telemetry.EventRolloutFresh
		if stale {
			event = telemetry.EventRolloutStale
		}
		s.logState(event, r, now)
	}
	if r.phase == rollout.Running && limits.allowed(now) {
		limits.share = rollout.Share(now-r.seenAt, r.duration, s.instance.ExposureShare)
	}
	var newer []*catalog.Backend
	for _, b := range s.directory.Services[r.service] {
		switch {
		case b.Version != r.to:
			limits.oldListed = limits.oldListed || !r.rejected[b.Version]
		case s.usable(b):
			newer = append(newer, b)
		}
	}
	if r.phase.Ended() {
		return limits
	}
	ordered := make([]rollout.Backend, 0, len(newer))
	for _, b := range newer {
		ordered = append(ordered, rollout.Backend{ID: string(b.ID), Cold: now < b.WarmUntil})
	}
	ordered = rollout.Order(string(r.service)+"/"+r.to, ordered)
	limits.canaries = make(map[entity.BackendID]bool)
	for _, b := range ordered[:rollout.Canaries(len(ordered), limits.share)] {
		limits.canaries[entity.BackendID(b.ID)] = true
	}
	limits.groups = groupsOf(r.phase, ordered, newer)
	return limits
}

// groupsOf divides the backends of the new version in groups. While only canaries get requests, these are divided; later the zones are,
// if there are several, since a slow zone must not be taken for a slow version.
func groupsOf(phase rollout.Phase, ordered []rollout.Backend, backends []*catalog.Backend) map[entity.BackendID]int {
	groups := make(map[entity.BackendID]int, len(ordered))
	for i, b := range ordered {
		groups[entity.BackendID(b.ID)] = i % rollout.Groups
	}
	var zones []entity.Zone
	for _, b := range backends {
		if !slices.Contains(zones, b.Zone) {
			zones = append(zones, b.Zone)
		}
	}
	if phase == rollout.Running || len(zones) < rollout.Groups {
		return groups
	}
	slices.Sort(zones)
	for _, b := range backends {
		groups[b.ID] = slices.Index(zones, b.Zone) % rollout.Groups
	}
	return groups
}

// maxMetrics bounds the services with metrics of their own.
const maxMetrics = 32

// meters are the metrics of the service.
type meters struct {
	registry                       metrics.Registry
	reads, writes, failures, trips metrics.Counter
	services                       map[entity.ServiceName]bool
}

func newMeters(r metrics.Registry) meters {
	return meters{
		registry: r, services: map[entity.ServiceName]bool{},
		reads:    metrics.GetOrRegisterCounter("rollout.document_reads", r),
		writes:   metrics.GetOrRegisterCounter("rollout.document_writes", r),
		failures: metrics.GetOrRegisterCounter("rollout.store_failures", r),
		trips:    metrics.GetOrRegisterCounter("rollout.trips", r),
	}
}

// update sets the metrics of a service from this instance's counts.
func (m *meters) update(r *state, totals rollout.Totals) {
	if !m.services[r.service] {
		if len(m.services) >= maxMetrics {
			return
		}
		m.services[r.service] = true
	}
	newer, older := totals.Summaries()
	for version, sum := range map[string]rollout.Summary{"new": newer, "old": older} {
		m.set(r.service, version+".answers", int64(sum.Answers))
		m.set(r.service, version+".failed", int64(sum.Failed))
		m.set(r.service, version+".slow", int64(sum.Slow))
	}
	const thousand = 1000
	m.set(r.service, "share", int64(thousand*r.traffic.rules.Load().share))
	m.set(r.service, "phase", int64(r.phase))
}

func (m *meters) set(name entity.ServiceName, what string, value int64) {
	metrics.GetOrRegisterGauge(metricName(name, what), m.registry).Update(value)
}

func metricName(name entity.ServiceName, what string) string {
	return strings.Join([]string{"rollout", string(name), what}, ".")
}

// remove removes the metrics of a service.
func (m *meters) remove(name entity.ServiceName) {
	delete(m.services, name)
	for _, what := range []string{"new.answers", "new.failed", "new.slow", "old.answers", "old.failed", "old.slow", "share", "phase"} {
		m.registry.Unregister(metricName(name, what))
	}
}
