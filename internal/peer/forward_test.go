package peer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/peer"
	"github.com/pollenpier/pollenpier/internal/service"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type dispatchFunc func(context.Context, *service.Request) service.Response

func (f dispatchFunc) Dispatch(ctx context.Context, req *service.Request) service.Response {
	return f(ctx, req)
}

// handler dispatches forwarded requests. These tests make no other calls.
type handler struct {
	peer.Handler
	service.Dispatcher
}

func (h handler) Dispatch(ctx context.Context, req *service.Request) service.Response {
	return h.Dispatcher.Dispatch(ctx, req)
}

// start starts a server on loopback that passes forwarded requests to dispatch. It returns a client and the server's address.
func start(t *testing.T, dispatch dispatchFunc) (*peer.Client, string) {
	t.Helper()
	clock := kernel.NewSystemClock()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	server := peer.NewServer(handler{Dispatcher: dispatch}, clock)
	go func() { done <- server.Serve(ctx, listener, func(error) {}) }()
	client := peer.NewClient(clock, nil)
	t.Cleanup(func() {
		require.NoError(t, client.Close())
		cancel()
		<-done
	})
	return client, listener.Addr().String()
}

func request(body string) *service.Request {
	return &service.Request{
		ID: "r1", Service: "stock", Customer: "c", Key: "k", Partition: 7, Epoch: 9, Backend: "b", Method: "POST",
		Path: "/x", RawQuery: "q=1", Header: http.Header{"X-A": {"1", "2"}}, Body: strings.NewReader(body),
		Length: int64(len(body)), Deadline: time.Minute, IdempotencyKey: "i", Age: -1,
	}
}

// Guards against fields or body bytes that are lost between instances, with inline and with streamed bodies.
func TestForwardCarriesRequestAndAnswer(t *testing.T) {
	for _, size := range []int{0, 100, 1 << 20} {
		payload := strings.Repeat("x", size)
		var seen *service.Request
		client, address := start(t, func(_ context.Context, req *service.Request) service.Response {
			got, err := io.ReadAll(req.Body)
			if err != nil {
				return service.Response{Outcome: entity.Unknown(entity.ReasonBroken, err.Error())}
			}
			seen = req
			return service.Response{
				Outcome: entity.Answered(), Status: 201, Header: http.Header{"X-B": {"3"}},
				Length: int64(len(got)), Body: io.NopCloser(bytes.NewReader(got)),
			}
		})
		want := request(payload)
		resp := client.Forward(context.Background(), address, want)
		require.Equal(t, entity.Answered(), resp.Outcome)
		got, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, payload, string(got))
		require.Equal(t, 201, resp.Status)
		require.Equal(t, http.Header{"X-B": {"3"}}, resp.Header)
		require.Less(t, seen.Deadline, want.Deadline+time.Second)
		seen.Body, seen.Deadline, want.Body, want.Deadline = nil, 0, nil, 0
		require.Equal(t, want, seen)
	}
}

// Guards against a truncated answer that is reported as complete: its body fails while the peer forwards it.
func TestTruncatedAnswerIsNeverComplete(t *testing.T) {
	for _, length := range []int64{100, 1 << 20, -1} {
		client, address := start(t, func(context.Context, *service.Request) service.Response {
			body := io.MultiReader(strings.NewReader("part"), failingReader{errors.New("cut")})
			return service.Response{Outcome: entity.Answered(), Status: 200, Length: length, Body: io.NopCloser(body)}
		})
		resp := client.Forward(context.Background(), address, request(""))
		if resp.Outcome.Kind != entity.OutcomeAnswered {
			require.Equal(t, entity.OutcomeUnknown, resp.Outcome.Kind)
			continue
		}
		_, err := io.ReadAll(resp.Body)
		require.Error(t, err)
		require.NoError(t, resp.Body.Close())
	}
}

type failingReader struct{ err error }

func (r failingReader) Read([]byte) (int, error) { return 0, r.err }

// Guards against an outcome "not run" for a request that may have run: the peer closes the connection after the head was sent.
func TestBrokenStreamIsUnknownAndFailedDialIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}()
	client := peer.NewClient(kernel.NewSystemClock(), nil)
	defer func() { require.NoError(t, client.Close()) }()
	require.Equal(t, entity.OutcomeUnknown, client.Forward(context.Background(), address, request("b")).Outcome.Kind)
	<-accepted
	require.NoError(t, listener.Close())
	require.Equal(t, entity.OutcomeNotRun, client.Forward(context.Background(), address, request("b")).Outcome.Kind)
}

// Guards against a request that continues to run at the peer after its caller has canceled it.
func TestCancellationReachesTheDispatcher(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	client, address := start(t, func(ctx context.Context, _ *service.Request) service.Response {
		close(began)
		<-ctx.Done()
		close(ended)
		return service.Response{Outcome: entity.Unknown(entity.ReasonCanceled, "")}
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-began
		cancel()
	}()
	require.Equal(t, entity.OutcomeUnknown, client.Forward(ctx, address, request("")).Outcome.Kind)
	<-ended
}

// Guards against a refusal whose outcome, reason or holder differs at the caller.
func TestRefusalKeepsKindReasonAndHolder(t *testing.T) {
	want := service.Response{Outcome: entity.NotRun(entity.ReasonNotHolder, "d"), Holder: "i2", IdempotencyChecked: true}
	client, address := start(t, func(context.Context, *service.Request) service.Response { return want })
	require.Equal(t, want, client.Forward(context.Background(), address, request("")))
}
