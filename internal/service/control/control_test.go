package control_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/service/control"
	"github.com/pollenpier/pollenpier/operator"
)

// Guards against instances that do not join, a service without owners, and an append that takes effect twice because it
// was retried after a lost answer.
func TestInstancesJoinAndAssignDespiteLostAnswers(t *testing.T) {
	c := newCluster(t)
	c.log.SetFaults(platformapi.Faults{LoseAnswers: true})
	a, b := c.start("a", control.Settings{}), c.start("a", control.Settings{})
	c.eventually("both join", func() bool { return len(a.view().Members) == 2 && len(b.view().Members) == 2 })
	for _, n := range []*node{a, b} {
		n.deliver(t, service.ConfigChanged{Config: testConfig(operator.Zone{Name: "a"}), Version: 1})
	}
	want := map[entity.BackendID]int{"a1": 8, "a2": 8}
	c.eventually("all assigned", func() bool {
		return len(owners(a.view())) == 2 && len(owners(b.view())) == 2
	})
	require.Equal(t, want, owners(a.view()))
	b.stop()
	c.eventually("the stopped instance has left", func() bool { return len(a.view().Members) == 1 })
}

// Guards against keys that stay with a lost backend, and against a new owner before the proof that the old owner has
// stopped.
func TestLostBackendIsReplacedAfterProof(t *testing.T) {
	c := newCluster(t)
	a := c.start("a", control.Settings{})
	a.deliver(t, service.ConfigChanged{Config: testConfig(operator.Zone{Name: "a"}), Version: 1})
	c.eventually("assigned", func() bool { return owners(a.view())["a1"] == 8 })
	a.deliver(t, service.BackendLost{Backend: "a1"})
	c.eventually("moving", func() bool { return owners(a.view())["moving"] == 8 })
	ready := service.ReleaseReady{Backend: "a1", Lapsed: true}
	for p, o := range a.view().Services["stock"].Owners {
		if o.Moving() {
			ready.Partitions = append(ready.Partitions,
				service.PartitionEpoch{Service: "stock", Partition: entity.Partition(p), Epoch: o.Epoch})
		}
	}
	require.Equal(t, 8, owners(a.view())["moving"], "nothing is granted before the proof")
	a.deliver(t, ready)
	c.eventually("granted", func() bool { return owners(a.view())["a2"] == 16 })
	a.deliver(t, service.BackendRecovered{Backend: "a1"})
	c.eventually("partitions move back", func() bool { return owners(a.view())["moving"] > 0 })
}

// Guards against a start that fails once the log has dropped its first records: the state must come from a checkpoint.
func TestNewInstanceRestoresFromACheckpoint(t *testing.T) {
	c := newCluster(t)
	settings := control.Settings{CheckpointEvery: 20}
	c.log.SetRetention(100)
	a := c.start("a", settings)
	a.deliver(t, service.ConfigChanged{Config: testConfig(operator.Zone{Name: "a"}), Version: 1})
	for i := range 150 {
		// Continuous changes: one backend is lost and recovers alternately.
		if i%2 == 0 {
			a.deliver(t, service.BackendLost{Backend: "a1"})
		} else {
			a.deliver(t, service.BackendRecovered{Backend: "a1"})
		}
		down := i%2 == 0
		c.eventually("recorded", func() bool {
			s := a.view().Services["stock"]
			return s != nil && (len(s.Down) == 1) == down
		})
	}
	require.Positive(t, c.log.Records(platformapi.StreamControl)[0].Offset, "the log still has its first record")
	b := c.start("a", settings)
	c.eventually("restored", func() bool { return len(b.view().Members) == 2 })
	c.eventually("equal", func() bool {
		x, y := a.view(), b.view()
		return x.Offset == y.Offset && assertEqual(x, y)
	})
}

func assertEqual(x, y *ownership.View) bool {
	return x.Services["stock"].Version == y.Services["stock"].Version && len(x.Members) == len(y.Members)
}

// Guards against an instance that cannot start or receives no changes while it cannot reach the platform: state and
// records must come from peers.
func TestPeersServeStateAndRecords(t *testing.T) {
	c := newCluster(t)
	a := c.start("a", control.Settings{})
	a.deliver(t, service.ConfigChanged{Config: testConfig(operator.Zone{Name: "a"}), Version: 1})
	c.eventually("assigned", func() bool { return owners(a.view())["a1"] == 8 })
	a.down.Store(true)
	settings := control.Settings{Peers: []string{a.self.Address}}
	c.log.SetFaults(platformapi.Faults{Unavailable: true})
	b := c.start("a", settings)
	c.eventually("state fetched", func() bool { return owners(b.view())["a1"] == 8 })
	b.down.Store(true)
	a.down.Store(false)
	c.log.SetFaults(platformapi.Faults{})
	a.deliver(t, service.BackendLost{Backend: "a2"})
	c.eventually("record relayed", func() bool { return owners(b.view())["moving"] == 8 })
	require.Len(t, b.view().Members, 1, "an instance without the log cannot join")
}

// Guards against members that have exited but stay in the roster, and against the removal of one that is only
// unresponsive.
func TestTerminatedMembersAreRemoved(t *testing.T) {
	c := newCluster(t)
	a, b, d := c.start("a", control.Settings{}), c.start("a", control.Settings{}), c.start("a", control.Settings{})
	disconnect := c.heartbeats(a, b, d)
	c.setInstances(a, b, d)
	for _, n := range []*node{a, b, d} {
		n.deliver(t, service.ConfigChanged{Config: testConfig(operator.Zone{Name: "a"}), Version: 1})
	}
	c.eventually("all join", func() bool { return len(a.view().Members) == 3 })
	disconnect(d)
	d.down.Store(true)
	start := c.clock.Now()
	c.eventually("time passes", func() bool { return c.clock.Now()-start > 6*time.Second })
	require.Len(t, a.view().Members, 3, "an unresponsive member that the platform lists as live must stay")
	c.setInstances(a, b)
	c.eventually("removed", func() bool { return len(a.view().Members) == 2 && len(b.view().Members) == 2 })
	disconnect(b)
	b.down.Store(true)
	start = c.clock.Now()
	c.setInstances(a)
	c.eventually("group without a majority replaced", func() bool { return len(a.view().Members) == 1 })
	require.GreaterOrEqual(t, c.clock.Now()-start, 2*time.Second, "removed before the cut-off hold")
}

// Guards against a lost zone whose keys are never served again, or are reassigned before the zone must have stopped.
func TestLostZoneIsReassigned(t *testing.T) {
	c := newCluster(t)
	a, b, d := c.start("a", control.Settings{}), c.start("b", control.Settings{}), c.start("c", control.Settings{})
	disconnect := c.heartbeats(a, b, d)
	config := testConfig(operator.Zone{Name: "a"}, operator.Zone{Name: "b"}, operator.Zone{Name: "c"})
	for _, n := range []*node{a, b, d} {
		n.deliver(t, service.ConfigChanged{Config: config, Version: 1})
	}
	c.eventually("assigned", func() bool { return owners(a.view())["c1"] > 0 && len(a.view().Members) == 3 })
	disconnect(d)
	d.down.Store(true)
	c.eventually("zone lost", func() bool { return len(a.view().LostZones) == 1 })
	lostAt := c.clock.Now()
	c.eventually("taken over", func() bool {
		counts := owners(a.view())
		return counts["c1"]+counts["c2"]+counts["moving"] == 0
	})
	// cutoff_hold 2s, lease 400ms, session 400ms, max_run 1s.
	require.GreaterOrEqual(t, c.clock.Now()-lostAt, 3800*time.Millisecond)
	require.Contains(t, a.view().LostZones, entity.Zone("c"))
}

// Guards against a wait after a confirmed loss: the operator knows that the zone is stopped, so its keys are reassigned
// at once.
func TestConfirmedLossIsReassignedAtOnce(t *testing.T) {
	c := newCluster(t)
	a, b := c.start("a", control.Settings{}), c.start("b", control.Settings{})
	zones := []operator.Zone{{Name: "a"}, {Name: "b"}}
	for _, n := range []*node{a, b} {
		n.deliver(t, service.ConfigChanged{Config: testConfig(zones...), Version: 1})
	}
	c.eventually("assigned", func() bool { return owners(a.view())["b1"] > 0 && len(a.view().Members) == 2 })
	b.down.Store(true)
	zones[1].State = operator.ZoneLost
	start := c.clock.Now()
	a.deliver(t, service.ConfigChanged{Config: testConfig(zones...), Version: 2})
	c.eventually("taken over", func() bool {
		counts := owners(a.view())
		return counts["a1"]+counts["a2"] == 16
	})
	require.Less(t, c.clock.Now()-start, 3800*time.Millisecond)
}

// Guards against a drained backend or a removed service that keeps its partitions.
func TestDrainAndRemovalMovePartitions(t *testing.T) {
	c := newCluster(t)
	a := c.start("a", control.Settings{})
	config := testConfig(operator.Zone{Name: "a"})
	a.deliver(t, service.ConfigChanged{Config: config, Version: 1})
	c.eventually("assigned", func() bool { return owners(a.view())["a1"] == 8 })
	config = testConfig(operator.Zone{Name: "a"})
	config.Services[0].Backends[0].State = operator.BackendDrain
	a.deliver(t, service.ConfigChanged{Config: config, Version: 2})
	c.eventually("moving in steps", func() bool { return owners(a.view())["moving"] > 0 })
	require.Less(t, owners(a.view())["moving"], 8)
	a.deliver(t, service.ConfigChanged{Config: &operator.Config{Zones: config.Zones}, Version: 3})
	c.eventually("service removed", func() bool { return len(a.view().Services) == 0 })
}

// Guards against a straggler that keeps its full share, and against a hot key that stays with an overloaded owner.
func TestStragglerLosesPartitionsAndHotKeyMoves(t *testing.T) {
	c := newCluster(t)
	a := c.start("a", control.Settings{})
	config := testConfig(operator.Zone{Name: "a"})
	for _, name := range []string{"a3", "a4"} {
		b := config.Services[0].Backends[0]
		b.Name = name
		config.Services[0].Backends = append(config.Services[0].Backends, b)
	}
	config.Services[0].Partitions = 64
	a.deliver(t, service.ConfigChanged{Config: config, Version: 1})
	c.eventually("assigned", func() bool { return owners(a.view())["a4"] == 16 })
	hot := entity.HashKey("hot")
	report := func(slow bool) {
		svc := a.view().Services["stock"]
		for _, id := range []entity.BackendID{"a1", "a2", "a3", "a4"} {
			m := service.BackendLatency{Backend: id, Median: 10 * time.Millisecond, Requests: 10}
			if slow && id == "a1" {
				m.Median = 50 * time.Millisecond
			}
			if svc.Owners[svc.Locate(hot)].Backend == id {
				m.Requests = 210
				m.Hot = []service.HotKey{{Service: "stock", Hash: hot, Requests: 200}}
			}
			a.kernel.Post(service.Control, m)
		}
		time.Sleep(50 * time.Millisecond) // half a second of the cluster's clock
	}
	c.eventually("hot key recorded", func() bool {
		report(false)
		_, recorded := a.view().Services["stock"].Hot[hot]
		return recorded
	})
	c.eventually("straggler reduced", func() bool {
		report(true)
		return a.view().Services["stock"].Slow["a1"] > 0
	})
	c.eventually("partitions of the straggler move", func() bool {
		for _, o := range a.view().Services["stock"].Owners {
			if o.Backend == "a1" && o.Moving() {
				return true
			}
		}
		return false
	})
	require.Len(t, a.view().Services["stock"].Slow, 1)
}

// readyFor returns the proof, by acknowledgement, that a backend has stopped work for its moving partitions.
func readyFor(v *ownership.View, id entity.BackendID) service.ReleaseReady {
	ready := service.ReleaseReady{Backend: id}
	for p, o := range v.Services["stock"].Owners {
		if o.Backend == id && o.Moving() {
			ready.Partitions = append(ready.Partitions,
				service.PartitionEpoch{Service: "stock", Partition: entity.Partition(p), Epoch: o.Epoch})
		}
	}
	return ready
}

// Guards against a second owner of a key that became hot while a request for it was running under its base partition:
// the end of work for the new partition proves nothing about that request.
func TestNewHotKeyIsNotReleasedBeforeOldRequestsEnd(t *testing.T) {
	c := newCluster(t)
	a := c.start("a", control.Settings{})
	config := testConfig(operator.Zone{Name: "a"})
	a.deliver(t, service.ConfigChanged{Config: config, Version: 1})
	c.eventually("assigned", func() bool { return owners(a.view())["a1"] == 8 })
	hot := entity.HashKey("hot")
	owner := a.view().Services["stock"].Owners[a.view().Services["stock"].Locate(hot)].Backend
	lastNotHot := c.clock.Now() // the last time at which the key was not recorded as hot
	for n := 0; ; n++ {
		before := c.clock.Now()
		if a.view().Services["stock"].Hot[hot] != 0 {
			break
		}
		lastNotHot = before
		if n%20 == 0 {
			a.kernel.Post(service.Control, service.BackendLatency{Backend: owner, Requests: 100,
				Hot: []service.HotKey{{Service: "stock", Hash: hot, Requests: 100}}})
		}
		time.Sleep(time.Millisecond)
	}
	drained := testConfig(operator.Zone{Name: "a"})
	for i := range drained.Services[0].Backends {
		if drained.Services[0].Backends[i].Name == string(owner) {
			drained.Services[0].Backends[i].State = operator.BackendDrain
		}
	}
	a.deliver(t, service.ConfigChanged{Config: drained, Version: 2})
	virtual := a.view().Services["stock"].Hot[hot]
	c.eventually("hot key released", func() bool {
		a.deliver(t, readyFor(a.view(), owner))
		return a.view().Services["stock"].Owners[virtual].Backend != owner
	})
	require.GreaterOrEqual(t, c.clock.Now()-lastNotHot, time.Second, "max_run is 1s")
}

// Guards against partitions that stay with a backend that was removed from the configuration: it has no primary, so no
// release proof arrives.
func TestRemovedBackendIsReleasedAfterTheWait(t *testing.T) {
	c := newCluster(t)
	a := c.start("a", control.Settings{})
	config := testConfig(operator.Zone{Name: "a"})
	a.deliver(t, service.ConfigChanged{Config: config, Version: 1})
	c.eventually("assigned", func() bool { return owners(a.view())["a1"] == 8 })
	removed := testConfig(operator.Zone{Name: "a"})
	removed.Services[0].Backends = removed.Services[0].Backends[1:]
	start := c.clock.Now()
	a.deliver(t, service.ConfigChanged{Config: removed, Version: 2})
	c.eventually("moved", func() bool { return owners(a.view())["a2"] == 16 })
	// cutoff_hold 2s, lease 400ms, session 400ms, max_run 1s.
	require.GreaterOrEqual(t, c.clock.Now()-start, 3800*time.Millisecond)
}
