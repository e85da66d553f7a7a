package keys_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/kernel"
)

// Guards against two owners after a quick restart: the next process under the ID and address of an owner has taken renewals that were
// meant for the owner, and the keys are granted elsewhere without its release.
func TestRenewalsTakenByTheNextProcessEndBeforeItsKeysMove(t *testing.T) {
	const restarted, other = "10.0.0.1:1", "10.0.0.2:1"
	clock := kernel.NewManualClock()
	targets := &backends{clock: clock}
	h := newHarnessWithClock(t, "one", &memoryStore{}, targets, clock)
	h.list(backend("e1", restarted, 1), backend("e2", other, 1))
	advanceUntil(t, clock, 30*time.Second, func() bool {
		return len(targets.grantsAt(restarted, 0, 0)) >= 10 && len(targets.grantsAt(other, 0, 0)) >= 10
	})
	before := targets.count() // e1 restarts, and its new entry is not read yet
	advanceUntil(t, clock, 5*time.Second, func() bool { return len(targets.grantsAt(restarted, before, 0)) >= 10 })
	taken := targets.grantsAt(restarted, before, 0)
	moved := targets.count()
	next := backend("e1", restarted, 2)
	next.WarmUntil = clock.Now() + 5*time.Second // cold, so that it is assigned no keys
	h.list(next, backend("e2", other, 1))
	advanceUntil(t, clock, 20*time.Second, func() bool {
		return len(overlapping(targets.grantsAt(other, moved, 0), taken)) > 0
	})
	arrived := targets.since(moved)
	released := slices.IndexFunc(arrived, func(c sentCommand) bool {
		return c.Kind == keyrange.KindRelease && c.address == restarted && c.From == 0 && c.To == catalog.KeySpace-1
	})
	granted := slices.IndexFunc(arrived, func(c sentCommand) bool {
		return c.address == other && len(overlapping([]sentCommand{c}, taken)) > 0 && !slices.ContainsFunc(taken, func(e sentCommand) bool { return e.Fence >= c.Fence })
	})
	require.GreaterOrEqual(t, released, 0, "the next process has not been told to drop the keys")
	require.Less(t, released, granted)
	for _, c := range taken {
		require.Greater(t, arrived[released].Fence, c.Fence)
	}
}
