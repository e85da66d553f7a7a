package router

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// crashRetry is when a caller may send a request again that is held back for the crashes of back ends.
const crashRetry = time.Minute

// fingerprintOf identifies a request that is sent again: by its customer, method, place and body.
func fingerprintOf(c *request) uint64 {
	h := xxhash.New()
	parts := []string{c.call.Method, c.call.Host, c.call.Target}
	if c.customer != nil {
		parts = append(parts, string(c.customer.ID))
	}
	for _, part := range parts {
		_, _ = h.WriteString(part) // never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.call.Body)
	return h.Sum64()
}

// heldBack reports whether back ends crashed while they ran the request.
func (s *Service) heldBack(c *request) bool {
	c.fingerprint = fingerprintOf(c)
	return s.loads.Quarantined(c.fingerprint, s.kernel.Now())
}

// watchCrash collects evidence of requests that crash back ends: the connection broke, and the back end is then unreachable, gone
// or another process.
func (s *Service) watchCrash(c *request, b *catalog.Backend, r service.DeliveryResult) {
	now := s.kernel.Now()
	switch {
	case r.Outcome.Kind == entity.OutcomeAnswered:
		s.loads.RequestAnswered(c.fingerprint, now)
	case r.Outcome.Kind == entity.OutcomeUnknown && r.Outcome.Reason == entity.ReasonBroken:
		s.loads.ConnectionBroken(c.fingerprint, b, now)
	case r.Outcome.Reason == entity.ReasonUnreachable:
		if blamed, ok := s.loads.BackendTerminated(b.ID, now); ok {
			s.blame(c, b.ID, blamed)
		}
	}
	for _, blamed := range s.loads.ReconcileBackends(c.fleet.Backends, now) {
		s.blame(c, b.ID, blamed)
	}
}

func (s *Service) blame(c *request, id entity.BackendID, fingerprint uint64) {
	telemetry.EventCrashSuspect.Log(s.log, zap.Uint64("fingerprint", fingerprint), zap.String("backend", string(id)),
		zap.String("noticed_by", c.call.ID))
}
