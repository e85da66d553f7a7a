package keyrange_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
)

// grantedRange returns an executor whose only range was granted to owner at the given time.
func grantedRange(t *testing.T, owner keyrange.Holder, now time.Duration) *keyrange.Executor {
	t.Helper()
	e := keyrange.NewExecutor(simTiming, 0, 0)
	e.SetState(&keyrange.State{}, 0)
	e.SetState(&keyrange.State{Tables: []keyrange.Table{{
		Service: simService, Ranges: []keyrange.Range{{To: catalog.KeySpace - 1, Owner: owner, Fence: 1}},
	}}}, 0)
	e.ConfirmTable(now)
	command := dueCommand(t, e, now)
	require.True(t, e.HandleResult(keyrange.Result{Command: command, Outcome: keyrange.Done}, now, now))
	return e
}

// dueCommand returns the only command that is due.
func dueCommand(t *testing.T, e *keyrange.Executor, now time.Duration) keyrange.Command {
	t.Helper()
	never := func(keyrange.Holder) bool { return false }
	always := func(keyrange.Holder) bool { return true }
	commands := e.DueCommands(now, never, always, 1)
	require.Len(t, commands, 1)
	return commands[0]
}

// Guards against keys of an unresponsive backend that are reassigned only long after its grant has expired: after 22 s, because
// the TTL of its unanswered renewals was counted from their execution. The TTL counts from the arrival of the command.
func TestKeysOfAnUnresponsiveOwnerAreFreeAfterOneGrantTTL(t *testing.T) {
	const start, timeout = time.Minute, 800 * time.Millisecond
	owner := keyrange.Holder{ID: "e1", Incarnation: 1}
	e := grantedRange(t, owner, start)
	timedOutAt := start + simTiming.Renew + timeout
	renewal := dueCommand(t, e, start+simTiming.Renew)
	require.False(t, e.Expired(owner, timedOutAt), "the renewal is in flight")
	e.HandleResult(keyrange.Result{Command: renewal, Outcome: keyrange.NoAnswer}, start+simTiming.Renew, timedOutAt)
	require.False(t, e.Expired(owner, timedOutAt+simTiming.GrantTTL), "the owner's clock may be slow")
	require.True(t, e.Expired(owner, timedOutAt+simTiming.GrantTTL*103/100))
}

// Guards against grants that outlast the time that a successor waits: a coordinator that has not confirmed its table for a long
// time must let its grants end within TableReadTTL of its last read.
func TestGrantsExpireWithinTheTableReadTTL(t *testing.T) {
	const start = time.Minute
	owner := keyrange.Holder{ID: "e1", Incarnation: 1}
	e := grantedRange(t, owner, start)
	e.ConfirmTable(start)
	e.UseLongTTL(true)
	now := start + keyrange.TableReadTTL - 3*time.Second
	require.Equal(t, 3*time.Second, dueCommand(t, e, now).TTL)
	e = grantedRange(t, owner, start)
	e.ConfirmTable(start)
	never := func(keyrange.Holder) bool { return false }
	require.Empty(t, e.DueCommands(start+keyrange.TableReadTTL, never, func(keyrange.Holder) bool { return true }, 1))
}

// Guards against a new coordinator that reassigns the keys of a terminated owner only long after its grant can be valid: after
// 22 s instead of TableReadTTL.
func TestSuccessorWaitsForTheTableReadTTLOnly(t *testing.T) {
	const start = time.Minute
	e := keyrange.NewExecutor(simTiming, start, start)
	previous, next := keyrange.Holder{ID: "e1", Incarnation: 1}, keyrange.Holder{ID: "e2", Incarnation: 1}
	e.SetState(&keyrange.State{Tables: []keyrange.Table{{
		Service: simService, Ranges: []keyrange.Range{{To: catalog.KeySpace - 1, Owner: next, PreviousOwner: previous, Fence: 2}},
	}}}, start)
	release := dueCommand(t, e, start)
	require.Equal(t, keyrange.KindRelease, release.Kind)
	e.HandleResult(keyrange.Result{Command: release, Outcome: keyrange.NotSent}, start, start)
	require.Equal(t, keyrange.KindRelease, dueCommand(t, e, start+keyrange.TableReadTTL).Kind, "the previous owner may still have a valid grant")
	e.HandleResult(keyrange.Result{Command: release, Outcome: keyrange.NotSent}, start+keyrange.TableReadTTL, start+keyrange.TableReadTTL)
	e.ConfirmTable(start + keyrange.TableReadTTL)
	require.Equal(t, keyrange.KindGrant, dueCommand(t, e, start+keyrange.TableReadTTL*102/100+time.Second).Kind)
}

// Guards against grants that expire while no instance can take over from a lost coordinator because the store is unavailable.
func TestGrantsAreLongWhileTheStoreIsUnavailable(t *testing.T) {
	const start = time.Minute
	owner := keyrange.Holder{ID: "e1", Incarnation: 1}
	e := grantedRange(t, owner, start)
	e.UseLongTTL(true)
	renewal := dueCommand(t, e, start+simTiming.Renew)
	require.Equal(t, simTiming.LongGrantTTL, renewal.TTL)
	e.UseLongTTL(false)
	e.HandleResult(keyrange.Result{Command: renewal, Outcome: keyrange.Done}, start+simTiming.Renew, start+simTiming.Renew)
	require.False(t, e.Expired(owner, start+simTiming.Renew+simTiming.LongGrantTTL), "the long grant must still count")
}

// Guards against two owners after an outage of the store: a renewal with the usual TTL does not shorten the long grant of the outage,
// which the owner may still have when the renewal would have expired (two owners for 327 ms).
func TestShorterRenewalDoesNotEndALongGrant(t *testing.T) {
	const start = time.Minute
	owner := keyrange.Holder{ID: "e1", Incarnation: 1}
	e := grantedRange(t, owner, start)
	e.UseLongTTL(true)
	long := start + simTiming.Renew
	e.HandleResult(keyrange.Result{Command: dueCommand(t, e, long), Outcome: keyrange.Done}, long, long)
	e.UseLongTTL(false)
	short := long + simTiming.Renew
	renewal := dueCommand(t, e, short)
	require.Equal(t, simTiming.GrantTTL, renewal.TTL)
	e.HandleResult(keyrange.Result{Command: renewal, Outcome: keyrange.Done}, short, short)
	require.False(t, e.Expired(owner, long+simTiming.LongGrantTTL), "the long grant still counts")
	require.True(t, e.Expired(owner, long+simTiming.LongGrantTTL*103/100))
}

// Guards against grants of a coordinator that outlast the wait of its successor because the store took seconds to show it its own
// table: the successor may have replaced the table in that time.
func TestGrantsOfANewCoordinatorCountFromItsRead(t *testing.T) {
	const sent, received = time.Minute, time.Minute + 3*time.Second
	owner := keyrange.Holder{ID: "e1", Incarnation: 1}
	e := keyrange.NewExecutor(simTiming, sent, received)
	e.SetState(&keyrange.State{Tables: []keyrange.Table{{
		Service: simService, Ranges: []keyrange.Range{{To: catalog.KeySpace - 1, Owner: owner, Fence: 2}},
	}}}, received)
	e.UseLongTTL(true)
	now := sent + keyrange.TableReadTTL - 4*time.Second
	require.Equal(t, 4*time.Second, dueCommand(t, e, now).TTL)
}

// Guards against logs that cannot tell a grant after a release from one after an expired grant or a termination.
func TestGrantStatesWhyThePreviousOwnerHasNoGrant(t *testing.T) {
	const start = time.Minute
	previous, next := keyrange.Holder{ID: "e1", Incarnation: 1}, keyrange.Holder{ID: "e2", Incarnation: 1}
	always := func(keyrange.Holder) bool { return true }
	moved := func(t *testing.T) *keyrange.Executor {
		t.Helper()
		e := grantedRange(t, previous, start)
		e.SetState(&keyrange.State{Tables: []keyrange.Table{{
			Service: simService, Ranges: []keyrange.Range{{To: catalog.KeySpace - 1, Owner: next, PreviousOwner: previous, Fence: 2}},
		}}}, start)
		return e
	}
	t.Run("released", func(t *testing.T) {
		e := moved(t)
		release := dueCommand(t, e, start)
		require.Equal(t, keyrange.KindRelease, release.Kind)
		e.HandleResult(keyrange.Result{Command: release, Outcome: keyrange.Done}, start, start)
		require.Equal(t, keyrange.BasisReleased, dueCommand(t, e, start).Basis)
	})
	t.Run("expired", func(t *testing.T) {
		e := moved(t)
		expired := start + simTiming.GrantTTL*103/100
		e.ConfirmTable(expired)
		grant := dueCommand(t, e, expired)
		require.Equal(t, keyrange.BasisExpired, grant.Basis)
		require.Equal(t, start+simTiming.GrantTTL*102/100, grant.PreviousUntil)
	})
	t.Run("terminated", func(t *testing.T) {
		terminated := func(h keyrange.Holder) bool { return h == previous }
		commands := moved(t).DueCommands(start, terminated, always, 1)
		require.Len(t, commands, 1)
		require.Equal(t, keyrange.BasisTerminated, commands[0].Basis)
	})
}

// Guards against two owners after a range was divided while its renewal was in flight: the result is not matched to the parts, so each
// part must count the end of that renewal.
func TestPartsOfADividedRangeKeepTheEndOfAGrantInFlight(t *testing.T) {
	const start = time.Minute
	owner := keyrange.Holder{ID: "e1", Incarnation: 1}
	e := grantedRange(t, owner, start)
	e.UseLongTTL(true)
	sent := start + simTiming.Renew
	renewal := dueCommand(t, e, sent)
	first := keyrange.Range{To: 99, Owner: owner, Fence: 1, Granted: true}
	second := keyrange.Range{From: 100, To: catalog.KeySpace - 1, Owner: owner, Fence: 1, Granted: true}
	e.SetState(&keyrange.State{Tables: []keyrange.Table{{Service: simService, Ranges: []keyrange.Range{first, second}}}}, sent)
	e.HandleResult(keyrange.Result{Command: renewal, Outcome: keyrange.Done}, sent, sent)
	require.False(t, e.Expired(owner, sent+simTiming.LongGrantTTL*102/100))
	require.True(t, e.Expired(owner, sent+simTiming.LongGrantTTL*103/100+time.Second))
}

// Guards against two owners after a range was moved while its renewal was in flight: the result is not matched to the moved range,
// which must count the end of that renewal.
func TestMovedRangeWaitsForAGrantInFlight(t *testing.T) {
	const start = time.Minute
	previous, next := keyrange.Holder{ID: "e1", Incarnation: 1}, keyrange.Holder{ID: "e2", Incarnation: 1}
	e := grantedRange(t, previous, start)
	e.UseLongTTL(true)
	sent := start + simTiming.Renew
	renewal := dueCommand(t, e, sent)
	moved := keyrange.Range{To: catalog.KeySpace - 1, Owner: next, PreviousOwner: previous, Fence: 2}
	e.SetState(&keyrange.State{Tables: []keyrange.Table{{Service: simService, Ranges: []keyrange.Range{moved}}}}, sent)
	e.HandleResult(keyrange.Result{Command: renewal, Outcome: keyrange.Done}, sent, sent)
	until := sent + simTiming.LongGrantTTL*102/100
	e.ConfirmTable(until)
	release := dueCommand(t, e, until)
	require.Equal(t, keyrange.KindRelease, release.Kind, "the grant in flight may still be valid")
	e.HandleResult(keyrange.Result{Command: release, Outcome: keyrange.NoAnswer}, until, until)
	require.Equal(t, keyrange.KindGrant, dueCommand(t, e, until+2*time.Second).Kind)
}
