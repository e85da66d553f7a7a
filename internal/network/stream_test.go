package network_test

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/network"
)

const part = "part of an answer"

// connect returns a stream to a peer that writes part and then calls end. It is closed with the test.
func connect(t *testing.T, end func(*net.TCPConn)) net.Conn {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	connected := make(chan struct{})
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		<-connected // a reset before it fails the dial
		_, _ = io.WriteString(c, part)
		end(c.(*net.TCPConn))
	}()
	c, err := network.DialFunc(nil).WithTimeout(time.Second).WithStreams()(context.Background(), "tcp4", listener.Addr().String())
	require.NoError(t, err)
	close(connected)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	return c
}

// reset closes a connection so that its peer gets a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// writeUntilError writes until the connection fails and returns the error.
func writeUntilError(c net.Conn) error {
	for {
		if _, err := c.Write(make([]byte, 1<<20)); err != nil {
			return err
		}
	}
}

// Guards against a reset that looks like an orderly end to the reader, because the writer got its error.
func TestResetThatTheWriterGotIsNoEnd(t *testing.T) {
	c := connect(t, reset)
	require.ErrorIs(t, writeUntilError(c), syscall.ECONNRESET)
	read, err := io.ReadAll(c)
	require.Equal(t, part, string(read))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against the same while the write is in progress, in either order of the two directions.
func TestResetDuringAWriteIsNoEnd(t *testing.T) {
	for range 30 {
		c := connect(t, func(c *net.TCPConn) {
			time.Sleep(5 * time.Millisecond) // the reader waits for more, the writer for room
			reset(c)
		})
		written := make(chan error, 1)
		go func() { written <- writeUntilError(c) }()
		read, err := io.ReadAll(c)
		require.Equal(t, part, string(read))
		require.ErrorIs(t, err, syscall.ECONNRESET)
		require.Error(t, <-written)
	}
}

// Guards against an orderly end that looks like a reset, because the peer received more after it.
func TestEndBeforeAResetIsAnEnd(t *testing.T) {
	c := connect(t, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(20 * time.Millisecond)
		reset(c)
	})
	require.ErrorIs(t, writeUntilError(c), syscall.EPIPE)
	read, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, part, string(read))
}

// Guards against a reader that waits at the end of the peer's stream for a write that the peer does not read.
func TestEndDuringAWriteIsAnEnd(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	c := connect(t, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		<-done
		_ = c.Close()
	})
	written := make(chan error, 1)
	go func() { written <- writeUntilError(c) }()
	read, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, part, string(read))
	require.ErrorIs(t, <-written, os.ErrDeadlineExceeded)
}

// ended is a connection whose kernel has given its error to the writer.
type ended struct {
	net.Conn
	err error
}

func (c ended) Write([]byte) (int, error) { return 0, c.err }
func (c ended) Read([]byte) (int, error)  { return 0, io.EOF }

// SetWriteDeadline implements net.Conn.
func (c ended) SetWriteDeadline(time.Time) error { return nil }

// Guards against other errors that end a connection and look like an orderly end, and against an end of the process's own writing
// that looks like a failure of the connection.
func TestErrorsOfTheWriter(t *testing.T) {
	for _, c := range []struct{ written, read error }{
		{syscall.ETIMEDOUT, syscall.ETIMEDOUT}, // data was not acknowledged within the user timeout
		{syscall.EHOSTUNREACH, syscall.EHOSTUNREACH},
		{syscall.EPIPE, io.EOF},
		{os.ErrDeadlineExceeded, io.EOF},
	} {
		stream := network.NewStream(ended{err: c.written})
		_, err := stream.Write([]byte("x"))
		require.ErrorIs(t, err, c.written)
		_, err = stream.Read(make([]byte, 1))
		require.ErrorIs(t, err, c.read)
	}
}
