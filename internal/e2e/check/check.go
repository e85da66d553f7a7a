// Package check contains the invariants that tests of complete deployments check on the executions which the simulated
// backends recorded. It is used by the tests in internal/e2e and internal/e2e/zones.
package check

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/standin/backend"
)

// Run is one execution together with the backend on which it ran.
type Run struct {
	backend.Execution

	On    string // name of the backend
	Epoch uint64 // the decoded Execution.Epoch
}

// History contains all executions of a deployment by key, in order of their start.
type History map[string][]Run

// Refusal identifies a request that was answered as not run.
type Refusal struct {
	RequestID string
	// IdempotencyKey is empty if the request had none. No other request may use the same one.
	IdempotencyKey string
	Reason         string
}

// NewHistory returns the history of the given executions, which are listed by the name of the backend.
func NewHistory(t *testing.T, executions map[string][]backend.Execution) History {
	t.Helper()
	byKey := History{}
	for name, list := range executions {
		for _, e := range list {
			epoch, err := strconv.ParseUint(e.Epoch, 10, 64)
			require.NoError(t, err)
			byKey[e.Key] = append(byKey[e.Key], Run{Execution: e, On: name, Epoch: epoch})
		}
	}
	for _, list := range byKey {
		slices.SortFunc(list, func(a, b Run) int { return a.Started.Compare(b.Started) })
	}
	return byKey
}

// Invariants checks what must hold in every run: for each key, the epoch increases when another backend becomes the owner and
// the executions of two owners never overlap; no idempotency key runs twice; and no customer's key reaches a backend.
func (h History) Invariants(t *testing.T) {
	t.Helper()
	runs := map[string]int{}
	for key, list := range h {
		checkOneOwner(t, key, list)
		for _, r := range list {
			require.Empty(t, r.KeyHeaders, "a customer's key reached backend %s", r.On)
			if r.IdempotencyKey != "" {
				runs[r.IdempotencyKey]++
			}
		}
	}
	for id, n := range runs {
		require.Equal(t, 1, n, "request %s ran %d times", id, n)
	}
}

// NotRun checks that no refused request has run.
func (h History) NotRun(t *testing.T, refusals []Refusal) {
	t.Helper()
	ids, keys := map[string]Run{}, map[string]Run{}
	for _, list := range h {
		for _, r := range list {
			ids[r.RequestID] = r
			if r.IdempotencyKey != "" {
				keys[r.IdempotencyKey] = r
			}
		}
	}
	for _, refusal := range refusals {
		require.NotEmpty(t, refusal.RequestID, "refused request has no request id: %s", refusal.Reason)
		ran, found := ids[refusal.RequestID]
		require.False(t, found, "request refused as not run (%s) ran: %+v", refusal.Reason, ran)
		if refusal.IdempotencyKey != "" {
			ran, found = keys[refusal.IdempotencyKey]
			require.False(t, found, "idempotency key of a request refused as not run (%s) ran: %+v", refusal.Reason, ran)
		}
	}
}

// lastEffect returns the time until which a run can have had an effect. A backend that checks tokens checks its session
// before each step. A process that was paused during a run finds the session lapsed and ends the run as fenced without
// another step, so the time of the pause does not count.
func lastEffect(r Run) time.Time {
	if r.End == backend.EndFenced {
		return r.Acted
	}
	return r.Ended
}

// checkOneOwner checks that runs of one key on different backends do not overlap, and that the epoch increases when another
// backend becomes the owner. A run that has not ended overlaps every run that starts after it.
func checkOneOwner(t *testing.T, key string, list []Run) {
	t.Helper()
	ends := map[string]time.Time{}
	running := map[string]bool{}
	highest := Run{}
	for _, r := range list {
		if highest.On != "" && r.On != highest.On {
			require.Greater(t, r.Epoch, highest.Epoch, "key %s ran on %s (epoch %d) after %s (epoch %d)",
				key, r.On, r.Epoch, highest.On, highest.Epoch)
		}
		for other, end := range ends {
			if other != r.On {
				require.False(t, running[other] || r.Started.Before(end), "key %s started to run on %s while it was running on %s", key, r.On, other)
			}
		}
		if end := lastEffect(r); end.After(ends[r.On]) {
			ends[r.On] = end
		}
		if r.End == backend.EndRunning {
			running[r.On], ends[r.On] = true, r.Started
		}
		if r.Epoch >= highest.Epoch {
			highest = r
		}
	}
}
