package control

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
	"github.com/pollenpier/pollenpier/operator"
)

// heardFor is how long ago a zone may have been heard to count as connected. Delegates call each other every 100 ms.
const heardFor = time.Second

// zones declares other zones lost and the own zone back. Only the delegate of a zone votes, because it is the voter of its
// zone for the authority of the others: what it has not heard has no authority from it.
type zones struct {
	logger     *zap.Logger
	leases     service.LeaseSource
	heardAt    map[entity.Zone]time.Duration
	knownSince map[entity.Zone]time.Duration
	lost       lossTimes
	// delegateSince is when this instance became its zone's delegate; negative if it is not.
	delegateSince time.Duration
	// connectedSince is when this instance began to hear most zones; negative if it does not.
	connectedSince time.Duration
	// standing are the votes announced to lease.
	standing map[entity.Zone]bool
	wantedAt map[entity.Zone]time.Duration
	// emptySince is when a configured zone was first found without members.
	emptySince map[entity.Zone]time.Duration
}

func newZones(logger *zap.Logger) *zones {
	return &zones{
		logger:         logger,
		heardAt:        map[entity.Zone]time.Duration{},
		knownSince:     map[entity.Zone]time.Duration{},
		lost:           lossTimes{},
		standing:       map[entity.Zone]bool{},
		wantedAt:       map[entity.Zone]time.Duration{},
		emptySince:     map[entity.Zone]time.Duration{},
		delegateSince:  -1,
		connectedSince: -1,
	}
}

func (z *zones) heard(p service.PeerState) { z.heardAt[p.Zone] = max(z.heardAt[p.Zone], p.At) }

func (z *zones) applied(now time.Duration, v *ownership.View) {
	members := memberZones(v)
	for zone := range members {
		if _, known := z.knownSince[zone]; !known {
			z.knownSince[zone] = now
		}
	}
	maps.DeleteFunc(z.knownSince, func(zone entity.Zone, _ time.Duration) bool { return !members[zone] })
	maps.DeleteFunc(z.emptySince, func(zone entity.Zone, _ time.Duration) bool { return members[zone] })
	maps.DeleteFunc(z.heardAt, func(zone entity.Zone, _ time.Duration) bool { return !members[zone] })
	began, ended := z.lost.applied(now, v)
	for _, zone := range began {
		telemetry.EventControlZoneLost.Log(z.logger, zap.String("zone", string(zone)))
	}
	for _, zone := range ended {
		telemetry.EventControlZoneRecovered.Log(z.logger, zap.String("zone", string(zone)))
	}
}

// emptyFor returns how long a zone has had no members here.
func (z *zones) emptyFor(s *situation, zone entity.Zone) time.Duration {
	if _, known := z.emptySince[zone]; !known {
		z.emptySince[zone] = s.now
	}
	return s.now - z.emptySince[zone]
}

func memberZones(v *ownership.View) map[entity.Zone]bool {
	members := map[entity.Zone]bool{}
	for _, m := range v.Members {
		members[m.Zone] = true
	}
	return members
}

func (z *zones) next(s *situation) ownership.Record {
	z.observe(s)
	if _, member := s.member(); !member {
		return nil
	}
	if record := z.confirmed(s); record != nil {
		return record
	}
	if record := z.back(s); record != nil {
		return record
	}
	return z.vote(s)
}

// observe updates since when this instance has been delegate and connected.
func (z *zones) observe(s *situation) {
	view := z.leases.Leases()
	held := view != nil && s.now < view.Held[service.DelegateLease(s.self.Zone)].Until
	z.delegateSince = since(z.delegateSince, held, s.now)
	all := memberZones(s.view)
	connected := 1
	for zone := range all {
		if at, ok := z.heardAt[zone]; ok && zone != s.self.Zone && s.now-at < heardFor {
			connected++
		}
	}
	z.connectedSince = since(z.connectedSince, connected > len(all)/2, s.now)
}

// since returns the start of the current period in which a condition holds, negative if it does not.
func since(start time.Duration, holds bool, now time.Duration) time.Duration {
	switch {
	case !holds:
		return -1
	case start < 0:
		return now
	default:
		return start
	}
}

// confirmed declares zones lost that the operator has declared lost.
func (z *zones) confirmed(s *situation) ownership.Record {
	delay, ok := s.ranks.delay(zonesTask)
	if !ok {
		return nil
	}
	for _, zone := range slices.Sorted(maps.Keys(s.config.zones)) {
		_, lost := s.view.LostZones[zone]
		if lost || s.config.zones[zone] != operator.ZoneLost {
			delete(z.wantedAt, zone)
			continue
		}
		if _, wanted := z.wantedAt[zone]; !wanted {
			z.wantedAt[zone] = s.now
		}
		if s.now-z.wantedAt[zone] >= delay {
			return ownership.ZoneLost{Zone: zone, From: s.self.Zone, Confirmed: true, Version: s.view.ZonesVersion}
		}
	}
	return nil
}

// back ends the loss of the own zone once it hears most zones again and the operator does not hold it out.
func (z *zones) back(s *situation) ownership.Record {
	own := s.self.Zone
	_, lost := s.view.LostZones[own]
	if !lost || s.config.zones[own] == operator.ZoneLost {
		return nil
	}
	// A connection that is older than the loss proves nothing: the zone may be heard without being able to answer.
	since := max(z.connectedSince, z.lost[own].appliedAt)
	if z.connectedSince < 0 || s.now-since < zoneBackAfter {
		return nil
	}
	return ownership.ZoneBack{Zone: own, From: own, Version: s.view.ZonesVersion}
}

// vote declares a silent zone lost in the name of the own zone, and withdraws the vote when the zone is heard again. Lease
// learns of a vote before it is appended, so that the zone gets no authority from here while the vote stands.
func (z *zones) vote(s *situation) ownership.Record {
	own := s.self.Zone
	for _, zone := range slices.Sorted(maps.Keys(z.knownSince)) {
		_, lost := s.view.LostZones[zone]
		_, voted := s.view.LostVotes[zone][own]
		if zone == own || lost {
			continue
		}
		if z.standing[zone] && !voted {
			z.announce(s, zone, false)
		}
		switch {
		case voted && z.delegateSince >= 0 && z.hears(zone, s.now):
			return ownership.ZoneBack{Zone: zone, From: own, Version: s.view.ZonesVersion}
		case voted:
			z.announce(s, zone, true)
		case z.silent(zone, s.now):
			z.announce(s, zone, true)
			return ownership.ZoneLost{Zone: zone, From: own, Version: s.view.ZonesVersion}
		}
	}
	return nil
}

func (z *zones) hears(zone entity.Zone, now time.Duration) bool {
	at, ok := z.heardAt[zone]
	return ok && now-at < heardFor
}

// silent reports whether this instance, as delegate, has not heard a zone for long.
func (z *zones) silent(zone entity.Zone, now time.Duration) bool {
	if z.delegateSince < 0 {
		return false
	}
	last := max(z.heardAt[zone], z.knownSince[zone], z.delegateSince)
	return now-last >= silence
}

func (z *zones) announce(s *situation, zone entity.Zone, stand bool) {
	if z.standing[zone] == stand {
		return
	}
	z.standing[zone] = stand
	if !stand {
		delete(z.standing, zone)
	}
	s.turn.Send(service.Lease, service.ZoneVote{Zone: zone, Active: stand})
}
