package dispatch_test

import (
	"context"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/service/dispatch"
)

// primary returns a node that is the primary of the test backend in a lease group of three.
func primary(t *testing.T, net *network, slots int) *node {
	for _, id := range []entity.InstanceID{"i1", "i2", "i3"} {
		net.node(t, id, nil).setUp(slots, "i1", "i2", "i3")
	}
	n := net.nodes["i1"]
	n.becomePrimary(1)
	return n
}

// blocking makes the backend wait until release is closed. Every request that arrives is sent to arrived.
func (n *node) blocking() (arrived chan *backend.Call, release chan struct{}) {
	arrived, release = make(chan *backend.Call, 100), make(chan struct{})
	n.backends.do = func(ctx context.Context, call *backend.Call) (*backend.Answer, error) {
		arrived <- call
		select {
		case <-release:
			return answer("ok"), nil
		case <-ctx.Done():
			return nil, failure(backend.FailureBroken)
		}
	}
	return arrived, release
}

// Guards against a repeat that runs again, or that is refused as not run, while the first request runs, after its answer,
// and after a failover, when the new primary has only its peers' copies.
func TestRepeatsOfAnAtMostOnceRequest(t *testing.T) {
	net := newNetwork()
	n := primary(t, net, 1)
	arrived, release := n.blocking()
	first := make(chan entity.Outcome, 1)
	go func() {
		o, _ := n.do(n.order("a"))
		first <- o
	}()
	receive(t, arrived)
	o, _ := n.do(n.order("a"))
	require.Equal(t, entity.Unknown(entity.ReasonRepeatRunning, o.Detail), o)
	other := n.order("a")
	other.Path = "/other"
	o, _ = n.do(other)
	require.Equal(t, entity.NotRun(entity.ReasonBadRequest, o.Detail), o)

	net.disconnect("i1")
	n.loseLease("i2")
	next := net.nodes["i2"]
	next.becomePrimary(2)
	o, _ = next.do(next.order("a"))
	require.Equal(t, entity.Unknown(entity.ReasonRepeatUnknown, o.Detail), o, "according to the copy the request may have run")

	close(release)
	require.Equal(t, entity.Answered(), receive(t, first))
	o, body := next.do(next.order("b"))
	require.Equal(t, entity.Answered(), o)
	require.Equal(t, "ok", body)
	o, body = next.do(next.order("b"))
	require.Equal(t, entity.Answered(), o)
	require.Equal(t, "ok", body)
	require.EqualValues(t, 1, next.backends.sends.Load(), "the repeat must get the recorded answer")
	next.stop() // stop waits until the last copies have reached the third member
	net.disconnect("i2")
	last := net.nodes["i3"]
	last.becomePrimary(3)
	o, _ = last.do(last.order("b"))
	require.NotEqual(t, entity.OutcomeNotRun, o.Kind)
	require.Zero(t, last.backends.sends.Load())
}

// Guards against a new primary that runs possible repeats although two members whose memory it needs are unreachable.
func TestIncompleteMemoryRunsOnlyRecentRequests(t *testing.T) {
	net := newNetwork()
	primary(t, net, 1)
	net.disconnect("i1")
	net.disconnect("i2")
	n := net.nodes["i3"]
	n.becomePrimary(2)
	old := n.order("a")
	old.Age = -1
	o, _ := n.do(old)
	require.Equal(t, entity.Unknown(entity.ReasonMemoryIncomplete, o.Detail), o)
	first := n.order("b")
	o, _ = n.do(first)
	require.Equal(t, entity.Unknown(entity.ReasonMemoryIncomplete, o.Detail), o)
	n.clock.ahead.Add(int64(time.Minute))
	young := n.order("c")
	young.Age = 50 * time.Second
	o, _ = n.do(young)
	require.Equal(t, entity.NotRun(entity.ReasonUnreachable, o.Detail), o, "the memory covers the request, but no member accepts a copy")
	require.Zero(t, n.backends.sends.Load())
}

// Guards against a send of which no other member has a copy: its repeat after a failover would run a second time.
func TestNoSendWithoutCopy(t *testing.T) {
	net := newNetwork()
	n := primary(t, net, 1)
	o, _ := n.do(n.get("a"))
	require.Equal(t, entity.Answered(), o)
	o, _ = n.do(n.order("a"))
	require.Equal(t, entity.Answered(), o)
	net.disconnect("i2")
	o, _ = n.do(n.order("b"))
	require.Equal(t, entity.Answered(), o, "the other member accepts the copy")
	net.disconnect("i3")
	o, _ = n.do(n.order("c"))
	require.Equal(t, entity.NotRun(entity.ReasonUnreachable, o.Detail), o)
	require.EqualValues(t, 3, n.backends.sends.Load())
}

// Guards against a backend that is allowed to run a request for longer than max_run, a slot that is never freed, and "not
// run" after the deadline of a request that was sent.
func TestMaxRunCapsTheDeadline(t *testing.T) {
	net := newNetwork()
	n := primary(t, net, 1)
	config := testConfig(1)
	config.Services[0].MaxRun = 200 * time.Millisecond
	n.deliver(service.ConfigChanged{Config: config, Version: 2})
	n.becomePrimary(2)
	arrived, _ := n.blocking()
	o, _ := n.do(n.order("a"))
	require.Equal(t, entity.Unknown(entity.ReasonDeadline, o.Detail), o)
	require.LessOrEqual(t, receive(t, arrived).Remaining, 200*time.Millisecond)
	n.backends.do = answerOK
	o, _ = n.do(n.order("b"))
	require.Equal(t, entity.Answered(), o)
}

// Guards against a slot that stays occupied after the deadline because the caller has stopped reading the answer.
func TestUnreadAnswerFreesItsSlotAtTheDeadline(t *testing.T) {
	net := newNetwork()
	n := primary(t, net, 1)
	slow := n.get("a")
	slow.Deadline = n.kernel.Now() + 300*time.Millisecond
	resp := n.service.Dispatch(context.Background(), slow)
	require.Equal(t, entity.Answered(), resp.Outcome)
	o, _ := n.do(n.get("b"))
	require.Equal(t, entity.Answered(), o)
	require.NoError(t, resp.Body.Close())
}

// Guards against at-most-once requests that are refused because no member can accept a copy, although SendWithoutCopy is
// set.
func TestSendWithoutCopyIsCounted(t *testing.T) {
	net := newNetwork()
	n := net.node(t, "i1", func(s *dispatch.Settings) { s.SendWithoutCopy = true })
	n.setUp(1, "i1", "i2")
	n.becomePrimary(1)
	o := n.order("a")
	o.Age = 0
	got, _ := n.do(o)
	require.Equal(t, entity.Answered(), got)
	require.NotNil(t, n.registry.Get("dispatch.copies_failed"))
}

// Guards against "not run" after a send, and against "unknown" for a request that was canceled before it was sent.
func TestCancelBeforeAndAfterSending(t *testing.T) {
	net := newNetwork()
	n := primary(t, net, 1)
	arrived, _ := n.blocking()
	ctx, cancel := context.WithCancel(context.Background())
	sent, queued := make(chan entity.Outcome, 1), make(chan entity.Outcome, 1)
	go func() {
		o, _ := n.doContext(ctx, n.order("a"))
		sent <- o
	}()
	receive(t, arrived)
	queuedCtx, cancelQueued := context.WithCancel(context.Background())
	go func() {
		o, _ := n.doContext(queuedCtx, n.order("b"))
		queued <- o
	}()
	time.Sleep(20 * time.Millisecond)
	cancelQueued()
	require.Equal(t, entity.ReasonCanceled, (receive(t, queued)).Reason)
	cancel()
	o := receive(t, sent)
	require.Equal(t, entity.Unknown(entity.ReasonCanceled, o.Detail), o)
	o, _ = n.do(n.order("a"))
	require.Equal(t, entity.Unknown(entity.ReasonRepeatUnknown, o.Detail), o)
	n.backends.do = answerOK
	o, _ = n.do(n.order("b"))
	require.Equal(t, entity.Answered(), o, "the repeat of a request that was canceled in the queue may run")
}

// Guards against a send after the lease was lost while the request was queued.
func TestLeaseLostInTheQueueSendsNothing(t *testing.T) {
	net := newNetwork()
	n := primary(t, net, 1)
	arrived, release := n.blocking()
	results := make(chan entity.Outcome, 2)
	for range 2 {
		go func() {
			o, _ := n.do(n.get("a"))
			results <- o
		}()
	}
	receive(t, arrived)
	n.leases.view.Store(&service.LeaseView{}) // the message about the loss has not arrived yet
	close(release)
	outcomes := []entity.Outcome{receive(t, results), receive(t, results)}
	require.Contains(t, outcomes, entity.Answered())
	require.Contains(t, outcomes, entity.NotRun(entity.ReasonNotHolder, "another instance is the primary"))
	require.EqualValues(t, 1, n.backends.sends.Load())
}

// Guards against a truncated or overlong answer that appears complete to the caller, and against a memory that records it.
func TestTruncatedAnswerFailsTheBody(t *testing.T) {
	net := newNetwork()
	n := primary(t, net, 1)
	for _, length := range []int64{10, 3} {
		n.backends.do = func(context.Context, *backend.Call) (*backend.Answer, error) {
			a := answer("short")
			a.Length = length
			return a, nil
		}
		req := n.order(strings.Repeat("a", int(length)))
		resp := n.service.Dispatch(context.Background(), req)
		_, err := io.ReadAll(resp.Body)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		require.NoError(t, resp.Body.Close())
		repeat := n.order(req.Key)
		o, _ := n.do(repeat)
		require.Equal(t, entity.Unknown(entity.ReasonRepeatUnknown, o.Detail), o)
	}
}

// Guards against "not run" after a failure after which the request may have run, and against retries of at-most-once
// requests.
func TestFailuresOfTheBackend(t *testing.T) {
	net := newNetwork()
	n := primary(t, net, 2)
	for _, c := range []struct {
		kind backend.FailureKind
		want entity.Outcome
	}{
		{backend.FailureNotSent, entity.NotRun(entity.ReasonUnreachable, "")},
		{backend.FailureShed, entity.NotRun(entity.ReasonShed, "")},
		{backend.FailureFenced, entity.NotRun(entity.ReasonFenced, "")},
		{backend.FailureBroken, entity.Unknown(entity.ReasonBroken, "")},
		{backend.FailureMismatch, entity.Unknown(entity.ReasonMismatch, "")},
	} {
		n.backends.do = func(context.Context, *backend.Call) (*backend.Answer, error) { return nil, failure(c.kind) }
		before := n.backends.sends.Load()
		o, _ := n.do(n.order(c.want.String()))
		o.Detail = ""
		require.Equal(t, c.want, o)
		require.EqualValues(t, 1, n.backends.sends.Load()-before, "an at-most-once request must not be retried")
		n.backends.do = answerOK
		o, _ = n.do(n.order(c.want.String()))
		if c.want.Kind == entity.OutcomeNotRun {
			require.Equal(t, entity.Answered(), o, "the repeat of a request that has not run may run")
		} else {
			require.Equal(t, entity.ReasonRepeatUnknown, o.Reason)
		}
	}
}

// Guards against a request that crashes one backend process after another, and against other requests that are quarantined
// with it.
func TestRequestThatCrashesBackendsIsQuarantined(t *testing.T) {
	net := newNetwork()
	n := primary(t, net, 2)
	crashes := 0
	n.backends.do = func(_ context.Context, call *backend.Call) (*backend.Answer, error) {
		if call.Path == "/crash" {
			return nil, failure(backend.FailureBroken)
		}
		return answer("ok"), nil
	}
	n.deliver(service.BackendStarted{Backend: testBackend, StartID: "s0"})
	crashing := func() *service.Request {
		r := n.get("k")
		r.Path = "/crash"
		return r
	}
	for {
		before := n.backends.sends.Load()
		o, _ := n.do(crashing())
		if o.Reason == entity.ReasonQuarantined {
			require.Equal(t, entity.OutcomeNotRun, o.Kind)
			break
		}
		require.Positive(t, n.backends.sends.Load()-before)
		crashes++
		n.deliver(service.BackendStarted{Backend: testBackend, StartID: strings.Repeat("s", crashes)})
		n.deliver(service.DrainPartitions{Backend: "other"})
		n.await(n.session)
		o, _ = n.do(n.get("innocent"))
		require.Equal(t, entity.Answered(), o)
	}
	require.Equal(t, 2, crashes)
	// The blame is reported to the peers, since one of them is the primary of the key's next owner.
	require.Eventually(t, func() bool {
		next := net.nodes["i2"]
		next.becomePrimary(2)
		o, _ := next.do(crashing())
		return o.Reason == entity.ReasonQuarantined
	}, testWait, 10*time.Millisecond)
}

// Guards against a release of partitions while their requests are running.
func TestDrainWaitsForWhatIsInFlight(t *testing.T) {
	net := newNetwork()
	n := primary(t, net, 2)
	arrived, release := n.blocking()
	done := make(chan entity.Outcome, 1)
	go func() {
		o, _ := n.do(n.get("a"))
		done <- o
	}()
	receive(t, arrived)
	drained := service.DrainPartitions{
		Backend:    testBackend,
		Partitions: []service.PartitionEpoch{{Service: testService, Epoch: testEpoch}},
	}
	n.deliver(drained)
	require.Eventually(t, func() bool {
		o, _ := n.do(n.get("a"))
		return o.Reason == entity.ReasonFenced
	}, testWait, time.Millisecond)
	require.Empty(t, n.session.got)
	close(release)
	require.Equal(t, entity.Answered(), receive(t, done))
	require.Equal(t, service.PartitionsDrained{Backend: testBackend, Partitions: drained.Partitions}, n.await(n.session))
}

// Guards against a drain that treats a request without a connection as ended: it may run until its deadline.
func TestDrainReportsRequestsWithoutAKnownEnd(t *testing.T) {
	net := newNetwork()
	n := primary(t, net, 2)
	n.backends.do = func(context.Context, *backend.Call) (*backend.Answer, error) {
		return nil, failure(backend.FailureBroken)
	}
	req := n.order("a")
	_, _ = n.do(req)
	n.deliver(service.DrainPartitions{
		Backend:    testBackend,
		Partitions: []service.PartitionEpoch{{Service: testService, Epoch: testEpoch}},
	})
	got := n.await(n.session).(service.PartitionsDrained)
	const closeDelay = 100 * time.Millisecond // the backend counts the remaining time from the arrival of the request
	require.Equal(t, req.Deadline+closeDelay, got.Until)
}

// Guards against a planned stop that aborts a running request or accepts new ones.
func TestStopWaitsForRunningRequests(t *testing.T) {
	net := newNetwork()
	n := primary(t, net, 2)
	arrived, release := n.blocking()
	done := make(chan entity.Outcome, 1)
	go func() {
		o, _ := n.do(n.get("a"))
		done <- o
	}()
	receive(t, arrived)
	stopped := make(chan struct{})
	go func() {
		n.stop()
		close(stopped)
	}()
	require.Eventually(t, func() bool {
		probe := n.get("a")
		probe.Deadline = n.kernel.Now() + 20*time.Millisecond
		o, _ := n.do(probe)
		return o == entity.NotRun(entity.ReasonStopping, "")
	}, testWait, time.Millisecond)
	close(release)
	require.Equal(t, entity.Answered(), receive(t, done))
	receive(t, stopped)
}

// Guards against a hot key with two owners, caused by a release of its virtual partition before the requests that were sent
// under its base partition have ended as well.
func TestDrainOfAHotKeyWaitsForItsBasePartition(t *testing.T) {
	net := newNetwork()
	n := primary(t, net, 2)
	arrived, release := n.blocking()
	done := make(chan entity.Outcome, 1)
	go func() {
		o, _ := n.do(n.get("hot"))
		done <- o
	}()
	receive(t, arrived)
	view := testView(testBackend, testEpoch, []entity.InstanceID{"i1", "i2", "i3"})
	orders := view.Services[testService]
	orders.Hot = map[entity.KeyHash]entity.Partition{entity.HashKey("hot"): 1}
	orders.Owners = append(orders.Owners, ownership.Owner{Backend: testBackend, Epoch: testEpoch + 1, To: "b2"})
	orders.Version++
	n.deliver(service.OwnershipChanged{View: view})
	virtual := []service.PartitionEpoch{{Service: testService, Partition: 1, Epoch: testEpoch + 1}}
	n.deliver(service.DrainPartitions{Backend: testBackend, Partitions: virtual})
	n.deliver(service.DrainPartitions{Backend: "other"})
	require.Equal(t, entity.BackendID("other"), n.await(n.session).(service.PartitionsDrained).Backend)
	close(release)
	require.Equal(t, entity.Answered(), receive(t, done))
	require.Equal(t, virtual, n.await(n.session).(service.PartitionsDrained).Partitions)
}

// Guards against orders without an age that are refused after the first start because the memory of their partition is too
// recent: a partition that was observed before it had an owner cannot have run a request before.
func TestFirstOwnerNeedsNoAge(t *testing.T) {
	net := newNetwork()
	net.zeroAge = true
	for _, id := range []entity.InstanceID{"i1", "i2", "i3"} {
		net.node(t, id, nil)
	}
	time.Sleep(350 * time.Millisecond) // longer than the maximum age of a fresh view
	for _, n := range net.nodes {
		n.setUp(1, "i1", "i2", "i3")
	}
	n := net.nodes["i1"]
	n.becomePrimary(1)
	first := n.order("a")
	first.Age = -1
	o, _ := n.do(first)
	require.Equal(t, entity.Answered(), o)
	net.disconnect("i1")
	next := net.nodes["i2"]
	next.becomePrimary(2)
	repeat := next.order("a")
	repeat.Age = -1
	o, _ = next.do(repeat)
	require.NotEqual(t, entity.OutcomeNotRun, o.Kind)
	require.Zero(t, next.backends.sends.Load())
}

// Guards against orders without an age that are refused for ten minutes because one member was replaced shortly before the
// primary was lost: the complete copy that followed the replacement must be used.
func TestCompleteCopyOutlivesAReplacedMember(t *testing.T) {
	net := newNetwork()
	n := primary(t, net, 1)
	o, _ := n.do(n.order("a"))
	require.Equal(t, entity.Answered(), o)
	net.zeroAge = true
	net.node(t, "i4", nil)
	members := []entity.InstanceID{"i1", "i2", "i4"} // i4 replaces i3
	net.disconnect("i3")
	for _, id := range members {
		net.nodes[string(id)].setUp(1, members...)
	}
	n.becomePrimary(1)
	// The primary's clock is moved last, because the primary makes the copy as soon as its clock says that it is due.
	for _, id := range []string{"i2", "i4", "i1"} {
		net.nodes[id].clock.ahead.Add(int64(10 * time.Second))
	}
	require.Eventually(t, func() bool {
		return net.nodes["i2"].hasCompleteCopy() || net.nodes["i4"].hasCompleteCopy()
	}, testWait, 10*time.Millisecond)
	net.disconnect("i1")
	next := net.nodes["i2"]
	next.becomePrimary(2)
	old, fresh := next.order("a"), next.order("b")
	old.Age, fresh.Age = -1, -1
	o, _ = next.do(old)
	require.NotEqual(t, entity.OutcomeNotRun, o.Kind)
	require.Zero(t, next.backends.sends.Load())
	o, _ = next.do(fresh)
	require.Equal(t, entity.Answered(), o)
}

func (n *node) hasCompleteCopy() bool {
	records, _ := n.service.KnownOutcomes(testService, []entity.Partition{0})
	return slices.ContainsFunc(records, func(r outcome.Record) bool { return r.Confirmed > 0 })
}
