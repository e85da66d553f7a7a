package e2e

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/rendezvous"
	"github.com/pollenpier/pollenpier/internal/standin/backend"
)

// primaryOf returns the instance that holds the lease of a backend, or nil if there is none.
func (s *site) primaryOf(name string) *instance {
	s.t.Helper()
	for _, i := range s.instances {
		resp, err := http.Get("http://" + i.admin + "/status")
		if err != nil {
			continue
		}
		var status struct {
			Leases []struct {
				Name string `json:"name"`
			} `json:"leases"`
		}
		require.NoError(s.t, json.NewDecoder(resp.Body).Decode(&status))
		require.NoError(s.t, resp.Body.Close())
		for _, l := range status.Leases {
			if l.Name == "backend/"+name {
				return i
			}
		}
	}
	return nil
}

// idOf returns the id of an instance.
func (s *site) idOf(i *instance) string {
	s.t.Helper()
	resp, err := http.Get("http://" + i.admin + "/status")
	require.NoError(s.t, err)
	defer resp.Body.Close()
	var status struct {
		Instance string `json:"instance"`
	}
	require.NoError(s.t, json.NewDecoder(resp.Body).Decode(&status))
	return status.Instance
}

// keyOn returns the key of the last request that a backend executed.
func (s *site) keyOn(name string) string {
	s.t.Helper()
	list := s.executions(name)
	require.NotEmpty(s.t, list)
	return list[len(list)-1].Key
}

// Guards against a planned stop during which one long request delays the handover of the instance's other backends, and
// against a stop that aborts the long request.
func TestPlannedStopHandsIdleBackendsOver(t *testing.T) {
	const longRun = 3 * time.Second
	s := newSite(t, map[string][]string{"a": {"a1", "a2", "a3", "a4", "a5", "a6"}}, true)
	for range 2 {
		s.addInstance("a")
	}
	keys := manyKeys(60)
	s.waitServed(keys)
	stopping := s.primaryOf("a1")
	require.NotNil(t, stopping)
	others := 0
	for name := range s.backends {
		if name != "a1" && s.primaryOf(name) == stopping {
			others++
		}
	}
	staying := s.instances[0]
	if staying == stopping {
		staying = s.instances[1]
	}
	longKey := s.keyOn("a1")
	s.setFaults("a1", backend.Faults{LatencyMs: int(longRun.Milliseconds())})
	long := make(chan result, 1)
	go func() { long <- bookNew(staying.callers, longKey, "long") }()
	s.eventually(func() bool {
		list := s.executions("a1")
		return list[len(list)-1].IdempotencyKey == "long"
	}, "the long request did not start")
	require.NoError(t, stopping.cmd.Process.Signal(syscall.SIGTERM))
	s.eventually(func() bool { return strings.Contains(stopping.log.String(), "gateway stopped") }, "the gateway did not stop")
	handedOver := time.Now()
	for name := range s.backends {
		if name == "a1" {
			continue
		}
		require.Equal(t, "answered", look(staying.callers, s.keyOn(name)).outcome)
	}
	took := time.Since(handedOver)
	t.Logf("the stopping instance was primary of %d other backends; all were served after %v", others, took)
	require.Less(t, took, recoveryBound)
	require.Equal(t, "answered", (<-long).outcome)
	<-stopping.exited
	require.Zero(t, stopping.cmd.ProcessState.ExitCode(), tail(stopping.log.String()))
	s.setFaults("a1", backend.Faults{})
	s.checkInvariants()
}

// Guards against backends that all stay with the instance that started first, and against requests that fail while a
// backend is handed over to another primary.
func TestBackendsSpreadOverNewInstances(t *testing.T) {
	names := []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"}
	s := newSite(t, map[string][]string{"a": names}, true)
	s.addInstance("a")
	keys := manyKeys(60)
	s.waitServed(keys)
	for range 2 {
		s.addInstance("a")
	}
	s.waitServed(keys)
	l := s.startLoad(4, keys, s.instances...)
	ids := map[*instance]string{}
	for _, i := range s.instances {
		ids[i] = s.idOf(i)
	}
	s.eventually(func() bool {
		for _, name := range names {
			order := rendezvous.Order("backend/"+name, slices.Collect(maps.Values(ids)))
			if ids[s.primaryOf(name)] != order[0] {
				return false
			}
		}
		return true
	}, "backends did not move to their preferred instances")
	time.Sleep(time.Second)
	seen := l.end()
	require.Len(t, seen, 1, "requests failed during the handover: %v", seen)
	s.checkInvariants()
}
