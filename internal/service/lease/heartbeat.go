package lease

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/lease"
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// maxInFlight bounds the unanswered heartbeats to one instance. It is the number of heartbeats in one lease time; an
// older answer renews nothing.
const maxInFlight = 4

// peer is the state of another instance apart from leases.
type peer struct {
	inFlight int
}

// call is one heartbeat in flight.
type call struct {
	to      entity.InstanceID
	address string
	zone    entity.Zone
	sentAt  time.Duration
	claims  []lease.Claim
	final   bool // carries the releases of a planned stop
}

// stopping waits for the answers to the last releases.
type stopping struct {
	done []chan<- struct{}
	left int
}

// heartbeat renews all claims and sends this instance's state to its peers.
func (s *Service) heartbeat(t *kernel.Turn) {
	effects := s.group.Tick(t.Now())
	s.updateDelegation(t, effects)
	s.misplaced.update(t.Now(), s.group.Holder)
	s.heartbeatZones(t)
	if s.view == nil {
		return
	}
	s.sendToGroup(t, append(effects.Claims, effects.Releases...), false)
	if s.key.Group != ownership.ClaimingGroup || !s.member {
		s.sendToClaimingGroup(t)
	}
}

// sendToGroup sends claims to the other members of the lease group.
func (s *Service) sendToGroup(t *kernel.Turn, claims []lease.Claim, final bool) int {
	if s.view == nil || !s.member {
		return 0
	}
	sent := 0
	for _, m := range s.view.Group(s.key) {
		if m.ID == s.self.ID {
			continue
		}
		if s.send(t, call{to: m.ID, address: m.Address, zone: m.Zone, claims: claims, final: final}) {
			sent++
		}
	}
	return sent
}

// sendToClaimingGroup sends heartbeats from an instance outside the zone's first group to that group. The instance
// thereby receives what the group relays, and the group sees that it is alive.
func (s *Service) sendToClaimingGroup(t *kernel.Turn) {
	for _, m := range s.view.Group(ownership.GroupKey{Zone: s.self.Zone, Group: ownership.ClaimingGroup}) {
		s.send(t, call{to: m.ID, address: m.Address, zone: m.Zone})
	}
}

// send starts one heartbeat. It returns false if too many heartbeats to the same instance are unanswered.
func (s *Service) send(t *kernel.Turn, c call) bool {
	p := s.peer(c.to)
	if p.inFlight >= maxInFlight && !c.final {
		s.counters.skipped.Inc(1)
		telemetry.EventHeartbeatSkipped.Log(s.log, zap.String("peer", string(c.to)))
		return false
	}
	p.inFlight++
	s.counters.sent.Inc(1)
	c.sentAt = t.Now()
	request := s.request(c)
	sender, timeout := s.sender, s.settings.TTL
	t.Go(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		response, err := sender.Heartbeat(ctx, c.address, request)
		return heartbeatAnswered{call: c, response: response, err: err}
	})
	return true
}

func (s *Service) request(c call) service.HeartbeatRequest {
	r := service.HeartbeatRequest{
		Instance: s.self.ID, Zone: s.self.Zone, Group: s.key.Group,
		RosterVersion: s.group.Holder.Roster().Version,
		ControlOffset: s.proofs.offset, ConfigVersion: s.configVersion,
		FreshnessAge: age(c.sentAt, s.proofs.freshAt), AuthorityAge: age(c.sentAt, s.proofs.authorityAt),
		Claims: toClaims(c.claims), Leaving: s.leaving,
	}
	if c.zone != s.self.Zone {
		r.RosterVersion = s.zoneRoster.Version
	}
	if !s.member {
		r.Address = s.self.Address
	}
	return r
}

func (s *Service) peer(id entity.InstanceID) *peer {
	p := s.peers[id]
	if p == nil {
		p = &peer{}
		s.peers[id] = p
	}
	return p
}

// answered applies the answer to a heartbeat, or its failure.
func (s *Service) answered(t *kernel.Turn, m heartbeatAnswered) {
	if p := s.peers[m.call.to]; p != nil && p.inFlight > 0 {
		p.inFlight--
	}
	defer s.answeredFinal(m.call)
	if m.err != nil {
		s.counters.failed.Inc(1)
		return
	}
	s.counters.answered.Inc(1)
	if m.response.Instance != m.call.to {
		telemetry.EventPeerMismatch.Log(s.log, zap.String("peer", string(m.call.to)),
			zap.String("peer", string(m.response.Instance)))
		return
	}
	s.applyAnswer(t, m.call, m.response)
}

// applyAnswer applies an answer of the instance that was addressed.
func (s *Service) applyAnswer(t *kernel.Turn, c call, r service.HeartbeatResponse) {
	now := t.Now()
	sameZone := c.zone == s.self.Zone
	s.proofs.relayed(c.sentAt, r, sameZone, s.configVersion)
	s.sendPeerState(t, service.PeerState{
		Instance: r.Instance, Zone: c.zone, Address: c.address, At: now,
		ControlOffset: r.ControlOffset, ConfigVersion: r.ConfigVersion, Leaving: r.Leaving,
	})
	if !sameZone {
		s.answeredByZone(t, c, r)
		return
	}
	s.group.Holder.MarkAlive(now, lease.Member(r.Instance), r.Leaving)
	s.reported(t, r.Instance, r.RosterVersion)
	if r.Voter == string(r.Instance) {
		s.applyGroup(t, s.group.HandleResults(now, lease.Member(r.Instance), c.sentAt, c.claims, results(c.claims, r.Results)))
	}
}

// received answers a heartbeat that this instance has received.
func (s *Service) received(t *kernel.Turn, m service.HeartbeatReceived) {
	now, req := t.Now(), m.Request
	if s.view != nil {
		s.sendPeerState(t, service.PeerState{
			Instance: req.Instance, Zone: req.Zone, Address: s.addressOf(req), At: now,
			ControlOffset: req.ControlOffset, ConfigVersion: req.ConfigVersion, Leaving: req.Leaving,
		})
	}
	if c := s.contacts[req.Zone]; c != nil {
		c.lastHeartbeat, c.instance, c.answered = now, req.Instance, now
	}
	r := service.HeartbeatResponse{
		Instance: s.self.ID, RosterVersion: s.group.Holder.Roster().Version,
		ControlOffset: s.proofs.offset, ConfigVersion: s.configVersion,
		FreshnessAge: age(now, s.proofs.freshAt), AuthorityAge: age(now, s.proofs.authorityAt),
		Delegate: s.delegate(now), Leaving: s.leaving,
	}
	s.vote(t, req, &r)
	service.SendReply(m.Reply, r)
}

// vote adds the results of the vote on the request's claims.
func (s *Service) vote(t *kernel.Turn, req service.HeartbeatRequest, r *service.HeartbeatResponse) {
	now := t.Now()
	if req.Zone != s.self.Zone {
		r.RosterVersion = s.zoneRoster.Version
		if s.isDelegate(now) && s.zoneRoster.Contains(lease.Member(req.Zone)) {
			s.voteForZone(now, req, r)
		}
		return
	}
	if !s.group.Holder.Roster().Contains(lease.Member(req.Instance)) {
		return
	}
	s.group.Holder.MarkAlive(now, lease.Member(req.Instance), req.Leaving)
	s.reported(t, req.Instance, req.RosterVersion)
	r.Voter = string(s.self.ID)
	r.Results = toResults(req.Claims, s.group.Vote(now, lease.Member(req.Instance), req.RosterVersion, claims(req.Claims)))
}

// addressOf returns the peer address of a sender. Members leave it out of the request, so it is read from the roster.
func (s *Service) addressOf(req service.HeartbeatRequest) string {
	if req.Address != "" {
		return req.Address
	}
	for _, m := range s.view.Members {
		if m.ID == req.Instance {
			return m.Address
		}
	}
	return ""
}

// stop releases all leases for a planned stop. The zone's authority is not released: the zone's other instances rely on
// it until it lapses, and the next delegate claims it again.
func (s *Service) stop(t *kernel.Turn, done chan<- struct{}) {
	s.leaving = true
	s.zones = nil
	effects := s.group.Stop(t.Now())
	s.updateDelegation(t, effects)
	if s.stopping == nil {
		s.stopping = &stopping{}
	}
	s.stopping.done = append(s.stopping.done, done)
	s.stopping.left += s.sendToGroup(t, effects.Releases, true)
	s.finishStop()
}

func (s *Service) answeredFinal(c call) {
	if c.final && s.stopping != nil {
		s.stopping.left--
		s.finishStop()
	}
}

func (s *Service) finishStop() {
	if s.stopping == nil || s.stopping.left > 0 {
		return
	}
	telemetry.EventLeasesStopped.Log(s.log)
	for _, done := range s.stopping.done {
		close(done)
	}
	s.stopping = nil
}
