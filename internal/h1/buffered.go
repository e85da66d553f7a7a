package h1

import "sync/atomic"

// freeBuffer is the part of each answer's buffer in bytes that does not count toward the limit, so that large answers do not
// take the place of small ones.
const freeBuffer = 16 << 10

// buffered limits the sum of the buffers of the answers that are being read. It is safe for concurrent use.
type buffered struct {
	limit int64 // bytes; 0 means no limit
	used  atomic.Int64
}

// share is the part of one answer. It is not safe for concurrent use.
type share struct {
	of   *buffered
	held int64
}

func (b *buffered) newShare() *share { return &share{of: b} }

// grow changes the share to that of a buffer of the given size. It returns false if the limit does not allow it.
func (s *share) grow(size int) bool {
	more := max(int64(size)-freeBuffer, 0) - s.held
	if used := s.of.used.Add(more); s.of.limit > 0 && used > s.of.limit {
		s.of.used.Add(-more)
		return false
	}
	s.held += more
	return true
}

func (s *share) release() { s.of.used.Add(-s.held) }
