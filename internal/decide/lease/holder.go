package lease

import (
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// Timing contains the durations that a holder uses, on its own clock.
type Timing struct {
	// TTL is how long a lease is valid, counted from sending the claim that a majority granted.
	TTL time.Duration
	// Heartbeat is the interval between calls of Tick.
	Heartbeat time.Duration
}

const (
	// releaseRetries is the number of heartbeats during which a member does not claim a name that it has released on purpose,
	// so that the preferred member can claim it.
	releaseRetries = 4
	// failureRetries is the number of heartbeats between attempts that did not reach a majority. It doubles with each failure
	// up to maxFailureRetries, so that a member with better connectivity can claim the name.
	failureRetries    = 4
	maxFailureRetries = 32
	// skipTTLs is the number of TTLs that a member waits for each member before it in the rendezvous order, if these are alive
	// and the name is free but none of them claims it.
	skipTTLs = 2
)

// Holder is the state of one possible holder: the names that it claims and holds. It is not safe for concurrent use.
//
// Invariant: a held name was promised by a majority of a roster, and the lease ends at most TTL after those claims were sent.
type Holder struct {
	self Member
	// claimant is the identity under which this process claims. It differs from self if the member is a zone, so that a late
	// release by one delegate cannot end the lease of its successor.
	claimant  Member
	timing    Timing
	roster    Roster
	started   time.Duration
	aliveAt   map[Member]time.Duration
	leaving   map[Member]bool
	stopped   bool
	isLeaving bool
	names     map[Name]*holding
	// ownName is the lease that this member claims whatever its rank; no other live member should hold it.
	ownName Name
	// droppedTerm is the highest term used for names that have since been removed from the wanted names.
	droppedTerm entity.Term
}

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

// Held is the term and the validity of a lease that this holder has.
type Held struct {
	Term  entity.Term
	Since time.Duration
	Until time.Duration
}

// Effects are the consequences of an event. Releases should be sent at once; if one is lost, the next holder must wait until the
// promises have lapsed.
type Effects struct {
	Claims   []Claim
	Releases []Claim
	Gained   []Name
	Lost     []Name
}

// NewHolder returns the holder of a member that starts at now. The claimant must be unique to this process start. The holder
// claims nothing for one TTL, until it knows which members are alive.
func NewHolder(now time.Duration, self, claimant Member, timing Timing) *Holder {
	return &Holder{
		self: self, claimant: claimant, timing: timing, started: now,
		aliveAt: map[Member]time.Duration{}, leaving: map[Member]bool{}, names: map[Name]*holding{},
	}
}

// SetRoster replaces the roster. Promises of members that are in both rosters still count: they are made for a name, not for a
// roster version.
func (h *Holder) SetRoster(r Roster) {
	if r.Version == h.roster.Version && slices.Equal(r.Members, h.roster.Members) {
		return
	}
	h.roster = r
	for m := range h.aliveAt {
		if !r.Contains(m) {
			delete(h.aliveAt, m)
			delete(h.leaving, m)
		}
	}
	for _, n := range h.names {
		n.failures = 0
		for m := range n.acks {
			if !r.Contains(m) {
				delete(n.acks, m)
			}
		}
	}
}

// Roster returns the roster in use.
func (h *Holder) Roster() Roster { return h.roster }

// MarkAlive records a heartbeat or answer of another member, and whether that member is leaving.
func (h *Holder) MarkAlive(now time.Duration, m Member, leaving bool) {
	if m == h.self || !h.roster.Contains(m) {
		return
	}
	h.aliveAt[m] = max(now, h.aliveAt[m])
	h.leaving[m] = leaving
}

// Alive reports whether a heartbeat or answer of the member was received within the last TTL.
func (h *Holder) Alive(now time.Duration, m Member) bool {
	if m == h.self {
		return true
	}
	at, ok := h.aliveAt[m]
	return ok && now-at < h.timing.TTL
}

// SetWanted replaces the set of names that this holder should claim. Names that are no longer in the set are released.
func (h *Holder) SetWanted(now time.Duration, names []Name) Effects {
	wanted := make(map[Name]bool, len(names))
	for _, name := range names {
		wanted[name] = true
		if h.names[name] == nil {
			h.names[name] = &holding{wantedAt: now}
		}
		h.names[name].wanted = true
	}
	var dropped []Name
	for name, n := range h.names {
		if !wanted[name] {
			n.wanted = false
			dropped = append(dropped, name)
		}
	}
	effects := h.Release(now, dropped)
	for _, name := range dropped {
		h.droppedTerm = max(h.droppedTerm, h.names[name].term)
		delete(h.names, name)
	}
	return effects
}

// SetOwnName sets the lease of the member itself, which it claims whatever its rank. For a zone this is its own authority.
func (h *Holder) SetOwnName(name Name) { h.ownName = name }

// Leave marks this holder as leaving: it renews the leases that it has and claims no others.
func (h *Holder) Leave() { h.isLeaving = true }

// Stop releases all leases. The holder claims nothing afterwards.
func (h *Holder) Stop(now time.Duration) Effects {
	h.stopped = true
	names := make([]Name, 0, len(h.names))
	for name := range h.names {
		names = append(names, name)
	}
	return h.Release(now, names)
}

// Misplaced returns the held names, sorted, that another live member is preferred for.
func (h *Holder) Misplaced(now time.Duration) []Name {
	candidates := h.candidates(now)
	var names []Name
	for _, name := range h.sortedNames() {
		n := h.names[name]
		if n.held && now < n.until && Preferred(name, candidates) != h.self {
			names = append(names, name)
		}
	}
	return names
}

// HandOver releases those of the given names that another live member is preferred for. It is used for planned rebalancing.
func (h *Holder) HandOver(now time.Duration, names []Name) Effects {
	var released []Name
	for _, name := range names {
		if Preferred(name, h.candidates(now)) != h.self {
			released = append(released, name)
		}
	}
	return h.Release(now, released)
}

// Release releases names. The caller must have stopped everything that relies on them.
func (h *Holder) Release(now time.Duration, names []Name) Effects {
	var effects Effects
	slices.Sort(names)
	for _, name := range names {
		n := h.names[name]
		if n == nil || (!n.held && !n.claiming) {
			continue
		}
		if n.held {
			effects.Lost = append(effects.Lost, name)
		}
		effects.Releases = append(effects.Releases, n.stop(name))
		n.retryAt = now + releaseRetries*h.timing.Heartbeat
	}
	return effects
}

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

// candidates returns the members that are alive and not leaving, including this one unless it is leaving or stopped.
func (h *Holder) candidates(now time.Duration) []Member {
	var members []Member
	for _, m := range h.roster.Members {
		if m == h.self && !h.isLeaving && !h.stopped {
			members = append(members, m)
		}
		if m != h.self && h.Alive(now, m) && !h.leaving[m] {
			members = append(members, m)
		}
	}
	return members
}

// Expire marks the leases that have lapsed as lost and returns their names, sorted.
func (h *Holder) Expire(now time.Duration) []Name {
	var lost []Name
	for name, n := range h.names {
		if n.held && now >= n.until {
			n.held, n.acks = false, nil
			lost = append(lost, name)
		}
	}
	slices.Sort(lost)
	return lost
}

// Valid reports whether this holder has a valid lease of the name at now.
func (h *Holder) Valid(name Name, now time.Duration) bool {
	n := h.names[name]
	return n != nil && n.held && now < n.until
}

// Held returns the leases that are valid at now.
func (h *Holder) Held(now time.Duration) map[Name]Held {
	held := map[Name]Held{}
	for name, n := range h.names {
		if n.held && now < n.until {
			held[name] = Held{Term: n.term, Since: n.since, Until: n.until}
		}
	}
	return held
}

func (h *Holder) sortedNames() []Name {
	names := make([]Name, 0, len(h.names))
	for name := range h.names {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
