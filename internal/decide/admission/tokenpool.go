package admission

import (
	"sync/atomic"
	"time"
)

// Batch is a batch of tokens that an instance may spend. Its methods are safe for concurrent use.
type Batch struct {
	sequence uint64
	tokens   int64
	until    time.Duration
	left     atomic.Int64
}

func newBatch(sequence uint64, tokens uint32, until time.Duration) *Batch {
	b := &Batch{sequence: sequence, tokens: int64(tokens), until: until}
	b.left.Store(int64(tokens))
	return b
}

// Spend takes one token if there is one at time now. Low is true for the one call that leaves a quarter of a batch of at least
// minLow tokens.
func (b *Batch) Spend(now time.Duration) (ok, low bool) {
	if now >= b.until {
		return false, false
	}
	for {
		left := b.left.Load()
		if left <= 0 {
			return false, false
		}
		if b.left.CompareAndSwap(left, left-1) {
			return true, b.tokens >= minLow && left-1 == b.tokens/minLow
		}
	}
}

// minLow is the smallest batch, in tokens, that is replaced before it is used up. A batch is replaced when 1/minLow of its tokens
// are left.
const minLow = 4

// close closes the batch and returns its final report.
func (b *Batch) close() Report {
	left := b.left.Swap(0)
	return Report{Sequence: b.sequence, Spent: uint32(b.tokens - left), Closed: true}
}

// report returns the number of tokens spent so far.
func (b *Batch) report() Report {
	return Report{Sequence: b.sequence, Spent: uint32(b.tokens - b.left.Load())}
}

// TokenPool holds the tokens of one customer at one instance. CountArrival, Spend and RetryAfter are safe for concurrent use
// and do not allocate; only the Client may change the pool otherwise.
type TokenPool struct {
	batch    atomic.Pointer[Batch]
	arrivals atomic.Int64
	retry    atomic.Int64
}

// CountArrival counts a request. The demand is estimated from these counts.
func (p *TokenPool) CountArrival() { p.arrivals.Add(1) }

// Spend takes one token if there is one at time now. If low is true, the client should request more.
func (p *TokenPool) Spend(now time.Duration) (ok, low bool) {
	b := p.batch.Load()
	if b == nil {
		return false, false
	}
	return b.Spend(now)
}

// RetryAfter returns the time after which a token can be expected, according to the last answer of the token server.
func (p *TokenPool) RetryAfter() time.Duration { return time.Duration(p.retry.Load()) }
