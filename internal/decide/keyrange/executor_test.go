package keyrange_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
)

// heldRange returns an executor whose only range is held by owner since the given time.
func heldRange(t *testing.T, owner keyrange.Holder, now time.Duration) *keyrange.Executor {
	t.Helper()
	e := keyrange.NewExecutor(simTiming, 0)
	e.SetState(&keyrange.State{}, 0)
	e.SetState(&keyrange.State{Tables: []keyrange.Table{{
		Service: simTable, Ranges: []keyrange.Range{{To: catalog.KeySpace - 1, Owner: owner, Fence: 1}},
	}}}, 0)
	e.ConfirmTable(now)
	order := due(t, e, now)
	require.True(t, e.HandleResult(keyrange.Result{Command: order, Outcome: keyrange.Done}, now, now))
	return e
}

// due returns the only order that is due.
func due(t *testing.T, e *keyrange.Executor, now time.Duration) keyrange.Command {
	t.Helper()
	never := func(keyrange.Holder) bool { return false }
	always := func(keyrange.Holder) bool { return true }
	orders := e.DueCommands(now, never, always, 1)
	require.Len(t, orders, 1)
	return orders[0]
}

// Guards against keys of a back end that falls silent which wait far longer than it can hold them: 22 s, because its unanswered
// renewals were taken to begin when they are carried out. The time of a hold counts from the arrival of the order.
func TestKeysOfASilentOwnerAreFreeAfterOneHold(t *testing.T) {
	const start, timeout = time.Minute, 800 * time.Millisecond
	owner := keyrange.Holder{ID: "e1", Incarnation: 1}
	e := heldRange(t, owner, start)
	ended := start + simTiming.Renew + timeout
	renewal := due(t, e, start+simTiming.Renew)
	require.False(t, e.Expired(owner, ended), "the renewal is on its way")
	e.HandleResult(keyrange.Result{Command: renewal, Outcome: keyrange.NoAnswer}, start+simTiming.Renew, ended)
	require.False(t, e.Expired(owner, ended+simTiming.GrantTTL), "its clock may be slow")
	require.True(t, e.Expired(owner, ended+simTiming.GrantTTL*103/100))
}

// Guards against grants that a successor does not count on: those of a coordinator that has not confirmed its table for long must
// end at the horizon of its last read.
func TestGrantsEndAtTheHorizonOfTheLastRead(t *testing.T) {
	const start = time.Minute
	owner := keyrange.Holder{ID: "e1", Incarnation: 1}
	e := heldRange(t, owner, start)
	e.ConfirmTable(start)
	e.UseLongTTL(true)
	now := start + keyrange.TableReadTTL - 3*time.Second
	require.Equal(t, 3*time.Second, due(t, e, now).TTL)
	e = heldRange(t, owner, start)
	e.ConfirmTable(start)
	never := func(keyrange.Holder) bool { return false }
	require.Empty(t, e.DueCommands(start+keyrange.TableReadTTL, never, func(keyrange.Holder) bool { return true }, 1))
}

// Guards against keys of an owner that is gone which wait longer than it can hold them after a change of the coordinator: 22 s.
func TestSuccessorWaitsForTheHorizonOnly(t *testing.T) {
	const start = time.Minute
	e := keyrange.NewExecutor(simTiming, start)
	gone, next := keyrange.Holder{ID: "e1", Incarnation: 1}, keyrange.Holder{ID: "e2", Incarnation: 1}
	e.SetState(&keyrange.State{Tables: []keyrange.Table{{
		Service: simTable, Ranges: []keyrange.Range{{To: catalog.KeySpace - 1, Owner: next, PreviousOwner: gone, Fence: 2}},
	}}}, start)
	release := due(t, e, start)
	require.Equal(t, keyrange.KindRelease, release.Kind)
	e.HandleResult(keyrange.Result{Command: release, Outcome: keyrange.NotSent}, start, start)
	require.Equal(t, keyrange.KindRelease, due(t, e, start+keyrange.TableReadTTL).Kind, "it may still hold the keys")
	e.HandleResult(keyrange.Result{Command: release, Outcome: keyrange.NotSent}, start+keyrange.TableReadTTL, start+keyrange.TableReadTTL)
	e.ConfirmTable(start + keyrange.TableReadTTL)
	require.Equal(t, keyrange.KindGrant, due(t, e, start+keyrange.TableReadTTL*102/100+time.Second).Kind)
}

// Guards against holds that end while nobody can take over from a coordinator that is lost, because the store is away.
func TestHoldsAreLongWhileTheStoreIsAway(t *testing.T) {
	const start = time.Minute
	owner := keyrange.Holder{ID: "e1", Incarnation: 1}
	e := heldRange(t, owner, start)
	e.UseLongTTL(true)
	renewal := due(t, e, start+simTiming.Renew)
	require.Equal(t, simTiming.LongGrantTTL, renewal.TTL)
	e.UseLongTTL(false)
	e.HandleResult(keyrange.Result{Command: renewal, Outcome: keyrange.Done}, start+simTiming.Renew, start+simTiming.Renew)
	require.False(t, e.Expired(owner, start+simTiming.Renew+simTiming.LongGrantTTL), "the hold that was granted counts")
}
