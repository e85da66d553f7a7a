package directory

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

const (
	// heartbeatJitter is the longest time by which a backend writes its record later than one heartbeat after the previous one.
	heartbeatJitter = 300 * time.Millisecond
	// entryDelay is the longest time from the heartbeat at which a backend record is due until it is read.
	entryDelay = time.Second + heartbeatJitter
)

// reenabledZone is a zone that is no longer evacuated. Its backends may have become cold while they were idle, and report this only in
// the records that they write at the next heartbeat.
type reenabledZone struct {
	at time.Duration // when the zone was re-enabled
	// reported means that the records that its backends wrote at the next heartbeat have been read.
	reported bool
}

func (s *Service) zonesRead(t *kernel.Turn, m service.ZonesRead) {
	if maps.Equal(s.evacuated, m.Evacuated) {
		return
	}
	s.evacuated = m.Evacuated
	for zone := range m.Evacuated {
		if _, known := s.evacuatedSince[zone]; !known {
			s.evacuatedSince[zone] = t.Now()
		}
	}
	for zone := range s.evacuatedSince {
		if !m.Evacuated[zone] {
			delete(s.evacuatedSince, zone)
			s.reenableZone(t, zone)
		}
	}
	telemetry.EventZonesEvacuated.Log(s.log, zap.Any("zones", slices.Sorted(maps.Keys(m.Evacuated))))
	s.publish(t)
}

// reenableZone makes the backends of a zone that is no longer evacuated count as cold.
func (s *Service) reenableZone(t *kernel.Turn, zone entity.Zone) {
	s.reenabled[zone] = reenabledZone{at: t.Now()}
	s.updateWarmups(zone)
}

// coldUntil returns until when a backend counts as cold because its zone was re-enabled; zero if it was not. Until its next record has
// been read, the complete warm-up time of its service is assumed.
func (s *Service) coldUntil(b *catalog.Backend) time.Duration {
	zone, known := s.reenabled[b.Zone]
	if !known {
		return 0
	}
	until := zone.at + s.instance.Heartbeat + entryDelay
	if !zone.reported && s.config != nil && s.config.Services[b.Service] != nil {
		until = max(until, zone.at+s.config.Services[b.Service].Warmup)
	}
	return until
}

// reenabledZonesRead records a read of the backend records that was sent at sentAt. It reports whether the view changes.
func (s *Service) reenabledZonesRead(sentAt time.Duration) bool {
	changed := false
	for name, zone := range s.reenabled {
		if zone.reported || sentAt < zone.at+s.instance.Heartbeat+heartbeatJitter {
			continue
		}
		zone.reported = true
		s.reenabled[name] = zone
		changed = s.updateWarmups(name) || changed
	}
	return changed
}

// updateWarmups computes the ends of the warm-ups in a zone again. It reports whether one of them changes.
func (s *Service) updateWarmups(zone entity.Zone) bool {
	changed := false
	for id, b := range s.backends {
		until := max(s.reportedCold[id], s.coldUntil(b))
		if b.Zone != zone || b.WarmUntil == until {
			continue
		}
		next := *b
		next.WarmUntil = until
		s.backends[id] = &next
		changed = true
	}
	return changed
}
