package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/standin/backend"
	platformstandin "github.com/pollenpier/pollenpier/internal/standin/platform"
	"github.com/pollenpier/pollenpier/operator"
)

// configChangeBound is the required time within which draining, taking a zone out and withdrawing a key take effect.
const configChangeBound = 3 * time.Second

// platformFaults replaces the faults of the platform.
func (s *site) platformFaults(f platformstandin.Faults) {
	s.t.Helper()
	s.put("http://"+s.platform+platformstandin.PathFaults, f)
}

// load sends requests from several callers until it is stopped and counts the responses by outcome and reason.
type load struct {
	mu      sync.Mutex
	counts  map[string]int
	latest  map[string]time.Time
	stop    chan struct{}
	callers sync.WaitGroup
}

// startLoad starts callers that send requests to the instances in turn: every tenth one calls book, the others look.
func (s *site) startLoad(callers int, keys []string, instances ...*instance) *load {
	l := &load{counts: map[string]int{}, latest: map[string]time.Time{}, stop: make(chan struct{})}
	for c := range callers {
		l.callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				default:
				}
				address := instances[(c+n)%len(instances)].callers
				key := keys[(c*7+n)%len(keys)]
				if n%10 == 9 {
					l.add(bookNew(address, key, fmt.Sprintf("load-%d-%d", c, n)))
				} else {
					l.add(look(address, key))
				}
			}
		})
	}
	return l
}

func (l *load) add(r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kind := r.outcome + " " + r.reason
	if r.err != nil {
		kind = "connection error"
	}
	l.counts[kind]++
	l.latest[kind] = time.Now()
}

// end stops the callers and returns the number of responses by outcome and reason.
func (l *load) end() map[string]int {
	close(l.stop)
	l.callers.Wait()
	return l.counts
}

// Guards against an outage of the platform that interrupts service, including the case that an instance is killed during it.
func TestPlatformDownWithInstanceLost(t *testing.T) {
	s := newSite(t, map[string][]string{"a": {"a1", "a2", "a3"}}, true)
	for range 4 {
		s.addInstance("a")
	}
	keys := manyKeys(30)
	s.waitServed(keys)
	s.platformFaults(platformstandin.Faults{Outage: true})
	time.Sleep(time.Second)
	s.instances[0].kill()
	killedAt := time.Now()
	remaining := s.instances[1:]
	for _, key := range keys {
		s.eventually(func() bool { return look(remaining[0].callers, key).outcome == "answered" }, "key %s is not served", key)
	}
	t.Logf("all keys were served %v after the instance was killed", time.Since(killedAt))
	l := s.startLoad(4, keys, remaining...)
	time.Sleep(s.config.Services[0].CutoffHold + 2*time.Second)
	seen := l.end()
	t.Logf("responses during the outage: %v", seen)
	require.Len(t, seen, 1)
	require.Positive(t, seen["answered "])
	s.platformFaults(platformstandin.Faults{})
	s.checkInvariants()
}

// Guards against overlapping owners when a paused backend resumes after its partitions have moved to other backends.
func TestFrozenOwnerReturns(t *testing.T) {
	s := newSite(t, map[string][]string{"a": {"a1", "a2", "a3"}}, true)
	for range 3 {
		s.addInstance("a")
	}
	keys := manyKeys(30)
	s.waitServed(keys)
	l := s.startLoad(4, keys, s.instances...)
	require.NoError(t, s.backends["a1"].cmd.Process.Signal(syscall.SIGSTOP))
	time.Sleep(3 * time.Second)
	require.NoError(t, s.backends["a1"].cmd.Process.Signal(syscall.SIGCONT))
	time.Sleep(3 * time.Second)
	t.Logf("responses: %v", l.end())
	s.waitServed(keys)
	s.checkInvariants()
}

// Guards against an instance that keeps forwarding requests to its backends after a pause that was longer than its leases.
func TestPausedInstanceReturns(t *testing.T) {
	s := newSite(t, map[string][]string{"a": {"a1", "a2"}}, true)
	for range 4 {
		s.addInstance("a")
	}
	keys := manyKeys(30)
	s.waitServed(keys)
	l := s.startLoad(4, keys, s.instances[1:]...)
	for range 3 {
		require.NoError(t, s.instances[0].cmd.Process.Signal(syscall.SIGSTOP))
		time.Sleep(1200 * time.Millisecond)
		require.NoError(t, s.instances[0].cmd.Process.Signal(syscall.SIGCONT))
		time.Sleep(700 * time.Millisecond)
	}
	t.Logf("responses: %v", l.end())
	s.waitServed(keys)
	s.checkInvariants()
}

// Guards against assignments that are lost or made twice when appends take effect but the platform's answers are lost.
func TestLostAnswersOfThePlatform(t *testing.T) {
	s := newSite(t, map[string][]string{"a": {"a1", "a2"}}, true)
	s.platformFaults(platformstandin.Faults{LoseAnswers: platformstandin.AllAnswers})
	for range 2 {
		s.addInstance("a")
	}
	keys := manyKeys(30)
	s.waitServed(keys)
	s.backends["a2"].kill()
	killedAt := time.Now()
	for _, key := range keys {
		s.eventually(func() bool { return look(s.instances[0].callers, key).outcome == "answered" }, "key %s is not served", key)
	}
	t.Logf("all keys were served %v after the backend was killed", time.Since(killedAt))
	delete(s.backends, "a2")
	s.checkInvariants()
}

// Guards against a withdrawn customer key that is still accepted, in particular on a connection that stays open.
func TestWithdrawnKeyStopsOnOpenConnections(t *testing.T) {
	s := newSite(t, map[string][]string{"a": {"a1"}, "b": {"b1"}}, true)
	s.addInstance("a")
	s.addInstance("b")
	s.waitServed(manyKeys(5))
	changed := operator.From(s.config).Customer("florist", 10000, 10000, operator.HashKey("another-key-0123456789"))
	config, err := changed.Build()
	require.NoError(t, err)
	s.publish(config)
	published := time.Now()
	for _, i := range s.instances {
		s.eventually(func() bool { return look(i.callers, "key-1").status == http.StatusUnauthorized }, "the withdrawn key is still accepted")
	}
	took := time.Since(published)
	t.Logf("all instances refused the key after %v", took)
	require.Less(t, took, configChangeBound)
	time.Sleep(time.Second)
	for _, i := range s.instances {
		require.Equal(t, http.StatusUnauthorized, look(i.callers, "key-1").status)
	}
}

// Guards against requests that start on a draining backend or in a zone that was taken out, and against requests that are
// aborted by these changes.
func TestDrainAndZoneOutTakeEffect(t *testing.T) {
	s := newSite(t, map[string][]string{"a": {"a1", "a2"}, "b": {"b1", "b2"}}, true)
	for _, zone := range []string{"a", "a", "b", "b"} {
		s.addInstance(zone)
	}
	keys := manyKeys(30)
	s.waitServed(keys)
	l := s.startLoad(4, keys, s.instances...)
	config := operator.From(s.config).ZoneState("b", operator.ZoneOut)
	service := s.config.Services[0]
	service.Backends = append([]operator.Backend{}, service.Backends...)
	for n := range service.Backends {
		if service.Backends[n].Name == "a2" {
			service.Backends[n].State = operator.BackendDrain
		}
	}
	built, err := config.Service(service).Build()
	require.NoError(t, err)
	s.publish(built)
	time.Sleep(configChangeBound)
	effectiveAt := time.Now()
	time.Sleep(time.Second)
	seen := l.end()
	t.Logf("responses: %v", seen)
	require.Len(t, seen, 1, "not all requests were answered")
	for _, name := range []string{"a2", "b1", "b2"} {
		for _, e := range s.executions(name) {
			require.True(t, e.Started.Before(effectiveAt), "a request started on %s more than %v after the change", name, configChangeBound)
		}
	}
	s.checkInvariants()
}

// Guards against a cold backend that receives more requests than it can handle, at the start or after a crash under load.
func TestColdBackendGetsNoMoreThanItCanHandle(t *testing.T) {
	s := newSite(t, map[string][]string{"a": {"a1", "a2"}}, true,
		"--cold-limit", "1", "--warm-after", "10", "--cold-work", "30ms", "--work", "3ms")
	for range 3 {
		s.addInstance("a")
	}
	keys := manyKeys(30)
	s.waitServed(keys)
	l := s.startLoad(8, keys, s.instances...)
	time.Sleep(time.Second)
	crash := map[string]string{"X-Crash": "1", "Pollenpier-Deadline-Ms": "500"}
	call(s.instances[0].callers, http.MethodGet, "/order/look", "key-1", crash)
	time.Sleep(4 * time.Second)
	t.Logf("responses: %v", l.end())
	for name := range s.backends {
		for _, e := range s.executions(name) {
			require.NotEqual(t, backend.EndFailed, e.End, "backend %s collapsed", name)
		}
	}
	s.checkInvariants()
}

// Guards against a customer that exceeds its rate and burst in total over all instances, including while the token server
// is replaced after its instance was killed.
func TestRateHoldsAcrossInstances(t *testing.T) {
	const rate, burst = 60, 20
	s := newSite(t, map[string][]string{"a": {"a1", "a2"}, "b": {"b1"}}, true)
	for _, zone := range []string{"a", "a", "a", "b"} {
		s.addInstance(zone)
	}
	s.waitServed(manyKeys(10))
	config, err := operator.From(s.config).Customer("florist", rate, burst, operator.HashKey(customerKey)).Build()
	require.NoError(t, err)
	s.publish(config)
	time.Sleep(configChangeBound)
	begin := time.Now()
	l := s.startLoad(16, manyKeys(30), s.instances[1:]...)
	time.Sleep(2 * time.Second)
	s.instances[0].kill()
	time.Sleep(4 * time.Second)
	t.Logf("responses: %v", l.end())
	var starts []time.Time
	for _, list := range s.history() {
		for _, r := range list {
			if r.Started.After(begin) {
				starts = append(starts, r.Started)
			}
		}
	}
	require.NotEmpty(t, starts)
	slices.SortFunc(starts, time.Time.Compare)
	for n, at := range starts {
		// A request starts after its admission, so every request that has started by a given time was admitted by then.
		require.LessOrEqual(t, float64(n+1), rate*at.Sub(begin).Seconds()+burst, "admitted by %v", at.Sub(begin))
	}
}
