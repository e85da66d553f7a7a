package admission

import (
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/admission"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
)

// zoneGainDelay is the time for which a zone that gains from a change of the list of zones keeps its former part. An
// instance that has not learned of the change by then refuses open routes: key_staleness is at most 1 minute, and the drift
// of clocks 1%.
const zoneGainDelay = 61 * time.Second

// zoneLists are the lists of zones over which customers without recorded shares are divided evenly.
type zoneLists struct {
	current []entity.Zone // sorted
	// former are the lists that other zones may still go by.
	former []formerZones
}

type formerZones struct {
	zones []entity.Zone
	until time.Duration
}

// zonesSettled is delivered when a former list has run out.
type zonesSettled struct{}

// noteZones takes the zones of the configuration. The first list of a process has no former one.
func (s *Service) noteZones(turn *kernel.Turn) {
	zones := make([]entity.Zone, len(s.config.Zones))
	for i, z := range s.config.Zones {
		zones[i] = entity.Zone(z.Name)
	}
	slices.Sort(zones)
	s.zones.former = slices.DeleteFunc(s.zones.former, func(f formerZones) bool { return turn.Now() >= f.until })
	if s.zones.current != nil && !slices.Equal(zones, s.zones.current) {
		s.zones.former = append(s.zones.former, formerZones{s.zones.current, turn.Now() + zoneGainDelay})
		turn.After(zoneGainDelay, zonesSettled{})
	}
	s.zones.current = zones
}

// share returns the part of this zone: the smallest that any list gives it which is still in use somewhere.
func (s *Service) share(id entity.CustomerID, total admission.Limits) admission.Limits {
	recorded := s.view.ZoneShares[id]
	l := admission.Share(id, total, s.zones.current, recorded, s.self.Zone)
	if recorded != nil {
		return l
	}
	for _, f := range s.zones.former {
		part := admission.Share(id, total, f.zones, nil, s.self.Zone)
		l.Rate, l.Burst = min(l.Rate, part.Rate), min(l.Burst, part.Burst)
	}
	return l
}
