package lease

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// VoterSettings are the waits on which exclusivity rests, on the voter's clock.
type VoterSettings struct {
	// Promise is how long a name stays promised after the last granted claim: Promise(ttl).
	Promise time.Duration
	// StartWait is how long a new voter promises nothing, since it does not know what its predecessor promised:
	// Promise(ttl).
	StartWait time.Duration
}

// SafeVoter returns the settings for leases that are valid for ttl.
func SafeVoter(ttl time.Duration) VoterSettings {
	return VoterSettings{Promise: Promise(ttl), StartWait: Promise(ttl)}
}

// Voter is the state of one voter. Invariant: a name has at most one holder with an unexpired promise.
type Voter struct {
	settings  VoterSettings
	notBefore time.Duration
	version   uint64
	promises  map[Name]promise
	// forgotten is the highest term of the names that were dropped.
	forgotten entity.Term
}

// promise is what a voter knows of one name.
type promise struct {
	holder   Member
	term     entity.Term
	until    time.Duration
	released bool
	// freeSince is when the name was released, on the voter's clock.
	freeSince time.Duration
	// newest is the highest term seen and newestHolder the member that claimed it.
	newest       entity.Term
	newestHolder Member
}

// NewVoter returns a voter that starts at now and has promised nothing.
func NewVoter(now time.Duration, settings VoterSettings) *Voter {
	return &Voter{settings: settings, notBefore: now + settings.StartWait, promises: map[Name]promise{}}
}

// SetVersion sets the roster version. Claims with another version are ignored; promises outlast the change.
func (v *Voter) SetVersion(version uint64) { v.version = version }

// Version returns the roster version.
func (v *Voter) Version() uint64 { return v.version }

// Claim handles one claim of a claimant that was made with the given roster version.
func (v *Voter) Claim(now time.Duration, from Member, version uint64, c Claim) Result {
	p := v.lookup(c.Name)
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

// release frees the name if it is promised to the member for this term or an earlier one. A late release of an earlier
// holding leaves a later holding alone.
func (v *Voter) release(now time.Duration, from Member, c Claim) {
	p, ok := v.promises[c.Name]
	if !ok || p.holder != from || c.Term < p.term {
		return
	}
	p.term, p.released, p.until, p.freeSince = c.Term, true, 0, now
	v.promises[c.Name] = p
}

// Holder returns the member to which the name is promised at now, empty if it is free.
func (v *Voter) Holder(name Name, now time.Duration) Member { return v.promises[name].holderAt(now) }

// Holders returns the names promised at now.
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

// LowestTerm returns the lowest term that the voter accepts for a new holding of the member.
func (v *Voter) LowestTerm(name Name, m Member) entity.Term { return v.lookup(name).lowestTerm(m) }

// Forget drops names that are neither promised nor kept, so that the state stays bounded by the names in use. A
// name that returns continues above the terms of all dropped names.
func (v *Voter) Forget(now time.Duration, keep func(Name) bool) {
	for name, p := range v.promises {
		if p.holderAt(now) == "" && !keep(name) {
			v.forgotten = max(v.forgotten, p.newest)
			delete(v.promises, name)
		}
	}
}

func (v *Voter) lookup(name Name) promise {
	if p, ok := v.promises[name]; ok {
		return p
	}
	return promise{newest: v.forgotten}
}

func (p promise) holderAt(now time.Duration) Member {
	if now >= p.until {
		return ""
	}
	return p.holder
}

// lowestTerm returns the lowest term that orders a new holding of the member behind all earlier ones.
func (p promise) lowestTerm(m Member) entity.Term {
	if p.holder == m && p.released {
		return max(p.newest, p.term) + 1
	}
	if p.newestHolder == m || p.newest == 0 {
		return p.newest
	}
	return p.newest + 1
}

// outdated reports whether a claim belongs to a holding that the member has ended.
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
