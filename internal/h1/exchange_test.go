package h1_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/pollenpier/pollenpier/internal/h1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// peer is a server whose answers the test defines.
type peer struct {
	address string
	conns   atomic.Int64
}

// newPeer serves each connection with the given function, concurrently. Its first argument is the number of the connection,
// from 1.
func newPeer(t *testing.T, serve func(n int64, c net.Conn, r *bufio.Reader)) *peer {
	t.Helper()
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	p := &peer{address: socket.Addr().String()}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			c, err := socket.Accept()
			if err != nil {
				return
			}
			n := p.conns.Add(1)
			running.Go(func() {
				serve(n, c, bufio.NewReader(c))
				_ = c.Close()
			})
		}
	})
	t.Cleanup(func() { _ = socket.Close(); running.Wait() })
	return p
}

func newPool(t *testing.T) *h1.Pool {
	p := h1.NewPool(h1.Options{
		DialTimeout: time.Second, UserTimeout: time.Second, MaxIdle: 2, IdleTime: time.Minute, MatchHeader: "Id", MaxBody: 1 << 20,
	})
	t.Cleanup(p.Close)
	return p
}

func do(t *testing.T, p *h1.Pool, address, id, body string) (*h1.Response, error) {
	t.Helper()
	return doWithin(t, p, address, id, []byte(body), 400*time.Millisecond)
}

// doWithin is do with the given time limit.
func doWithin(t *testing.T, p *h1.Pool, address, id string, body []byte, limit time.Duration) (*h1.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return p.Do(ctx, address, &h1.Request{
		Method: http.MethodPost, Target: "/x?y=1", Host: "h", Header: http.Header{"Id": {id}}, Body: body, Match: id,
	})
}

// request reads one request and returns its id.
func request(r *bufio.Reader) string {
	got, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	body := make([]byte, got.ContentLength)
	_, _ = got.Body.Read(body)
	return got.Header.Get("Id")
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// Guards against a grant that reaches a backend after it was given up, because the process was suspended while the connection was opened.
func TestRequestIsNotSentAfterItsDeadline(t *testing.T) {
	const limit = 10 * time.Millisecond
	var received atomic.Int64
	p := newPeer(t, func(_ int64, _ net.Conn, r *bufio.Reader) {
		if _, err := r.Peek(1); err == nil {
			received.Add(1)
		}
	})
	pool := h1.NewPool(h1.Options{
		Dial: func(_ context.Context, network, address string) (net.Conn, error) {
			c, err := net.Dial(network, address)
			time.Sleep(2 * limit)
			return c, err
		},
		DialTimeout: time.Second, MaxIdle: 2, IdleTime: time.Minute, MatchHeader: "Id", MaxBody: 1 << 20,
	})
	defer pool.Close()
	for range 20 {
		_, err := doWithin(t, pool, p.address, "one", []byte("order"), limit)
		require.ErrorIs(t, err, h1.ErrNotSent)
	}
	time.Sleep(50 * time.Millisecond)
	require.Zero(t, received.Load(), "requests received after their deadline")
}

// Guards against returning the late second answer to an earlier request on the same connection.
func TestLateAnswerToAnotherRequestIsSkipped(t *testing.T) {
	p := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		id := request(r)
		_, _ = c.Write([]byte(answer(id, "first")))
		if id = request(r); id != "" {
			_, _ = c.Write([]byte(answer("one", "again") + answer(id, "second")))
			request(r)
		}
	})
	pool := newPool(t)
	got, err := do(t, pool, p.address, "one", "")
	require.NoError(t, err)
	require.Equal(t, "first", string(got.Body))
	got, err = do(t, pool, p.address, "two", "")
	require.NoError(t, err)
	require.Equal(t, "second", string(got.Body))
	_, _ = do(t, pool, p.address, "three", "")
	require.Equal(t, int64(2), p.conns.Load(), "a connection with answers to other requests must not be reused")
}

// Guards against using data that follows a complete answer as the answer to the next request.
func TestConnectionWithUnexpectedBytesIsNotReused(t *testing.T) {
	p := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		_, _ = c.Write([]byte(answer(request(r), "ok") + "HTTP/1.1 200 OK\r\nId: two\r\n\r\n"))
		time.Sleep(50 * time.Millisecond)
	})
	pool := newPool(t)
	for _, id := range []string{"one", "two"} {
		got, err := do(t, pool, p.address, id, "")
		require.NoError(t, err)
		require.Equal(t, "ok", string(got.Body))
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, int64(2), p.conns.Load())
}

// Guards against returning an incomplete answer as complete, and against reporting a request as not sent although it may
// have run.
func TestBrokenAnswersAreUnknown(t *testing.T) {
	for name, raw := range map[string]string{
		"truncated body":  "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 10\r\n\r\nhalf",
		"truncated chunk": "HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nha",
		"no answer":       "",
		"not HTTP":        "garbage garbage\r\n\r\n",
		"without its id":  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	} {
		p := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			request(r)
			_, _ = c.Write([]byte(raw))
		})
		_, err := do(t, newPool(t), p.address, "one", "order")
		require.ErrorIs(t, err, h1.ErrUnknown, name)
	}
}

// Guards against returning an answer without a length as complete although the connection was reset before its end.
func TestAnswerWithoutLengthEndsWithTheConnection(t *testing.T) {
	p := newPeer(t, func(n int64, c net.Conn, r *bufio.Reader) {
		request(r)
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nId: one\r\n\r\nwhole"))
		if n == 2 {
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
	pool := newPool(t)
	got, err := do(t, pool, p.address, "one", "")
	require.NoError(t, err)
	require.Equal(t, "whole", string(got.Body))
	_, err = do(t, pool, p.address, "one", "")
	require.ErrorIs(t, err, h1.ErrUnknown)
}

// Guards against reporting a request as possibly run although its connection was refused.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, socket.Close())
	_, err = do(t, newPool(t), socket.Addr().String(), "one", "")
	require.ErrorIs(t, err, h1.ErrNotSent)
}

// Guards against sending a request on an idle connection that the peer has already closed.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	p := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) { _, _ = c.Write([]byte(answer(request(r), "ok"))) })
	pool := newPool(t)
	for range 3 {
		_, err := do(t, pool, p.address, "one", "")
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, int64(3), p.conns.Load())
}

// Guards against a second request that the peer reads as the remainder of an earlier body, because the peer answered
// before it had read that body.
func TestConnectionOfAnUnreadBodyIsNotUsedAgain(t *testing.T) {
	p := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		line, _ := r.ReadString('\n')
		if strings.HasPrefix(line, http.MethodPost) {
			_, _ = c.Write([]byte(answer("one", "early")))
			time.Sleep(100 * time.Millisecond)
		}
	})
	pool, body := newPool(t), bytes.Repeat([]byte("x"), 16<<20)
	for range 2 {
		got, err := doWithin(t, pool, p.address, "one", body, 10*time.Second)
		require.NoError(t, err)
		require.Equal(t, "early", string(got.Body))
	}
	require.Equal(t, int64(2), p.conns.Load())
}

// Guards against a connection that stays open after the caller has canceled the request.
func TestCanceledRequestEndsItsConnection(t *testing.T) {
	ended := make(chan time.Time, 1)
	p := newPeer(t, func(_ int64, _ net.Conn, r *bufio.Reader) {
		request(r)
		_, _ = r.ReadByte()
		ended <- time.Now()
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := newPool(t).Do(ctx, p.address, &h1.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	left := time.Now()
	require.ErrorIs(t, err, h1.ErrUnknown)
	require.WithinDuration(t, left, <-ended, 200*time.Millisecond)
}
