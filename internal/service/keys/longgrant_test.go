package keys_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/kernel"
)

// advanceUntil advances the clock in steps of 20 ms until the condition holds, for at most limit.
func advanceUntil(t *testing.T, clock *kernel.ManualClock, limit time.Duration, condition func() bool) {
	t.Helper()
	const step = 20 * time.Millisecond
	for end := clock.Now() + limit; !condition(); {
		require.Less(t, clock.Now(), end, "the condition does not hold in time")
		clock.Advance(step)
		time.Sleep(time.Millisecond) // lets the control goroutine and the workers run
	}
}

// grantsAt returns the grants with at least the given TTL that arrived at an address after the first n commands.
func (b *backends) grantsAt(address string, n int, ttl time.Duration) []sentCommand {
	var grants []sentCommand
	for _, c := range b.since(n) {
		if c.Kind == keyrange.KindGrant && c.address == address && c.TTL >= ttl {
			grants = append(grants, c)
		}
	}
	return grants
}

// overlapping returns those of the commands for keys that one of the earlier commands is for.
func overlapping(commands, earlier []sentCommand) []sentCommand {
	var result []sentCommand
	for _, c := range commands {
		if slices.ContainsFunc(earlier, func(e sentCommand) bool { return e.From <= c.To && c.From <= e.To }) {
			result = append(result, c)
		}
	}
	return result
}

// longestOverlap returns the longest time for which a grant to a previous owner, whose clock is 2% slow, is still valid when a
// grant for one of its keys arrives at another backend.
func longestOverlap(earlier, later []sentCommand) time.Duration {
	longest := time.Duration(0)
	for _, a := range earlier {
		for _, b := range later {
			if a.From <= b.To && b.From <= a.To {
				longest = max(longest, a.at+a.TTL*102/100-b.at)
			}
		}
	}
	return longest
}

// Guards against two owners after an outage of the store: a shorter renewal hid the end of the long grant before it.
func TestMoveWaitsForTheLongGrantOfAnOutage(t *testing.T) {
	t.Run("after one renewal", func(t *testing.T) { moveAfterOutage(t, 1) })
	t.Run("after three renewals", func(t *testing.T) { moveAfterOutage(t, 3) })
}

// moveAfterOutage moves the keys of a backend that does not answer releases, when its long grants of an outage have been renewed the
// given number of times. It requires that the long grants have expired when the other backend is granted the keys.
func moveAfterOutage(t *testing.T, renewals int) {
	t.Helper()
	const draining, other = "10.0.0.1:1", "10.0.0.2:1"
	const ranges = 10 // of each backend
	clock := kernel.NewManualClock()
	store, targets := &memoryStore{}, &backends{unreleased: draining, clock: clock}
	h := newHarnessWithClock(t, "one", store, targets, clock)
	h.list(backend("e1", draining, 1), backend("e2", other, 1))
	granted := func(after, count int, ttl time.Duration) func() bool {
		return func() bool { return len(targets.grantsAt(draining, after, ttl)) >= count }
	}
	advanceUntil(t, clock, 30*time.Second, granted(0, ranges, time.Second))

	h.setStoreUnavailable(true)
	advanceUntil(t, clock, 5*time.Second, granted(0, ranges, 9*time.Second))
	h.setStoreUnavailable(false)
	recovered := targets.count()
	advanceUntil(t, clock, 10*time.Second, granted(recovered, renewals*ranges, time.Second))
	for _, g := range targets.grantsAt(draining, recovered, time.Second) {
		require.LessOrEqual(t, g.TTL, 5*time.Second, "renewals are short after the outage")
	}

	leaving := backend("e1", draining, 1)
	leaving.Draining = true
	moved := targets.count()
	h.list(leaving, backend("e2", other, 1))
	var toOther []sentCommand
	advanceUntil(t, clock, 20*time.Second, func() bool {
		toOther = overlapping(targets.grantsAt(other, moved, 0), targets.grantsAt(draining, 0, 0))
		return len(toOther) >= ranges
	})
	require.Equal(t, "0s", longestOverlap(targets.grantsAt(draining, 0, 0), toOther).String(), "two owners of the same keys")
}

// Guards against two owners after an entry without a birth time: the complete entry of the same process was taken for a later process.
func TestUnknownBirthIsNoEvidenceOfTermination(t *testing.T) {
	const first, other = "10.0.0.1:1", "10.0.0.2:1"
	clock := kernel.NewManualClock()
	targets := &backends{unreleased: first, clock: clock}
	h := newHarnessWithClock(t, "one", &memoryStore{}, targets, clock)
	h.list(backend("e1", first, 0), backend("e2", other, 1))
	advanceUntil(t, clock, 30*time.Second, func() bool { return len(targets.grantsAt(first, 0, 0)) >= 10 })
	complete := backend("e1", first, 7)
	complete.Draining = true
	moved := targets.count()
	h.list(complete, backend("e2", other, 1))
	var toOther []sentCommand
	advanceUntil(t, clock, 20*time.Second, func() bool {
		toOther = overlapping(targets.grantsAt(other, moved, 0), targets.grantsAt(first, 0, 0))
		return len(toOther) >= 10
	})
	require.Equal(t, "0s", longestOverlap(targets.grantsAt(first, 0, 0), toOther).String(), "two owners of the same keys")
}
