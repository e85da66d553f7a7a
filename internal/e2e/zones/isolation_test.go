package zones

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/standin/backend"
	"github.com/pollenpier/pollenpier/operator"
)

// requireAnswered requires that the list is not empty and that every request was answered.
func requireAnswered(t *testing.T, list []answer) {
	t.Helper()
	require.NotEmpty(t, list)
	for _, a := range list {
		require.Equal(t, answered, a.outcome, "%+v", a)
	}
}

// startedAfter counts the executions of a backend that started after a time.
func startedAfter(b *backend.Server, at time.Time) int {
	n := 0
	for _, e := range b.Executions().Executions {
		if e.Started.After(at) {
			n++
		}
	}
	return n
}

// Guards against an isolated zone that stops serving immediately, that never stops, or that still serves keys when another
// zone has become their owner.
func TestZoneIsolatedFromEverything(t *testing.T) {
	s := newSite(t, threeZones())
	own := s.keysOn("a1")
	l := s.startLoad()
	l.addCallers(s.in("a"), own)
	time.Sleep(time.Second)
	s.net.apply(isolateZone("a"))
	isolatedAt := time.Now()
	time.Sleep(cutoffHold + stopSlack)
	stopped := time.Now()
	requireAnswered(t, l.between("a", isolatedAt.Add(500*time.Millisecond), isolatedAt.Add(cutoffHold-callDeadline), own...))
	s.waitServed(s.in("b", "c"), own)
	t.Logf("other zones serve the keys %v after the isolation began", time.Since(isolatedAt))
	require.Zero(t, startedAfter(s.backends["a1"], stopped), "the isolated zone continued to serve beyond cutoff_hold")
	s.net.heal()
	healed := time.Now()
	s.eventually(func() bool { return startedAfter(s.backends["a1"], healed) > 0 }, "the zone does not serve again after healing")
	t.Logf("the zone serves again %v after healing", time.Since(healed))
	s.waitServed(s.instances, s.keys)
	t.Logf("all instances serve all keys %v after healing", time.Since(healed))
	s.finish(l)
}

// Guards against a zone that stops serving, or misses configuration changes, when it cannot reach the platform but can reach
// the other zones.
func TestZoneIsolatedFromPlatformAlone(t *testing.T) {
	s := newSite(t, threeZones())
	l := s.startLoad()
	time.Sleep(time.Second)
	s.net.apply(isolateFromPlatform("a"))
	isolatedAt := time.Now()
	time.Sleep(cutoffHold + stopSlack)
	config, err := operator.From(s.config).Customer("baker", 10, 10, operator.HashKey("key-of-baker-0123456789")).Build()
	require.NoError(t, err)
	s.mustPublish(config)
	published := time.Now()
	for _, i := range s.instances {
		s.eventually(func() bool { st, err := i.status(); return err == nil && st.ConfigVersion == s.version },
			"instance %s did not receive the new version", i.endpoint.node)
	}
	took := time.Since(published)
	t.Logf("all instances had the new version after %v", took)
	require.Less(t, took, configChangeBound)
	time.Sleep(time.Second)
	end := time.Now().Add(-callDeadline)
	s.net.heal()
	s.finish(l)
	for _, zone := range []string{"a", "b", "c"} {
		requireAnswered(t, l.between(zone, isolatedAt, end))
	}
}

// Guards against connected zones that stop serving during an outage of the platform that is longer than cutoff_hold.
func TestPlatformDownWithZonesConnected(t *testing.T) {
	s := newSite(t, threeZones())
	l := s.startLoad()
	time.Sleep(time.Second)
	s.net.apply(isolateFromPlatform())
	outageAt := time.Now()
	time.Sleep(2*cutoffHold + stopSlack)
	end := time.Now().Add(-callDeadline)
	s.net.heal()
	s.finish(l)
	for _, zone := range []string{"a", "b", "c"} {
		requireAnswered(t, l.between(zone, outageAt, end))
	}
}

// Guards against an isolated zone that serves beyond cutoff_hold during an outage of the platform, and against other zones
// that stop serving with it.
func TestPlatformDownAndOneZoneIsolated(t *testing.T) {
	s := newSite(t, threeZones())
	others := append(s.keysOn("b1"), s.keysOn("c1")...)
	l := s.startLoad()
	l.addCallers(s.in("a"), s.keysOn("a1"))
	time.Sleep(time.Second)
	s.net.apply(isolateFromPlatform())
	s.net.apply(isolateZone("a"))
	isolatedAt := time.Now()
	time.Sleep(cutoffHold + stopSlack)
	stopped := time.Now()
	time.Sleep(cutoffHold)
	end := time.Now().Add(-callDeadline)
	require.Zero(t, startedAfter(s.backends["a1"], stopped), "the isolated zone continued to serve beyond cutoff_hold")
	s.net.heal()
	healed := time.Now()
	s.waitServed(s.instances, s.keys)
	t.Logf("all instances serve all keys %v after healing", time.Since(healed))
	s.finish(l)
	for _, zone := range []string{"b", "c"} {
		requireAnswered(t, l.between(zone, isolatedAt, end, others...))
	}
}

// Guards against a backend whose primary has lost contact with its voters but remains primary, or that has two primaries.
func TestInstanceIsolatedFromItsZonePeers(t *testing.T) {
	const lease = "backend/a1"
	layout := threeZones()
	layout.instances = map[string]int{"a": 3, "b": 1, "c": 1}
	s := newSite(t, layout)
	own := s.keysOn("a1")
	l := s.startLoad()
	var holder *node
	instances := map[string]bool{}
	for _, i := range s.instances {
		instances[i.endpoint.node] = true
		if i.endpoint.zone == "a" && s.holds(i, lease) {
			holder = i
		}
	}
	require.NotNil(t, holder, "no instance holds %s", lease)
	s.net.apply(isolateFromPeers(holder.endpoint, instances))
	isolatedAt := time.Now()
	s.eventually(func() bool {
		for _, i := range s.in("a") {
			if i != holder && s.holds(i, lease) {
				return true
			}
		}
		return false
	}, "no other instance took over the backend")
	t.Logf("another instance took over %v after the isolation began", time.Since(isolatedAt))
	var remaining []*node
	for _, i := range s.instances {
		if i != holder {
			remaining = append(remaining, i)
		}
	}
	s.waitServed(remaining, own)
	t.Logf("all other instances serve the keys %v after the isolation began", time.Since(isolatedAt))
	require.False(t, s.holds(holder, lease), "two instances hold %s", lease)
	time.Sleep(time.Second)
	s.net.heal()
	s.waitServed(s.instances, s.keys)
	s.finish(l)
}

// Guards against a new instance that cannot serve while the platform is unavailable, although peers are configured.
func TestNewInstanceWhilePlatformIsDown(t *testing.T) {
	s := newSite(t, threeZones())
	l := s.startLoad()
	s.net.apply(isolateFromPlatform())
	time.Sleep(time.Second)
	started := time.Now()
	i := s.addInstance("a", s.instances[0].PeerAddress(), s.instances[2].PeerAddress())
	s.waitServed([]*node{i}, s.keys)
	t.Logf("the new instance serves all keys %v after its start", time.Since(started))
	s.net.heal()
	s.finish(l)
}

// Guards against keys of a frozen backend without token checks that move to another owner while the backend may still run
// requests that it has received.
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
	}, "the request did not start")
	l := s.startLoad() // not earlier, since slow requests of the load would occupy the slots
	s.backends["a1"].SetFaults(backend.Faults{Freeze: true, LatencyMs: int(10 * maxRun / time.Millisecond)})
	s.waitServed(s.in("b"), own)
	t.Logf("the keys were served again %v after the request was sent", time.Since(sent))
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
