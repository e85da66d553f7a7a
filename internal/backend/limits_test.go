package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/backend"
)

// endlessServer answers one request with head, and then part again and again until the client closes the connection or 64 MiB
// are written. It sends the number of bytes written.
func endlessServer(t *testing.T, head, part string) (backend.Target, <-chan int) {
	t.Helper()
	const volume = 64 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	written := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		n, err := io.WriteString(conn, head)
		for err == nil && n < volume {
			var more int
			more, err = io.WriteString(conn, part)
			n += more
		}
		written <- n
	}()
	return backend.Target{ID: "b", Address: listener.Addr().String()}, written
}

// Limits on what an answer without an end may cost: bytes read and buffered by sockets, and bytes of the error.
const (
	maxRead = 10 << 20
	maxText = 300
)

// Guards against an answer without an end that fills the memory or the log of the process or is read until the deadline.
func TestAnswerWithoutEndIsBroken(t *testing.T) {
	line := strings.Repeat("x", 4000)
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct{ head, part string }{
		"status line":     {"HTTP/1.1 200 ", line},
		"no answer":       {"", line},
		"one long line":   {line + line + "\r\n", line},
		"header line":     {ok + "X: ", line},
		"header lines":    {ok, "X: " + line + "\r\n"},
		"bad header":      {ok + line + line + "\r\n", line},
		"interim answers": {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100)},
	} {
		t.Run(name, func(t *testing.T) {
			target, written := endlessServer(t, c.head, c.part)
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
			defer cancel()
			_, err := newClient(t, 4).Do(ctx, target, newCall(http.MethodPost, "body"))
			requireKind(t, backend.FailureBroken, err)
			require.LessOrEqual(t, len(err.Error()), maxText)
			require.Less(t, <-written, maxRead)
		})
	}
}

// Guards against a control request that succeeds although its answer has no end.
func TestControlAnswerWithoutEndIsUnreachable(t *testing.T) {
	line := strings.Repeat("x", 4000)
	for name, c := range map[string]struct{ head, part string }{
		"head":   {"HTTP/1.1 200 OK\r\nX: ", line},
		"body":   {"HTTP/1.1 200 OK\r\n\r\n", line},
		"chunks": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "fa0\r\n" + line + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			target, written := endlessServer(t, c.head, c.part)
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
			defer cancel()
			err := newClient(t, 4).Revoke(ctx, target, 1, []backend.Grant{{Service: "s"}})
			require.ErrorIs(t, err, backend.ErrUnreachable)
			require.LessOrEqual(t, len(err.Error()), maxText)
			require.Less(t, <-written, maxRead)
		})
	}
}

// Guards against an answer that was cut in its head and is taken as complete, or as a refusal.
func TestAnswerCutInItsHeadIsBroken(t *testing.T) {
	const raw = "HTTP/1.1 503 No\r\nPollenpier-Request-Id: r1\r\nPollenpier-Not-Run: shed\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	end := 0
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
			}
			_, _ = io.WriteString(conn, raw[:end])
			_ = conn.Close()
		}
	}()
	target := backend.Target{ID: "b", Address: listener.Addr().String()}
	for end = range len(raw) {
		_, err := newClient(t, 4).Do(context.Background(), target, newCall(http.MethodPost, "body"))
		requireKind(t, backend.FailureBroken, err)
	}
	end = len(raw)
	_, err = newClient(t, 4).Do(context.Background(), target, newCall(http.MethodPost, "body"))
	requireKind(t, backend.FailureShed, err)
}
