package h1_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/h1"
)

// Guards against returning an answer that was cut, at any byte, as complete.
func TestAnswerCutAtAnyByteIsUnknown(t *testing.T) {
	const id = "HTTP/1.1 200 OK\r\nId: one\r\n"
	for name, raw := range map[string]string{
		"length":       id + "Content-Length: 12\r\nX: y\r\n\r\nhello, world",
		"length first": "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: one\r\n\r\nhello, world",
		"no body":      id + "Content-Length: 0\r\n\r\n",
		"no content":   "HTTP/1.1 204 No Content\r\nId: one\r\n\r\n",
		"chunks":       id + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
		"trailer":      id + "Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n5\r\nhello\r\n0\r\nX: y\r\n\r\n",
		"interim":      "HTTP/1.1 102 Processing\r\n\r\n" + id + "Content-Length: 2\r\n\r\nok",
		"refusal":      "HTTP/1.1 503 Full\r\nId: one\r\nRefused: yes\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			end := 0
			p := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) {
				request(r)
				_, _ = io.WriteString(c, raw[:end])
			})
			pool := newPool(t)
			for end = range len(raw) {
				_, err := do(t, pool, p.address, "one", "order")
				require.ErrorIs(t, err, h1.ErrUnknown, "cut after %q", raw[:end])
				require.NotErrorIs(t, err, h1.ErrTooLarge, "cut after %q", raw[:end])
			}
			end = len(raw)
			_, err := do(t, pool, p.address, "one", "order")
			require.NoError(t, err)
		})
	}
}

// Guards against returning an answer without a length as complete if its head is cut, or if it ends with a reset.
func TestAnswerWithoutLengthIsCompleteOnlyAfterItsHeadAndAClose(t *testing.T) {
	const raw = "HTTP/1.1 200 OK\r\nId: one\r\n\r\n"
	for name, c := range map[string]struct {
		text  string
		reset bool
		whole bool
	}{
		"closed after the body":      {raw + "hello", false, true},
		"closed after the head":      {raw, false, true},
		"reset after the body":       {raw + "hello", true, false},
		"reset after the head":       {raw, true, false},
		"closed in the empty line":   {raw[:len(raw)-1], false, false},
		"closed before it":           {raw[:len(raw)-2], false, false},
		"closed in a header":         {raw[:len(raw)-5], false, false},
		"reset before an empty line": {raw[:len(raw)-2], true, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPeer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				request(r)
				_, _ = io.WriteString(conn, c.text)
				if c.reset {
					time.Sleep(20 * time.Millisecond) // the client reads the text before the reset
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			_, err := do(t, newPool(t), p.address, "one", "order")
			if c.whole {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, h1.ErrUnknown)
		})
	}
}
