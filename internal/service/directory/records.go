package directory

import (
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// readEntry is a backend record with the times of its read.
type readEntry struct {
	entry service.BackendEntry
	// lastActiveAt is when the backend was still active if the record shows it as leaving for the first time.
	lastActiveAt time.Duration
	at           time.Duration // when the record was received
	sentAt       time.Duration // when the read was sent
}

// apply applies a backend record and reports whether the view changes. A record of a service that is not configured names no backend: it
// neither lists one nor replaces the record of one. It is kept, since the service may be configured later.
func (s *Service) apply(r readEntry) bool {
	e := r.entry
	if !s.isConfigured(e.Backend.Service) {
		s.keepUnconfigured(r)
		return false
	}
	delete(s.unconfigured, e.ID)
	if old := s.backends[e.ID]; old != nil && contradicts(old, e.Backend) {
		s.keepContradicting(r, old)
		return false
	}
	return s.put(r)
}

func (s *Service) isConfigured(name entity.ServiceName) bool {
	return s.config != nil && s.config.Services[name] != nil
}

func (s *Service) keepUnconfigured(r readEntry) {
	id, name := r.entry.ID, r.entry.Backend.Service
	if old, known := s.unconfigured[id]; s.config != nil && (!known || old.entry.Backend.Service != name) {
		telemetry.EventBackendUnconfigured.Log(s.log, zap.String("backend", string(id)), zap.String("service", string(name)),
			zap.Uint64("config", s.config.Version))
	}
	s.unconfigured[id] = r
}

// applyConfigured applies the records of services that have been configured since they were read. The caller publishes the view.
func (s *Service) applyConfigured() {
	for _, r := range s.unconfigured {
		if s.isConfigured(r.entry.Backend.Service) {
			s.apply(r)
		}
	}
}
