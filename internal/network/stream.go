package network

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Stream is a connection whose reader learns how the connection ended. The kernel reports a reset only once: if Write gets the error,
// the next read returns io.EOF, as after an orderly end, and an answer that ends with its connection looks complete. Read of a Stream
// returns the error in this case, too.
type Stream struct {
	net.Conn

	writing sync.Mutex // held by Write
	failure error      // of Write, if it ended the connection; protected by writing
}

// NewStream returns a stream that takes over a connection.
func NewStream(c net.Conn) *Stream { return &Stream{Conn: c} }

// WithStreams returns a function that opens Streams.
func (d DialFunc) WithStreams() DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewStream(c), nil
	}
}

// Write implements net.Conn.
func (s *Stream) Write(p []byte) (int, error) {
	s.writing.Lock()
	defer s.writing.Unlock()
	n, err := s.Conn.Write(p)
	if endsConnection(err) {
		s.failure = err
	}
	return n, err
}

// endsConnection reports whether an error of a write means that the connection broke before the peer had ended its stream. EPIPE means
// the opposite: the kernel reports it for a reset that follows the end of the peer's stream.
func endsConnection(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Read implements net.Conn. It returns io.EOF only if the peer has ended its stream. After that, nothing can be written.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if failure := s.stopWriting(); failure != nil {
			return n, failure
		}
	}
	return n, err
}

// stopWriting returns the error of a write that ended the connection. A write that got this error but has not returned it yet cannot be
// told from one that waits for the peer, so it ends both.
func (s *Stream) stopWriting() error {
	_ = s.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, where writes fail
	s.writing.Lock()
	defer s.writing.Unlock()
	return s.failure
}
