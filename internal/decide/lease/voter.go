package lease

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// VoterSettings are the durations that guarantee exclusivity, on the voter's clock.
type VoterSettings struct {
	// Promise is how long a name stays promised after the last granted claim: Promise(ttl).
	Promise time.Duration
	// StartWait is how long a new voter promises nothing, because it does not know the promises of its predecessor:
	// Promise(ttl).
	StartWait time.Duration
}

// SafeVoter returns the settings that are safe for leases that are valid for ttl.
func SafeVoter(ttl time.Duration) VoterSettings {
	return VoterSettings{Promise: Promise(ttl), StartWait: Promise(ttl)}
}

// Voter is the state of one voter. It is not safe for concurrent use.
//
// Invariant: at most one holder of a name has a promise that has not lapsed.
type Voter struct {
	settings  VoterSettings
	notBefore time.Duration
	version   uint64
	promises  map[Name]promise
	// maxDroppedTerm is the highest term of the names that Forget has dropped.
	maxDroppedTerm entity.Term
}

// promise is the state of one name at a voter.
type promise struct {
	holder   Member
	term     entity.Term
	until    time.Duration
	released bool
	// freeSince is when the name was released, on the voter's clock.
	freeSince time.Duration
	// newest is the highest term granted, and newestHolder is the member that claimed it.
	newest       entity.Term
	newestHolder Member
}

// NewVoter returns a voter that starts at now and has promised nothing.
func NewVoter(now time.Duration, settings VoterSettings) *Voter {
	return &Voter{settings: settings, notBefore: now + settings.StartWait, promises: map[Name]promise{}}
}

// SetVersion sets the roster version. Claims with another version are refused; promises remain valid after the change.
func (v *Voter) SetVersion(version uint64) { v.version = version }

// Version returns the roster version.
func (v *Voter) Version() uint64 { return v.version }

// Claim handles one claim of the claimant from, which was made with the given roster version.
func (v *Voter) Claim(now time.Duration, from Member, version uint64, c Claim) Result {
	p := v.promiseFor(c.Name)
	refused := Result{Name: c.Name, Holder: p.holderAt(now), Term: p.lowestTerm(from)}
	if c.Release {
		v.release(now, from, c)
		return refused
	}
	if version != v.version || now < v.notBefore {
		return refused
	}
	if refused.Holder != "" && refused.Holder != from {
		return refused
	}
	if p.outdated(from, c.Term) {
		return refused
	}
	v.promises[c.Name] = p.granted(from, c.Term, now+v.settings.Promise)
	return Result{Name: c.Name, Granted: true, Holder: from, Term: max(c.Term, refused.Term)}
}

// release frees the name if it is promised to the member for this term or an earlier one. A late release of an earlier lease
// does not affect a later one.
func (v *Voter) release(now time.Duration, from Member, c Claim) {
	p, ok := v.promises[c.Name]
	if !ok || p.holder != from || c.Term < p.term {
		return
	}
	p.term, p.released, p.until, p.freeSince = c.Term, true, 0, now
	v.promises[c.Name] = p
}

// Holder returns the claimant to which the name is promised at now; empty if the name is free.
func (v *Voter) Holder(name Name, now time.Duration) Member { return v.promises[name].holderAt(now) }

// Holders returns the names that are promised at now with their claimants.
func (v *Voter) Holders(now time.Duration) map[Name]Member {
	holders := make(map[Name]Member, len(v.promises))
	for name, p := range v.promises {
		if holder := p.holderAt(now); holder != "" {
			holders[name] = holder
		}
	}
	return holders
}

// FreeFor returns how long the name has been free, counted from the end of the start wait at the earliest. It is zero while
// the name is promised.
func (v *Voter) FreeFor(name Name, now time.Duration) time.Duration {
	p := v.promises[name]
	if p.holderAt(now) != "" {
		return 0
	}
	return max(0, now-max(v.notBefore, p.until, p.freeSince))
}

// LowestTerm returns the lowest term that the voter accepts for a new lease of the member.
func (v *Voter) LowestTerm(name Name, m Member) entity.Term { return v.promiseFor(name).lowestTerm(m) }

// Forget drops names that are not promised and for which keep returns false, so that the state stays bounded by the names in use.
// If a dropped name is claimed again, its terms continue above those of all dropped names.
func (v *Voter) Forget(now time.Duration, keep func(Name) bool) {
	for name, p := range v.promises {
		if p.holderAt(now) == "" && !keep(name) {
			v.maxDroppedTerm = max(v.maxDroppedTerm, p.newest)
			delete(v.promises, name)
		}
	}
}

func (v *Voter) promiseFor(name Name) promise {
	if p, ok := v.promises[name]; ok {
		return p
	}
	return promise{newest: v.maxDroppedTerm}
}

func (p promise) holderAt(now time.Duration) Member {
	if now >= p.until {
		return ""
	}
	return p.holder
}

// lowestTerm returns the lowest term that orders a new lease of the member after all earlier ones.
func (p promise) lowestTerm(m Member) entity.Term {
	if p.holder == m && p.released {
		return max(p.newest, p.term) + 1
	}
	if p.newestHolder == m || p.newest == 0 {
		return p.newest
	}
	return p.newest + 1
}

// outdated reports whether a claim belongs to a lease that the member has already ended.
func (p promise) outdated(from Member, term entity.Term) bool {
	if p.holder != from {
		return false
	}
	return term < p.term || (p.released && term == p.term)
}

func (p promise) granted(to Member, term entity.Term, until time.Duration) promise {
	p.holder, p.term, p.until, p.released = to, term, until, false
	if term > p.newest {
		p.newest, p.newestHolder = term, to
	}
	return p
}
