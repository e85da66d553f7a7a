package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/backend/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rawServer answers each request with the bytes that reply returns. An empty reply closes the connection. The parameter
// nth of reply is the number of the request on its connection, from 1.
func rawServer(t *testing.T, reply func(req *http.Request, nth int) string) backend.Target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, reply)
		}
	}()
	return backend.Target{ID: "b", Address: listener.Addr().String()}
}

func serveRaw(conn net.Conn, reply func(*http.Request, int) string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for nth := 1; ; nth++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		answer := reply(req, nth)
		_, _ = io.WriteString(conn, answer)
		if answer == "" || strings.Contains(answer, "Connection: close") {
			return
		}
	}
}

func newClient(t *testing.T, connections int) *backend.HTTPClient {
	client := backend.NewHTTPClient(backend.ClientSettings{Connections: connections})
	t.Cleanup(client.Close)
	return client
}

func newCall(method, body string) *backend.Call {
	return &backend.Call{
		RequestID: "r1",
		Token:     backend.Token{Service: "stock", Partition: 7, Epoch: 42, Term: 3},
		Key:       "a/b ü",
		Method:    method,
		Path:      "/items",
		RawQuery:  "x=1",
		Header:    http.Header{},
		Body:      strings.NewReader(body),
		Length:    int64(len(body)),
		Remaining: 1500 * time.Millisecond,
	}
}

func requireKind(t *testing.T, kind backend.FailureKind, err error) {
	t.Helper()
	var failure *backend.Failure
	require.ErrorAs(t, err, &failure)
	require.Equal(t, kind, failure.Kind, "%v", err)
}

// Guards against a request sent without its id, token, key, deadline or body, or with hop-by-hop headers that apply to
// another connection only.
func TestRequestCarriesTokenAndDeadline(t *testing.T) {
	var got *http.Request
	target := rawServer(t, func(req *http.Request, _ int) string {
		got = req
		return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: x\r\nPollenpier-Start-Id: s1\r\n" +
			"Pollenpier-Request-Id: r1\r\nPollenpier-Outcome: not-run\r\nX-Own: y\r\n\r\nok"
	})
	call := newCall(http.MethodPost, "body")
	call.Header.Set("Connection", "x-hop")
	call.Header.Set("X-Hop", "1")
	call.Header.Set(wire.HeaderEpoch, "99")
	answer, err := newClient(t, 4).Do(context.Background(), target, call)
	require.NoError(t, err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, "ok", string(body))
	require.Equal(t, "s1", answer.StartID)
	require.Equal(t, http.Header{"X-Own": {"y"}, "Content-Length": {"2"}}, answer.Header)
	require.Equal(t, "/items?x=1", got.URL.String())
	require.EqualValues(t, 4, got.ContentLength)
	want := http.Header{
		"Content-Length": {"4"}, wire.HeaderRequestID: {"r1"}, wire.HeaderKey: {"a%2Fb%20%C3%BC"},
		wire.HeaderService: {"stock"}, wire.HeaderPartition: {"7"}, wire.HeaderEpoch: {"42"}, wire.HeaderTerm: {"3"},
		wire.HeaderRemaining: {"1500"},
	}
	require.Equal(t, want, got.Header)
}

// Guards against reporting "not run" for a request that may have run, and "unknown" for one that certainly did not run.
func TestFailuresAreClassified(t *testing.T) {
	const head = "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n"
	for _, c := range []struct {
		name  string
		reply string
		want  backend.FailureKind
	}{
		{"closed without answer", "", backend.FailureBroken},
		{"not HTTP", "hello\r\n\r\n", backend.FailureBroken},
		{"shed", head + "Pollenpier-Not-Run: shed\r\n\r\n", backend.FailureShed},
		{"draining", head + "Pollenpier-Not-Run: draining\r\n\r\n", backend.FailureShed},
		{"fenced", head + "Pollenpier-Not-Run: fenced\r\n\r\n", backend.FailureFenced},
		{"crossed", head + "Pollenpier-Request-Id: r2\r\n\r\n", backend.FailureMismatch},
		{"crossed refusal", head + "Pollenpier-Not-Run: shed\r\nPollenpier-Request-Id: r2\r\n\r\n", backend.FailureMismatch},
		{"switched protocols", "HTTP/1.1 101 Switching\r\n\r\n", backend.FailureBroken},
	} {
		t.Run(c.name, func(t *testing.T) {
			target := rawServer(t, func(*http.Request, int) string { return c.reply })
			_, err := newClient(t, 4).Do(context.Background(), target, newCall(http.MethodPost, "body"))
			requireKind(t, c.want, err)
		})
	}
}

// Guards against reporting a request as not run because an earlier refusal was repeated on its connection.
func TestRepeatedRefusalIsNotTheAnswerToAnotherRequest(t *testing.T) {
	const refusal = "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\nPollenpier-Not-Run: shed\r\n"
	for name, c := range map[string]struct {
		second string
		want   backend.FailureKind
	}{
		"without an id":      {refusal + "\r\n", backend.FailureMismatch},
		"with an earlier id": {refusal + "Pollenpier-Request-Id: r0\r\n\r\n", backend.FailureMismatch},
		"with its own id":    {refusal + "Pollenpier-Request-Id: r1\r\n\r\n", backend.FailureShed},
	} {
		t.Run(name, func(t *testing.T) {
			target := rawServer(t, func(_ *http.Request, nth int) string {
				if nth == 1 {
					return refusal + "\r\n"
				}
				return c.second
			})
			client := newClient(t, 4)
			first := newCall(http.MethodPost, "body")
			first.RequestID = "r0"
			_, err := client.Do(context.Background(), target, first)
			requireKind(t, backend.FailureShed, err)
			_, err = client.Do(context.Background(), target, newCall(http.MethodPost, "body"))
			requireKind(t, c.want, err)
		})
	}
}

// Guards against reporting a fenced request as not run at its next attempt, which runs, because its refusal was repeated.
func TestFencedRequestIsNotSentAgainOnItsConnection(t *testing.T) {
	const refusal = "HTTP/1.1 503 Unavailable\r\nPollenpier-Request-Id: r1\r\nPollenpier-Not-Run: fenced\r\nContent-Length: %d\r\n\r\n%s"
	for _, body := range []string{"", "refused"} {
		var requests atomic.Int32
		target := rawServer(t, func(_ *http.Request, nth int) string {
			if requests.Add(1) == 1 || nth > 1 {
				return fmt.Sprintf(refusal, len(body), body)
			}
			return "HTTP/1.1 204 OK\r\nPollenpier-Request-Id: r1\r\n\r\n"
		})
		client := newClient(t, 4)
		_, err := client.Do(context.Background(), target, newCall(http.MethodPost, "body"))
		requireKind(t, backend.FailureFenced, err)
		answer, err := client.Do(context.Background(), target, newCall(http.MethodPost, "body"))
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
		require.Equal(t, http.StatusNoContent, answer.Status)
	}
}

// Guards against treating a status as "not run" although the header that declares it is missing.
func TestStatusAloneIsAnAnswer(t *testing.T) {
	target := rawServer(t, func(*http.Request, int) string {
		return "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\nPollenpier-Not-Run: perhaps\r\n\r\n"
	})
	answer, err := newClient(t, 4).Do(context.Background(), target, newCall(http.MethodGet, ""))
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	require.Equal(t, 503, answer.Status)
}

// Guards against a wrong outcome when a request obtains no connection: the connection is refused, none is free, or no
// time is left.
func TestNotSentBeforeAConnectionExists(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	target := backend.Target{ID: "b", Address: listener.Addr().String()}
	require.NoError(t, listener.Close())
	_, err = newClient(t, 4).Do(context.Background(), target, newCall(http.MethodPost, "body"))
	requireKind(t, backend.FailureNotSent, err)
	require.True(t, backend.ConnectionRefused(err))

	entered := make(chan struct{}, 2)
	release := make(chan struct{})
	target = rawServer(t, func(*http.Request, int) string {
		entered <- struct{}{}
		<-release
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	})
	client := newClient(t, 3) // one of the three is for requests
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan error, 1)
	go func() {
		_, err := client.Do(ctx, target, newCall(http.MethodPost, "body"))
		first <- err
	}()
	<-entered
	short, stop := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer stop()
	_, err = client.Do(short, target, newCall(http.MethodPost, "body"))
	requireKind(t, backend.FailureNotSent, err)
	cancel()
	requireKind(t, backend.FailureBroken, <-first)
	close(release)

	call := newCall(http.MethodPost, "body")
	call.Remaining = 0
	_, err = client.Do(context.Background(), target, call)
	requireKind(t, backend.FailureNotSent, err)
}

// Guards against net/http sending a request again when a reused connection is lost, which would run an order twice.
func TestBrokenReusedConnectionIsNotReplayed(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodDelete, http.MethodOptions} {
		for _, body := range []string{"", "body"} {
			t.Run(fmt.Sprintf("%s with %d bytes", method, len(body)), func(t *testing.T) {
				var broken atomic.Int32
				target := rawServer(t, func(_ *http.Request, nth int) string {
					if nth > 1 {
						broken.Add(1)
						return ""
					}
					return "HTTP/1.1 204 OK\r\n\r\n"
				})
				client := newClient(t, 4)
				warm, err := client.Do(context.Background(), target, newCall(http.MethodGet, ""))
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, warm.Body)
				require.NoError(t, err)
				require.NoError(t, warm.Body.Close())
				call := newCall(method, body)
				call.Header.Set("Idempotency-Key", "k")
				call.Header.Set("X-Idempotency-Key", "k")
				_, err = client.Do(context.Background(), target, call)
				requireKind(t, backend.FailureBroken, err)
				require.EqualValues(t, 1, broken.Load())
			})
		}
	}
}

// Guards against reading a truncated answer as a complete one.
func TestTruncatedAnswerIsNotEOF(t *testing.T) {
	for name, reply := range map[string]string{
		"short of its length": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 10\r\n\r\nshort",
		"no last chunk":       "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"broken chunk":        "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nshort\r\n0\r\n\r\n",
		"no length, no end":   "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nshort",
	} {
		t.Run(name, func(t *testing.T) {
			target := rawServer(t, func(*http.Request, int) string { return reply })
			answer, err := newClient(t, 4).Do(context.Background(), target, newCall(http.MethodGet, ""))
			require.NoError(t, err)
			defer answer.Body.Close()
			_, err = io.ReadAll(answer.Body) // nil only after io.EOF
			requireKind(t, backend.FailureBroken, err)
		})
	}
}

// Guards against callers' requests that reach the control paths of a backend.
func TestControlPathsAreReserved(t *testing.T) {
	client := newClient(t, 4)
	for _, path := range []string{"/control", "/control/session", "//control/x", "/a/../control/grants", "/CONTROL/session"} {
		call := newCall(http.MethodPut, "{}")
		call.Path = path
		_, err := client.Do(context.Background(), backend.Target{ID: "b", Address: "127.0.0.1:1"}, call)
		requireKind(t, backend.FailureNotSent, err)
		require.ErrorIs(t, err, backend.ErrReservedPath, path)
	}
}
