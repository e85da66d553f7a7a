package h1_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/h1"
)

// Guards against an answer whose status is no HTTP status: it reaches the caller, or the request waits for its deadline, or a later
// request gets what follows on the connection.
func TestAnswerWithAnInvalidStatusEndsTheExchange(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+99", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			p := newPeer(t, func(n int64, c net.Conn, r *bufio.Reader) {
				id := request(r)
				if n == 1 {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Trouble\r\nId: %s\r\nContent-Length: 0\r\n\r\n%s", status, id, answer(id, "late"))
					_, _ = r.ReadByte() // until the client closes the connection
					return
				}
				_, _ = fmt.Fprint(c, answer(id, "own"))
			})
			pool := newPool(t)
			began := time.Now()
			_, err := doWithin(t, pool, p.address, "a", nil, 10*time.Second)
			require.ErrorIs(t, err, h1.ErrUnknown)
			require.ErrorIs(t, err, h1.ErrMalformed)
			require.Less(t, time.Since(began), 5*time.Second)
			response, err := do(t, pool, p.address, "b", "")
			require.NoError(t, err)
			require.Equal(t, "own", string(response.Body))
			require.EqualValues(t, 2, p.conns.Load())
		})
	}
}

// Guards against any sequence of bytes that is taken for an answer without a status from 200 to 599.
func FuzzAnswerStatus(f *testing.F) {
	for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 000 Trouble", "HTTP/1.1 +99", "HTTP/1.0 999 x", "HTTP/1.1 100 Continue", "HTTP/1.1 20"} {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line string) {
		var served atomic.Bool
		p := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			id := request(r)
			served.Store(true)
			_, _ = fmt.Fprintf(c, "%s\r\nId: %s\r\nContent-Length: 0\r\n\r\n", line, id)
		})
		pool := newPool(t)
		response, err := do(t, pool, p.address, "a", "")
		if err != nil {
			return
		}
		require.True(t, served.Load())
		require.GreaterOrEqual(t, response.Status, http.StatusOK)
		require.Less(t, response.Status, 600)
	})
}
