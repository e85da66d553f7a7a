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

// releaseRetries is the number of heartbeats during which a member does not claim a name that it has released on purpose,
// so that the preferred member can claim it.
const releaseRetries = 4

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
