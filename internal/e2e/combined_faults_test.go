package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	platformstandin "github.com/pollenpier/pollenpier/internal/standin/platform"
)

// signal sends a signal to a process of the deployment.
func (s *site) signal(p *process, sig syscall.Signal) {
	s.t.Helper()
	require.NoError(s.t, p.cmd.Process.Signal(sig))
}

// keysOn returns the keys of the requests that a backend executed.
func (s *site) keysOn(name string) []string {
	s.t.Helper()
	seen := map[string]bool{}
	var keys []string
	for _, e := range s.executions(name) {
		if !seen[e.Key] {
			seen[e.Key] = true
			keys = append(keys, e.Key)
		}
	}
	require.NotEmpty(s.t, keys)
	return keys
}

// Guards against overlapping owners, or keys that are not served again, when a backend is paused and its primary is killed at
// the same time: the new primary must wait for the lapse of a session that it did not renew itself.
func TestPrimaryLostWhileItsBackendIsFrozen(t *testing.T) {
	s := newSite(t, map[string][]string{"a": {"a1", "a2", "a3"}}, true)
	for range 4 {
		s.addInstance("a")
	}
	keys := manyKeys(40)
	s.waitServed(keys)
	lost := s.primaryOf("a1")
	require.NotNil(t, lost)
	var remaining []*instance
	for _, i := range s.instances {
		if i != lost {
			remaining = append(remaining, i)
		}
	}
	moved := s.keysOn("a1")
	l := s.startLoad(3, keys, remaining...)
	s.signal(s.backends["a1"], syscall.SIGSTOP)
	lost.kill()
	began := time.Now()
	for _, key := range moved {
		s.eventually(func() bool { return look(remaining[0].callers, key).outcome == "answered" }, "key %s is not served", key)
	}
	took := time.Since(began)
	t.Logf("the keys of the paused backend were served after %v", took)
	// Two failures at once, each of which may take the time of one.
	require.Less(t, took, 2*recoveryBound)
	s.signal(s.backends["a1"], syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	t.Logf("responses: %v", l.end())
	s.instances = remaining
	s.waitServed(keys)
	s.checkInvariants()
}

// Guards against keys that move to another owner without a record in the log, and against keys that are not served again,
// when a backend is paused and resumed while the platform is unavailable.
func TestFrozenBackendReturnsWhilePlatformIsDown(t *testing.T) {
	s := newSite(t, map[string][]string{"a": {"a1", "a2"}}, true)
	for range 3 {
		s.addInstance("a")
	}
	keys := manyKeys(40)
	s.waitServed(keys)
	frozen, others := s.keysOn("a1"), s.keysOn("a2")
	s.platformFaults(platformstandin.Faults{Outage: true})
	time.Sleep(500 * time.Millisecond)
	s.signal(s.backends["a1"], syscall.SIGSTOP)
	time.Sleep(2 * time.Second)
	for _, key := range others {
		require.Equal(t, "answered", look(s.instances[0].callers, key).outcome, "key of the other backend")
	}
	s.signal(s.backends["a1"], syscall.SIGCONT)
	began := time.Now()
	for _, key := range frozen {
		s.eventually(func() bool { return look(s.instances[0].callers, key).outcome == "answered" }, "key %s is not served", key)
	}
	t.Logf("served again %v after the backend resumed, with the platform unavailable", time.Since(began))
	for _, key := range frozen {
		for name := range s.backends {
			for _, e := range s.executions(name) {
				require.False(t, e.Key == key && name != "a1", "key %s ran on %s without a record in the log", key, name)
			}
		}
	}
	s.platformFaults(platformstandin.Faults{})
	s.waitServed(keys)
	s.checkInvariants()
}
