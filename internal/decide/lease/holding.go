package lease

import (
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// holding is the state of one name that this holder may claim.
type holding struct {
	wanted   bool
	claiming bool
	held     bool
	term     entity.Term
	// minTerm is the lowest term that a new claim may have.
	minTerm   entity.Term
	acks      map[Member]time.Duration
	refusals  map[Member]bool
	startedAt time.Duration
	wantedAt  time.Duration
	since     time.Duration
	until     time.Duration
	retryAt   time.Duration
	failures  int
}

// start starts an attempt to claim the name with a new term.
func (n *holding) start(now time.Duration, term entity.Term) {
	n.claiming, n.startedAt, n.term = true, now, term
	n.acks, n.refusals = map[Member]time.Duration{}, map[Member]bool{}
}

// stop ends the lease or the attempt and returns the release to send to the voters.
func (n *holding) stop(name Name) Claim {
	n.held, n.claiming, n.acks, n.refusals = false, false, nil, nil
	return Claim{Name: name, Term: n.term, Release: true}
}

// handleRenewal handles a voter's result for a lease that has not lapsed. There was no other holder in between, so a higher term
// at the voter is that of a failed attempt and is ignored.
func (n *holding) handleRenewal(h *Holder, from Member, sentAt time.Duration, r Result) {
	if !r.Granted {
		return
	}
	n.ack(from, sentAt)
	n.until = max(n.until, n.validUntil(h.roster, h.timing.TTL))
}

// ack records that a voter granted a claim sent at sentAt.
func (n *holding) ack(from Member, sentAt time.Duration) {
	if at, ok := n.acks[from]; !ok || sentAt > at {
		n.acks[from] = sentAt
	}
}

// validUntil returns the end of the validity: ttl after the latest time such that a majority of the roster has granted claims
// sent at that time or later. It is zero if no majority has granted the claim.
func (n *holding) validUntil(r Roster, ttl time.Duration) time.Duration {
	if len(n.acks) < r.Majority() {
		return 0
	}
	sent := make([]time.Duration, 0, len(n.acks))
	for _, at := range n.acks {
		sent = append(sent, at)
	}
	slices.Sort(sent)
	return sent[len(sent)-r.Majority()] + ttl
}
