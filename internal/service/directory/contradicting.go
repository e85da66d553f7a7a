package directory

import (
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// contradictionHeartbeats is the number of heartbeats after which a record that contradicts a backend counts. The process that the
// backend's own record described would have written it again by then.
const contradictionHeartbeats = 3

// contradicts reports whether a record can be neither a newer state of a known process nor a later process: it names an earlier process,
// or the same one at another address or of another service.
func contradicts(old, next *catalog.Backend) bool {
	return next.Incarnation < old.Incarnation || (next.Incarnation == old.Incarnation && !old.SameProcess(next))
}

// keepContradicting keeps a record that contradicts a backend until it counts, see applyContradicting.
func (s *Service) keepContradicting(r readEntry, old *catalog.Backend) {
	id, next := r.entry.ID, r.entry.Backend
	if kept, known := s.contradicting[id]; known && kept.entry.Backend.SameProcess(next) {
		r.sentAt = kept.sentAt
	} else {
		telemetry.EventBackendEntryStale.Log(s.log, zap.String("backend", string(id)), zap.Int64("born", next.Incarnation),
			zap.Int64("known_born", old.Incarnation), zap.String("address", next.Address), zap.String("known_address", old.Address))
	}
	s.contradicting[id] = r
}

// applyContradicting applies the records that have contradicted a backend for several heartbeats, and reports whether the view changes. A
// delayed record of an earlier process is followed by one of the present process within a heartbeat. If none follows, the record that is
// contradicted was the one that the backend has not written.
func (s *Service) applyContradicting(m service.BackendsRead, now time.Duration) bool {
	changed := false
	for id, r := range s.contradicting {
		if s.storeUnavailable || now < s.graceUntil {
			r.sentAt = m.At // backends cannot write their records
			s.contradicting[id] = r
			continue
		}
		if m.At-r.sentAt < contradictionHeartbeats*s.instance.Heartbeat+heartbeatJitter {
			continue
		}
		delete(s.backends, id)
		s.put(r)
		changed = true
	}
	return changed
}
