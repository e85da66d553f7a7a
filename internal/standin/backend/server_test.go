package backend_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/entity"
	standin "github.com/pollenpier/pollenpier/internal/standin/backend"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a simulated backend with a client.
type fixture struct {
	t      *testing.T
	server *standin.Server
	client *backend.HTTPClient
	target backend.Target
}

func start(t *testing.T, options standin.Options) *fixture {
	t.Helper()
	server, err := standin.Start("127.0.0.1:0", options)
	require.NoError(t, err)
	client := backend.NewHTTPClient(backend.ClientSettings{})
	t.Cleanup(func() {
		client.Close()
		require.NoError(t, server.Close())
	})
	return &fixture{t: t, server: server, client: client, target: backend.Target{ID: "b", Address: server.Address()}}
}

var granted = backend.Grant{Service: "stock", Partition: 7, Epoch: 42}

func newCall(id string, term entity.Term, epoch entity.Epoch) *backend.Call {
	return &backend.Call{
		RequestID: id, Token: backend.Token{Service: "stock", Partition: 7, Epoch: epoch, Term: term}, Key: "k",
		Method: http.MethodPost, Path: "/x", Header: http.Header{}, Body: strings.NewReader("body"), Length: 4,
		Remaining: 30 * time.Second,
	}
}

// do sends a call and returns the kind of its failure, zero for a complete answer.
func (b *fixture) do(ctx context.Context, call *backend.Call) backend.FailureKind {
	answer, err := b.client.Do(ctx, b.target, call)
	if err == nil {
		_, err = io.ReadAll(answer.Body)
		answer.Body.Close()
	}
	if err == nil {
		return 0
	}
	var failure *backend.Failure
	require.ErrorAs(b.t, err, &failure)
	return failure.Kind
}

// renew renews a session with the stamp of an earlier status.
func (b *fixture) renew(term entity.Term, ttl time.Duration, last backend.SessionStatus) (backend.SessionStatus, error) {
	return b.client.RenewSession(context.Background(), b.target, backend.Session{
		Holder: "i", Term: term, TTL: ttl, StartID: last.StartID, Stamp: last.Stamp,
	})
}

// open establishes a session and grants the partition.
func (b *fixture) open(term entity.Term, ttl time.Duration) backend.SessionStatus {
	b.t.Helper()
	first, err := b.renew(term, ttl, backend.SessionStatus{})
	require.NoError(b.t, err)
	second, err := b.renew(term, ttl, first)
	require.NoError(b.t, err)
	require.NoError(b.t, b.client.Grant(context.Background(), b.target, term, []backend.Grant{granted}))
	return second
}

// Guards against a simulated backend that executes requests of a previous primary or epoch, which would hide overlapping
// owners from the tests that use it.
func TestChecksTokens(t *testing.T) {
	b := start(t, standin.Options{ChecksTokens: true})
	ctx := context.Background()
	require.Equal(t, backend.FailureFenced, b.do(ctx, newCall("r", 3, 42)), "no session")
	status := b.open(3, time.Minute)
	require.Zero(t, b.do(ctx, newCall("r", 3, 42)))
	require.Equal(t, backend.FailureFenced, b.do(ctx, newCall("r", 3, 41)), "older epoch")
	require.Equal(t, backend.FailureFenced, b.do(ctx, newCall("r", 2, 42)), "older term")
	_, err := b.renew(4, time.Minute, status)
	require.NoError(t, err)
	require.Equal(t, backend.FailureFenced, b.do(ctx, newCall("r", 3, 42)), "replaced primary")
	_, err = b.renew(3, time.Minute, status)
	require.ErrorIs(t, err, backend.ErrOutdatedTerm)
	require.NoError(t, b.client.Revoke(ctx, b.target, 4, []backend.Grant{granted}))
	require.NoError(t, b.client.Grant(ctx, b.target, 4, []backend.Grant{granted}))
	require.Equal(t, backend.FailureFenced, b.do(ctx, newCall("r", 4, 42)), "grant that arrived after its revocation")
	require.Equal(t, 1, b.server.Executions().Total)
}

// Guards against a delayed renewal that revives a lapsed session, and against grants that stay valid after the lapse.
func TestSessionEndsByItsStamp(t *testing.T) {
	b := start(t, standin.Options{ChecksTokens: true})
	const ttl = time.Second // longer than the exchange that opens the session takes on a busy machine
	status := b.open(3, ttl)
	time.Sleep(ttl + 50*time.Millisecond)
	late, err := b.renew(3, ttl, status)
	require.NoError(t, err)
	require.Equal(t, status.Lapses+1, late.Lapses)
	require.Equal(t, backend.FailureFenced, b.do(context.Background(), newCall("r", 3, 42)))
	_, err = b.renew(3, time.Minute, late)
	require.NoError(t, err)
	require.Equal(t, backend.FailureFenced, b.do(context.Background(), newCall("r", 3, 42)), "grant of the lapsed session")
}

// Guards against a request that continues to run after its session has lapsed, when another owner may already run.
func TestLapseEndsRunningWork(t *testing.T) {
	b := start(t, standin.Options{ChecksTokens: true, Work: time.Minute})
	b.open(3, 2*time.Second)
	answer, err := b.client.Do(context.Background(), b.target, newCall("r", 3, 42))
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	require.Equal(t, http.StatusGatewayTimeout, answer.Status)
	require.Equal(t, standin.EndFenced, b.server.Executions().Executions[0].End)
}

// Guards against a revocation that is acknowledged while a request of the partition is still running.
func TestRevokeReportsRunningWork(t *testing.T) {
	b := start(t, standin.Options{ChecksTokens: true, Work: time.Minute})
	b.open(3, time.Minute)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan backend.FailureKind, 1)
	go func() { done <- b.do(ctx, newCall("r", 3, 42)) }()
	b.awaitTotal(1)
	revoke := func() error {
		return b.client.Revoke(context.Background(), b.target, 3, []backend.Grant{granted})
	}
	require.ErrorIs(t, revoke(), backend.ErrStillRunning)
	cancel()
	require.Equal(t, backend.FailureBroken, <-done)
	require.Eventually(t, func() bool { return revoke() == nil }, 10*time.Second, time.Millisecond)
	require.Equal(t, standin.EndCanceled, b.server.Executions().Executions[0].End)
}

func (b *fixture) awaitTotal(n int) {
	b.t.Helper()
	require.Eventually(b.t, func() bool { return b.server.Executions().Total == n }, 10*time.Second, time.Millisecond)
}

// Guards against a simulated backend that accepts more requests than its slots and queue allow, or that executes a request
// which it has shed.
func TestShedsBeyondSlotsAndQueue(t *testing.T) {
	b := start(t, standin.Options{Slots: 2, Queue: 1, Work: time.Minute})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan backend.FailureKind, 3)
	for range 3 {
		go func() { done <- b.do(ctx, newCall("r", 1, 1)) }()
	}
	b.awaitTotal(2)
	require.Eventually(t, func() bool {
		load, err := b.client.Load(context.Background(), b.target)
		return err == nil && load.InFlight == 2 && load.Queued == 1
	}, 10*time.Second, time.Millisecond)
	require.Equal(t, backend.FailureShed, b.do(context.Background(), newCall("r4", 1, 1)))
	require.Equal(t, 2, b.server.Executions().Total)
	cancel()
	for range 3 {
		require.Equal(t, backend.FailureBroken, <-done)
	}
	for _, e := range b.server.Executions().Executions { // the waiting request may have obtained a slot after the cancellation
		require.Equal(t, "r", e.RequestID)
	}
}

// Guards against a cold backend that can handle any load, which would hide a missing ramp from the tests that use it.
func TestColdBackendCollapses(t *testing.T) {
	b := start(t, standin.Options{
		Slots: 4, WarmAfter: 2, ColdLimit: 1, ColdWork: 10 * time.Millisecond, CollapseWork: 10 * time.Millisecond,
	})
	b.server.SetFaults(standin.Faults{LatencyMs: 1500}) // so that the two requests overlap
	statuses := make(chan int, 2)
	send := func() {
		answer, err := b.client.Do(context.Background(), b.target, newCall("r", 1, 1))
		if err != nil {
			statuses <- 0
			return
		}
		answer.Body.Close()
		statuses <- answer.Status
	}
	go send()
	b.awaitTotal(1)
	go send()
	b.awaitTotal(2)
	b.server.SetFaults(standin.Faults{})
	require.Equal(t, []int{500, 500}, []int{<-statuses, <-statuses})
	for range 2 {
		send()
		require.Equal(t, 200, <-statuses, "one at a time")
	}
	go send()
	go send()
	require.Equal(t, []int{200, 200}, []int{<-statuses, <-statuses}, "warm")
}

// Guards against a simulated crash that keeps the session, the connections or the start id.
func TestCrashStartsAnotherProcess(t *testing.T) {
	b := start(t, standin.Options{ChecksTokens: true})
	before := b.open(3, time.Minute)
	call := newCall("r", 3, 42)
	call.Header.Set("X-Crash", "1")
	require.Equal(t, backend.FailureBroken, b.do(context.Background(), call))
	require.Eventually(t, func() bool {
		status, err := b.renew(3, time.Minute, before)
		return err == nil && status.StartID != before.StartID
	}, 10*time.Second, time.Millisecond)
	require.Equal(t, backend.FailureFenced, b.do(context.Background(), newCall("r", 3, 42)))
	ran := b.server.Executions().Executions
	require.Len(t, ran, 1)
	require.Equal(t, standin.EndCrashed, ran[0].End)
}

// Guards against fault switches without effect, with which the tests that use them would pass without checking anything.
func TestFaultSwitches(t *testing.T) {
	b := start(t, standin.Options{Slots: 2, Secrets: []string{"secret"}})
	ctx := context.Background()
	require.Zero(t, b.do(ctx, newCall("r1", 1, 1)))
	b.server.SetFaults(standin.Faults{Truncate: true})
	require.Equal(t, backend.FailureBroken, b.do(ctx, newCall("r2", 1, 1)))
	b.server.SetFaults(standin.Faults{Crossed: true})
	require.Equal(t, backend.FailureMismatch, b.do(ctx, newCall("r3", 1, 1)))
	b.server.SetFaults(standin.Faults{Shed: true})
	require.Equal(t, backend.FailureShed, b.do(ctx, newCall("r4", 1, 1)))
	b.server.SetFaults(standin.Faults{Drain: true})
	require.Equal(t, backend.FailureShed, b.do(ctx, newCall("r5", 1, 1)))
	health, err := b.client.Health(ctx, b.target)
	require.NoError(t, err)
	require.Equal(t, backend.Health{Draining: true, StartID: b.server.StartID()}, health)
	b.server.SetFaults(standin.Faults{LoseControl: true})
	_, err = b.renew(1, time.Minute, backend.SessionStatus{})
	require.ErrorIs(t, err, backend.ErrUnreachable)

	b.server.SetFaults(standin.Faults{Freeze: true})
	short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	require.Equal(t, backend.FailureBroken, b.do(short, newCall("r6", 1, 1)))
	b.server.SetFaults(standin.Faults{})
	call := newCall("r7", 1, 1)
	call.Header.Set("X-Leak", "secret")
	call.Header.Set(standin.HeaderIdempotencyKey, "i7")
	require.Zero(t, b.do(ctx, call))
	ran := b.server.Executions().Executions
	last := ran[len(ran)-1]
	require.Equal(t, "i7", last.IdempotencyKey)
	require.Equal(t, "k", last.Key)
	require.Equal(t, []string{"X-Leak"}, last.KeyHeaders)
}
