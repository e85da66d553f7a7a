package directory

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
)

const (
	// recoveryGrace is how long backend records that lapsed during an outage of the store are kept after the store has recovered.
	// Live backends write their records again within two seconds.
	recoveryGrace = 2200 * time.Millisecond
	// drainMargin is how much earlier than the drain time ends a backend is dropped whose record was removed: the time from the
	// choice of a backend until a request arrives there.
	drainMargin = 200 * time.Millisecond
)

// lapseEnded is the message that the service sends to itself when a backend without a record is no longer kept.
type lapseEnded struct{}

func (s *Service) outage(t *kernel.Turn, m service.StoreOutage) {
	switch {
	case m.Unavailable && !s.storeUnavailable:
		s.unavailableAt = t.Now()
	case !m.Unavailable && s.storeUnavailable:
		s.graceUntil, s.recoveryReadAt = t.Now()+recoveryGrace, 0
		t.After(recoveryGrace+time.Millisecond, lapseEnded{})
	}
	s.storeUnavailable = m.Unavailable
}

// noteRecovery records the first read after an outage. It shows the records that lapsed during the outage.
func (s *Service) noteRecovery(m service.BackendsRead) {
	if s.recoveryReadAt == 0 && !s.storeUnavailable && m.At >= s.unavailableAt {
		s.recoveryReadAt = m.At
	}
}

// keptUntil returns until when a backend is kept whose record a read shows as removed. The record may have lapsed merely because the
// store was unavailable. If an earlier read after the outage still had it, the backend may have left since, and gets no requests after
// the drain time.
func (s *Service) keptUntil(m service.BackendsRead) time.Duration {
	if s.recoveryReadAt > 0 && m.PreviousReadAt >= s.recoveryReadAt {
		return min(s.graceUntil, m.PreviousReadAt+s.instance.DrainTime-drainMargin)
	}
	return s.graceUntil
}

// remove drops a backend whose record was removed, at once or when it is no longer kept. It reports whether the view changes.
func (s *Service) remove(t *kernel.Turn, id entity.BackendID, m service.BackendsRead) bool {
	delete(s.unconfigured, id)
	if _, ok := s.backends[id]; !ok {
		return false
	}
	until := s.keptUntil(m)
	if t.Now() >= until {
		s.drop(id)
		return true
	}
	if _, lapsed := s.lapsed[id]; !lapsed {
		s.lapsed[id] = until
		s.removals.Update(int64(len(s.lapsed)))
		t.After(until-t.Now()+time.Millisecond, lapseEnded{})
	}
	return false
}

// dropLapsed drops the backends without a record that are no longer kept.
func (s *Service) dropLapsed(t *kernel.Turn) {
	if s.storeUnavailable {
		return
	}
	dropped := false
	for id, until := range s.lapsed {
		if t.Now() >= until {
			s.drop(id)
			dropped = true
		}
	}
	if dropped {
		s.removals.Update(int64(len(s.lapsed)))
		s.publish(t)
	}
}
