package e2e

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/standin/backend"
)

// ran is one execution together with the back end on which it ran.
type ran struct {
	backend.Execution

	on    string
	epoch uint64
}

// history returns all executions of the site by key, in order of their start.
func (s *site) history() map[string][]ran {
	s.t.Helper()
	byKey := map[string][]ran{}
	for name := range s.backends {
		for _, e := range s.executions(name) {
			epoch, err := strconv.ParseUint(e.Epoch, 10, 64)
			require.NoError(s.t, err)
			byKey[e.Key] = append(byKey[e.Key], ran{Execution: e, on: name, epoch: epoch})
		}
	}
	for _, list := range byKey {
		slices.SortFunc(list, func(a, b ran) int { return a.Started.Compare(b.Started) })
	}
	return byKey
}

// checkInvariants checks what must hold in every run: for each key, epochs never go back from one back end to another, work
// of two owners never overlaps, and no idempotency key runs twice.
func (s *site) checkInvariants() {
	s.t.Helper()
	runs := map[string]int{}
	for key, list := range s.history() {
		checkOneOwner(s.t, key, list)
		for _, r := range list {
			require.Empty(s.t, r.KeyHeaders, "a customer's key reached back end %s", r.on)
			if r.IdempotencyKey != "" {
				runs[r.IdempotencyKey]++
			}
		}
	}
	for id, n := range runs {
		require.Equal(s.t, 1, n, "request %s ran %d times", id, n)
	}
}

func checkOneOwner(t *testing.T, key string, list []ran) {
	t.Helper()
	ends := map[string]time.Time{}
	highest := ran{}
	for _, r := range list {
		if highest.on != "" && r.on != highest.on {
			require.Greater(t, r.epoch, highest.epoch, "key %s ran on %s (epoch %d) after %s (epoch %d)",
				key, r.on, r.epoch, highest.on, highest.epoch)
		}
		for other, end := range ends {
			if other != r.on {
				require.False(t, r.Started.Before(end), "key %s began on %s while it ran on %s", key, r.on, other)
			}
		}
		if r.Ended.After(ends[r.on]) {
			ends[r.on] = r.Ended
		}
		if r.epoch >= highest.epoch {
			highest = r
		}
	}
}
