package h1_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/h1"
)

const (
	// uploadSize is the size in bytes of a body that does not fit into the buffers of the sockets.
	uploadSize = 16 << 20
	// uploadLimit is a time limit that the tests of uploads do not guard.
	uploadLimit = 10 * time.Second
)

// Guards against returning the part of an answer without a length that came before a reset as complete, because the writer of the
// request's body got the error of the reset and the reader an end of the stream.
func TestAnswerResetDuringTheUploadIsUnknown(t *testing.T) {
	const rounds = 30 // which of the two gets the error varies
	p := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		_, _ = r.ReadString('\n')
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: one\r\n\r\npart of the answer")
		time.Sleep(20 * time.Millisecond) // the client reads the part and waits for more
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	pool, body := newPool(t), bytes.Repeat([]byte("x"), uploadSize)
	for range rounds {
		_, err := doWithin(t, pool, p.address, "one", body, uploadLimit)
		require.ErrorIs(t, err, h1.ErrUnknown)
	}
}

// Guards against refusing a whole answer without a length, because it came before the end of the upload or because the peer reset the
// connection after it.
func TestAnswerWithoutLengthToAnUploadIsWhole(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nId: one\r\n\r\nwhole"
	for name, serve := range map[string]func(c *net.TCPConn, r *bufio.Reader){
		"after the upload": func(c *net.TCPConn, r *bufio.Reader) {
			if got, err := http.ReadRequest(r); err == nil {
				_, _ = io.Copy(io.Discard, got.Body)
			}
			_, _ = io.WriteString(c, text)
		},
		"early, then the rest is read": func(c *net.TCPConn, r *bufio.Reader) {
			_, _ = r.ReadString('\n')
			_, _ = io.WriteString(c, text)
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, r)
		},
		"early, then a reset": func(c *net.TCPConn, r *bufio.Reader) {
			_, _ = r.ReadString('\n')
			_, _ = io.WriteString(c, text)
			_ = c.CloseWrite()
			time.Sleep(5 * time.Millisecond)
			_ = c.SetLinger(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) { serve(c.(*net.TCPConn), r) })
			pool, body := newPool(t), bytes.Repeat([]byte("x"), uploadSize)
			for range 5 {
				got, err := doWithin(t, pool, p.address, "one", body, uploadLimit)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, got.Status)
				require.Equal(t, "whole", string(got.Body))
			}
		})
	}
}
