package zones

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/configlog"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/standin/backend"
	"github.com/pollenpier/pollenpier/operator"
)

// Guards against a withdrawn customer key that is still accepted in an isolated zone, which cannot receive the change, and
// against internal routes that are refused there together with the open ones.
func TestKeyWithdrawnWhileZoneIsIsolated(t *testing.T) {
	layout := threeZones()
	layout.staleness = time.Second
	s := newSite(t, layout)
	own := s.keysOn("a1")
	l := s.startLoad()
	time.Sleep(time.Second)
	s.net.apply(isolateZone("a"))
	isolatedAt := time.Now()
	config, err := operator.From(s.config).Customer("florist", 10000, 10000, operator.HashKey("another-key-0123456789")).Build()
	require.NoError(t, err)
	s.mustPublish(config)
	published := time.Now()
	a := s.in("a")[0]
	s.eventually(func() bool { return look(a, own[0]).reason == string(entity.ReasonStaleKeys) }, "open routes were not refused")
	t.Logf("open routes were refused %v after the isolation began", time.Since(isolatedAt))
	served := inside(a, own[0])
	require.Less(t, time.Since(isolatedAt), cutoffHold, "open routes were refused too late for the check of internal routes")
	require.Equal(t, answered, served.outcome, "internal route: %+v", served)
	for _, i := range s.in("b", "c") {
		s.eventually(func() bool { return look(i, own[0]).reason == string(entity.ReasonUnauthenticated) }, "the withdrawn key is still accepted")
	}
	require.Less(t, time.Since(published), configChangeBound)
	time.Sleep(time.Until(published.Add(configChangeBound)))
	effectiveAt := time.Now()
	time.Sleep(time.Second)
	s.net.heal()
	for _, i := range s.instances {
		s.eventually(func() bool { return look(i, own[0]).reason == string(entity.ReasonUnauthenticated) }, "the withdrawn key is accepted after healing")
	}
	s.finish(l)
	for _, zone := range []string{"a", "b", "c"} {
		for _, a := range l.between(zone, effectiveAt, time.Now()) {
			require.NotEqual(t, answered, a.outcome, "the withdrawn key was accepted: %+v", a)
		}
	}
}

// Guards against two accepted changes that are based on the same version, and against an instance that applies an older
// version after a network partition has healed.
func TestOperatorsRaceDuringNetworkPartition(t *testing.T) {
	s := newSite(t, threeZones())
	l := s.startLoad()
	versions := s.watchVersions()
	s.net.apply(isolateZone("a"))
	before := s.version
	var race sync.WaitGroup
	results := make([]configlog.Result, 2)
	for n, name := range []string{"baker", "brewer"} {
		config, err := operator.From(s.config).Customer(name, 10, 10, operator.HashKey("key-of-"+name+"-0123456789")).Build()
		require.NoError(t, err)
		race.Go(func() {
			result, err := s.publish(before, config, name)
			if err == nil {
				results[n] = result
			}
		})
	}
	race.Wait()
	require.NotEqual(t, results[0].Accepted, results[1].Accepted, "%+v", results)
	winner := results[0].Version
	if results[1].Accepted {
		winner = results[1].Version
	}
	s.waitVersion(s.in("b", "c"), winner)
	for _, i := range s.in("a") {
		st, err := i.status()
		require.NoError(t, err)
		require.Equal(t, before, st.ConfigVersion, "the isolated zone received the new version")
	}
	s.net.heal()
	s.waitVersion(s.instances, winner)
	time.Sleep(time.Second)
	versions.end(t)
	s.waitServed(s.instances, s.keys)
	s.finish(l)
}

// waitVersion waits until the instances report a version.
func (s *site) waitVersion(instances []*node, version uint64) {
	s.t.Helper()
	for _, i := range instances {
		s.eventually(func() bool { st, err := i.status(); return err == nil && st.ConfigVersion == version },
			"instance %s does not report version %d", i.endpoint.node, version)
	}
}

// versionWatch records the instances whose configuration version decreased.
type versionWatch struct {
	stop      chan struct{}
	watchers  sync.WaitGroup
	mu        sync.Mutex
	decreased []string
	polls     int
}

// watchVersions polls the configuration version of all instances.
func (s *site) watchVersions() *versionWatch {
	w := &versionWatch{stop: make(chan struct{})}
	for _, i := range s.instances {
		w.watchers.Go(func() {
			highest := uint64(0)
			for {
				select {
				case <-w.stop:
					return
				case <-time.After(callInterval):
				}
				st, err := i.status()
				if err != nil {
					continue
				}
				w.mu.Lock()
				w.polls++
				if st.ConfigVersion < highest {
					w.decreased = append(w.decreased, i.endpoint.node)
				}
				w.mu.Unlock()
				highest = max(highest, st.ConfigVersion)
			}
		})
	}
	return w
}

// end stops polling and requires that no version decreased.
func (w *versionWatch) end(t *testing.T) {
	t.Helper()
	close(w.stop)
	w.watchers.Wait()
	require.Positive(t, w.polls)
	require.Empty(t, w.decreased, "instances applied an older version")
}

// Guards against requests that fail when a zone is taken out or re-enabled, and against cold backends that receive more
// requests than they can handle because of it.
func TestZoneOutDuringColdStart(t *testing.T) {
	layout := threeZones()
	// The designed ramp adds the second slot after 10 successes, so the backends must be warm by then.
	layout.options.ColdLimit, layout.options.WarmAfter, layout.options.ColdWork = 1, 10, 20*time.Millisecond
	s := newSite(t, layout)
	require.NoError(t, s.restart("b1"))
	s.waitServed(s.instances[:1], s.keys[:1])
	l := s.startLoad()
	begin := time.Now()
	disabled, err := operator.From(s.config).ZoneState("a", operator.ZoneOut).Build()
	require.NoError(t, err)
	s.mustPublish(disabled)
	time.Sleep(configChangeBound)
	effectiveAt := time.Now()
	time.Sleep(time.Second)
	require.Zero(t, startedAfter(s.backends["a1"], effectiveAt), "requests started in a zone that was taken out")
	require.NoError(t, s.restart("a1"))
	reenabled, err := operator.From(s.config).ZoneState("a", operator.ZoneActive).Build()
	require.NoError(t, err)
	s.mustPublish(reenabled)
	reenabledAt := time.Now()
	s.eventually(func() bool { return startedAfter(s.backends["a1"], reenabledAt) > 0 }, "the re-enabled zone did not receive requests")
	time.Sleep(2 * time.Second)
	s.finish(l)
	for name, b := range s.backends {
		for _, e := range b.Executions().Executions {
			require.NotEqual(t, backend.EndFailed, e.End, "cold backend %s collapsed %v after the start of the test: %+v",
				name, e.Started.Sub(begin), e)
		}
	}
	for _, zone := range []string{"a", "b", "c"} {
		requireAnswered(t, l.between(zone, begin, time.Now()))
	}
}

// restart kills the process of a backend and starts a new one, which is cold.
func (s *site) restart(name string) error {
	s.backends[name].Kill()
	return s.backends[name].Restart()
}
