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

// reachableWindow is the largest age of the last heartbeat of a zone that counts as reachable. Delegates call each
// other every 100 ms.
const reachableWindow = time.Second

// zones declares other zones lost and the own zone recovered. Only the delegate of a zone votes, because it casts the
// zone's vote for the authority of the other zones: a zone that it receives no heartbeat from gets no authority through
// its vote.
type zones struct {
	logger        *zap.Logger
	leases        service.LeaseSource
	lastHeartbeat map[entity.Zone]time.Duration
	knownSince    map[entity.Zone]time.Duration
	lost          lossTimes
	// delegateSince is when this instance became its zone's delegate; negative if it is not.
	delegateSince time.Duration
	// connectedSince is when this instance began to receive heartbeats from most zones; negative if it does not.
	connectedSince time.Duration
	// activeVotes holds the zones with an active vote that was sent to the lease service.
	activeVotes map[entity.Zone]bool
	declaredAt  map[entity.Zone]time.Duration
	// emptySince is when a configured zone was first found without members.
	emptySince map[entity.Zone]time.Duration
}

func newZones(logger *zap.Logger) *zones {
	return &zones{
		logger:         logger,
		lastHeartbeat:  map[entity.Zone]time.Duration{},
		knownSince:     map[entity.Zone]time.Duration{},
		lost:           lossTimes{},
		activeVotes:    map[entity.Zone]bool{},
		declaredAt:     map[entity.Zone]time.Duration{},
		emptySince:     map[entity.Zone]time.Duration{},
		delegateSince:  -1,
		connectedSince: -1,
	}
}

func (z *zones) recordHeartbeat(p service.PeerState) {
	z.lastHeartbeat[p.Zone] = max(z.lastHeartbeat[p.Zone], p.At)
}

func (z *zones) update(now time.Duration, v *ownership.View) {
	members := memberZones(v)
	for zone := range members {
		if _, known := z.knownSince[zone]; !known {
			z.knownSince[zone] = now
		}
	}
	maps.DeleteFunc(z.knownSince, func(zone entity.Zone, _ time.Duration) bool { return !members[zone] })
	maps.DeleteFunc(z.emptySince, func(zone entity.Zone, _ time.Duration) bool { return members[zone] })
	maps.DeleteFunc(z.lastHeartbeat, func(zone entity.Zone, _ time.Duration) bool { return !members[zone] })
	began, ended := z.lost.update(now, v)
	for _, zone := range began {
		telemetry.EventControlZoneLost.Log(z.logger, zap.String("zone", string(zone)))
	}
	for _, zone := range ended {
		telemetry.EventControlZoneRecovered.Log(z.logger, zap.String("zone", string(zone)))
	}
}

// emptyFor returns for how long this instance has seen a zone without members.
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
	if record := z.recoverOwn(s); record != nil {
		return record
	}
	return z.vote(s)
}

// observe updates since when this instance has been the delegate and has been connected.
func (z *zones) observe(s *situation) {
	view := z.leases.Leases()
	held := view != nil && s.now < view.Held[service.DelegateLease(s.self.Zone)].Until
	z.delegateSince = since(z.delegateSince, held, s.now)
	all := memberZones(s.view)
	connected := 1
	for zone := range all {
		if at, ok := z.lastHeartbeat[zone]; ok && zone != s.self.Zone && s.now-at < reachableWindow {
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

// confirmed returns a record that declares a zone lost that the operator has declared lost.
func (z *zones) confirmed(s *situation) ownership.Record {
	delay, ok := s.ranks.delay(zonesTask)
	if !ok {
		return nil
	}
	for _, zone := range slices.Sorted(maps.Keys(s.config.zones)) {
		_, lost := s.view.LostZones[zone]
		if lost || s.config.zones[zone] != operator.ZoneLost {
			delete(z.declaredAt, zone)
			continue
		}
		if _, known := z.declaredAt[zone]; !known {
			z.declaredAt[zone] = s.now
		}
		if s.now-z.declaredAt[zone] >= delay {
			return ownership.ZoneLost{Zone: zone, From: s.self.Zone, Confirmed: true, Version: s.view.ZonesVersion}
		}
	}
	return nil
}

// recoverOwn returns a record that ends the loss of the own zone, once the zone receives heartbeats from most zones
// again and unless the operator has declared it lost.
func (z *zones) recoverOwn(s *situation) ownership.Record {
	own := s.self.Zone
	_, lost := s.view.LostZones[own]
	if !lost || s.config.zones[own] == operator.ZoneLost {
		return nil
	}
	// A connection that is older than the loss proves nothing: the heartbeats may arrive in one direction only, without
	// this zone being able to answer.
	since := max(z.connectedSince, z.lost[own].appliedAt)
	if z.connectedSince < 0 || s.now-since < zoneRecoveryTime {
		return nil
	}
	return ownership.ZoneBack{Zone: own, From: own, Version: s.view.ZonesVersion}
}

// vote votes on behalf of the own zone to declare an unresponsive zone lost, and withdraws the vote when heartbeats
// from that zone arrive again. The lease service receives a vote before it is appended, so that the other zone gets no
// authority from here while the vote is active.
func (z *zones) vote(s *situation) ownership.Record {
	own := s.self.Zone
	for _, zone := range slices.Sorted(maps.Keys(z.knownSince)) {
		_, lost := s.view.LostZones[zone]
		_, voted := s.view.LostVotes[zone][own]
		if zone == own || lost {
			continue
		}
		if z.activeVotes[zone] && !voted {
			z.announce(s, zone, false)
		}
		switch {
		case voted && z.delegateSince >= 0 && z.isReachable(zone, s.now):
			return ownership.ZoneBack{Zone: zone, From: own, Version: s.view.ZonesVersion}
		case voted:
			z.announce(s, zone, true)
		case z.isUnresponsive(zone, s.now):
			z.announce(s, zone, true)
			return ownership.ZoneLost{Zone: zone, From: own, Version: s.view.ZonesVersion}
		}
	}
	return nil
}

func (z *zones) isReachable(zone entity.Zone, now time.Duration) bool {
	at, ok := z.lastHeartbeat[zone]
	return ok && now-at < reachableWindow
}

// isUnresponsive reports whether this instance, as the delegate, has received no heartbeat from a zone for
// memberTimeout.
func (z *zones) isUnresponsive(zone entity.Zone, now time.Duration) bool {
	if z.delegateSince < 0 {
		return false
	}
	last := max(z.lastHeartbeat[zone], z.knownSince[zone], z.delegateSince)
	return now-last >= memberTimeout
}

func (z *zones) announce(s *situation, zone entity.Zone, active bool) {
	if z.activeVotes[zone] == active {
		return
	}
	z.activeVotes[zone] = active
	if !active {
		delete(z.activeVotes, zone)
	}
	s.turn.Send(service.Lease, service.ZoneVote{Zone: zone, Active: active})
}
