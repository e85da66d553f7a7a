package rollout

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/rollout"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// reportedState is the state of a rollout as known from the document or a peer. Times are on this instance's clock.
type reportedState struct {
	service             entity.ServiceName
	to                  string
	duration            time.Duration
	phase               rollout.Phase
	reason              string
	version             service.Version
	seenAt, confirmedAt time.Duration
	stored              bool // read from the document
}

// newState begins to follow a rollout.
func (s *Service) newState(now time.Duration, name entity.ServiceName, to string, duration time.Duration) *state {
	instances := s.exchange.known()
	if now-s.startedAt < startDelay {
		instances = max(instances, assumedInstances)
	}
	burst := rollout.Burst(s.instance.ExposureSlack, instances)
	r := &state{
		service: name, to: to, duration: duration, phase: rollout.Running, reason: rollout.ReasonOrdered, since: now, seenAt: now,
		learnedAt: now, confirmedAt: now - freshness, rejected: map[string]bool{}, own: rollout.NewComparison(),
		stale: true,
	}
	r.traffic = newTraffic(to, s.partitioned(name), s.instance.ExposureShare, burst)
	s.rollouts[name], s.changed = r, true
	delete(s.dropped, name)
	return r
}

// remove stops following a rollout.
func (s *Service) remove(t *kernel.Turn, r *state, why string) {
	s.logState(telemetry.EventRolloutDropped, r, t.Now(), zap.String("why", why))
	s.metrics.remove(r.service)
	delete(s.rollouts, r.service)
	s.exchange.forget(r.service, r.to)
	s.dropped[r.service] = true
}

// ordersRead applies a read of the operator's records.
func (s *Service) ordersRead(t *kernel.Turn, m service.RolloutsOrdered) {
	s.ordersAt = max(s.ordersAt, m.At)
	for name, order := range m.Orders {
		if !s.configured(name) || order.To == "" {
			continue
		}
		r := s.rollouts[name]
		if r == nil {
			r = s.newState(t.Now(), name, order.To, order.Duration)
			s.logState(telemetry.EventRolloutOrdered, r, t.Now())
		}
		if r.to != order.To {
			if !r.knownBy(m.At) {
				continue
			}
			r = s.replace(t, r, order)
		}
		r.inOrders, r.withdrawn, r.duration = true, false, order.Duration
	}
	for name, r := range s.rollouts {
		if _, ok := m.Orders[name]; !ok && !r.withdrawn && r.knownBy(m.At) {
			r.withdrawn = true
			s.logState(telemetry.EventRolloutWithdrawn, r, t.Now())
		}
	}
}

// knownBy reports whether a read of the operator's records is not older than the order. Peers may have read it before.
func (r *state) knownBy(at time.Duration) bool { return r.inOrders || at >= r.learnedAt+orderLag }

// replace begins to follow another order of the same service. The version of the former one gets no more requests unless its rollout
// was completed.
func (s *Service) replace(t *kernel.Turn, old *state, order service.RolloutOrder) *state {
	s.logState(telemetry.EventRolloutWithdrawn, old, t.Now(), zap.String("replaced_by", order.To))
	s.exchange.forget(old.service, old.to)
	r := s.newState(t.Now(), old.service, order.To, order.Duration)
	r.rejected = maps.Clone(old.rejected)
	if old.phase != rollout.Completed {
		r.rejected[old.to] = true
	}
	delete(r.rejected, order.To)
	r.version, r.former = old.version, old.to // states that are not newer belong to the former order
	r.coordinating = old.coordinating
	r.told, r.telling = old.told, old.telling
	s.logState(telemetry.EventRolloutOrdered, r, t.Now())
	return r
}

// adopt applies a state that the document or a peer contains, if it is newer than the one known here.
func (s *Service) adopt(t *kernel.Turn, n reportedState) {
	now := t.Now()
	if !s.configured(n.service) || n.to == "" {
		return
	}
	r := s.rollouts[n.service]
	switch {
	case r == nil && s.dropped[n.service] && !n.stored:
		return // a peer has not forgotten it yet
	case r == nil:
		r = s.newState(now, n.service, n.to, n.duration)
		s.logState(telemetry.EventRolloutOrdered, r, now)
	case r.to != n.to:
		if !r.written || n.version <= r.version {
			return // this instance has read a newer order, which the coordinator will write, or the state is an old one
		}
		r = s.replace(t, r, service.RolloutOrder{Service: n.service, To: n.to, Duration: n.duration})
	}
	r.seenAt = min(r.seenAt, n.seenAt)
	if r.duration == 0 {
		r.duration = n.duration
	}
	if n.version > r.version {
		r.version, r.written = n.version, true
	}
	// Phases only advance, so that a phase that follows the present one is right in whatever order states arrive. A rollback is applied
	// before it is written; only a completion in the document, which all instances have confirmed, overrides it.
	if n.phase.Supersedes(r.phase) || n.stored && n.phase == rollout.Completed && r.phase == rollout.RolledBack {
		s.enter(t, r, n.phase, n.reason)
	}
	if n.version < r.version || !r.written {
		return // confirms nothing
	}
	r.confirm(n.confirmedAt)
}

// confirm records that the state was confirmed at a time.
func (r *state) confirm(at time.Duration) {
	r.confirmedAt = max(r.confirmedAt, at)
}

// fresh reports whether the state was confirmed recently.
func (r *state) fresh(now time.Duration) bool { return r.written && now-r.confirmedAt < freshness }

// enter changes the phase of a rollout at this instance.
func (s *Service) enter(t *kernel.Turn, r *state, phase rollout.Phase, reason string) {
	r.phase, r.reason, r.since = phase, reason, t.Now()
	s.changed = true
	if r.wanted != 0 && !r.wanted.Supersedes(phase) {
		r.wanted = 0
	}
	s.logState(telemetry.EventRolloutPhase, r, t.Now(), zap.String("why", reason))
	if r.tripped && phase == rollout.Switching {
		s.liftTrip(r, t.Now())
	}
	if r.coordinating {
		t.Send(service.Members, service.RolloutChanged{})
	}
}

// keysAtOld reports whether the table of key ranges of this instance names owners of old versions.
func (s *Service) keysAtOld(r *state) bool { return s.partitioned(r.service) && !r.keysMoved }

// announceCleared sends a heartbeat as soon as this instance has no request at old backends after the switch, on which the completion
// waits. The next regular one may be seconds away.
func (s *Service) announceCleared(t *kernel.Turn, r *state) {
	cleared := s.appliedPhase(r, t.Now()) == rollout.Switching && !s.keysAtOld(r) && s.flights.old(r.service, r.to) == 0
	if cleared && !r.cleared && !r.coordinating && s.exchange.known() <= maxAnnounced {
		t.Send(service.Members, service.RolloutChanged{})
	}
	r.cleared = cleared
}

// directoryChanged applies a view of configuration and backends. A service that is no longer configured drops its order.
func (s *Service) directoryChanged(t *kernel.Turn, view *service.DirectoryView) {
	s.directory = view
	for _, r := range s.rollouts {
		if !s.configured(r.service) {
			s.remove(t, r, "service no longer configured")
		}
	}
	for name := range s.document.Services {
		if s.rollouts[name] == nil && !s.dropped[name] && s.configured(name) {
			s.install(t, s.document, s.version, s.documentAt) // read before the configuration was
			return
		}
	}
}

// forgetIfEnded stops following a rollout that has ended, whose order was withdrawn and whose losing version has no backends.
func (s *Service) forgetIfEnded(t *kernel.Turn, r *state) {
	if !r.withdrawn || !r.phase.Ended() || t.Now()-r.since < reportEnded || r.phase == rollout.RolledBack && s.listed(r.service, r.to) {
		return
	}
	if r.coordinating && s.document.Services[r.service].Told != r.phase {
		return
	}
	s.remove(t, r, "order withdrawn")
}

// configured reports whether a service is part of the configuration.
func (s *Service) configured(name entity.ServiceName) bool {
	return s.directory.Config != nil && s.directory.Config.Services[name] != nil
}

func (s *Service) partitioned(name entity.ServiceName) bool {
	return s.configured(name) && s.directory.Config.Services[name].Partitioned
}

// listed reports whether the platform lists a backend of a version.
func (s *Service) listed(name entity.ServiceName, version string) bool {
	for _, b := range s.directory.Services[name] {
		if b.Version == version {
			return true
		}
	}
	return false
}

// usable reports whether a backend may get requests of either version.
func (s *Service) usable(b *catalog.Backend) bool {
	return !b.Draining && !s.directory.Evacuated[b.Zone]
}

func (s *Service) logState(e telemetry.Event, r *state, now time.Duration, fields ...zap.Field) {
	e.Log(s.log, append(fields, zap.String("service", string(r.service)), zap.String("version", r.to), zap.Stringer("phase", r.phase),
		zap.Duration("age", now-r.seenAt), zap.Duration("duration", r.duration), zap.Uint64("document", uint64(r.version)))...)
}
