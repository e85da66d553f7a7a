// Package directory owns an instance's view of the configuration, the back ends and the zones. What it has accepted never goes
// back: configurations are ordered by version and entries by their place in the store.
package directory

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// returnGrace is how long entries that lapsed during an outage of the store are kept after its return: back ends that live
// enter themselves again within two seconds.
const returnGrace = 2200 * time.Millisecond

// entryDelay is the longest time from the writing of an entry until it is read, and some of the jitter of its interval.
const entryDelay = 1300 * time.Millisecond

// Service is the service named directory.
type Service struct {
	site      service.InstanceConfig
	log       *zap.Logger
	view      kernel.Snapshot[service.DirectoryView]
	listeners []kernel.Name
	known     chan struct{} // closed by the control goroutine

	// The rest belongs to the control goroutine.
	config     *catalog.Config
	backends   map[entity.BackendID]*catalog.Backend
	lapsed     map[entity.BackendID]bool
	evacuated  map[entity.Zone]bool
	since      map[entity.Zone]time.Duration // when each zone was evacuated
	coldUntil  map[entity.Zone]time.Duration // until when the back ends of a zone taken back count as cold
	down       bool
	graceUntil time.Duration
	readAt     time.Duration
	generation uint64
	isRead     bool // the back ends have been read
	isKnown    bool // known is closed

	versions, listed, removals metrics.Gauge
}

// sweep is sent to itself when the grace after an outage ends.
type sweep struct{}

// New returns the service. Listeners are sent DirectoryChanged after each publication.
func New(site service.InstanceConfig, log *zap.Logger, registry metrics.Registry) *Service {
	s := &Service{
		site:      site,
		log:       log,
		listeners: []kernel.Name{service.Keys, service.Loads},
		backends:  map[entity.BackendID]*catalog.Backend{},
		lapsed:    map[entity.BackendID]bool{},
		evacuated: map[entity.Zone]bool{},
		since:     map[entity.Zone]time.Duration{},
		coldUntil: map[entity.Zone]time.Duration{},
		versions:  metrics.GetOrRegisterGauge("directory.config_version", registry),
		known:     make(chan struct{}),
		listed:    metrics.GetOrRegisterGauge("directory.backends", registry),
		removals:  metrics.GetOrRegisterGauge("directory.lapsed", registry),
	}
	s.view.Publish(&service.DirectoryView{})
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() kernel.Name { return service.Directory }

// Needs implements kernel.Service.
func (s *Service) Needs() []kernel.Name { return nil }

// Provision implements kernel.Service.
func (s *Service) Provision(*kernel.Resolver) error { return nil }

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// Directory returns the view in force.
func (s *Service) Directory() *service.DirectoryView { return s.view.Load() }

// Ready implements service.DirectorySource.
func (s *Service) Ready() <-chan struct{} { return s.known }

// Handle implements kernel.Handler.
func (s *Service) Handle(t *kernel.Turn, m kernel.Message) {
	switch m := m.(type) {
	case service.ConfigRead:
		s.configRead(t, m)
	case service.BackendsRead:
		s.backendsRead(t, m)
	case service.ZonesRead:
		s.zonesRead(t, m)
	case service.StoreOutage:
		s.outage(t, m)
	case sweep:
		s.sweep(t)
	}
}

func (s *Service) configRead(t *kernel.Turn, m service.ConfigRead) {
	if s.config != nil && m.Config.Version <= s.config.Version {
		return
	}
	before := uint64(0)
	if s.config != nil {
		before = s.config.Version
	}
	s.config = m.Config
	s.versions.Update(int64(m.Config.Version))
	telemetry.EventConfigInForce.Log(s.log, zap.Uint64("version", m.Config.Version), zap.Uint64("before", before),
		zap.Int("routes", len(m.Config.Routes)), zap.Int("customers", len(m.Config.Customers)))
	s.publish(t)
}

func (s *Service) backendsRead(t *kernel.Turn, m service.BackendsRead) {
	s.readAt = m.At
	changed := !s.isRead // what is known at the start is published, even if it is nothing
	s.isRead = true
	seen := map[entity.BackendID]bool{}
	for _, e := range m.Entries {
		seen[e.ID] = true
		if e.Backend == nil {
			changed = s.remove(t, e.ID) || changed
			continue
		}
		changed = s.put(e, s.notLeavingAt(m, t.Now()), t.Now()) || changed
	}
	if m.Complete {
		for id := range s.backends {
			if !seen[id] {
				changed = s.remove(t, id) || changed
			}
		}
	}
	s.listed.Update(int64(len(s.backends)))
	if changed {
		s.publish(t)
	}
}

// notLeavingAt returns a time before which back ends that a read shows as leaving had not said so. Without an earlier read they
// count as leaving for as long as they may get work.
func (s *Service) notLeavingAt(m service.BackendsRead, now time.Duration) time.Duration {
	if m.PreviousReadAt == 0 {
		return now - s.site.DrainTime
	}
	return m.PreviousReadAt
}

// put takes over an entry. Back ends that it shows as leaving for the first time were not at the time notLeavingAt. It reports
// whether the view changes.
func (s *Service) put(e service.BackendEntry, notLeavingAt, now time.Duration) bool {
	delete(s.lapsed, e.ID)
	old := s.backends[e.ID]
	next := *e.Backend
	if old != nil && next.Incarnation < old.Incarnation {
		telemetry.EventBackendEntryStale.Log(s.log, zap.String("backend", string(e.ID)), zap.Int64("born", next.Incarnation),
			zap.Int64("known_born", old.Incarnation))
		return false
	}
	if next.WarmUntil = s.coldUntil[next.Zone]; e.RemainingWarmup > 0 {
		next.WarmUntil = now + e.RemainingWarmup
	}
	alreadyLeaving := false
	if old != nil && old.SameProcess(&next) {
		alreadyLeaving = old.Draining
		// Leaving is final for a process, whatever a delayed entry says.
		next.Draining = next.Draining || old.Draining
		next.LastActiveAt = old.LastActiveAt
		if old.Draining == next.Draining && old.Slots == next.Slots && sameWarmth(old.WarmUntil, next.WarmUntil, now) {
			return false
		}
	}
	if next.Draining && !alreadyLeaving {
		next.LastActiveAt = notLeavingAt
	}
	s.backends[e.ID] = &next
	if old == nil || !old.SameProcess(&next) || old.Draining != next.Draining {
		telemetry.EventBackendListed.Log(s.log, zap.String("backend", string(e.ID)), zap.String("service", string(next.Service)),
			zap.String("zone", string(next.Zone)), zap.String("address", next.Address), zap.Int64("born", next.Incarnation),
			zap.Bool("draining", next.Draining), zap.Duration("cold_for", e.RemainingWarmup))
	}
	return true
}

// warmthTolerance is the difference between two statements of the same end of the cold time that is not a change.
const warmthTolerance = 300 * time.Millisecond

func sameWarmth(a, b, now time.Duration) bool {
	if a <= now && b <= now {
		return true
	}
	return a-b < warmthTolerance && b-a < warmthTolerance
}

// remove drops an entry, or marks it as lapsed if it may have lapsed only because the store was away.
func (s *Service) remove(t *kernel.Turn, id entity.BackendID) bool {
	if _, ok := s.backends[id]; !ok {
		return false
	}
	if t.Now() < s.graceUntil {
		s.lapsed[id] = true
		s.removals.Update(int64(len(s.lapsed)))
		return false
	}
	s.drop(id)
	return true
}

func (s *Service) drop(id entity.BackendID) {
	telemetry.EventBackendRemoved.Log(s.log, zap.String("backend", string(id)), zap.String("service", string(s.backends[id].Service)))
	delete(s.backends, id)
	delete(s.lapsed, id)
}

func (s *Service) zonesRead(t *kernel.Turn, m service.ZonesRead) {
	if maps.Equal(s.evacuated, m.Evacuated) {
		return
	}
	s.evacuated = m.Evacuated
	for zone := range m.Evacuated {
		if _, known := s.since[zone]; !known {
			s.since[zone] = t.Now()
		}
	}
	for zone := range s.since {
		if !m.Evacuated[zone] {
			delete(s.since, zone)
			s.takeBack(t, zone)
		}
	}
	telemetry.EventZonesEvacuated.Log(s.log, zap.Any("zones", slices.Sorted(maps.Keys(m.Evacuated))))
	s.publish(t)
}

// takeBack makes the back ends of a zone that is no longer evacuated count as cold until they have had time to say otherwise:
// idle back ends may have turned cold, and their entries say so only with the next heartbeat.
func (s *Service) takeBack(t *kernel.Turn, zone entity.Zone) {
	until := t.Now() + s.site.Heartbeat + entryDelay
	s.coldUntil[zone] = until
	for id, b := range s.backends {
		if b.Zone == zone && b.WarmUntil < until {
			next := *b
			next.WarmUntil = until
			s.backends[id] = &next
		}
	}
}

func (s *Service) outage(t *kernel.Turn, m service.StoreOutage) {
	if s.down && !m.Down {
		s.graceUntil = t.Now() + returnGrace
		t.After(returnGrace+time.Millisecond, sweep{})
	}
	s.down = m.Down
}

func (s *Service) sweep(t *kernel.Turn) {
	if s.down || t.Now() < s.graceUntil || len(s.lapsed) == 0 {
		return
	}
	for id := range s.lapsed {
		s.drop(id)
	}
	s.removals.Update(0)
	s.publish(t)
}

func (s *Service) publish(t *kernel.Turn) {
	s.generation++
	v := &service.DirectoryView{
		Config:     s.config,
		Services:   map[entity.ServiceName][]*catalog.Backend{},
		Backends:   maps.Clone(s.backends),
		Evacuated:  maps.Clone(s.evacuated),
		ReadAt:     s.readAt,
		Generation: s.generation,

		EvacuatedSince: maps.Clone(s.since),
	}
	for _, b := range s.backends {
		v.Services[b.Service] = append(v.Services[b.Service], b)
	}
	for _, list := range v.Services {
		slices.SortFunc(list, func(a, b *catalog.Backend) int { return cmp.Compare(a.ID, b.ID) })
	}
	s.view.Publish(v)
	if s.config != nil && s.isRead && !s.isKnown {
		s.isKnown = true
		close(s.known)
	}
	for _, name := range s.listeners {
		t.Send(name, service.DirectoryChanged{View: v})
	}
}
