package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

const sessionTTL = 400 * time.Millisecond

// Guards against a session that lapses although its primary is healthy, and against grants that are not sent.
func TestHealthyBackendServes(t *testing.T) {
	h := newHarness(t, true, 3)
	defer h.stop()
	h.becomePrimary(1)
	h.run(100 * time.Millisecond)
	require.Equal(t, []service.BackendStarted{{Backend: testBackend, StartID: "b1"}}, h.started)
	for range 300 {
		for p := range 3 {
			require.True(t, h.backend.Serves(h.grant(p)))
		}
		h.run(tick)
	}
	require.Empty(t, h.control)
}

// Guards against keys that stay unavailable for longer than the session of their killed owner, and against a release before
// the session has lapsed.
func TestKilledOwnerIsReleasedAfterItsLapse(t *testing.T) {
	h := newHarness(t, true, 2)
	defer h.stop()
	h.becomePrimary(1)
	h.run(time.Second)
	h.holdDrain = true // requests to it are still waiting for their deadline
	killed := h.clock.Now()
	until := h.backend.SessionUntil()
	h.backend.SetMode(backend.FakeRefusing)
	h.run(110 * time.Millisecond)
	lost, at := messages[service.BackendLost](h)
	require.Len(t, lost, 1)
	require.LessOrEqual(t, at, killed+110*time.Millisecond)
	h.move()
	h.run(600 * time.Millisecond)
	ready, at := messages[service.ReleaseReady](h)
	require.Len(t, ready, 1)
	require.True(t, ready[0].Lapsed)
	require.Len(t, ready[0].Partitions, 2)
	require.GreaterOrEqual(t, at, until)
	require.LessOrEqual(t, at, killed+600*time.Millisecond)
}

// Guards against an owner that freezes and recovers with its partitions: messages that it received while it was frozen must
// not revive its session, and the session must not be renewed before its partitions are released.
func TestFrozenOwnerRecoversWithoutItsPartitions(t *testing.T) {
	h := newHarness(t, true, 2)
	defer h.stop()
	h.owners[1].Backend = "b2"
	h.publish()
	h.becomePrimary(1)
	h.run(time.Second)
	h.holdDrain = true // requests to it are still waiting for their deadline
	frozen := h.clock.Now()
	h.backend.SetMode(backend.FakeFrozen)
	h.run(150 * time.Millisecond)
	h.owners[1].Backend = testBackend // its grant waits in the frozen process
	h.publish()
	h.run(270 * time.Millisecond)
	lost, at := messages[service.BackendLost](h)
	require.Len(t, lost, 1)
	require.GreaterOrEqual(t, at, frozen+200*time.Millisecond)
	h.move()
	h.run(500 * time.Millisecond)
	ready, _ := messages[service.ReleaseReady](h)
	require.Len(t, ready, 1)
	require.True(t, ready[0].Lapsed)
	h.backend.SetMode(backend.FakeUp)
	h.backend.Calls()
	h.run(3 * time.Second)
	calls := h.backend.Calls()
	require.Zero(t, callsOf(calls, backend.FakeRenew), "renewed before the release")
	require.Positive(t, callsOf(calls, backend.FakeRevoke))
	h.finish()
	h.run(200 * time.Millisecond)
	recovered, _ := messages[service.BackendRecovered](h)
	require.Len(t, recovered, 1)
	require.Greater(t, h.backend.SessionUntil(), h.clock.Now())
	h.owners[0].Backend, h.owners[0].Epoch = testBackend, 500
	h.publish()
	h.run(200 * time.Millisecond)
	require.True(t, h.backend.Serves(backend.Grant{Service: testService, Partition: 0, Epoch: 500}))
	require.Len(t, h.started, 1, "the process must be the same")
}

// Guards against a session that is renewed too early: a grant that was in flight at the lapse could make the backend serve a
// released partition again.
func TestReleasedPartitionsAreRevokedBeforeTheRecovery(t *testing.T) {
	h := newHarness(t, true, 1)
	defer h.stop()
	h.becomePrimary(1)
	h.run(time.Second)
	h.holdDrain = true
	h.backend.SetMode(backend.FakeRefusing)
	h.run(110 * time.Millisecond)
	h.move()
	h.run(500 * time.Millisecond)
	h.finish()
	h.backend.LoseAnswers(backend.FakeRevoke, true)
	h.backend.SetMode(backend.FakeUp)
	h.backend.Calls()
	h.run(2 * time.Second)
	calls := h.backend.Calls()
	require.Zero(t, callsOf(calls, backend.FakeRenew))
	require.Positive(t, callsOf(calls, backend.FakeRevoke))
	h.backend.LoseAnswers(backend.FakeRevoke, false)
	h.run(300 * time.Millisecond)
	require.Positive(t, callsOf(h.backend.Calls(), backend.FakeRenew))
}

// Guards against a replaced process that gets no grants, or whose start is not reported, so that it is not treated as cold.
func TestNewStartIDGetsItsGrantsAgain(t *testing.T) {
	h := newHarness(t, true, 2)
	defer h.stop()
	h.becomePrimary(1)
	h.run(time.Second)
	h.backend.Restart("s2", 3)
	h.run(200 * time.Millisecond)
	require.Equal(t, service.BackendStarted{Backend: testBackend, StartID: "s2", Slots: 3}, h.started[len(h.started)-1])
	require.True(t, h.backend.Serves(h.grant(0)))
	require.True(t, h.backend.Serves(h.grant(1)))
	require.Empty(t, h.control)
}

// Guards against a release that is reported without the backend's acknowledgement of the revocation, and against a session
// that ends for the other partitions meanwhile.
func TestRevocationIsRetriedAfterALostAnswer(t *testing.T) {
	h := newHarness(t, true, 2)
	defer h.stop()
	h.becomePrimary(1)
	h.run(time.Second)
	h.backend.LoseAnswers(backend.FakeRevoke, true)
	h.owners[0].To = "b2"
	h.holdDrain = true
	h.publish()
	h.run(time.Second)
	require.Zero(t, callsOf(h.backend.Calls(), backend.FakeRevoke), "revoked before it was drained")
	h.deliver(service.PartitionsDrained{Backend: testBackend, Partitions: h.drains[0].Partitions})
	h.run(2 * time.Second)
	require.Empty(t, h.control)
	h.backend.LoseAnswers(backend.FakeRevoke, false)
	h.run(200 * time.Millisecond)
	ready, _ := messages[service.ReleaseReady](h)
	want := service.PartitionEpoch(h.grant(0))
	require.Equal(t, []service.ReleaseReady{{Backend: testBackend, Partitions: []service.PartitionEpoch{want}}}, ready)
	require.True(t, h.backend.Serves(h.grant(1)))
}

// Guards against an instance that sends or reports anything after it lost its lease.
func TestNothingIsSentWithoutTheLease(t *testing.T) {
	h := newHarness(t, true, 1)
	defer h.stop()
	h.becomePrimary(1)
	h.run(time.Second)
	h.backend.SetMode(backend.FakeRefusing)
	h.run(110 * time.Millisecond)
	h.move()
	require.Less(t, h.clock.Now(), h.backend.SessionUntil())
	h.setLeases(&service.LeaseView{})
	h.backend.SetMode(backend.FakeUp)
	h.backend.Calls()
	h.run(2 * time.Second)
	require.Empty(t, h.backend.Calls())
	ready, _ := messages[service.ReleaseReady](h)
	require.Empty(t, ready)

	h.setLeases(&service.LeaseView{
		Held: map[service.LeaseName]service.HeldLease{
			service.BackendLease(testBackend): {Term: 2, Until: farFuture},
		},
		FreshUntil: farFuture,
	})
	h.run(time.Second)
	require.Positive(t, callsOf(h.backend.Calls(), backend.FakeRenew))
}

// Guards against an instance that acts when neither the log nor its zone's authority is fresh, that reports a release
// because of the lapse that follows although it may renew the session later, and that does not send the grants again
// afterwards.
func TestNothingIsSentBeyondTheCutoff(t *testing.T) {
	h := newHarness(t, true, 2)
	defer h.stop()
	h.becomePrimary(1)
	h.run(time.Second)
	h.backend.LoseAnswers(backend.FakeRevoke, true)
	h.owners[0].To = "b2"
	h.publish()
	held := *h.leases.Leases()
	held.FreshUntil = h.clock.Now()
	h.setLeases(&held)
	h.run(testCutoffHold)
	h.backend.Calls()
	h.run(2 * time.Second)
	require.Empty(t, h.backend.Calls())
	require.Empty(t, h.control)
	require.False(t, h.backend.Serves(h.grant(1)))
	h.becomePrimary(1)
	h.run(300 * time.Millisecond)
	require.True(t, h.backend.Serves(h.grant(1)))
}

// Guards against a second owner while requests run on a backend that does not check tokens: those of this instance, and
// those that a previous primary may have sent.
func TestReleaseWaitsForRequestsOfUncheckedBackends(t *testing.T) {
	h := newHarness(t, false, 1)
	defer h.stop()
	h.becomePrimary(1)
	gained := h.clock.Now()
	h.run(time.Second)
	h.backend.SetMode(backend.FakeRefusing)
	h.run(110 * time.Millisecond)
	h.drainFor = 2 * time.Second
	h.move()
	h.run(testMaxRun + time.Second)
	ready, at := messages[service.ReleaseReady](h)
	require.Len(t, ready, 1)
	require.GreaterOrEqual(t, at, gained+withDrift(testMaxRun), "requests of a previous primary may still run")

	h = newHarness(t, false, 1)
	defer h.stop()
	h.becomePrimary(1)
	h.run(2 * testMaxRun)
	h.backend.SetMode(backend.FakeRefusing)
	h.run(110 * time.Millisecond)
	h.drainFor = 2 * time.Second
	drained := h.clock.Now()
	h.move()
	h.run(3 * time.Second)
	ready, at = messages[service.ReleaseReady](h)
	require.Len(t, ready, 1)
	require.GreaterOrEqual(t, at, drained+2*time.Second, "requests of this instance may still run")
}

// Guards against a release that waits for requests of a process that has provably terminated.
func TestReplacedProcessIsNotWaitedFor(t *testing.T) {
	h := newHarness(t, false, 1)
	defer h.stop()
	h.becomePrimary(1)
	h.run(500 * time.Millisecond)
	h.drainFor = 4 * time.Second
	h.move()
	h.run(300 * time.Millisecond)
	require.Empty(t, h.control)
	h.backend.Restart("s2", 2)
	h.run(300 * time.Millisecond)
	ready, _ := messages[service.ReleaseReady](h)
	require.Len(t, ready, 1)
}

// Guards against a backend that stays lost for an entire platform outage after a short freeze, and against a backend that
// stays recorded as down in the log because the primary that reported it has terminated.
func TestAnsweringBackendRecoversWithoutTheLog(t *testing.T) {
	h := newHarness(t, true, 1)
	defer h.stop()
	h.down[testBackend] = 77
	h.publish()
	h.becomePrimary(1)
	h.run(time.Second)
	recovered, _ := messages[service.BackendRecovered](h)
	require.Len(t, recovered, 1, "the down record in the log must be corrected")
	h.backend.SetMode(backend.FakeFrozen)
	h.run(time.Second)
	h.backend.SetMode(backend.FakeUp)
	h.run(time.Second)
	require.False(t, h.backend.Serves(h.grant(0)), "its partitions may still be moved")
	h.run(2 * time.Second)
	require.True(t, h.backend.Serves(h.grant(0)))
	recovered, _ = messages[service.BackendRecovered](h)
	require.Len(t, recovered, 2)
}

// Guards against two concurrent owners after any sequence of freezes, crashes, lost answers, moves and changes of primary.
func TestReleasedPartitionsAreNeverServedByTheirOldOwner(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(rt, true, 3)
		defer h.stop()
		term := entity.Term(1)
		h.becomePrimary(term)
		modes := []backend.FakeMode{backend.FakeUp, backend.FakeFrozen, backend.FakeRefusing}
		for range rapid.IntRange(5, 25).Draw(rt, "events") {
			switch rapid.IntRange(0, 7).Draw(rt, "event") {
			case 0, 1:
				h.backend.SetMode(rapid.SampledFrom(modes).Draw(rt, "mode"))
			case 2:
				kind := rapid.SampledFrom([]backend.FakeKind{backend.FakeRenew, backend.FakeGrant, backend.FakeRevoke}).Draw(rt, "kind")
				h.backend.LoseAnswers(kind, rapid.Bool().Draw(rt, "lose"))
			case 3:
				h.backend.Restart(rapid.StringN(3, 3, 3).Draw(rt, "start"), 1)
			case 4:
				h.owners[rapid.IntRange(0, 2).Draw(rt, "partition")].To = "b2"
				h.publish()
			case 5:
				h.finish()
			case 6:
				p := rapid.IntRange(0, 2).Draw(rt, "returning")
				if h.owners[p].Backend == "b2" {
					h.owners[p].Backend, h.owners[p].Epoch = testBackend, h.owners[p].Epoch+100
					h.publish()
				}
			case 7:
				h.setLeases(&service.LeaseView{})
				term++
				h.becomePrimary(term)
			}
			h.holdDrain = rapid.Bool().Draw(rt, "holdDrain")
			h.run(time.Duration(rapid.IntRange(1, 80).Draw(rt, "ticks")) * tick)
		}
	})
}

// Guards against settings with which the session of a healthy backend lapses.
func TestContradictorySettingsAreRefused(t *testing.T) {
	for _, s := range []Settings{
		{CallTimeout: time.Second}, {RenewInterval: 300 * time.Millisecond}, {ProbeMax: time.Millisecond}, {SessionTTL: -1},
	} {
		require.ErrorIs(t, s.withDefaults().validate(), ErrSettings)
	}
	require.NoError(t, DefaultSettings().validate())
	require.Equal(t, sessionTTL, DefaultSettings().SessionTTL)
}
