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

// crashRetry is the time after which a caller may retry a request that is quarantined because backends crashed.
const crashRetry = time.Minute

// fingerprintOf returns a hash that identifies a request when it is sent again. It covers the customer, method, host, target and
// body.
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

// isQuarantined reports whether the request is quarantined because backends crashed while they ran it.
func (s *Service) isQuarantined(c *request) bool {
	c.fingerprint = fingerprintOf(c)
	return s.loads.Quarantined(c.fingerprint, s.kernel.Now())
}

// watchCrash collects evidence of requests that crash backends: the connection was lost, and the backend is then unreachable, no
// longer listed, or another process.
func (s *Service) watchCrash(c *request, b *catalog.Backend, r service.DeliveryResult) {
	now := s.kernel.Now()
	switch {
	case r.Outcome.Kind == entity.OutcomeAnswered:
		s.loads.RequestAnswered(c.fingerprint, now)
	case r.Outcome.Kind == entity.OutcomeUnknown && r.Outcome.Reason == entity.ReasonBroken:
		s.loads.ConnectionLost(c.fingerprint, b, now)
	case r.Outcome.Reason == entity.ReasonUnreachable:
		if blamed, ok := s.loads.BackendTerminated(b.ID, now); ok {
			s.blame(c, b.ID, blamed)
		}
	}
	for _, blamed := range s.loads.ReconcileBackends(c.view.Backends, now) {
		s.blame(c, b.ID, blamed)
	}
}

func (s *Service) blame(c *request, id entity.BackendID, fingerprint uint64) {
	telemetry.EventCallBlamed.Log(s.log, zap.Uint64("fingerprint", fingerprint), zap.String("backend", string(id)),
		zap.String("noticed_by", c.call.ID))
}
