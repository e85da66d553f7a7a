package h1

import (
	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/network"
)

// errNoBytesLeft is returned by a source whose limit has been reached.
var errNoBytesLeft = errors.New("limit of an answer reached")

// source reads a stream up to a limit. It remembers whether reading ended at the limit or with an error of the stream, since
// the parser of net/http reports both as errors of its own.
type source struct {
	stream   *network.Stream
	left     int64 // bytes that may still be read
	head     headScan
	exceeded bool
	err      error
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if s.left <= 0 {
		s.exceeded = true
		return 0, errNoBytesLeft
	}
	n, err := s.stream.Read(p[:min(int64(len(p)), s.left)])
	s.left -= int64(n)
	if s.head.active && !s.head.accept(p[:n]) {
		s.exceeded = true
		return 0, errNoBytesLeft
	}
	if err != nil {
		s.err = err
	}
	return n, err
}
