package lease_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/peer/pb"
	"github.com/pollenpier/pollenpier/internal/service"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// complete returns the condition that all backends of a zone have a primary.
func (c *cluster) complete(zone entity.Zone, backends int) func() bool {
	return func() bool { return len(c.primaries(zone)) == backends }
}

// oneZone returns a running zone of four instances and twelve backends that all have a primary.
func oneZone(t *testing.T) *cluster {
	c := newCluster(t, []string{"a"}, 4, 12)
	c.run(2*time.Second, nil)
	require.Len(t, c.primaries(), 12)
	return c
}

func (c *cluster) primaryOf(id entity.BackendID) *node { return c.primaries()[id] }

// Guards against backends that stay without a primary after an instance was lost, with the platform available or not.
func TestInstanceLost(t *testing.T) {
	for _, down := range []bool{false, true} {
		c := oneZone(t)
		c.platformDown = down
		c.run(time.Second, nil)
		for _, n := range c.nodes {
			require.EqualValues(t, 1, n.reports.Load(), "reports that a majority has the roster")
			require.Positive(t, n.states.Load())
		}
		c.kill(c.primaryOf("stock-a-0"))
		replaced := c.run(time.Second, c.complete("a", 12))
		t.Logf("platform down %t: replaced in %v", down, replaced)
		require.Len(t, c.primaries(), 12)
	}
}

// Guards against a paused instance that continues as primary when it resumes, although its leases have lapsed.
func TestInstancePausedAndResumed(t *testing.T) {
	c := oneZone(t)
	paused := c.primaryOf("stock-a-0")
	had := len(c.acts(paused))
	c.pause(paused)
	c.run(time.Second, nil)
	require.Empty(t, c.acts(paused), "its leases lapsed while it was paused")
	require.Len(t, c.primaries(), 12)
	c.resume(paused)
	c.run(2*time.Second, nil)
	require.Empty(t, c.acts(paused), "its peers must keep their leases")
	require.Len(t, c.primaries(), 12)

	for _, n := range c.nodes {
		c.send(n, service.HandOverLeases{Names: heldNames(n)})
	}
	c.waitIdle()
	c.run(time.Second, c.complete("a", 12))
	require.Len(t, c.acts(paused), had, "leases must be rebalanced on request")
}

func heldNames(n *node) []service.LeaseName {
	var names []service.LeaseName
	for name := range n.svc.Leases().Held {
		names = append(names, name)
	}
	return names
}

// Guards against an isolated zone that continues to serve when other zones may already have taken over its keys, and
// against one that stops before its cut-off hold.
func TestIsolatedZone(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, 3, 2)
	c.run(4*time.Second, nil)
	require.Len(t, c.primaries(), 6)
	require.NotNil(t, c.holder(service.AuthorityLease("a")))

	c.isolated["a"] = true
	isolatedAt := c.clock.Now()
	c.run(cutoffHold, nil)
	require.Len(t, c.primaries("a"), 2, "the zone must serve for the cut-off hold")
	claimant := c.holder(service.AuthorityLease("a"))
	require.NotNil(t, claimant, "the other zones must claim the authority")
	require.NotEqual(t, entity.Zone("a"), claimant.self.Zone)
	authorityEnd := c.nodes[0].svc.Leases().AuthorityUntil
	require.GreaterOrEqual(t, claimant.svc.Leases().Held[service.AuthorityLease("a")].Since, authorityEnd)
	c.run(time.Second, nil)
	require.Empty(t, c.primaries("a"), "stopped after %v", c.clock.Now()-isolatedAt)
	require.Len(t, c.primaries(), 4, "the other zones must continue")

	c.platformDown = true
	c.isolated["a"] = false
	recovered := c.run(5*time.Second, c.complete("a", 2))
	t.Logf("serves again %v after the partition ended, without the platform", recovered)
	require.Len(t, c.primaries(), 6)
}

// Guards against connected zones that stop because the platform is unavailable, also when they lose their delegates.
func TestPlatformDownWithConnectedZones(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, 4, 2)
	c.run(4*time.Second, nil)
	c.platformDown = true
	interrupted := false
	c.run(3*cutoffHold, func() bool {
		interrupted = interrupted || len(c.primaries()) != 6
		return interrupted
	})
	require.False(t, interrupted)

	c.kill(c.holder(service.DelegateLease("a")))
	replaced := c.run(time.Second, func() bool { return c.holder(service.DelegateLease("a")) != nil })
	t.Logf("delegate replaced in %v", replaced)
	require.Less(t, replaced, time.Second)
	c.run(2*cutoffHold, nil)
	require.Len(t, c.primaries(), 6)
	require.NotNil(t, c.holder(service.AuthorityLease("a")))
}

// Guards against a declared loss that does not end a zone's authority, a recovery that does not restore it, and a
// recovered zone that acts on owners that are older than its loss because it has not replayed the loss.
func TestZoneDeclaredLostGetsNoAuthority(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, 1, 1)
	c.run(4*time.Second, nil)
	c.platformDown = true
	require.Same(t, c.nodes[0], c.holder(service.AuthorityLease("a")))
	lost, recovered := *c.view, *c.view
	lost.Offset, lost.LostZones = 110, map[entity.Zone]entity.Offset{"a": 105}
	recovered.Offset = 120
	for _, n := range c.nodes[1:] {
		c.send(n, service.OwnershipChanged{View: &lost})
	}
	c.run(3*time.Second, nil)
	require.NotSame(t, c.nodes[0], c.holder(service.AuthorityLease("a")))
	c.send(c.nodes[0], service.OwnershipChanged{View: &lost})
	c.waitIdle()
	require.Empty(t, c.primaries("a"), "within the cut-off hold, but it has replayed its loss")

	c.send(c.nodes[1], service.OwnershipChanged{View: &recovered})
	c.send(c.nodes[2], service.OwnershipChanged{View: &recovered})
	c.run(5*time.Second, nil)
	require.NotSame(t, c.nodes[0], c.holder(service.AuthorityLease("a")), "it has not replayed its recovery")
	c.send(c.nodes[0], service.OwnershipChanged{View: &recovered})
	c.run(5*time.Second, nil)
	require.Same(t, c.nodes[0], c.holder(service.AuthorityLease("a")))
	require.Len(t, c.primaries(), 3)
}

// Guards against a zone that gets its authority back with the vote of a zone whose vote for its loss may still be
// counted.
func TestZoneVotedLostGetsNoAuthority(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, 1, 1)
	c.run(4*time.Second, nil)
	require.Same(t, c.nodes[0], c.holder(service.AuthorityLease("a")))
	voted := *c.view
	voted.LostVotes = map[entity.Zone]map[entity.Zone]entity.Offset{"a": {"c": 105}}
	c.send(c.nodes[1], service.ZoneVote{Zone: "a", Active: true})
	c.send(c.nodes[2], service.OwnershipChanged{View: &voted})
	c.run(2*time.Second, nil)
	require.Nil(t, c.holder(service.AuthorityLease("a")))
	c.send(c.nodes[1], service.ZoneVote{Zone: "a", Active: false})
	c.run(2*time.Second, nil)
	require.Same(t, c.nodes[0], c.holder(service.AuthorityLease("a")))
}

// Guards against a planned stop that leaves the leases of its backends to lapse.
func TestPlannedStopHandsOver(t *testing.T) {
	c := oneZone(t)
	leaving := c.primaryOf("stock-a-0")
	c.send(leaving, service.BeginLeaving{})
	c.run(500*time.Millisecond, nil)
	require.NotEmpty(t, c.acts(leaving), "it must serve until dispatch has drained")
	done := make(chan struct{})
	c.send(leaving, service.StopLeases{Done: done})
	<-done
	require.Empty(t, c.acts(leaving))
	handedOver := c.run(time.Second, c.complete("a", 12))
	t.Logf("handed over in %v", handedOver)
	require.LessOrEqual(t, handedOver, 200*time.Millisecond)
	require.Empty(t, c.acts(leaving))
}

// Guards against a single instance or zone that waits for a majority that does not exist.
func TestSingleInstanceIsItsOwnMajority(t *testing.T) {
	c := newCluster(t, []string{"a"}, 1, 3)
	c.run(2*time.Second, nil)
	c.platformDown = true
	c.run(2*cutoffHold, nil)
	require.Len(t, c.primaries(), 3)
}

// Guards against heartbeats that grow with the leases of other instances.
func TestHeartbeatTraffic(t *testing.T) {
	c := oneZone(t)
	var bytes, calls atomic.Int64
	c.onCall = func(req service.HeartbeatRequest, r service.HeartbeatResponse) {
		bytes.Add(int64(proto.Size(encodeRequest(req)) + proto.Size(encodeResponse(r))))
		calls.Add(1)
	}
	c.run(10*time.Second, nil)
	perInstance := float64(bytes.Load()) / 10 / 4
	t.Logf("%.0f bytes/s and %.0f heartbeats/s sent by each of 4 instances (requests and answers), 12 backends",
		perInstance, float64(calls.Load())/10/4)
	require.Less(t, perInstance, 8192.0)
}

func encodeRequest(r service.HeartbeatRequest) proto.Message {
	m := &pb.HeartbeatRequest{
		Instance: string(r.Instance), Zone: string(r.Zone), Address: r.Address, Group: r.Group, RosterVersion: r.RosterVersion,
		ControlOffset: uint64(r.ControlOffset), ConfigVersion: r.ConfigVersion, FreshnessAgeUs: r.FreshnessAge.Microseconds(),
		AuthorityAgeUs: r.AuthorityAge.Microseconds(), Leaving: r.Leaving,
	}
	for _, c := range r.Claims {
		m.Claims = append(m.Claims, &pb.Claim{Name: string(c.Name), Term: uint64(c.Term), Release: c.Release})
	}
	return m
}

func encodeResponse(r service.HeartbeatResponse) proto.Message {
	m := &pb.HeartbeatResponse{
		Instance: string(r.Instance), Voter: r.Voter, RosterVersion: r.RosterVersion, ControlOffset: uint64(r.ControlOffset),
		ConfigVersion: r.ConfigVersion, FreshnessAgeUs: r.FreshnessAge.Microseconds(),
		AuthorityAgeUs: r.AuthorityAge.Microseconds(), Delegate: string(r.Delegate), Leaving: r.Leaving,
	}
	for _, x := range r.Results {
		m.Results = append(m.Results, &pb.ClaimResult{
			Name: string(x.Name), Granted: x.Granted, Holder: string(x.Holder), Term: uint64(x.Term),
		})
	}
	return m
}
