package lease

import (
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// begin starts an attempt with a new term.
func (n *holding) begin(now time.Duration, term entity.Term) {
	n.claiming, n.begun, n.term = true, now, term
	n.acks, n.refusals = map[Member]time.Duration{}, map[Member]bool{}
}

// end gives the name up and returns the claim that tells the voters.
func (n *holding) end(name Name) Claim {
	n.held, n.claiming, n.acks, n.refusals = false, false, nil, nil
	return Claim{Name: name, Term: n.term, Release: true}
}

// renewed handles a result for a holding that has not lapsed. No other holder was in between, so a higher term at the voter
// comes from a failed attempt and does not matter.
func (n *holding) renewed(h *Holder, from Member, sentAt time.Duration, r Result) {
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

// validUntil returns the end of the validity: ttl after the time by which a majority of the roster had been sent claims that
// it granted. It is zero without a majority.
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
