package lease

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/lease"
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
	"github.com/pollenpier/pollenpier/operator"
)

// rosterReport records which members have reported the roster version of the group.
type rosterReport struct {
	version      uint64
	members      map[entity.InstanceID]bool
	since        time.Duration
	acknowledged bool
}

func (s *Service) ownershipChanged(t *kernel.Turn, view *ownership.View) {
	s.recordLosses(view)
	s.view = view
	s.proofs.offset = max(s.proofs.offset, view.Offset)
	key := ownership.GroupKey{Zone: s.self.Zone}
	s.member = false
	for _, m := range view.Members {
		if m.ID == s.self.ID {
			s.member, key.Group = true, m.Group
		}
	}
	if key != s.key {
		s.changeGroup(t, key)
	}
	roster := lease.Roster{Version: view.GroupVersions[key]}
	for _, m := range view.Group(key) {
		roster.Members = append(roster.Members, lease.Member(m.ID))
	}
	s.group.SetRoster(roster)
	if s.report.version != roster.Version || s.report.members == nil {
		s.report = rosterReport{version: roster.Version, members: map[entity.InstanceID]bool{}}
	}
	s.dropNonMembers()
	s.reported(t, s.self.ID, roster.Version)
	s.updateWanted(t)
}

// recordLosses records the offset by which a loss or recovery of a zone was recorded in the log.
func (s *Service) recordLosses(view *ownership.View) {
	for zone := range view.LostZones {
		s.knownLoss[zone] = max(s.knownLoss[zone], view.LostZones[zone]+1)
	}
	if s.view == nil {
		return
	}
	for zone := range s.view.LostZones {
		if _, lost := view.LostZones[zone]; !lost {
			s.knownLoss[zone] = max(s.knownLoss[zone], view.Offset)
		}
	}
}

// changeGroup leaves one group and joins another. The vote starts anew there and promises nothing during the start
// wait.
func (s *Service) changeGroup(t *kernel.Turn, key ownership.GroupKey) {
	s.applyGroup(t, s.group.Stop(t.Now()))
	s.key, s.report = key, rosterReport{}
	s.group = s.newGroup(t.Now())
}

func (s *Service) dropNonMembers() {
	for id := range s.peers {
		if !slices.ContainsFunc(s.view.Members, func(m ownership.Member) bool { return m.ID == id }) {
			delete(s.peers, id)
		}
	}
}

// reported applies a member's roster version. It sends a report to control when a majority has the current one.
func (s *Service) reported(t *kernel.Turn, id entity.InstanceID, version uint64) {
	r := &s.report
	roster := s.group.Holder.Roster()
	if r.acknowledged || version != r.version || !roster.Contains(lease.Member(id)) {
		return
	}
	r.members[id] = true
	if len(r.members) < roster.Majority() {
		return
	}
	r.acknowledged, r.since = true, t.Now()
	telemetry.EventRosterAcknowledged.Log(s.log, zap.Uint64("version", version), zap.Int("members", len(roster.Members)))
	t.Send(service.Control, service.RosterReport{Group: s.key, Version: version, Since: r.since})
}

func (s *Service) configChanged(t *kernel.Turn, m service.ConfigChanged) {
	s.config, s.configVersion = m.Config, m.Version
	s.zoneRoster = votingZones(m.Config)
	if s.zones != nil {
		s.zones.SetRoster(s.zoneRoster)
	}
	for zone := range s.contacts {
		if !s.zoneRoster.Contains(lease.Member(zone)) {
			delete(s.contacts, zone)
		}
	}
	for _, zone := range s.zoneRoster.Members {
		if z := entity.Zone(zone); z != s.self.Zone && s.contacts[z] == nil {
			s.contacts[z] = &contact{lastHeartbeat: t.Now()}
		}
	}
	s.updateWanted(t)
}

// votingZones returns the zones that vote on authorities: all that the operators have not confirmed as lost. The
// version identifies the set, so that other configuration changes do not interrupt authorities.
func votingZones(c *operator.Config) lease.Roster {
	var roster lease.Roster
	for _, z := range c.Zones {
		if z.State != operator.ZoneLost {
			roster.Members = append(roster.Members, lease.Member(z.Name))
		}
	}
	slices.Sort(roster.Members)
	digest := xxhash.New()
	for _, m := range roster.Members {
		_, _ = digest.WriteString(string(m) + "\x00") // a write to the digest cannot fail
	}
	roster.Version = digest.Sum64() >> 40 // three bytes keep heartbeats and terms small
	return roster
}

// updateWanted sets the names that this instance may hold in its group. Backends in drain keep a primary until their
// partitions have moved.
func (s *Service) updateWanted(t *kernel.Turn) {
	var wanted []lease.Name
	if s.key.Group == ownership.ClaimingGroup && s.config != nil && !s.confirmedLost(s.self.Zone) {
		wanted = append(wanted, lease.Name(service.DelegateLease(s.self.Zone)))
		for shard := range s.settings.TokenShards {
			wanted = append(wanted, lease.Name(service.TokenLease(shard)))
		}
		for _, svc := range s.config.Services {
			for _, b := range svc.Backends {
				if entity.Zone(b.Zone) == s.self.Zone {
					wanted = append(wanted, lease.Name(service.BackendLease(entity.BackendID(b.Name))))
				}
			}
		}
	}
	s.applyGroup(t, s.group.SetWanted(t.Now(), wanted))
	s.group.Voter.Forget(t.Now(), func(name lease.Name) bool { return slices.Contains(wanted, name) })
}

func (s *Service) confirmedLost(zone entity.Zone) bool {
	return s.config != nil && !s.zoneRoster.Contains(lease.Member(zone))
}

// votedLost reports whether the own zone has an active vote that the other zone is lost, in the log or about to be
// appended. Another zone's vote can complete the loss at any moment.
func (s *Service) votedLost(zone entity.Zone) bool {
	if s.votes[zone] {
		return true
	}
	if s.view == nil {
		return false
	}
	_, voted := s.view.LostVotes[zone][s.self.Zone]
	return voted
}

// declaredLost reports whether the log or the operators declare the zone lost.
func (s *Service) declaredLost(zone entity.Zone) bool {
	if s.confirmedLost(zone) {
		return true
	}
	if s.view == nil {
		return false
	}
	_, lost := s.view.LostZones[zone]
	return lost
}
