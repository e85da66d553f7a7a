package h1_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/h1"
)

// writeUntilClosed writes head, and then part again and again until the client closes the connection or the volume in bytes
// is written. It returns the number of bytes written.
func writeUntilClosed(c net.Conn, head, part string, volume int) int {
	_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	written, err := io.WriteString(c, head)
	for err == nil && written < volume {
		var n int
		n, err = io.WriteString(c, part)
		written += n
	}
	return written
}

// Guards against an answer without an end that fills the memory or the log of the process or is read until the deadline.
func TestAnswerWithoutEndIsUnknownAtItsLimit(t *testing.T) {
	const volume = 64 << 20  // bytes; the answer is cut there
	const buffers = 16 << 20 // bytes that the sockets may hold beyond those read
	const maxText = 200      // bytes of an error
	line := strings.Repeat("x", 4000)
	const ok, chunked = "HTTP/1.1 200 OK\r\nId: one\r\n", "HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		head, part string
		want       error
	}{
		"status line":       {"HTTP/1.1 200 ", line, h1.ErrTooLarge},
		"no answer":         {"", line, h1.ErrTooLarge},
		"no answer, lines":  {"", line + "\r\n", h1.ErrMalformed},
		"header line":       {ok + "X: ", line, h1.ErrTooLarge},
		"header name":       {ok, line, h1.ErrTooLarge},
		"header lines":      {ok, "X: " + line + "\r\n", h1.ErrTooLarge},
		"short headers":     {ok, strings.Repeat("X:\r\n", 1000), h1.ErrTooLarge},
		"folded header":     {ok + "X: y\r\n", strings.Repeat(" y\r\n", 1000), h1.ErrTooLarge},
		"interim answers":   {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100), h1.ErrTooLarge},
		"interim head":      {"HTTP/1.1 102 Processing\r\n", "X: " + line + "\r\n", h1.ErrTooLarge},
		"other answers":     {"", strings.Repeat("HTTP/1.1 503 No\r\nId: two\r\nContent-Length: 0\r\n\r\n", 100), h1.ErrUnknown},
		"other body":        {"HTTP/1.1 503 No\r\nId: two\r\n\r\n", line, h1.ErrTooLarge},
		"body":              {ok + "\r\n", line, h1.ErrTooLarge},
		"body with length":  {ok + "Content-Length: 99999999999\r\n\r\n", line, h1.ErrTooLarge},
		"chunks":            {chunked, "fa0\r\n" + line + "\r\n", h1.ErrTooLarge},
		"one chunk":         {chunked + "fffffffffff\r\n", line, h1.ErrTooLarge},
		"chunk header":      {chunked, strings.Repeat("0", 4000), h1.ErrMalformed},
		"chunk extension":   {chunked + "1;", line, h1.ErrMalformed},
		"many extensions":   {chunked, "1;" + line[:1000] + "\r\nx\r\n", h1.ErrMalformed},
		"trailer":           {chunked + "0\r\n", "X: " + line[:1000] + "\r\n", h1.ErrMalformed},
		"trailer line":      {chunked + "0\r\nX: ", line, h1.ErrMalformed},
		"switched protocol": {"HTTP/1.1 101 Switching Protocols\r\nId: one\r\n\r\n", line, h1.ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan int, 1)
			p := newPeer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				request(r)
				written <- writeUntilClosed(conn, c.head, c.part, volume)
			})
			_, err := doWithin(t, newPool(t), p.address, "one", []byte("order"), 4*time.Second)
			require.ErrorIs(t, err, h1.ErrUnknown)
			require.ErrorIs(t, err, c.want)
			require.LessOrEqual(t, len(err.Error()), maxText)
			require.Less(t, <-written, buffers, "the connection must be reset at the limit")
		})
	}
}

// Guards against an answer that is refused although its head and its interim answers are within the limits.
func TestLargeHeadAndInterimAnswersAreAccepted(t *testing.T) {
	p := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		id := request(r)
		head := strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 5) + "HTTP/1.1 200 OK\r\nId: " + id + "\r\nX: " + strings.Repeat("y", 40<<10)
		_, _ = io.WriteString(c, head+"\r\nContent-Length: 5\r\n\r\nwhole")
	})
	got, err := do(t, newPool(t), p.address, "one", "")
	require.NoError(t, err)
	require.Equal(t, "whole", string(got.Body))
}

// Guards against an answer to HEAD that counts as too large, or waits for a body, because of the length that it states.
func TestAnswerToHeadHasNoBody(t *testing.T) {
	p := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		for id := request(r); id != ""; id = request(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 99999999999\r\n\r\n")
		}
	})
	pool := newPool(t)
	for range 2 {
		got, err := pool.Do(t.Context(), p.address, &h1.Request{
			Method: http.MethodHead, Target: "/", Host: "h", Header: http.Header{"Id": {"one"}}, Match: "one",
		})
		require.NoError(t, err)
		require.Empty(t, got.Body)
	}
	require.Equal(t, int64(1), p.conns.Load())
}
