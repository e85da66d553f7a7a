package zones

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/standin/backend"
	"github.com/pollenpier/pollenpier/operator"
)

// requireAnswered requires that requests were sent and all answered.
func requireAnswered(t *testing.T, list []answer) {
	t.Helper()
	require.NotEmpty(t, list)
	for _, a := range list {
		require.Equal(t, answered, a.outcome, "%+v", a)
	}
}

// startedAfter counts the executions on a back end that started after a time.
func startedAfter(b *backend.Server, at time.Time) int {
	n := 0
	for _, e := range b.Executions().Executions {
		if e.Started.After(at) {
			n++
		}
	}
	return n
}

// Guards against a zone without contact that stops at once, goes on for ever, or overlaps with those that take over.
func TestZoneCutFromEverything(t *testing.T) {
	s := newSite(t, threeZones())
	own := s.keysOn("a1")
	l := s.startLoad()
	l.callAt(s.in("a"), own)
	time.Sleep(time.Second)
	s.net.begin(zoneCut("a"))
	cutAt := time.Now()
	time.Sleep(cutoffHold + stopSlack)
	stopped := time.Now()
	requireAnswered(t, l.between("a", cutAt.Add(500*time.Millisecond), cutAt.Add(cutoffHold-callDeadline), own...))
	s.waitServed(s.in("b", "c"), own)
	t.Logf("other zones serve the keys %v after the cut", time.Since(cutAt))
	require.Zero(t, startedAfter(s.backends["a1"], stopped), "the cut zone went on beyond cutoff_hold")
	s.net.heal()
	healed := time.Now()
	s.eventually(func() bool { return startedAfter(s.backends["a1"], healed) > 0 }, "the zone does not take part again")
	t.Logf("the zone takes part again %v after healing", time.Since(healed))
	s.waitServed(s.instances, s.keys)
	t.Logf("all instances serve all keys %v after healing", time.Since(healed))
	s.finish(l)
}

// Guards against a zone that stops, or misses changes of the configuration, because it has lost the platform alone.
func TestZoneCutFromPlatformAlone(t *testing.T) {
	s := newSite(t, threeZones())
	l := s.startLoad()
	time.Sleep(time.Second)
	s.net.begin(platformCut("a"))
	cutAt := time.Now()
	time.Sleep(cutoffHold + stopSlack)
	config, err := operator.From(s.config).Customer("baker", 10, 10, operator.HashKey("key-of-baker-0123456789")).Build()
	require.NoError(t, err)
	s.mustPublish(config)
	published := time.Now()
	for _, i := range s.instances {
		s.eventually(func() bool { st, err := i.status(); return err == nil && st.ConfigVersion == s.version },
			"version does not reach instance %s", i.place.node)
	}
	took := time.Since(published)
	t.Logf("in force everywhere after %v", took)
	require.Less(t, took, inForceBound)
	time.Sleep(time.Second)
	end := time.Now().Add(-callDeadline)
	s.net.heal()
	s.finish(l)
	for _, zone := range []string{"a", "b", "c"} {
		requireAnswered(t, l.between(zone, cutAt, end))
	}
}

// Guards against connected zones that stop in an outage of the platform that is longer than cutoff_hold.
func TestPlatformDownWithZonesConnected(t *testing.T) {
	s := newSite(t, threeZones())
	l := s.startLoad()
	time.Sleep(time.Second)
	s.net.begin(platformCut())
	cutAt := time.Now()
	time.Sleep(2*cutoffHold + stopSlack)
	end := time.Now().Add(-callDeadline)
	s.net.heal()
	s.finish(l)
	for _, zone := range []string{"a", "b", "c"} {
		requireAnswered(t, l.between(zone, cutAt, end))
	}
}

// Guards against a zone that goes on alone in an outage of the platform, and against the others stopping with it.
func TestPlatformDownAndOneZoneCut(t *testing.T) {
	s := newSite(t, threeZones())
	others := append(s.keysOn("b1"), s.keysOn("c1")...)
	l := s.startLoad()
	l.callAt(s.in("a"), s.keysOn("a1"))
	time.Sleep(time.Second)
	s.net.begin(platformCut())
	s.net.begin(zoneCut("a"))
	cutAt := time.Now()
	time.Sleep(cutoffHold + stopSlack)
	stopped := time.Now()
	time.Sleep(cutoffHold)
	end := time.Now().Add(-callDeadline)
	require.Zero(t, startedAfter(s.backends["a1"], stopped), "the cut zone went on beyond cutoff_hold")
	s.net.heal()
	healed := time.Now()
	s.waitServed(s.instances, s.keys)
	t.Logf("all instances serve all keys %v after healing", time.Since(healed))
	s.finish(l)
	for _, zone := range []string{"b", "c"} {
		requireAnswered(t, l.between(zone, cutAt, end, others...))
	}
}

// Guards against a back end that stays with an instance without contact to its voters, or is served by two.
func TestInstanceCutFromItsZonePeers(t *testing.T) {
	const lease = "backend/a1"
	layout := threeZones()
	layout.instances = map[string]int{"a": 3, "b": 1, "c": 1}
	s := newSite(t, layout)
	own := s.keysOn("a1")
	l := s.startLoad()
	var holder *node
	instances := map[string]bool{}
	for _, i := range s.instances {
		instances[i.place.node] = true
		if i.place.zone == "a" && s.holds(i, lease) {
			holder = i
		}
	}
	require.NotNil(t, holder, "nobody holds %s", lease)
	s.net.begin(peersCut(holder.place, instances))
	cutAt := time.Now()
	s.eventually(func() bool {
		for _, i := range s.in("a") {
			if i != holder && s.holds(i, lease) {
				return true
			}
		}
		return false
	}, "no other instance takes the back end over")
	t.Logf("taken over %v after the cut", time.Since(cutAt))
	var rest []*node
	for _, i := range s.instances {
		if i != holder {
			rest = append(rest, i)
		}
	}
	s.waitServed(rest, own)
	t.Logf("served again everywhere else %v after the cut", time.Since(cutAt))
	require.False(t, s.holds(holder, lease), "two instances hold %s", lease)
	time.Sleep(time.Second)
	s.net.heal()
	s.waitServed(s.instances, s.keys)
	s.finish(l)
}

// Guards against a new instance that cannot serve until the platform is back.
func TestNewInstanceWhilePlatformIsDown(t *testing.T) {
	s := newSite(t, threeZones())
	l := s.startLoad()
	s.net.begin(platformCut())
	time.Sleep(time.Second)
	started := time.Now()
	i := s.addInstance("a", s.instances[0].PeerAddress(), s.instances[2].PeerAddress())
	s.waitServed([]*node{i}, s.keys)
	t.Logf("the new instance serves all keys %v after its start", time.Since(started))
	s.net.heal()
	s.finish(l)
}

// Guards against keys of a frozen back end that move while it may still run what it got, if it checks no tokens.
func TestFrozenUncheckedBackendIsWaitedFor(t *testing.T) {
	layout := threeZones()
	layout.backends = map[string]int{"a": 2, "b": 1, "c": 1}
	layout.options.ChecksTokens = false
	s := newSite(t, layout)
	own := s.keysOn("a1")
	s.backends["a1"].SetFaults(backend.Faults{LatencyMs: int(10 * maxRun / time.Millisecond)})
	sent := time.Now()
	inFlight := make(chan answer, 1)
	go func() {
		inFlight <- call(s.instances[0], s.instances[0].CallersAddress(), "POST", "/order/book", own[0], map[string]string{
			"Idempotency-Key": "in-flight", "Pollenpier-Age-Ms": "0", "Pollenpier-Deadline-Ms": "20000",
		})
	}()
	s.eventually(func() bool {
		for _, r := range s.history()[own[0]] {
			if r.IdempotencyKey == "in-flight" {
				sent = r.Started
				return true
			}
		}
		return false
	}, "the request does not run")
	l := s.startLoad() // not before, since slow requests of the load would take the slots
	s.backends["a1"].SetFaults(backend.Faults{Freeze: true, LatencyMs: int(10 * maxRun / time.Millisecond)})
	s.waitServed(s.in("b"), own)
	t.Logf("keys served again %v after the request was sent", time.Since(sent))
	for _, key := range own {
		for _, r := range s.history()[key] {
			if r.On != "a1" && r.Started.After(sent) {
				require.GreaterOrEqual(t, r.Started.Sub(sent), maxRun, "key %s moved too early", key)
			}
		}
	}
	s.backends["a1"].SetFaults(backend.Faults{})
	a := <-inFlight
	t.Logf("request in flight: %+v", a)
	require.NotEqual(t, notRun, a.outcome)
	time.Sleep(2 * time.Second)
	s.waitServed(s.instances, s.keys)
	s.finish(l)
}
