package lease

import (
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

const (
	// failureRetries is the number of heartbeats between attempts that did not reach a majority. It doubles with each failure
	// up to maxFailureRetries, so that a member with better connectivity can claim the name.
	failureRetries    = 4
	maxFailureRetries = 32
	// skipTTLs is the number of TTLs that a member waits for each member before it in the rendezvous order, if these are alive
	// and the name is free but none of them claims it.
	skipTTLs = 2
)

// HandleResults handles a voter's results for claims that were sent at sentAt. Results for a term before the current one are
// ignored: the voter may have released that promise.
func (h *Holder) HandleResults(now time.Duration, from Member, sentAt time.Duration, sent []Claim, results []Result) Effects {
	effects := Effects{Lost: h.Expire(now)}
	if !h.roster.Contains(from) {
		return effects
	}
	for _, r := range results {
		n := h.names[r.Name]
		if n == nil {
			continue
		}
		n.minTerm = max(n.minTerm, r.Term)
		if !slices.Contains(sent, Claim{Name: r.Name, Term: n.term}) {
			continue
		}
		if n.held {
			n.handleRenewal(h, from, sentAt, r)
		}
		if n.claiming {
			h.handleAttemptResult(now, n, from, sentAt, r, &effects)
		}
	}
	return effects
}

// handleAttemptResult handles a voter's result for a name that is being claimed.
func (h *Holder) handleAttemptResult(now time.Duration, n *holding, from Member, sentAt time.Duration, r Result, effects *Effects) {
	switch {
	case r.Holder != "" && r.Holder != h.claimant:
		h.handleRefusal(now, n, from, r.Name, effects)
	case r.Term > n.term:
		n.start(now, n.minTerm)
	case r.Granted:
		n.ack(from, sentAt)
		delete(n.refusals, from)
		h.tryHold(now, n, r.Name, effects)
	}
}

// tryHold makes the lease valid if a majority has promised it.
func (h *Holder) tryHold(now time.Duration, n *holding, name Name, effects *Effects) {
	until := n.validUntil(h.roster, h.timing.TTL)
	if now >= until {
		return
	}
	n.claiming, n.held, n.failures = false, true, 0
	n.since, n.until = now, until
	effects.Gained = append(effects.Gained, name)
}

// handleRefusal abandons an attempt once it cannot reach a majority any more, so that two claimants do not block each other.
func (h *Holder) handleRefusal(now time.Duration, n *holding, from Member, name Name, effects *Effects) {
	n.refusals[from] = true
	if len(n.refusals) <= len(h.roster.Members)-h.roster.Majority() {
		return
	}
	effects.Releases = append(effects.Releases, n.stop(name))
	// Of two claimants, the one with the better rank retries first.
	n.retryAt = now + time.Duration(1+2*rank(name, h.self, h.roster.Members))*h.timing.Heartbeat
}

// Tick starts and renews claims. The caller sends the claims to all voters, including the local one. voter is the voter of this
// member, whose promises show which names other members hold.
func (h *Holder) Tick(now time.Duration, voter *Voter) Effects {
	effects := Effects{Lost: h.Expire(now)}
	if h.stopped || !h.roster.Contains(h.self) {
		return effects
	}
	candidates := h.candidates(now)
	for _, name := range h.sortedNames() {
		n := h.names[name]
		if n.claiming && now-n.startedAt >= h.timing.TTL {
			effects.Releases = append(effects.Releases, h.abandon(now, name, n))
		}
		if !n.held && !n.claiming && h.mayClaim(now, name, n, candidates, voter) {
			n.start(now, h.newTerm(name, n, voter))
		}
		if n.held || n.claiming {
			effects.Claims = append(effects.Claims, Claim{Name: name, Term: n.term})
		}
	}
	return effects
}

// abandon ends an attempt that did not reach a majority in time.
func (h *Holder) abandon(now time.Duration, name Name, n *holding) Claim {
	wait := min(failureRetries<<n.failures, maxFailureRetries) + 2*rank(name, h.self, h.roster.Members)
	if name != h.ownName {
		n.failures = min(n.failures+1, maxFailureRetries)
	}
	n.retryAt = now + time.Duration(wait)*h.timing.Heartbeat
	return n.stop(name)
}

func (h *Holder) newTerm(name Name, n *holding, voter *Voter) entity.Term {
	return max(n.minTerm, n.term+1, h.droppedTerm+1, voter.LowestTerm(name, h.claimant), entity.Term(h.roster.Version*termsPerVersion+1))
}

// mayClaim reports whether to claim a name that this holder neither holds nor claims.
func (h *Holder) mayClaim(now time.Duration, name Name, n *holding, candidates []Member, voter *Voter) bool {
	if h.isLeaving || !n.wanted || now < n.retryAt || now-h.started < h.timing.TTL {
		return false
	}
	if holder := voter.Holder(name, now); holder != "" && holder != h.claimant {
		return false
	}
	if name == h.ownName {
		return true
	}
	before := rank(name, h.self, candidates)
	unclaimedFor := min(voter.FreeFor(name, now), now-n.wantedAt)
	return before == 0 || unclaimedFor >= time.Duration(skipTTLs*before)*h.timing.TTL
}
