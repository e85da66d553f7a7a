package lease

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/lease"
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// contact is the delegate's state of another zone.
type contact struct {
	instance      entity.InstanceID // the zone's delegate, if known
	answered      time.Duration     // last answer of that instance
	lastHeartbeat time.Duration     // last heartbeat or answer of any instance of the zone
	next          int               // member to try next
	unresponsive  bool
}

// isDelegate reports whether this instance may vote and claim for its zone.
func (s *Service) isDelegate(now time.Duration) bool {
	return s.zones != nil && s.group.Holder.Valid(s.delegateName(), now) && !s.declaredLost(s.self.Zone)
}

func (s *Service) delegateName() lease.Name { return lease.Name(service.DelegateLease(s.self.Zone)) }

// delegate returns the holder of the own zone's delegate lease, empty if it is not known.
func (s *Service) delegate(now time.Duration) entity.InstanceID {
	return entity.InstanceID(s.group.Voter.Holder(s.delegateName(), now))
}

// delegateGained starts to vote for the zone. The vote promises nothing until the promises of the last delegate have
// lapsed.
func (s *Service) delegateGained(now time.Duration) {
	s.zones = s.newZones(now)
	for _, c := range s.contacts {
		c.lastHeartbeat, c.unresponsive = max(c.lastHeartbeat, now), false
	}
}

// heartbeatZones renews the zone's authority. It also claims the authority of unresponsive zones, so that the log can
// declare them lost.
func (s *Service) heartbeatZones(t *kernel.Turn) {
	now := t.Now()
	if !s.isDelegate(now) {
		return
	}
	effects := s.zones.SetWanted(now, s.wantedAuthorities(now))
	ticked := s.zones.Tick(now)
	s.count(effects)
	s.count(ticked)
	s.ownAuthority(now)
	claims := slices.Concat(ticked.Claims, effects.Releases, ticked.Releases)
	for _, zone := range s.zoneRoster.Members {
		if z := entity.Zone(zone); z != s.self.Zone {
			s.sendToZone(t, z, claims)
		}
	}
}

// wantedAuthorities returns the names of the own authority and of those of unresponsive or lost zones.
func (s *Service) wantedAuthorities(now time.Duration) []lease.Name {
	wanted := []lease.Name{lease.Name(service.AuthorityLease(s.self.Zone))}
	for zone, c := range s.contacts {
		unresponsive := now-c.lastHeartbeat >= s.settings.ZoneSilence
		if unresponsive != c.unresponsive {
			c.unresponsive = unresponsive
			event := telemetry.EventZoneReachable
			if unresponsive {
				event = telemetry.EventZoneUnresponsive
			}
			event.Log(s.log, zap.String("zone", string(zone)))
		}
		if unresponsive || s.declaredLost(zone) {
			wanted = append(wanted, lease.Name(service.AuthorityLease(zone)))
		}
	}
	return wanted
}

// ownAuthority records the proof that the zone holds its authority.
func (s *Service) ownAuthority(now time.Duration) {
	held, ok := s.zones.Holder.Held(now)[lease.Name(service.AuthorityLease(s.self.Zone))]
	if ok {
		s.proofs.authorityAt = max(s.proofs.authorityAt, held.Until-s.settings.AuthorityTTL)
	}
}

// voteForZone answers another zone's claims. A zone gets no vote if it is declared lost, if the own zone has voted to
// declare it lost, or if it has not replayed its loss and recovery: it would act on owners that are older than its
// loss.
func (s *Service) voteForZone(now time.Duration, req service.HeartbeatRequest, r *service.HeartbeatResponse) {
	s.zones.Holder.MarkAlive(now, lease.Member(req.Zone), req.Leaving)
	if s.declaredLost(req.Zone) || s.votedLost(req.Zone) || req.ControlOffset < s.knownLoss[req.Zone] {
		return
	}
	if req.ConfigVersion < s.configVersion {
		return // the claimant may accept customer keys that were withdrawn
	}
	s.recordAuthorityClaims(req)
	r.Voter = string(s.self.Zone)
	r.Results = toResults(req.Claims, s.zones.Vote(now, lease.Member(req.Instance), req.RosterVersion, claims(req.Claims)))
}

// recordAuthorityClaims records that another zone claims the authority of an unresponsive zone. The loss of that zone
// is recorded before the claimant's offset or will be recorded, and this instance may never read the record itself.
func (s *Service) recordAuthorityClaims(req service.HeartbeatRequest) {
	for _, zone := range s.zoneRoster.Members {
		z := entity.Zone(zone)
		claimed := func(c service.LeaseClaim) bool { return c.Name == service.AuthorityLease(z) && !c.Release }
		if z != req.Zone && slices.ContainsFunc(req.Claims, claimed) {
			s.knownLoss[z] = max(s.knownLoss[z], req.ControlOffset)
		}
	}
}

// answeredByZone applies the vote of another zone.
func (s *Service) answeredByZone(t *kernel.Turn, c call, r service.HeartbeatResponse) {
	now := t.Now()
	known := s.contacts[c.zone]
	if known == nil {
		return
	}
	known.lastHeartbeat = now
	if r.Delegate != "" && r.Delegate != known.instance {
		known.instance, known.answered = r.Delegate, now
	}
	if c.to == known.instance {
		known.answered = now
	}
	if !s.isDelegate(now) || r.Voter != string(c.zone) {
		return
	}
	s.zones.Holder.MarkAlive(now, lease.Member(c.zone), r.Leaving)
	effects := s.zones.HandleResults(now, lease.Member(c.zone), c.sentAt, c.claims, results(c.claims, r.Results))
	s.count(effects)
	s.ownAuthority(now)
	if len(effects.Releases) > 0 {
		for zone := range s.contacts {
			s.sendToZone(t, zone, effects.Releases)
		}
	}
}

// sendToZone sends the zone's claims to the delegate of another zone. If the delegate is not known or has not answered
// within TTL, it tries the instances of that zone in turn until one names the delegate.
func (s *Service) sendToZone(t *kernel.Turn, zone entity.Zone, claims []lease.Claim) {
	c := s.contacts[zone]
	if c == nil || s.view == nil {
		return
	}
	members := s.view.Group(ownership.GroupKey{Zone: zone, Group: ownership.ClaimingGroup})
	if len(members) == 0 {
		return
	}
	target := slices.IndexFunc(members, func(m ownership.Member) bool { return m.ID == c.instance })
	if target < 0 || t.Now()-c.answered >= s.settings.TTL {
		target = c.next % len(members)
		c.next++
		c.instance, c.answered = members[target].ID, t.Now()
	}
	s.send(t, call{to: members[target].ID, address: members[target].Address, zone: zone, claims: claims})
}
