package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/standin/backend"
)

// Guards against an at-most-once request that runs twice because its caller sends it again to another instance after the
// first instance was killed.
func TestRepeatAfterInstanceLossRunsOnce(t *testing.T) {
	s := newSite(t, map[string][]string{"a": {"a1", "a2"}}, false, "--work", "5ms")
	for range 4 {
		s.addInstance("a")
	}
	keys := manyKeys(12)
	s.waitServed(keys)
	for name := range s.backends {
		s.setFaults(name, backend.Faults{LatencyMs: 300})
	}
	var first sync.WaitGroup
	for n, key := range keys {
		first.Go(func() { book(s.instances[n%4].callers, key, "order-"+key) })
	}
	time.Sleep(100 * time.Millisecond)
	s.instances[0].kill()
	first.Wait()
	for name := range s.backends {
		s.setFaults(name, backend.Faults{})
	}
	for _, key := range keys {
		last := book(s.instances[1].callers, key, "order-"+key)
		t.Logf("repeat of %s: %s %s", key, last.outcome, last.reason)
		require.NotEqual(t, "not-run", last.outcome, "%s: %s", key, last.reason)
	}
	runs := map[string]int{}
	for name := range s.backends {
		for _, e := range s.executions(name) {
			if e.IdempotencyKey != "" {
				runs[e.IdempotencyKey]++
			}
		}
	}
	for key, n := range runs {
		require.Equal(t, 1, n, "request %s ran %d times", key, n)
	}
	require.NotEmpty(t, runs)
}

// Guards against a repeat at another instance that runs again or receives a different outcome although no process has failed.
func TestRepeatAtAnotherInstanceGetsTheFirstAnswer(t *testing.T) {
	s := newSite(t, map[string][]string{"a": {"a1"}, "b": {"b1"}}, true)
	s.addInstance("a")
	s.addInstance("b")
	keys := manyKeys(10)
	s.waitServed(keys)
	for n, key := range keys {
		id := fmt.Sprintf("order-%d", n)
		require.Equal(t, "answered", book(s.instances[0].callers, key, id).outcome)
		require.Equal(t, "answered", book(s.instances[1].callers, key, id).outcome)
	}
	total := 0
	for name := range s.backends {
		for _, e := range s.executions(name) {
			if e.IdempotencyKey != "" {
				total++
			}
		}
	}
	require.Equal(t, len(keys), total)
}
