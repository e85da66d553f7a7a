package lease_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/lease"
	"github.com/pollenpier/pollenpier/internal/entity"
)

const (
	ttl       = 400 * time.Millisecond
	heartbeat = 100 * time.Millisecond
)

var timing = lease.Timing{TTL: ttl, Heartbeat: heartbeat}

// faults configures the faults of a run. Probabilities are in percent.
type faults struct {
	loss, duplicate, delayed  int
	restart, pause            int // per heartbeat of a node
	rosterChanges             bool
	voter                     lease.VoterSettings
	minority                  bool // each holder treats its own vote as a majority
	maxNodes, startNodes      int
	maxDelay, maxPause, until time.Duration
}

// sim runs participants over a simulated network in virtual time. Each node reads its own drifting clock.
type sim struct {
	rng      *rand.Rand
	f        faults
	now      time.Duration
	events   eventQueue
	sequence int
	nodes    []*node
	names    []lease.Name
	rosters  []lease.Roster
	// acknowledgedAt is the time at which a majority was first found to use the newest roster.
	acknowledgedAt time.Duration
	acknowledged   bool
	restarts       int
	takeovers      int
	lastTerm       map[lease.Name]entity.Term
	violation      string
}

type node struct {
	id          lease.Member
	claimant    lease.Member // changes with each restart, like the identity of a process
	p           *lease.Participant
	rate        float64
	offset      time.Duration
	version     int // index into rosters
	pausedUntil time.Duration
	dead        bool
	incarnation int
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].sequence < q[j].sequence)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSim(seed uint64, f faults) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), f: f, names: []lease.Name{"backend/a", "backend/b"},
		lastTerm: map[lease.Name]entity.Term{},
	}
	roster := lease.Roster{Version: 7}
	for i := range f.maxNodes {
		n := &node{
			id:     lease.Member(fmt.Sprintf("n%d", i)),
			rate:   0.99 + 0.02*s.rng.Float64(),
			offset: time.Duration(s.rng.Int64N(int64(time.Hour))),
		}
		s.nodes = append(s.nodes, n)
		if i < f.startNodes {
			roster.Members = append(roster.Members, n.id)
		}
	}
	s.rosters = []lease.Roster{roster}
	for _, n := range s.nodes {
		s.boot(n)
	}
	return s
}

func (n *node) clock(now time.Duration) time.Duration {
	return n.offset + time.Duration(float64(now)*n.rate)
}

func (s *sim) percent(p int) bool { return s.rng.IntN(100) < p }

func (s *sim) at(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.now + d, sequence: s.sequence, run: run})
}

// boot starts a node without any state.
func (s *sim) boot(n *node) {
	n.incarnation++
	n.claimant = lease.Member(fmt.Sprintf("%s.%d", n.id, n.incarnation))
	n.p = lease.NewParticipant(n.clock(s.now), n.id, n.claimant, timing, s.f.voter)
	n.p.SetWanted(n.clock(s.now), s.names)
	s.setRoster(n, n.version)
	incarnation := n.incarnation
	s.at(time.Duration(s.rng.Int64N(int64(heartbeat))), func() { s.tick(n, incarnation) })
}

func (s *sim) setRoster(n *node, version int) {
	n.version = version
	n.p.SetRoster(s.rosters[version])
	if s.f.minority {
		n.p.Holder.SetRoster(lease.Roster{Version: s.rosters[version].Version, Members: []lease.Member{n.id}})
	}
}

// deliver runs f on the node after the delay, or at the end of the pause if the node is paused at that time.
func (s *sim) deliver(n *node, d time.Duration, f func()) {
	incarnation := n.incarnation
	s.at(d, func() { s.runUnpaused(n, incarnation, f) })
}

func (s *sim) runUnpaused(n *node, incarnation int, f func()) {
	if n.dead || n.incarnation != incarnation {
		return
	}
	if s.now < n.pausedUntil {
		s.at(n.pausedUntil-s.now, func() { s.runUnpaused(n, incarnation, f) })
		return
	}
	f()
}

func (s *sim) tick(n *node, incarnation int) {
	s.runUnpaused(n, incarnation, func() {
		s.at(heartbeat, func() { s.tick(n, incarnation) })
		s.injectFaults(n)
		s.runUnpaused(n, incarnation, func() { s.heartbeat(n) })
	})
}

// injectFaults restarts or pauses the node, or installs a newer roster on it, with the probabilities of the run.
func (s *sim) injectFaults(n *node) {
	if s.percent(s.f.restart) {
		s.restarts++
		s.boot(n)
		return
	}
	if s.percent(s.f.pause) {
		n.pausedUntil = s.now + time.Duration(s.rng.Int64N(int64(s.f.maxPause)))
	}
	if n.version < len(s.rosters)-1 && s.percent(30) {
		s.setRoster(n, n.version+1+s.rng.IntN(len(s.rosters)-1-n.version))
	}
	if s.f.rosterChanges {
		s.changeRoster()
	}
}

// changeRoster adds or removes one member, once a majority has had the last change for longer than a promise lasts.
func (s *sim) changeRoster() {
	newest := s.rosters[len(s.rosters)-1]
	upToDate := 0
	for _, n := range s.nodes {
		if newest.Contains(n.id) && n.version == len(s.rosters)-1 {
			upToDate++
		}
	}
	if upToDate < newest.Majority() {
		return
	}
	if !s.acknowledged {
		s.acknowledged, s.acknowledgedAt = true, s.now
	}
	if s.now-s.acknowledgedAt < lease.Promise(ttl)+ttl/20 || !s.percent(20) {
		return
	}
	next := lease.Roster{Version: newest.Version + 1 + s.rng.Uint64N(5), Members: slices.Clone(newest.Members)}
	changed := s.nodes[s.rng.IntN(len(s.nodes))].id
	if i := slices.Index(next.Members, changed); i >= 0 {
		next.Members = slices.Delete(next.Members, i, i+1)
	} else {
		next.Members = append(next.Members, changed)
	}
	if len(next.Members) > 0 {
		s.rosters, s.acknowledged = append(s.rosters, next), false
	}
}

func (s *sim) delay() time.Duration {
	if s.percent(s.f.delayed) {
		return time.Duration(s.rng.Int64N(int64(s.f.maxDelay)))
	}
	return time.Duration(s.rng.Int64N(int64(3 * time.Millisecond)))
}

func (s *sim) heartbeat(n *node) {
	effects := n.p.Tick(n.clock(s.now))
	s.recordGained(n, effects.Gained)
	s.send(n, append(slices.Clone(effects.Claims), effects.Releases...))
}

// send sends claims to all other members. Claims and results can be lost, delayed or duplicated.
func (s *sim) send(from *node, claims []lease.Claim) {
	sentAt, version, claimant := from.clock(s.now), s.rosters[from.version].Version, from.claimant
	for _, to := range s.nodes {
		if to == from {
			continue
		}
		for range s.copies() {
			s.deliver(to, s.delay(), func() {
				now := to.clock(s.now)
				to.p.Holder.MarkAlive(now, from.id, false)
				results := to.p.Vote(now, claimant, version, claims)
				for range s.copies() {
					s.deliver(from, s.delay(), func() { s.deliverResults(from, to, sentAt, claims, results) })
				}
			})
		}
	}
}

// copies returns the number of times that a message arrives.
func (s *sim) copies() int {
	if s.percent(s.f.loss) {
		return 0
	}
	if s.percent(s.f.duplicate) {
		return 2
	}
	return 1
}

func (s *sim) deliverResults(n, voter *node, sentAt time.Duration, claims []lease.Claim, results []lease.Result) {
	now := n.clock(s.now)
	n.p.Holder.MarkAlive(now, voter.id, false)
	effects := n.p.HandleResults(now, voter.id, sentAt, claims, results)
	s.recordGained(n, effects.Gained)
	if len(effects.Releases) > 0 {
		s.send(n, effects.Releases)
	}
}

// recordGained counts takeovers and checks that terms increase from one lease of a name to the next. A restarted node loses its
// terms, so the check applies only to runs without restarts; a real process that restarts is a new member.
func (s *sim) recordGained(n *node, names []lease.Name) {
	for _, name := range names {
		s.takeovers++
		term := n.p.Holder.Held(n.clock(s.now))[name].Term
		if term <= s.lastTerm[name] && s.restarts == 0 {
			s.violation = fmt.Sprintf("%v: term %d of %s at %s follows term %d", s.now, term, name, n.id, s.lastTerm[name])
		}
		s.lastTerm[name] = max(term, s.lastTerm[name])
	}
}

// holders returns the nodes that consider themselves holders of the name now, including paused ones.
func (s *sim) holders(name lease.Name) []*node {
	var holders []*node
	for _, n := range s.nodes {
		if !n.dead && n.p.Holder.Valid(name, n.clock(s.now)) {
			holders = append(holders, n)
		}
	}
	return holders
}

// run processes events until the given virtual time and returns the first violation, if any. The validity of a lease begins only
// at an event, so checking after each event finds every overlap.
func (s *sim) run(until time.Duration) string {
	for s.events.Len() > 0 && s.violation == "" {
		if s.events[0].at > until {
			break
		}
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
		for _, name := range s.names {
			if h := s.holders(name); len(h) > 1 {
				s.violation = fmt.Sprintf("%v: %s held by %s and %s", s.now, name, h[0].id, h[1].id)
			}
		}
	}
	s.now = max(s.now, until)
	return s.violation
}

// vote sends the claims of one node to one voter and returns the results to it without delay.
func (s *sim) vote(n, voter *node) {
	sentAt, version := n.clock(s.now), s.rosters[0].Version
	claims := n.p.Tick(sentAt).Claims
	n.p.HandleResults(sentAt, voter.id, sentAt, claims, voter.p.Vote(voter.clock(s.now), n.claimant, version, claims))
}
