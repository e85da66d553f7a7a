package h1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/h1"
)

func refusal(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Full\r\nId: %s\r\nRefused: yes\r\nContent-Length: 0\r\n\r\n", id)
}

// Guards against reporting a request as not run because of a refusal that does not name it.
func TestRefusalThatDoesNotNameTheRequestIsUnknown(t *testing.T) {
	for _, status := range []int{400, 408, 409, 421, 429, 500, 503} {
		for name, id := range map[string]string{
			"no id": "", "empty id": "Id:\r\n", "another id": "Id: two\r\n", "two ids": "Id: one\r\nId: two\r\n",
		} {
			p := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) {
				request(r)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %d No\r\n%sRefused: yes\r\nContent-Length: 0\r\n\r\n", status, id)
			})
			_, err := do(t, newPool(t), p.address, "one", "order")
			require.ErrorIs(t, err, h1.ErrUnknown, "%d, %s", status, name)
			require.ErrorIs(t, err, h1.ErrMismatched, "%d, %s", status, name)
		}
	}
}

// Guards against taking an earlier refusal that the peer writes once more for the answer to a later request.
func TestRepeatedRefusalIsSkipped(t *testing.T) {
	for name, repeated := range map[string]string{
		"before the answer": refusal("one") + answer("two", "second"),
		"after the answer":  answer("two", "second") + refusal("one"),
		"after an interim":  "HTTP/1.1 102 Processing\r\n\r\n" + refusal("one") + answer("two", "second"),
		"without its id": "HTTP/1.1 503 Full\r\nRefused: yes\r\nContent-Length: 0\r\n\r\n" +
			answer("two", "second"),
	} {
		p := newPeer(t, func(n int64, c net.Conn, r *bufio.Reader) {
			if n == 1 {
				_, _ = io.WriteString(c, refusal(request(r)))
				request(r)
				_, _ = io.WriteString(c, repeated)
				return
			}
			_, _ = io.WriteString(c, answer(request(r), "third"))
		})
		pool := newPool(t)
		got, err := do(t, pool, p.address, "one", "")
		require.NoError(t, err, name)
		require.Equal(t, http.StatusServiceUnavailable, got.Status, name)
		got, err = do(t, pool, p.address, "two", "order")
		require.NoError(t, err, name)
		require.Equal(t, "second", string(got.Body), name)
		got, err = do(t, pool, p.address, "three", "order")
		require.NoError(t, err, name)
		require.Equal(t, "third", string(got.Body), "%s: a connection with a repeated refusal must not be reused", name)
	}
}

// Guards against taking a repeated refusal for the answer to the next attempt of the same request, which runs.
func TestNextAttemptDoesNotGetTheRefusalOfTheFirst(t *testing.T) {
	p := newPeer(t, func(n int64, c net.Conn, r *bufio.Reader) {
		for id := request(r); id != ""; id = request(r) {
			switch {
			case n > 1:
				_, _ = io.WriteString(c, answer(id, "ran"))
			case id == "one": // at the second attempt, this is the first one's refusal once more
				_, _ = io.WriteString(c, refusal(id))
			default:
				_, _ = io.WriteString(c, answer(id, "between"))
			}
		}
	})
	pool := newPool(t)
	got, err := do(t, pool, p.address, "one", "order")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, got.Status)
	got, err = do(t, pool, p.address, "two", "order")
	require.NoError(t, err)
	require.Equal(t, "between", string(got.Body), "other requests use the connection")
	got, err = do(t, pool, p.address, "one", "order")
	require.NoError(t, err)
	require.Equal(t, "ran", string(got.Body))
}

// Guards against taking a repeated refusal of a command, which has no id, for the answer to the next command.
func TestConnectionOfARefusedCommandIsNotReused(t *testing.T) {
	p := newPeer(t, func(n int64, c net.Conn, r *bufio.Reader) {
		for _, err := http.ReadRequest(r); err == nil; _, err = http.ReadRequest(r) {
			if n == 1 {
				_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	pool := newPool(t)
	for _, want := range []int{http.StatusMisdirectedRequest, http.StatusOK} {
		got, err := pool.Do(t.Context(), p.address, &h1.Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}})
		require.NoError(t, err)
		require.Equal(t, want, got.Status)
	}
}

// Guards against taking data that arrived before the request was sent for its answer.
func TestDataBeforeTheRequestIsNotItsAnswer(t *testing.T) {
	received := make(chan string, 1)
	p := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		_, _ = io.WriteString(c, refusal("one"))
		received <- request(r)
	})
	dial := func(ctx context.Context, kind, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, kind, address)
		time.Sleep(50 * time.Millisecond) // the data of the peer arrives
		return c, err
	}
	pool := h1.NewPool(h1.Options{
		Dial: dial, DialTimeout: time.Second, MaxIdle: 2, IdleTime: time.Minute, MatchHeader: "Id", MaxBody: 1 << 20,
	})
	defer pool.Close()
	_, err := do(t, pool, p.address, "one", "order")
	require.ErrorIs(t, err, h1.ErrNotSent)
	require.Empty(t, <-received)
}
