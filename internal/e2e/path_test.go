package e2e

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// recoveryBound is the required time within which a key is served again after its owner was lost.
const recoveryBound = time.Second

// Guards against a request that reaches a backend other than the owner of its key, or that carries no fencing token.
func TestEachKeyHasOneOwnerFromEveryInstance(t *testing.T) {
	s := newSite(t, map[string][]string{"a": {"a1", "a2"}, "b": {"b1", "b2"}}, true)
	s.addInstance("a")
	s.addInstance("b")
	keys := manyKeys(40)
	s.waitServed(keys)
	for _, i := range s.instances {
		for _, key := range keys {
			require.Equal(t, "answered", look(i.callers, key).outcome)
		}
	}
	owners := map[string]map[string]bool{}
	for name := range s.backends {
		for _, e := range s.executions(name) {
			require.NotEmpty(t, e.Epoch, "request without fencing token")
			require.Empty(t, e.KeyHeaders, "the customer's key reached a backend")
			if owners[e.Key+" "+e.Epoch] == nil {
				owners[e.Key+" "+e.Epoch] = map[string]bool{}
			}
			owners[e.Key+" "+e.Epoch][name] = true
		}
	}
	for key, names := range owners {
		require.Len(t, names, 1, "key and epoch %s ran on %v", key, names)
	}
}

// Guards against keys that remain without an owner for longer than recoveryBound after their backend was killed.
func TestKilledOwnerIsReplacedWithinBound(t *testing.T) {
	s := newSite(t, map[string][]string{"a": {"a1", "a2"}, "b": {"b1"}}, true)
	s.addInstance("a")
	s.addInstance("b")
	keys := manyKeys(30)
	s.waitServed(keys)
	var key string
	for _, e := range s.executions("a1") {
		key = e.Key
	}
	require.NotEmpty(t, key)
	s.backends["a1"].kill()
	killedAt := time.Now()
	var last result
	s.eventually(func() bool {
		last = look(s.instances[1].callers, key)
		return last.outcome == "answered"
	}, "key %s is not served again: %+v", key, &last)
	took := time.Since(killedAt)
	t.Logf("served again after %v", took)
	require.Less(t, took, recoveryBound)
}

// Guards against requests that fail because of a planned stop of an instance.
func TestPlannedStopLosesNoRequest(t *testing.T) {
	s := newSite(t, map[string][]string{"a": {"a1", "a2"}}, true, "--work", "20ms")
	for range 3 {
		s.addInstance("a")
	}
	keys := manyKeys(20)
	s.waitServed(keys)
	stopped, staying := s.instances[0], s.instances[1:]
	var mu sync.Mutex
	var failures []string
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for c := range 4 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				r := look(staying[c%2].callers, keys[n%len(keys)])
				if r.outcome != "answered" {
					mu.Lock()
					failures = append(failures, fmt.Sprintf("%+v", r))
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	require.NoError(t, stopped.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-stopped.exited:
	case <-time.After(waitTimeout):
		t.Error("the instance did not exit after SIGTERM")
	}
	close(stop)
	callers.Wait()
	require.Empty(t, failures)
	require.Zero(t, stopped.cmd.ProcessState.ExitCode(), stopped.log.String())
}

// Guards against requests for which no primary is found in a zone with more instances than one lease group can have.
func TestZoneWithTwoLeaseGroups(t *testing.T) {
	s := newSite(t, map[string][]string{"a": {"a1", "a2", "a3", "a4", "a5", "a6"}}, true)
	for range 6 {
		s.addInstance("a")
	}
	keys := manyKeys(40)
	s.waitServed(keys)
	for _, i := range s.instances {
		for _, key := range keys {
			require.Equal(t, "answered", look(i.callers, key).outcome)
		}
	}
	s.checkInvariants()
}
