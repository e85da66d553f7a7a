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

// Guards against instances that do not join, a service without owners, and a repeat after a lost answer that counts twice.
func TestInstancesJoinAndAssignDespiteLostAnswers(t *testing.T) {
	c := newCluster(t)
	c.log.SetFaults(platformapi.Faults{LoseAnswers: true})
	a, b := c.start("a", control.Settings{}), c.start("a", control.Settings{})
	c.eventually("both join", func() bool { return len(a.view().Members) == 2 && len(b.view().Members) == 2 })
	for _, n := range []*node{a, b} {
		n.tell(t, service.ConfigChanged{Config: testConfig(operator.Zone{Name: "a"}), Version: 1})
	}
	want := map[entity.BackendID]int{"a1": 8, "a2": 8}
	c.eventually("all assigned", func() bool {
		return len(owners(a.view())) == 2 && len(owners(b.view())) == 2
	})
	require.Equal(t, want, owners(a.view()))
	b.stop()
	c.eventually("the stopped one left", func() bool { return len(a.view().Members) == 1 })
}

// Guards against keys that stay with a lost back end, and against a new owner before the proof that the old one stopped.
func TestLostBackendIsReplacedAfterProof(t *testing.T) {
	c := newCluster(t)
	a := c.start("a", control.Settings{})
	a.tell(t, service.ConfigChanged{Config: testConfig(operator.Zone{Name: "a"}), Version: 1})
	c.eventually("assigned", func() bool { return owners(a.view())["a1"] == 8 })
	a.tell(t, service.BackendLost{Backend: "a1"})
	c.eventually("moving", func() bool { return owners(a.view())["moving"] == 8 })
	ready := service.ReleaseReady{Backend: "a1", Lapsed: true}
	for p, o := range a.view().Services["stock"].Owners {
		if o.Moving() {
			ready.Partitions = append(ready.Partitions,
				service.PartitionEpoch{Service: "stock", Partition: entity.Partition(p), Epoch: o.Epoch})
		}
	}
	require.Equal(t, 8, owners(a.view())["moving"], "nothing is granted before the proof")
	a.tell(t, ready)
	c.eventually("granted", func() bool { return owners(a.view())["a2"] == 16 })
	a.tell(t, service.BackendRecovered{Backend: "a1"})
	c.eventually("load returns", func() bool { return owners(a.view())["moving"] > 0 })
}

// Guards against a start that fails once the log has dropped its first records.
func TestNewInstanceRestoresFromACheckpoint(t *testing.T) {
	c := newCluster(t)
	settings := control.Settings{CheckpointEvery: 20}
	c.log.SetRetention(100)
	a := c.start("a", settings)
	a.tell(t, service.ConfigChanged{Config: testConfig(operator.Zone{Name: "a"}), Version: 1})
	for i := range 150 {
		// Changes that go on: one back end is lost and comes back.
		if i%2 == 0 {
			a.tell(t, service.BackendLost{Backend: "a1"})
		} else {
			a.tell(t, service.BackendRecovered{Backend: "a1"})
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

// Guards against an instance that cannot start or goes blind while the platform is out of its reach.
func TestPeersServeStateAndRecords(t *testing.T) {
	c := newCluster(t)
	a := c.start("a", control.Settings{})
	a.tell(t, service.ConfigChanged{Config: testConfig(operator.Zone{Name: "a"}), Version: 1})
	c.eventually("assigned", func() bool { return owners(a.view())["a1"] == 8 })
	a.down.Store(true)
	settings := control.Settings{Peers: []string{a.self.Address}}
	c.log.SetFaults(platformapi.Faults{Unavailable: true})
	b := c.start("a", settings)
	c.eventually("state fetched", func() bool { return owners(b.view())["a1"] == 8 })
	b.down.Store(true)
	a.down.Store(false)
	c.log.SetFaults(platformapi.Faults{})
	a.tell(t, service.BackendLost{Backend: "a2"})
	c.eventually("record relayed", func() bool { return owners(b.view())["moving"] == 8 })
	require.Len(t, b.view().Members, 1, "an instance without the log cannot join")
}

// Guards against dead members that stay in the roster, and against the removal of one that is only silent.
func TestDeadMembersAreRemoved(t *testing.T) {
	c := newCluster(t)
	a, b, d := c.start("a", control.Settings{}), c.start("a", control.Settings{}), c.start("a", control.Settings{})
	silence := c.heartbeats(a, b, d)
	c.list(a, b, d)
	for _, n := range []*node{a, b, d} {
		n.tell(t, service.ConfigChanged{Config: testConfig(operator.Zone{Name: "a"}), Version: 1})
	}
	c.eventually("all join", func() bool { return len(a.view().Members) == 3 })
	silence(d)
	d.down.Store(true)
	start := c.clock.Now()
	c.eventually("time passes", func() bool { return c.clock.Now()-start > 6*time.Second })
	require.Len(t, a.view().Members, 3, "a silent member that the platform lists as live stays")
	c.list(a, b)
	c.eventually("removed", func() bool { return len(a.view().Members) == 2 && len(b.view().Members) == 2 })
	silence(b)
	b.down.Store(true)
	start = c.clock.Now()
	c.list(a)
	c.eventually("group without majority replaced", func() bool { return len(a.view().Members) == 1 })
	require.GreaterOrEqual(t, c.clock.Now()-start, 2*time.Second, "not before the cut-off hold")
}

// Guards against a lost zone whose keys are never served again, or are given away before the zone must have stopped.
func TestLostZoneIsTakenOver(t *testing.T) {
	c := newCluster(t)
	a, b, d := c.start("a", control.Settings{}), c.start("b", control.Settings{}), c.start("c", control.Settings{})
	silence := c.heartbeats(a, b, d)
	config := testConfig(operator.Zone{Name: "a"}, operator.Zone{Name: "b"}, operator.Zone{Name: "c"})
	for _, n := range []*node{a, b, d} {
		n.tell(t, service.ConfigChanged{Config: config, Version: 1})
	}
	c.eventually("assigned", func() bool { return owners(a.view())["c1"] > 0 && len(a.view().Members) == 3 })
	silence(d)
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

// Guards against a confirmed loss that waits for a zone that the operator knows to be stopped.
func TestConfirmedLossIsTakenOverAtOnce(t *testing.T) {
	c := newCluster(t)
	a, b := c.start("a", control.Settings{}), c.start("b", control.Settings{})
	zones := []operator.Zone{{Name: "a"}, {Name: "b"}}
	for _, n := range []*node{a, b} {
		n.tell(t, service.ConfigChanged{Config: testConfig(zones...), Version: 1})
	}
	c.eventually("assigned", func() bool { return owners(a.view())["b1"] > 0 && len(a.view().Members) == 2 })
	b.down.Store(true)
	zones[1].State = operator.ZoneLost
	start := c.clock.Now()
	a.tell(t, service.ConfigChanged{Config: testConfig(zones...), Version: 2})
	c.eventually("taken over", func() bool {
		counts := owners(a.view())
		return counts["a1"]+counts["a2"] == 16
	})
	require.Less(t, c.clock.Now()-start, 3800*time.Millisecond)
}

// Guards against a drained back end or a removed service that keeps its partitions.
func TestDrainAndRemovalMovePartitions(t *testing.T) {
	c := newCluster(t)
	a := c.start("a", control.Settings{})
	config := testConfig(operator.Zone{Name: "a"})
	a.tell(t, service.ConfigChanged{Config: config, Version: 1})
	c.eventually("assigned", func() bool { return owners(a.view())["a1"] == 8 })
	config = testConfig(operator.Zone{Name: "a"})
	config.Services[0].Backends[0].State = operator.BackendDrain
	a.tell(t, service.ConfigChanged{Config: config, Version: 2})
	c.eventually("moving in steps", func() bool { return owners(a.view())["moving"] > 0 })
	require.Less(t, owners(a.view())["moving"], 8)
	a.tell(t, service.ConfigChanged{Config: &operator.Config{Zones: config.Zones}, Version: 3})
	c.eventually("service forgotten", func() bool { return len(a.view().Services) == 0 })
}

// Guards against a straggler that keeps its whole share, and against a hot key that stays with an overloaded owner.
func TestStragglerGivesPartitionsAndHotKeyMoves(t *testing.T) {
	c := newCluster(t)
	a := c.start("a", control.Settings{})
	config := testConfig(operator.Zone{Name: "a"})
	for _, name := range []string{"a3", "a4"} {
		b := config.Services[0].Backends[0]
		b.Name = name
		config.Services[0].Backends = append(config.Services[0].Backends, b)
	}
	config.Services[0].Partitions = 64
	a.tell(t, service.ConfigChanged{Config: config, Version: 1})
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
	c.eventually("hot key named", func() bool {
		report(false)
		_, named := a.view().Services["stock"].Hot[hot]
		return named
	})
	c.eventually("straggler reduced", func() bool {
		report(true)
		return a.view().Services["stock"].Slow["a1"] > 0
	})
	c.eventually("straggler gives partitions", func() bool {
		for _, o := range a.view().Services["stock"].Owners {
			if o.Backend == "a1" && o.Moving() {
				return true
			}
		}
		return false
	})
	require.Len(t, a.view().Services["stock"].Slow, 1)
}

// readyFor is the proof, by acknowledgement, that a back end has stopped work for its moving partitions.
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

// Guards against a second owner of a key that became hot while a request for it ran under its base partition: the end of
// work for the new partition says nothing about that request.
func TestNewHotKeyIsNotReleasedBeforeOldRequestsEnd(t *testing.T) {
	c := newCluster(t)
	a := c.start("a", control.Settings{})
	config := testConfig(operator.Zone{Name: "a"})
	a.tell(t, service.ConfigChanged{Config: config, Version: 1})
	c.eventually("assigned", func() bool { return owners(a.view())["a1"] == 8 })
	hot := entity.HashKey("hot")
	owner := a.view().Services["stock"].Owners[a.view().Services["stock"].Locate(hot)].Backend
	named := c.clock.Now() // the last time at which it was not named
	for n := 0; ; n++ {
		before := c.clock.Now()
		if a.view().Services["stock"].Hot[hot] != 0 {
			break
		}
		named = before
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
	a.tell(t, service.ConfigChanged{Config: drained, Version: 2})
	virtual := a.view().Services["stock"].Hot[hot]
	c.eventually("hot key released", func() bool {
		a.tell(t, readyFor(a.view(), owner))
		return a.view().Services["stock"].Owners[virtual].Backend != owner
	})
	require.GreaterOrEqual(t, c.clock.Now()-named, time.Second, "max_run is 1s")
}

// Guards against partitions of a back end that was removed from the configuration: nobody attends to it, so no proof comes.
func TestRemovedBackendIsReleasedAfterTheWait(t *testing.T) {
	c := newCluster(t)
	a := c.start("a", control.Settings{})
	config := testConfig(operator.Zone{Name: "a"})
	a.tell(t, service.ConfigChanged{Config: config, Version: 1})
	c.eventually("assigned", func() bool { return owners(a.view())["a1"] == 8 })
	removed := testConfig(operator.Zone{Name: "a"})
	removed.Services[0].Backends = removed.Services[0].Backends[1:]
	start := c.clock.Now()
	a.tell(t, service.ConfigChanged{Config: removed, Version: 2})
	c.eventually("moved", func() bool { return owners(a.view())["a2"] == 16 })
	// cutoff_hold 2s, lease 400ms, session 400ms, max_run 1s.
	require.GreaterOrEqual(t, c.clock.Now()-start, 3800*time.Millisecond)
}
