package h1_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/h1"
)

// Guards against large answers that together need more memory than the process has, and against small ones that fail with them.
func TestLargeAnswersAreLimitedTogether(t *testing.T) {
	const size, limit, calls = 1 << 20, 2 << 20, 8 // bytes, bytes, exchanges
	body := strings.Repeat("x", size)
	proceed := make(chan struct{})
	large := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n", request(r), size)
		_, _ = io.WriteString(c, head+body[:size*5/8]) // needs a buffer of size
		<-proceed
		_, _ = io.WriteString(c, body[size*5/8:])
	})
	small := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		_, _ = io.WriteString(c, answer(request(r), body[:16<<10]))
	})
	pool := h1.NewPool(h1.Options{
		DialTimeout: time.Second, IdleTime: time.Minute, MatchHeader: "Id", MaxBody: size, MaxBuffered: limit, UserTimeout: time.Second,
	})
	defer pool.Close()
	results := make(chan error, calls)
	for range calls {
		go func() {
			_, err := doWithin(t, pool, large.address, "one", nil, 10*time.Second)
			results <- err
		}()
	}
	for range calls - limit/size { // two answers are held by the peer
		err := <-results
		require.ErrorIs(t, err, h1.ErrUnknown)
		require.ErrorIs(t, err, h1.ErrTooLarge)
	}
	_, err := doWithin(t, pool, small.address, "one", nil, 10*time.Second)
	require.NoError(t, err, "a small answer beside large ones")
	close(proceed)
	completed := 0
	for range limit / size {
		if err := <-results; err == nil {
			completed++
		} else {
			require.ErrorIs(t, err, h1.ErrTooLarge)
		}
	}
	require.Positive(t, completed)
	for range 2 * limit / size {
		got, err := doWithin(t, pool, large.address, "one", nil, 10*time.Second)
		require.NoError(t, err, "the limit applies to answers that are being read")
		require.Len(t, got.Body, size)
	}
}

// Guards against a buffer of the size that an answer states before its data has arrived.
func TestBufferGrowsOnlyWithTheData(t *testing.T) {
	p := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 1000000\r\n\r\nbeginning", request(r))
	})
	pool := h1.NewPool(h1.Options{
		DialTimeout: time.Second, IdleTime: time.Minute, MatchHeader: "Id", MaxBody: 1 << 20, MaxBuffered: 1, UserTimeout: time.Second,
	})
	defer pool.Close()
	_, err := doWithin(t, pool, p.address, "one", nil, time.Second)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.False(t, errors.Is(err, h1.ErrTooLarge))
}
