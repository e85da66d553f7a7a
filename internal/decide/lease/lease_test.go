package lease_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollenpier/pollenpier/internal/decide/lease"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func drawFaults(t *rapid.T) faults {
	nodes := rapid.IntRange(1, 6).Draw(t, "nodes")
	return faults{
		loss:          rapid.IntRange(0, 40).Draw(t, "loss"),
		duplicate:     rapid.IntRange(0, 20).Draw(t, "duplicate"),
		delayed:       rapid.IntRange(0, 40).Draw(t, "slow"),
		restart:       rapid.IntRange(0, 3).Draw(t, "restart"),
		pause:         rapid.IntRange(0, 5).Draw(t, "pause"),
		rosterChanges: rapid.Bool().Draw(t, "rosterChanges"),
		voter:         lease.SafeVoter(ttl),
		maxNodes:      nodes,
		startNodes:    rapid.IntRange(1, nodes).Draw(t, "startNodes"),
		maxDelay:      time.Second,
		maxPause:      2 * time.Second,
		until:         20 * time.Second,
	}
}

// Guards against two primaries of one backend when messages are lost, delayed or duplicated and nodes pause or restart, and
// against terms that do not increase from one lease to the next.
func TestNeverTwoHolders(t *testing.T) {
	takeovers := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), drawFaults(t))
		if violation := s.run(s.f.until); violation != "" {
			t.Fatal(violation)
		}
		takeovers += s.takeovers
	})
	require.Greater(t, takeovers, 500, "too few takeovers for a meaningful test")
}

// Guards against a property test that cannot fail: with one safety rule disabled, the same simulation must find two holders.
func TestWithoutARuleTwoHoldersAreFound(t *testing.T) {
	hostile := faults{
		loss: 10, duplicate: 10, delayed: 10, pause: 3, restart: 1, voter: lease.SafeVoter(ttl),
		maxNodes: 4, startNodes: 4, maxDelay: time.Second, maxPause: 2 * time.Second,
	}
	for _, c := range []struct {
		name   string
		weaken func(*faults)
	}{
		{"promise as short as a heartbeat", func(f *faults) { f.voter.Promise = heartbeat }},
		{"no wait after start", func(f *faults) { f.voter.StartWait, f.restart = 0, 10 }},
		{"no majority", func(f *faults) { f.minority = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := hostile
			c.weaken(&f)
			for seed := range uint64(300) {
				if newSim(seed, f).run(20*time.Second) != "" {
					return
				}
			}
			t.Fatal("no run found two holders")
		})
	}
}

// Guards against a promise that expires at a voter with a fast clock while a holder with a slow clock still relies on it.
func TestPromiseCoversDrift(t *testing.T) {
	overlap := func(promise time.Duration) bool {
		s := newSim(1, faults{voter: lease.VoterSettings{Promise: promise}, maxNodes: 3, startNodes: 3})
		slow, fast, next := s.nodes[0], s.nodes[1], s.nodes[2]
		slow.rate, fast.rate, next.rate = 0.99, 1.01, 1
		for _, n := range s.nodes {
			n.offset = 0
			s.boot(n)
		}
		s.now = time.Second
		s.vote(slow, fast)
		s.now += ttl - 10*time.Millisecond
		for range 200 {
			s.now += 100 * time.Microsecond
			s.vote(next, fast)
			if len(s.holders("backend/a")) == 2 {
				return true
			}
		}
		return false
	}
	require.True(t, overlap(ttl))
	require.False(t, overlap(lease.Promise(ttl)))
}

// Guards against backends that have no primary for more than a second after the loss of an instance.
func TestLostHolderIsReplacedWithinASecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), faults{voter: lease.SafeVoter(ttl), maxNodes: 4, startNodes: 4})
		s.run(2*time.Second + time.Duration(rapid.IntRange(0, 100).Draw(t, "phase"))*time.Millisecond)
		held := s.holders("backend/a")
		if len(held) != 1 {
			t.Fatalf("%d holders before the loss", len(held))
		}
		held[0].dead = true
		if violation := s.run(s.now + time.Second); violation != "" {
			t.Fatal(violation)
		}
		if len(s.holders("backend/a")) != 1 {
			t.Fatal("not replaced within 1 s")
		}
	})
}

// Guards against leases that move without need: a holder keeps its lease when a preferred member joins, and releases it to that
// member only on request.
func TestPreferredMemberTakesOverOnlyOnRequest(t *testing.T) {
	const name = lease.Name("backend/a")
	s := newSim(1, faults{voter: lease.SafeVoter(ttl), maxNodes: 4, startNodes: 4})
	preferred := lease.Preferred(name, s.rosters[0].Members)
	var late *node
	for _, n := range s.nodes {
		if n.id == preferred {
			late = n
		}
	}
	late.pausedUntil = 3 * time.Second
	s.run(5 * time.Second)
	held := s.holders(name)
	require.Len(t, held, 1)
	require.NotEqual(t, preferred, held[0].id)
	require.Equal(t, 2, s.takeovers, "one lease for each name")

	effects := held[0].p.HandOver(held[0].clock(s.now), s.names)
	require.Contains(t, effects.Lost, name)
	s.send(held[0], effects.Releases)
	s.run(s.now + 2*heartbeat)
	require.Equal(t, []*node{late}, s.holders(name))
}

// Guards against a late claim or release that revives or ends a lease other than the one that it was sent for.
func TestLateClaimsAndReleases(t *testing.T) {
	v := lease.NewVoter(0, lease.SafeVoter(ttl))
	v.SetVersion(1)
	now := lease.Promise(ttl)
	claim := func(from lease.Member, c lease.Claim) lease.Result {
		c.Name = "backend/a"
		return v.Claim(now, from, 1, c)
	}
	require.True(t, claim("x", lease.Claim{Term: 5}).Granted)
	require.False(t, claim("y", lease.Claim{Term: 9}).Granted, "promised to x")
	claim("y", lease.Claim{Term: 9, Release: true})
	require.Equal(t, lease.Member("x"), v.Holder("backend/a", now), "release by another member")
	claim("x", lease.Claim{Term: 5, Release: true})
	require.Empty(t, v.Holder("backend/a", now))
	require.False(t, claim("x", lease.Claim{Term: 5}).Granted, "claim that arrives after its release")
	require.True(t, claim("x", lease.Claim{Term: 6}).Granted)
	claim("x", lease.Claim{Term: 5, Release: true})
	require.Equal(t, lease.Member("x"), v.Holder("backend/a", now), "second copy of an old release")
	require.False(t, v.Claim(now, "x", 2, lease.Claim{Name: "backend/a", Term: 7}).Granted, "another roster version")
}
