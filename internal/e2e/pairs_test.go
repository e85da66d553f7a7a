package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	platformstandin "github.com/pollenpier/pollenpier/internal/standin/platform"
)

// signal sends a signal to a process of the site.
func (s *site) signal(p *process, sig syscall.Signal) {
	s.t.Helper()
	require.NoError(s.t, p.cmd.Process.Signal(sig))
}

// keysOn returns the keys that ran on a back end.
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

// Guards against two owners, or keys that stay unserved, when a back end freezes and its primary is lost at the same time:
// the new primary must wait for the lapse of a session that it did not renew itself.
func TestPrimaryLostWhileItsBackendIsFrozen(t *testing.T) {
	s := newSite(t, map[string][]string{"a": {"a1", "a2", "a3"}}, true)
	for range 4 {
		s.addInstance("a")
	}
	keys := manyKeys(40)
	s.waitServed(keys)
	lost := s.primaryOf("a1")
	require.NotNil(t, lost)
	var rest []*instance
	for _, i := range s.instances {
		if i != lost {
			rest = append(rest, i)
		}
	}
	moved := s.keysOn("a1")
	l := s.startLoad(3, keys, rest...)
	s.signal(s.backends["a1"], syscall.SIGSTOP)
	lost.kill()
	began := time.Now()
	for _, key := range moved {
		s.eventually(func() bool { return look(rest[0].callers, key).outcome == "answered" }, "key %s not served", key)
	}
	took := time.Since(began)
	t.Logf("keys of the frozen back end served after %v", took)
	// Two losses at once, each with the time of one.
	require.Less(t, took, 2*servedAgainBound)
	s.signal(s.backends["a1"], syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	t.Logf("seen: %v", l.end())
	s.instances = rest
	s.waitServed(keys)
	s.checkInvariants()
}

// Guards against a takeover without the log, and against keys that are not served again, when a back end freezes and returns
// while the platform is down.
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
		require.Equal(t, "answered", look(s.instances[0].callers, key).outcome, "key of the other back end")
	}
	s.signal(s.backends["a1"], syscall.SIGCONT)
	began := time.Now()
	for _, key := range frozen {
		s.eventually(func() bool { return look(s.instances[0].callers, key).outcome == "answered" }, "key %s not served", key)
	}
	t.Logf("served again %v after the return, with the platform down", time.Since(began))
	for _, key := range frozen {
		for name := range s.backends {
			for _, e := range s.executions(name) {
				require.False(t, e.Key == key && name != "a1", "key %s ran on %s without the log", key, name)
			}
		}
	}
	s.platformFaults(platformstandin.Faults{})
	s.waitServed(keys)
	s.checkInvariants()
}
