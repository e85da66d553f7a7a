package lease

import (
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// Timing holds the durations of a holder, on its own clock.
type Timing struct {
	// TTL is how long a lease is valid after a claim was sent that a majority granted.
	TTL time.Duration
	// Heartbeat is the interval of Tick.
	Heartbeat time.Duration
}

const (
	// releaseRetries is the number of heartbeats that a member stays away from a name that it gave up on purpose, so that
	// the preferred member can claim it.
	releaseRetries = 4
	// failureRetries is the number of heartbeats between attempts that found no majority; it doubles with each failure up
	// to maxFailureRetries, so that a member with better connections gets its turn.
	failureRetries    = 4
	maxFailureRetries = 32
	// passOverTTLs is the number of lease times that each rank waits for the ranks before it when they are alive and the
	// name is free but none of them claims it.
	passOverTTLs = 2
)

// Holder is the state of one possible holder: the names it claims and holds. Invariant: a held name was promised by a
// majority of a roster, and until is at most TTL after those claims were sent.
type Holder struct {
	self Member
	// claimant is the name under which this process claims. It differs from self where the member is a zone, so that a late
	// release of one delegate cannot end the holding of its successor.
	claimant Member
	timing   Timing
	roster   Roster
	started  time.Duration
	heard    map[Member]time.Duration
	leaving  map[Member]bool
	stopped  bool
	retired  bool
	names    map[Name]*holding
	// own is the name that no other live member should hold.
	own Name
	// droppedTerm is the highest term used for names that are no longer wanted.
	droppedTerm entity.Term
}

// holding is the state of one wanted name.
type holding struct {
	wanted   bool
	claiming bool
	held     bool
	term     entity.Term
	// lowest is the lowest term that a new holding may have.
	lowest   entity.Term
	acks     map[Member]time.Duration
	refusals map[Member]bool
	begun    time.Duration
	wantedAt time.Duration
	since    time.Duration
	until    time.Duration
	retryAt  time.Duration
	failures int
}

// Held is the validity of a lease that this holder holds.
type Held struct {
	Term  entity.Term
	Since time.Duration
	Until time.Duration
}

// Effects are the consequences of an event. Releases are to be sent at once; losing one only delays the next holder until
// the promises lapse.
type Effects struct {
	Claims   []Claim
	Releases []Claim
	Gained   []Name
	Lost     []Name
}

// NewHolder returns the holder of a member that starts at now. The claimant is unique to this process start. It claims
// nothing for one TTL, while it learns who is alive.
func NewHolder(now time.Duration, self, claimant Member, timing Timing) *Holder {
	return &Holder{
		self: self, claimant: claimant, timing: timing, started: now,
		heard: map[Member]time.Duration{}, leaving: map[Member]bool{}, names: map[Name]*holding{},
	}
}

// SetRoster replaces the roster. Promises of members that stay keep counting: they are kept by name, not by version.
func (h *Holder) SetRoster(r Roster) {
	if r.Version == h.roster.Version && slices.Equal(r.Members, h.roster.Members) {
		return
	}
	h.roster = r
	for m := range h.heard {
		if !r.Contains(m) {
			delete(h.heard, m)
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

// MarkAlive records a sign of life of another member.
func (h *Holder) MarkAlive(now time.Duration, m Member, leaving bool) {
	if m == h.self || !h.roster.Contains(m) {
		return
	}
	h.heard[m] = max(now, h.heard[m])
	h.leaving[m] = leaving
}

// Alive reports whether the member was heard within the lease time.
func (h *Holder) Alive(now time.Duration, m Member) bool {
	if m == h.self {
		return true
	}
	at, ok := h.heard[m]
	return ok && now-at < h.timing.TTL
}

// SetWanted replaces the set of names that this holder may hold. Names that are no longer wanted are released.
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

// SetOwnName names the lease of the member itself, which it claims whatever its rank: a zone's own authority.
func (h *Holder) SetOwnName(name Name) { h.own = name }

// Leave marks this holder as leaving: it renews what it holds and claims nothing new.
func (h *Holder) Leave() { h.retired = true }

// Stop releases everything for good.
func (h *Holder) Stop(now time.Duration) Effects {
	h.stopped = true
	names := make([]Name, 0, len(h.names))
	for name := range h.names {
		names = append(names, name)
	}
	return h.Release(now, names)
}

// Misplaced returns the held names whose preferred live member is another one, in order.
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

// HandOver releases the names whose preferred live member is another one. It is the planned way of rebalancing.
func (h *Holder) HandOver(now time.Duration, names []Name) Effects {
	var moving []Name
	for _, name := range names {
		if Preferred(name, h.candidates(now)) != h.self {
			moving = append(moving, name)
		}
	}
	return h.Release(now, moving)
}

// Release gives names back. The caller must have ended everything that relies on them.
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
		effects.Releases = append(effects.Releases, n.end(name))
		n.retryAt = now + releaseRetries*h.timing.Heartbeat
	}
	return effects
}

// HandleResults handles a voter's results for claims that were sent at sentAt. Results for an earlier term than the present one are
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
		n.lowest = max(n.lowest, r.Term)
		if !slices.Contains(sent, Claim{Name: r.Name, Term: n.term}) {
			continue
		}
		if n.held {
			n.renewed(h, from, sentAt, r)
		}
		if n.claiming {
			h.answered(now, n, from, sentAt, r, &effects)
		}
	}
	return effects
}

// answered handles a result for an attempt.
func (h *Holder) answered(now time.Duration, n *holding, from Member, sentAt time.Duration, r Result, effects *Effects) {
	switch {
	case r.Holder != "" && r.Holder != h.claimant:
		h.refused(now, n, from, r.Name, effects)
	case r.Term > n.term:
		n.begin(now, n.lowest)
	case r.Granted:
		n.ack(from, sentAt)
		delete(n.refusals, from)
		h.tryHold(now, n, r.Name, effects)
	}
}

// tryHold makes the holding valid if a majority has promised it.
func (h *Holder) tryHold(now time.Duration, n *holding, name Name, effects *Effects) {
	until := n.validUntil(h.roster, h.timing.TTL)
	if now >= until {
		return
	}
	n.claiming, n.held, n.failures = false, true, 0
	n.since, n.until = now, until
	effects.Gained = append(effects.Gained, name)
}

// refused gives an attempt up when a majority has become impossible, so that two claimants do not block each other.
func (h *Holder) refused(now time.Duration, n *holding, from Member, name Name, effects *Effects) {
	n.refusals[from] = true
	if len(n.refusals) <= len(h.roster.Members)-h.roster.Majority() {
		return
	}
	effects.Releases = append(effects.Releases, n.end(name))
	// The better-ranked of two claimants tries again first.
	n.retryAt = now + time.Duration(1+2*rank(name, h.self, h.roster.Members))*h.timing.Heartbeat
}

// Tick begins and renews claims. Claims are sent to all voters, the own one included. The voter is the holder's own vote,
// which knows what others hold.
func (h *Holder) Tick(now time.Duration, own *Voter) Effects {
	effects := Effects{Lost: h.Expire(now)}
	if h.stopped || !h.roster.Contains(h.self) {
		return effects
	}
	candidates := h.candidates(now)
	for _, name := range h.sortedNames() {
		n := h.names[name]
		if n.claiming && now-n.begun >= h.timing.TTL {
			effects.Releases = append(effects.Releases, h.fail(now, name, n))
		}
		if !n.held && !n.claiming && h.mayBegin(now, name, n, candidates, own) {
			n.begin(now, h.newTerm(name, n, own))
		}
		if n.held || n.claiming {
			effects.Claims = append(effects.Claims, Claim{Name: name, Term: n.term})
		}
	}
	return effects
}

// fail ends an attempt that found no majority in time.
func (h *Holder) fail(now time.Duration, name Name, n *holding) Claim {
	wait := min(failureRetries<<n.failures, maxFailureRetries) + 2*rank(name, h.self, h.roster.Members)
	if name != h.own {
		n.failures = min(n.failures+1, maxFailureRetries)
	}
	n.retryAt = now + time.Duration(wait)*h.timing.Heartbeat
	return n.end(name)
}

func (h *Holder) newTerm(name Name, n *holding, own *Voter) entity.Term {
	return max(n.lowest, n.term+1, h.droppedTerm+1, own.LowestTerm(name, h.claimant), entity.Term(h.roster.Version*termsPerVersion+1))
}

// mayBegin reports whether to claim a name that this holder does not hold.
func (h *Holder) mayBegin(now time.Duration, name Name, n *holding, candidates []Member, own *Voter) bool {
	if h.retired || !n.wanted || now < n.retryAt || now-h.started < h.timing.TTL {
		return false
	}
	if holder := own.Holder(name, now); holder != "" && holder != h.claimant {
		return false
	}
	if name == h.own {
		return true
	}
	before := rank(name, h.self, candidates)
	passedOver := min(own.FreeFor(name, now), now-n.wantedAt)
	return before == 0 || passedOver >= time.Duration(passOverTTLs*before)*h.timing.TTL
}

// candidates are the members that are alive and stay, this one included unless it leaves.
func (h *Holder) candidates(now time.Duration) []Member {
	var members []Member
	for _, m := range h.roster.Members {
		if m == h.self && !h.retired && !h.stopped {
			members = append(members, m)
		}
		if m != h.self && h.Alive(now, m) && !h.leaving[m] {
			members = append(members, m)
		}
	}
	return members
}

// Expire ends the holdings that have lapsed and returns their names.
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

// Valid reports whether this holder holds the name at now.
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
