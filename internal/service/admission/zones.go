package admission

import (
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/admission"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
)

// zoneGainDelay is how long a zone whose share increases with a change of the list of zones keeps its previous share.
// An instance that has not received the change by then refuses open routes: key_staleness is at most 1 minute, and the
// drift of clocks 1%.
const zoneGainDelay = 61 * time.Second

// zoneLists holds the lists of zones over which the rates of customers without recorded shares are divided evenly.
type zoneLists struct {
	current []entity.Zone // sorted
	// previous holds the lists that other zones may still use.
	previous []previousZones
}

type previousZones struct {
	zones []entity.Zone
	until time.Duration
}

// zonesExpired is delivered when a previous list has expired.
type zonesExpired struct{}

// updateZones applies the zones of the configuration. The first list of a process has no previous one.
func (s *Service) updateZones(turn *kernel.Turn) {
	zones := make([]entity.Zone, len(s.config.Zones))
	for i, z := range s.config.Zones {
		zones[i] = entity.Zone(z.Name)
	}
	slices.Sort(zones)
	s.zones.previous = slices.DeleteFunc(s.zones.previous, func(f previousZones) bool { return turn.Now() >= f.until })
	if s.zones.current != nil && !slices.Equal(zones, s.zones.current) {
		s.zones.previous = append(s.zones.previous, previousZones{s.zones.current, turn.Now() + zoneGainDelay})
		turn.After(zoneGainDelay, zonesExpired{})
	}
	s.zones.current = zones
}

// share returns the share of this zone. If no shares are recorded, it is the smallest by the current list of zones and the
// previous lists that other zones may still use.
func (s *Service) share(id entity.CustomerID, total admission.Limits) admission.Limits {
	recorded := s.view.ZoneShares[id]
	l := admission.Share(id, total, s.zones.current, recorded, s.self.Zone)
	if recorded != nil {
		return l
	}
	for _, f := range s.zones.previous {
		previousShare := admission.Share(id, total, f.zones, nil, s.self.Zone)
		l.Rate, l.Burst = min(l.Rate, previousShare.Rate), min(l.Burst, previousShare.Burst)
	}
	return l
}
