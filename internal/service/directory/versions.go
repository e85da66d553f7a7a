package directory

import (
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// versions holds, for each version that a service's backends run, the time until which its backends are held back. It is zero for a
// version that was known from the start.
type versions map[entity.ServiceName]map[string]time.Duration

// holdBackVersions sets until when each backend is held back. Backends of a version that this instance sees for the first time get no
// requests for the time within which a record of the operator arrives, since a rollout to that version may have been ordered: its
// requests would not count against the share. Of the versions in the first view of a service that of the oldest process counts as known.
func (s *Service) holdBackVersions(now time.Duration) {
	if s.instance.ExposureShare <= 0 {
		return
	}
	listed := versions{}
	oldest := map[entity.ServiceName]*catalog.Backend{}
	for _, b := range s.backends {
		if listed[b.Service] == nil {
			listed[b.Service] = map[string]time.Duration{}
		}
		listed[b.Service][b.Version] = 0
		if o := oldest[b.Service]; o == nil || b.Incarnation < o.Incarnation || (b.Incarnation == o.Incarnation && b.ID < o.ID) {
			oldest[b.Service] = b
		}
	}
	for name, current := range listed {
		known := s.versionsSeen[name]
		for version := range current {
			until, seen := known[version]
			if !seen && (len(known) > 0 || version != oldest[name].Version) {
				until = now + s.instance.ConfigApply
				telemetry.EventVersionHeldBack.Log(s.log, zap.String("service", string(name)), zap.String("version", version),
					zap.Duration("for", s.instance.ConfigApply))
			}
			current[version] = until
		}
	}
	s.versionsSeen = listed // versions without a backend are forgotten, so that their number is bounded
	for id, b := range s.backends {
		if until := listed[b.Service][b.Version]; until != b.HeldBackUntil {
			changed := *b
			changed.HeldBackUntil = until
			s.backends[id] = &changed
		}
	}
}
