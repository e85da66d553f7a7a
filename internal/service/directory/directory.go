// Package directory is the service of a store-based instance that owns its view of the configuration, the backends and the
// zones. The feed sends it what was read from the store; other services and traffic goroutines read the published view. The
// view never reverts to older state: configurations are ordered by version and backend records by their position in the store.
package directory

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// Service is the service named directory.
type Service struct {
	instance    service.InstanceConfig
	log         *zap.Logger
	view        kernel.Snapshot[service.DirectoryView]
	subscribers []kernel.Name
	ready       chan struct{} // closed by the control goroutine
	checkedAt   atomic.Int64  // see ConfigCheckedAt, in nanoseconds
	registry    metrics.Registry

	// The fields below belong to the control goroutine.
	config           *catalog.Config
	backends         map[entity.BackendID]*catalog.Backend
	lapsed           map[entity.BackendID]time.Duration // until when backends without a record are kept
	unconfigured     map[entity.BackendID]readEntry     // records of services that are not configured
	contradicting    map[entity.BackendID]readEntry     // records that contradict a backend, see contradicts
	dropped          droppedProcesses
	leaving          leavingProcesses
	evacuated        map[entity.Zone]bool
	evacuatedSince   map[entity.Zone]time.Duration // when each zone was evacuated
	reenabled        map[entity.Zone]reenabledZone
	reportedCold     map[entity.BackendID]time.Duration // end of the warm-up according to the last entry
	versionsSeen     versions
	storeUnavailable bool
	graceUntil       time.Duration
	unavailableAt    time.Duration // when the last outage of the store was noticed
	recoveryReadAt   time.Duration // when the first read after it was sent; zero before that
	readAt           time.Duration
	generation       uint64
	backendsLoaded   bool // the backends have been read
	isReady          bool // ready is closed

	versions, listed, removals metrics.Gauge
	// lag is the time at most from the acknowledgement of the last configuration until it was in force here, in milliseconds.
	lag metrics.Gauge
}

// New returns the service. It sends DirectoryChanged after each publication to keys and loads, and to rollout if the platform knows
// rollouts.
func New(instance service.InstanceConfig, log *zap.Logger, registry metrics.Registry) *Service {
	s := &Service{
		instance:       instance,
		log:            log,
		registry:       registry,
		subscribers:    []kernel.Name{service.Keys, service.Loads},
		backends:       map[entity.BackendID]*catalog.Backend{},
		lapsed:         map[entity.BackendID]time.Duration{},
		unconfigured:   map[entity.BackendID]readEntry{},
		contradicting:  map[entity.BackendID]readEntry{},
		leaving:        leavingProcesses{},
		dropped:        droppedProcesses{},
		evacuated:      map[entity.Zone]bool{},
		evacuatedSince: map[entity.Zone]time.Duration{},
		reenabled:      map[entity.Zone]reenabledZone{},
		reportedCold:   map[entity.BackendID]time.Duration{},
		versions:       metrics.GetOrRegisterGauge("directory.config_version", registry),
		ready:          make(chan struct{}),
		listed:         metrics.GetOrRegisterGauge("directory.backends", registry),
		removals:       metrics.GetOrRegisterGauge("directory.lapsed", registry),
		lag:            metrics.GetOrRegisterGauge("directory.config_lag_ms", registry),
	}
	if instance.ExposureShare > 0 {
		s.subscribers = append(s.subscribers, service.Rollout)
	}
	s.view.Publish(&service.DirectoryView{})
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() kernel.Name { return service.Directory }

// Needs implements kernel.Service.
func (s *Service) Needs() []kernel.Name { return nil }

// Provision implements kernel.Service.
func (s *Service) Provision(r *kernel.Resolver) error {
	k := r.Kernel()
	age := func() int64 { return (k.Now() - s.ConfigCheckedAt()).Milliseconds() }
	metrics.NewRegisteredFunctionalGauge("directory.config_age_ms", s.registry, age)
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// Directory implements service.DirectorySource. It may be called from any goroutine.
func (s *Service) Directory() *service.DirectoryView { return s.view.Load() }

// ConfigCheckedAt implements service.DirectorySource. It may be called from any goroutine.
func (s *Service) ConfigCheckedAt() time.Duration { return time.Duration(s.checkedAt.Load()) }

// Ready implements service.DirectorySource.
func (s *Service) Ready() <-chan struct{} { return s.ready }

// Handle implements kernel.Handler.
func (s *Service) Handle(t *kernel.Turn, m kernel.Message) {
	switch m := m.(type) {
	case service.ConfigRead:
		s.configRead(t, m)
	case service.ConfigChecked:
		s.checkedAt.Store(int64(max(m.At, s.ConfigCheckedAt())))
	case service.BackendsRead:
		s.backendsRead(t, m)
	case service.BackendsLeaving:
		s.backendsLeaving(t, m)
	case service.ZonesRead:
		s.zonesRead(t, m)
	case service.StoreOutage:
		s.outage(t, m)
	case lapseEnded:
		s.dropLapsed(t)
	}
}

func (s *Service) configRead(t *kernel.Turn, m service.ConfigRead) {
	if s.config != nil && m.Config.Version <= s.config.Version {
		return
	}
	previous := uint64(0)
	if s.config != nil {
		previous = s.config.Version
	}
	s.config = m.Config
	s.versions.Update(int64(m.Config.Version))
	var lag time.Duration // unknown for the first configuration
	if checkedAt := s.ConfigCheckedAt(); checkedAt > 0 {
		lag = t.Now() - checkedAt
		s.lag.Update(lag.Milliseconds())
	}
	telemetry.EventConfigApplied.Log(s.log, zap.Uint64("version", m.Config.Version), zap.Uint64("before", previous),
		zap.String("origin", string(m.Origin)), zap.Duration("lag_at_most", lag),
		zap.Int("routes", len(m.Config.Routes)), zap.Int("customers", len(m.Config.Customers)),
		zap.Bool("keys_required", m.Config.KeysRequired()))
	s.applyConfigured()
	s.publish(t)
}

func (s *Service) backendsRead(t *kernel.Turn, m service.BackendsRead) {
	s.readAt = m.At
	s.noteRecovery(m)
	if m.NewEra {
		s.keepMissing(t, m)
	}
	changed := !s.backendsLoaded // the first read is published even if it is empty
	s.backendsLoaded = true
	changed = s.reenabledZonesRead(m.At) || changed
	seen := map[entity.BackendID]bool{}
	for _, e := range m.Entries {
		seen[e.ID] = true
		switch {
		case e.Invalid:
		case m.NewEra && e.Backend != nil && s.dropped.contains(e.Backend):
		case e.Backend == nil:
			changed = s.remove(t, e.ID, m) || changed
		default:
			changed = s.apply(readEntry{entry: e, lastActiveAt: s.lastActiveAt(m, t.Now()), at: t.Now(), sentAt: m.At}) || changed
		}
	}
	changed = s.applyContradicting(m, t.Now()) || changed
	if m.Complete {
		for id := range s.backends {
			if !seen[id] {
				changed = s.remove(t, id, m) || changed
			}
		}
	}
	s.listed.Update(int64(len(s.backends)))
	if changed {
		s.publish(t)
	}
}

// lastActiveAt returns a time at which backends that a read shows as leaving for the first time were still active. Without an
// earlier read they count as leaving for the complete drain time already and get no new requests.
func (s *Service) lastActiveAt(m service.BackendsRead, now time.Duration) time.Duration {
	if m.PreviousReadAt == 0 {
		return now - s.instance.DrainTime
	}
	return m.PreviousReadAt
}

// put applies the record of a backend and reports whether the view changes.
func (s *Service) put(r readEntry) bool {
	e, now := r.entry, r.at
	delete(s.lapsed, e.ID)
	delete(s.contradicting, e.ID)
	old := s.backends[e.ID]
	next := *e.Backend
	delete(s.reportedCold, e.ID)
	if e.RemainingWarmup > 0 {
		s.reportedCold[e.ID] = now + e.RemainingWarmup
	}
	next.WarmUntil = max(s.reportedCold[e.ID], s.coldUntil(&next))
	if next.Draining {
		s.leaving.record(processHash(&next), r.lastActiveAt, now)
	}
	if old != nil && old.Version == next.Version {
		next.HeldBackUntil = old.HeldBackUntil
	}
	next.LastActiveAt, next.Draining = s.leaving.since(processHash(&next))
	delete(s.dropped, processHash(&next))
	if old != nil && old.SameProcess(&next) && old.Draining == next.Draining && old.LastActiveAt == next.LastActiveAt &&
		old.Slots == next.Slots && sameWarmup(old.WarmUntil, next.WarmUntil, now) {
		return false
	}
	s.backends[e.ID] = &next
	if old == nil || !old.SameProcess(&next) || old.Draining != next.Draining {
		telemetry.EventBackendListed.Log(s.log, zap.String("backend", string(e.ID)), zap.String("service", string(next.Service)),
			zap.String("version", next.Version), zap.String("zone", string(next.Zone)), zap.String("address", next.Address), zap.Int64("born", next.Incarnation),
			zap.Bool("draining", next.Draining), zap.Duration("cold_for", e.RemainingWarmup))
	}
	return true
}

// warmupTolerance is the difference up to which two reported ends of the warm-up count as equal.
const warmupTolerance = 300 * time.Millisecond

func sameWarmup(a, b, now time.Duration) bool {
	if a <= now && b <= now {
		return true
	}
	return a-b < warmupTolerance && b-a < warmupTolerance
}

func (s *Service) drop(id entity.BackendID) {
	s.dropped.add(s.backends[id], s.readAt)
	telemetry.EventBackendRemoved.Log(s.log, zap.String("backend", string(id)), zap.String("service", string(s.backends[id].Service)))
	delete(s.backends, id)
	delete(s.lapsed, id)
	delete(s.contradicting, id)
	delete(s.reportedCold, id)
}

func (s *Service) publish(t *kernel.Turn) {
	s.generation++
	s.holdBackVersions(t.Now())
	v := &service.DirectoryView{
		Config:     s.config,
		Services:   map[entity.ServiceName][]*catalog.Backend{},
		Backends:   maps.Clone(s.backends),
		Evacuated:  maps.Clone(s.evacuated),
		ReadAt:     s.readAt,
		Generation: s.generation,

		EvacuatedSince: maps.Clone(s.evacuatedSince),
	}
	for _, b := range s.backends {
		v.Services[b.Service] = append(v.Services[b.Service], b)
	}
	for _, list := range v.Services {
		slices.SortFunc(list, func(a, b *catalog.Backend) int { return cmp.Compare(a.ID, b.ID) })
	}
	s.view.Publish(v)
	if s.config != nil && s.backendsLoaded && !s.isReady {
		s.isReady = true
		close(s.ready)
	}
	for _, name := range s.subscribers {
		t.Send(name, service.DirectoryChanged{View: v})
	}
}
