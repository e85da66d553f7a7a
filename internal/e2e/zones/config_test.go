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

// Guards against a withdrawn key that goes on working in a zone that cannot know, and against internal routes that stop
// with the open ones.
func TestKeyWithdrawnWhileZoneIsCut(t *testing.T) {
	layout := threeZones()
	layout.staleness = time.Second
	s := newSite(t, layout)
	own := s.keysOn("a1")
	l := s.startLoad()
	time.Sleep(time.Second)
	s.net.begin(zoneCut("a"))
	cutAt := time.Now()
	config, err := operator.From(s.config).Customer("florist", 10000, 10000, operator.HashKey("another-key-0123456789")).Build()
	require.NoError(t, err)
	s.mustPublish(config)
	published := time.Now()
	a := s.in("a")[0]
	s.eventually(func() bool { return look(a, own[0]).reason == string(entity.ReasonStaleKeys) }, "open routes are not refused")
	t.Logf("refused %v after the cut", time.Since(cutAt))
	served := inside(a, own[0])
	require.Less(t, time.Since(cutAt), cutoffHold, "refused too late to see internal routes served")
	require.Equal(t, answered, served.outcome, "internal route: %+v", served)
	for _, i := range s.in("b", "c") {
		s.eventually(func() bool { return look(i, own[0]).reason == string(entity.ReasonUnauthenticated) }, "key still works")
	}
	require.Less(t, time.Since(published), inForceBound)
	time.Sleep(time.Until(published.Add(inForceBound)))
	inForce := time.Now()
	time.Sleep(time.Second)
	s.net.heal()
	for _, i := range s.instances {
		s.eventually(func() bool { return look(i, own[0]).reason == string(entity.ReasonUnauthenticated) }, "key works after healing")
	}
	s.finish(l)
	for _, zone := range []string{"a", "b", "c"} {
		for _, a := range l.between(zone, inForce, time.Now()) {
			require.NotEqual(t, answered, a.outcome, "withdrawn key worked: %+v", a)
		}
	}
}

// Guards against two accepted changes on one base, and against an older version that returns after a cut.
func TestOperatorsRaceDuringCut(t *testing.T) {
	s := newSite(t, threeZones())
	l := s.startLoad()
	versions := s.watchVersions()
	s.net.begin(zoneCut("a"))
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
		require.Equal(t, before, st.ConfigVersion, "the cut zone knows the new version")
	}
	s.net.heal()
	s.waitVersion(s.instances, winner)
	time.Sleep(time.Second)
	versions.end(t)
	s.waitServed(s.instances, s.keys)
	s.finish(l)
}

// waitVersion waits until instances show a version.
func (s *site) waitVersion(instances []*node, version uint64) {
	s.t.Helper()
	for _, i := range instances {
		s.eventually(func() bool { st, err := i.status(); return err == nil && st.ConfigVersion == version },
			"instance %s does not show version %d", i.place.node, version)
	}
}

// watch notes versions that go back.
type watch struct {
	stop     chan struct{}
	watchers sync.WaitGroup
	mu       sync.Mutex
	wentBack []string
	polls    int
}

// watchVersions polls the configuration version of all instances.
func (s *site) watchVersions() *watch {
	w := &watch{stop: make(chan struct{})}
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
					w.wentBack = append(w.wentBack, i.place.node)
				}
				w.mu.Unlock()
				highest = max(highest, st.ConfigVersion)
			}
		})
	}
	return w
}

// end stops the polls and requires that no version went back.
func (w *watch) end(t *testing.T) {
	t.Helper()
	close(w.stop)
	w.watchers.Wait()
	require.Positive(t, w.polls)
	require.Empty(t, w.wentBack, "instances showed an older version later")
}

// Guards against requests cut off when a zone is taken out or returns, and against cold back ends that get more than they
// bear from it.
func TestZoneOutDuringColdStart(t *testing.T) {
	layout := threeZones()
	// The ramp of the design gives a second slot after 10 successes, so that the back ends must be warm by then.
	layout.options.ColdLimit, layout.options.WarmAfter, layout.options.ColdWork = 1, 10, 20*time.Millisecond
	s := newSite(t, layout)
	require.NoError(t, s.restart("b1"))
	s.waitServed(s.instances[:1], s.keys[:1])
	l := s.startLoad()
	begin := time.Now()
	out, err := operator.From(s.config).ZoneState("a", operator.ZoneOut).Build()
	require.NoError(t, err)
	s.mustPublish(out)
	time.Sleep(inForceBound)
	inForce := time.Now()
	time.Sleep(time.Second)
	require.Zero(t, startedAfter(s.backends["a1"], inForce), "new work in a zone that was taken out")
	require.NoError(t, s.restart("a1"))
	back, err := operator.From(s.config).ZoneState("a", operator.ZoneActive).Build()
	require.NoError(t, err)
	s.mustPublish(back)
	returned := time.Now()
	s.eventually(func() bool { return startedAfter(s.backends["a1"], returned) > 0 }, "the zone does not take part again")
	time.Sleep(2 * time.Second)
	s.finish(l)
	for name, b := range s.backends {
		for _, e := range b.Executions().Executions {
			require.NotEqual(t, backend.EndFailed, e.End, "cold back end %s collapsed %v after the start: %+v",
				name, e.Started.Sub(begin), e)
		}
	}
	for _, zone := range []string{"a", "b", "c"} {
		requireAnswered(t, l.between(zone, begin, time.Now()))
	}
}

// restart ends the process of a back end and starts another, which is cold.
func (s *site) restart(name string) error {
	s.backends[name].Kill()
	return s.backends[name].Restart()
}
