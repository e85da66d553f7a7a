package outcome_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/entity"
)

const testWindow = 10 * time.Minute

var testLimits = outcome.Limits{Window: testWindow, Entries: 1000, AnswerBytes: 1 << 20}

// member is one instance of a lease group. A lost member is replaced by an empty one.
type member struct {
	started time.Duration
	up      bool
	memory  *outcome.Memory
	copies  *outcome.Copies
}

// attempt is the history of one idempotency key in the simulation.
type attempt struct {
	first   time.Duration
	sends   int
	arrived bool // a sent attempt may have reached the backend
}

// group simulates the use of the memory by successive primaries of one backend.
type group struct {
	t       *rapid.T
	now     time.Duration
	members []*member
	primary int
	term    entity.Term
	keys    map[string]*attempt
	running map[string]int // key to the member that sent it
	delayed []delayedAttempt
}

// delayedAttempt is an attempt that is still in flight.
type delayedAttempt struct {
	key  string
	age  time.Duration // as stated by the caller
	sent time.Duration
}

const testPartition = entity.Partition(3)

func newGroup(t *rapid.T) *group {
	g := &group{t: t, keys: map[string]*attempt{}, running: map[string]int{}, now: time.Hour}
	for range 4 {
		g.members = append(g.members, g.newMember())
	}
	g.takeOver(0)
	return g
}

func (g *group) newMember() *member {
	return &member{
		started: g.now,
		up:      true,
		memory:  outcome.NewMemory(testLimits),
		copies:  outcome.NewCopies(testLimits),
	}
}

// takeOver makes a member the primary. It collects the records of the members that answer.
func (g *group) takeOver(next int) {
	g.primary = next
	g.term++
	m := g.members[next]
	m.memory.SetTerm(g.term)
	part := outcome.PartitionKey{Service: "orders", Partition: testPartition}
	var since []time.Duration
	var records []outcome.Record
	for i, other := range g.members {
		if !other.up || (i != next && rapid.IntRange(0, 9).Draw(g.t, "answers") == 0) {
			since = append(since, g.now)
			continue
		}
		since = append(since, other.started)
		records = append(records, other.memory.Export([]outcome.PartitionKey{part}, g.now)...)
		records = append(records, other.copies.Export([]outcome.PartitionKey{part}, g.now)...)
	}
	m.memory.Import(records, g.now)
	h := m.memory.SetHorizon(part, 1, outcome.Horizon(since, records, part, g.now), g.now)
	// As with requests, a horizon is effective only once a copy of it exists.
	if !g.copyTo(append(m.memory.Export(nil, g.now), h)) {
		m.memory.SetHorizon(part, 1, g.now, g.now)
	}
}

// sendCompleteCopy sends a complete copy to one member. The transfer stops if a record is lost.
func (g *group) sendCompleteCopy(to int) {
	peer := g.members[to]
	if to == g.primary || !peer.up {
		return
	}
	records := g.members[g.primary].memory.Export(nil, g.now)
	for _, r := range records {
		if r.State == outcome.StateHorizon {
			continue
		}
		if rapid.IntRange(0, 19).Draw(g.t, "lost record") == 0 {
			return
		}
		peer.copies.Store([]outcome.Record{r}, g.now)
	}
	delay := time.Duration(rapid.IntRange(1, 1000).Draw(g.t, "transfer ms")) * time.Millisecond
	for _, r := range records {
		if r.State == outcome.StateHorizon {
			r.Confirmed = delay
			peer.copies.Store([]outcome.Record{r}, g.now+delay)
		}
	}
}

// copyTo stores records at one other member that is up, and reports whether it succeeded.
func (g *group) copyTo(records []outcome.Record) bool {
	start := rapid.IntRange(0, len(g.members)-1).Draw(g.t, "peer")
	for i := range g.members {
		peer := (start + i) % len(g.members)
		if peer == g.primary || !g.members[peer].up || rapid.IntRange(0, 4).Draw(g.t, "lost copy") == 0 {
			continue
		}
		return g.members[peer].copies.Store(records, g.now)
	}
	return false
}

func (g *group) request(key string, age time.Duration) {
	a := g.keys[key]
	m := g.members[g.primary]
	r := &outcome.Request{
		Key:       outcome.Key{Customer: "c", Service: "orders", IdempotencyKey: key},
		Partition: testPartition,
		Epoch:     1,
		Age:       age,
	}
	v := m.memory.Begin(r, g.now)
	if v.Decision != outcome.DecideRun {
		if a.arrived && outcome.RefusalOf(v.Decision).Kind == entity.OutcomeNotRun && v.Decision != outcome.DecideReplay {
			g.t.Fatalf("key %s: reported as not run after a send that may have arrived", key)
		}
		return
	}
	if !g.copyTo([]outcome.Record{v.Record}) {
		m.memory.Forget(r.Key, g.now)
		if a.arrived {
			g.t.Fatalf("key %s: reported as not run after a send that may have arrived", key)
		}
		return
	}
	if rapid.IntRange(0, 5).Draw(g.t, "refused before sending") == 0 {
		if rec, ok := m.memory.Forget(r.Key, g.now); ok {
			g.copyTo([]outcome.Record{rec})
		}
		return
	}
	a.sends++
	a.arrived = true
	if a.sends > 1 {
		g.t.Fatalf("key %s was sent %d times", key, a.sends)
	}
	g.running[key] = g.primary
}

// finish finishes a running request at the member that sent it.
func (g *group) finish(key string) {
	from, ok := g.running[key]
	if !ok {
		return
	}
	delete(g.running, key)
	m := g.members[from]
	k := outcome.Key{Customer: "c", Service: "orders", IdempotencyKey: key}
	record := m.memory.MarkUnknown
	if rapid.Bool().Draw(g.t, "answered") {
		record = func(k outcome.Key, now time.Duration) (outcome.Record, bool) {
			return m.memory.RecordAnswer(k, &outcome.Answer{Status: 200}, now)
		}
	}
	rec, ok := record(k, g.now)
	if ok && from == g.primary {
		g.copyTo([]outcome.Record{rec})
	}
}

func (g *group) lose(i int) {
	for key, from := range g.running {
		if from == i {
			delete(g.running, key)
		}
	}
	g.members[i].up = false
	if i == g.primary {
		g.elect()
	}
}

func (g *group) elect() {
	for i, m := range g.members {
		if m.up {
			g.takeOver(i)
			return
		}
	}
	g.members[0] = g.newMember()
	g.takeOver(0)
}

// Guards against an at-most-once request that is sent twice, and against the outcome "not run" after a request was sent, in any
// order of lost members, repeats, changes of the primary and lost copies.
func TestAtMostOnceInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t)
		steps := rapid.IntRange(10, 80).Draw(t, "steps")
		for range steps {
			longest := rapid.SampledFrom([]int{300, 60_000}).Draw(t, "longest step")
			g.now += time.Duration(rapid.IntRange(1, longest).Draw(t, "ms")) * time.Millisecond
			// Each window has its own keys, since callers do not repeat a request after the window.
			key := fmt.Sprintf("k%d/%d", rapid.IntRange(0, 5).Draw(t, "key"), g.now/testWindow)
			i := rapid.IntRange(0, len(g.members)-1).Draw(t, "member")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				g.lose(i)
			case 1:
				if !g.members[i].up {
					g.members[i] = g.newMember()
				}
			case 2:
				if g.members[i].up && i != g.primary {
					g.takeOver(i)
				}
			case 3:
				g.finish(key)
			case 4:
				g.deliverDelayed()
			case 5:
				g.sendCompleteCopy(i)
			default:
				g.call(key)
			}
		}
	})
}

// call sends or repeats a request, with or without its age.
func (g *group) call(key string) {
	a, ok := g.keys[key]
	if ok && g.now-a.first > testWindow {
		return
	}
	if !ok {
		a = &attempt{first: g.now}
		g.keys[key] = a
	}
	age := g.now - a.first
	if rapid.Bool().Draw(g.t, "states no age") {
		age = -1
	}
	if rapid.IntRange(0, 4).Draw(g.t, "held up") == 0 {
		g.delayed = append(g.delayed, delayedAttempt{key, age, g.now})
		return
	}
	g.request(key, age)
}

// deliverDelayed delivers the oldest delayed attempt, unless its deadline of one second has passed.
func (g *group) deliverDelayed() {
	if len(g.delayed) == 0 {
		return
	}
	next := g.delayed[0]
	g.delayed = g.delayed[1:]
	if g.now-next.sent < time.Second {
		g.request(next.key, next.age)
	}
}
