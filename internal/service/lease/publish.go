package lease

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/lease"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// applyGroup applies the effects of an event on the group's leases and sends the releases at once.
func (s *Service) applyGroup(t *kernel.Turn, effects lease.Effects) {
	s.updateDelegation(t, effects)
	if len(effects.Releases) > 0 {
		s.sendToGroup(t, effects.Releases, false)
	}
}

// updateDelegation starts to vote for the zone when the delegate lease is gained, and stops when it is lost.
func (s *Service) updateDelegation(t *kernel.Turn, effects lease.Effects) {
	for _, name := range effects.Lost {
		if name == s.delegateName() {
			s.zones = nil
		}
	}
	for _, name := range effects.Gained {
		if name == s.delegateName() {
			s.delegateGained(t.Now())
		}
	}
	s.count(effects)
}

func (s *Service) count(effects lease.Effects) {
	for _, name := range effects.Lost {
		s.counters.lost.Inc(1)
		s.changed = true
		telemetry.EventLeaseLost.Log(s.log, zap.String("lease", string(name)))
	}
	for _, name := range effects.Gained {
		s.counters.gained.Inc(1)
		s.changed = true
		telemetry.EventLeaseGained.Log(s.log, zap.String("lease", string(name)))
	}
}

// publish replaces the snapshot that traffic goroutines read.
func (s *Service) publish(now time.Duration) {
	view := &service.LeaseView{
		Held:           map[service.LeaseName]service.HeldLease{},
		Holders:        map[service.LeaseName]entity.InstanceID{},
		Misplaced:      s.misplaced.ready,
		FreshUntil:     s.proofs.freshAt + s.settings.FreshFor,
		AuthorityUntil: s.proofs.authorityAt + s.settings.AuthorityTTL,
	}
	if s.declaredLost(s.self.Zone) {
		// Other zones take over this zone's keys, so its instances renew nothing, however fresh their view is.
		view.FreshUntil, view.AuthorityUntil = never, never
	}
	addLeases(view, s.group, now)
	if s.isDelegate(now) {
		addLeases(view, s.zones, now)
	}
	s.snapshot.Publish(view)
}

func addLeases(view *service.LeaseView, p *lease.Participant, now time.Duration) {
	for name, holder := range p.Voter.Holders(now) {
		view.Holders[service.LeaseName(name)] = entity.InstanceID(holder)
	}
	for name, held := range p.Holder.Held(now) {
		view.Held[service.LeaseName(name)] = service.HeldLease{Term: held.Term, Since: held.Since, Until: held.Until}
	}
}

// announce sends LeaseChanged to the services that depend on leases, after one was gained or lost.
func (s *Service) announce(t *kernel.Turn) {
	for _, to := range []kernel.Name{service.Control, service.Session, service.Dispatch, service.Admission} {
		t.Send(to, service.LeaseChanged{View: s.snapshot.Load()})
	}
}

func (s *Service) sendPeerState(t *kernel.Turn, state service.PeerState) {
	for _, to := range []kernel.Name{service.Control, service.Config} {
		t.Send(to, state)
	}
}

func names(in []service.LeaseName) []lease.Name {
	out := make([]lease.Name, 0, len(in))
	for _, name := range in {
		out = append(out, lease.Name(name))
	}
	return out
}

func claims(in []service.LeaseClaim) []lease.Claim {
	out := make([]lease.Claim, 0, len(in))
	for _, c := range in {
		out = append(out, lease.Claim{Name: lease.Name(c.Name), Term: c.Term, Release: c.Release})
	}
	return out
}

func toClaims(in []lease.Claim) []service.LeaseClaim {
	out := make([]service.LeaseClaim, 0, len(in))
	for _, c := range in {
		out = append(out, service.LeaseClaim{Name: service.LeaseName(c.Name), Term: c.Term, Release: c.Release})
	}
	return out
}

// results returns a result for each claim. The answer leaves out the claims that the voter granted as claimed.
func results(sent []lease.Claim, in []service.LeaseResult) []lease.Result {
	out := make([]lease.Result, 0, len(sent))
	for _, c := range sent {
		if c.Release {
			continue
		}
		i := slices.IndexFunc(in, func(r service.LeaseResult) bool { return lease.Name(r.Name) == c.Name })
		if i < 0 {
			out = append(out, lease.Result{Name: c.Name, Granted: true, Term: c.Term})
			continue
		}
		out = append(out, lease.Result{
			Name: c.Name, Granted: in[i].Granted, Holder: lease.Member(in[i].Holder), Term: in[i].Term,
		})
	}
	return out
}

// toResults returns the results of the claims that were not granted as claimed, in the order of the claims.
func toResults(claims []service.LeaseClaim, in []lease.Result) []service.LeaseResult {
	var out []service.LeaseResult
	for i, r := range in {
		if claims[i].Release || (r.Granted && r.Term == claims[i].Term) {
			continue
		}
		out = append(out, service.LeaseResult{
			Name: service.LeaseName(r.Name), Granted: r.Granted, Holder: entity.InstanceID(r.Holder), Term: r.Term,
		})
	}
	return out
}
