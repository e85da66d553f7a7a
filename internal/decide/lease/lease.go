// Package lease decides leases by majority, without the log. Log-based instances use it. A Voter promises a name to one holder at
// a time; a Holder claims names and counts the promises of a majority of the roster. The voters of a name are either the
// instances of a lease group (for backends, zone delegates and token shards) or zones (for zone authorities).
//
// Safety: two majorities of the same roster, or of two rosters that differ in one member, share a voter. That voter promises
// the name to the second holder only after the promise to the first has lapsed or was released. The promise outlasts the
// validity of the first holder's lease, because the holder counts from the time at which it sent the claim.
package lease

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// Name is the name of a lease.
type Name string

// Member is a voter and possible holder: an instance or, for zone authorities, a zone.
type Member string

// driftPercent bounds the drift of a monotonic clock from true time: at most 1% fast or slow.
const driftPercent = 1

// termsPerVersion is the number of terms reserved for each roster version. Terms therefore increase even if all members of a
// group are replaced and none of the new ones knows the last term.
const termsPerVersion = 1 << 16

// Promise returns how long a voter must keep a promise on its own clock so that it outlasts a validity of ttl on the holder's
// clock. The voter's clock may be 1% fast and the holder's 1% slow: ttl * 1.01 / 0.99, rounded up.
func Promise(ttl time.Duration) time.Duration {
	return ttl + (2*driftPercent*ttl)/(100-driftPercent) + 1
}

// Roster is the set of voters of a group at one version of the log.
type Roster struct {
	Version uint64
	Members []Member
}

// Majority returns the number of promises that a holder requires.
func (r Roster) Majority() int { return len(r.Members)/2 + 1 }

// Contains reports whether m is a voter.
func (r Roster) Contains(m Member) bool { return slices.Contains(r.Members, m) }

// Claim asks a voter to promise a name or, if Release is set, withdraws an earlier claim.
type Claim struct {
	Name    Name
	Term    entity.Term
	Release bool
}

// Result is a voter's answer to a claim.
type Result struct {
	Name    Name
	Granted bool
	// Holder is the claimant to which the name is promised; empty if the name is free.
	Holder Member
	// Term is the claimed term or, if that is too low for a new lease, the lowest term that the voter accepts for one.
	Term entity.Term
}

// score returns the rendezvous weight of a member for a name.
func score(name Name, m Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest cannot fail.
	_, _ = d.WriteString(string(name))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(m))
	return d.Sum64()
}

// outranks reports whether a comes before b in the rendezvous order of a name.
func outranks(name Name, a, b Member) bool {
	sa, sb := score(name, a), score(name, b)
	if sa != sb {
		return sa > sb
	}
	return a < b
}

// Preferred returns the member that should hold the name: the first in rendezvous order. It is empty if there are no members.
func Preferred(name Name, members []Member) Member {
	var best Member
	for _, m := range members {
		if best == "" || outranks(name, m, best) {
			best = m
		}
	}
	return best
}

// rank returns the number of members that come before self in the rendezvous order of the name.
func rank(name Name, self Member, members []Member) int {
	before := 0
	for _, m := range members {
		if m != self && outranks(name, m, self) {
			before++
		}
	}
	return before
}
