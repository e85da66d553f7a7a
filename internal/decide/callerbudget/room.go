package callerbudget

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// Times without progress after which a connection may be closed to make room. They apply only while something is used up.
const (
	// stalledReading is longer than a retransmission of a lost packet takes.
	stalledReading = 500 * time.Millisecond
	// stalledWriting is longer than a link of 10 Mbit/s that is shared by ten callers takes for a piece of an answer.
	stalledWriting = 1500 * time.Millisecond
	// stalledServed applies to a connection that waits after an answer.
	stalledServed = time.Second
)

// victim is a connection that makes room, and its state before.
type victim struct {
	holding *Holding
	state   State
}

// victims are connections that make room.
type victims []victim

// cancel tells the connections that they are closed.
func (v victims) cancel() {
	for _, one := range v {
		one.holding.cancel(one.state)
	}
}

// candidate is a connection without progress, as it was when it was found.
type candidate struct {
	victim
	class    int // binary logarithm of what it holds
	served   int // 1 if a request has been answered
	progress int64
}

// makeRoom revokes connections until more bytes and connections of a holding fit, and reports whether they do. It returns the
// connections that it has revoked, which the caller cancels after it has released the lock. The caller holds the lock.
func (b *Budget) makeRoom(h *Holding, bytes int64, connections int, now time.Duration) (victims, bool) {
	if b.fits(h, bytes, connections) {
		return nil, true
	}
	if now < b.pauseUntil {
		return nil, false
	}
	var found victims
	var freedBytes int64
	freedSlots := 0
	for _, c := range b.candidates(h, connections > 0, now) {
		isBatch := freedBytes >= b.limits.Memory/batchPart || freedSlots > b.limits.Connections/batchPart
		if isBatch && b.fits(h, bytes, connections) {
			break
		}
		if c.holding.state.CompareAndSwap(int32(c.state), int32(revoked)) {
			freedBytes += c.holding.held
			freedSlots++
			b.drop(c.holding)
			found = append(found, c.victim)
		}
	}
	if b.fits(h, bytes, connections) {
		return found, true
	}
	b.pauseUntil = now + searchPause
	return found, false
}

// candidates returns the connections without progress in the order in which they make room: those that hold most first, among them
// those that have never been answered, and then the oldest. idle says whether connections that hold nothing but themselves are among
// them. The caller holds the lock.
func (b *Budget) candidates(except *Holding, idle bool, now time.Duration) []candidate {
	var found []candidate
	for h := range b.holdings {
		state, progress := State(h.state.Load()), h.progress.Load()
		if h == except || state == revoked || (!idle && h.held <= ConnectionCost) || now-time.Duration(progress) < h.patience(state) {
			continue
		}
		c := candidate{victim: victim{h, state}, class: bits.Len64(uint64(h.held / ConnectionCost)), progress: progress}
		if h.served.Load() {
			c.served = 1
		}
		found = append(found, c)
	}
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.class, a.class), cmp.Compare(a.served, b.served), cmp.Compare(a.progress, b.progress))
	})
	return found
}

// never is longer than any time without progress.
const never = time.Duration(1 << 62)

// patience returns how long a connection in a state may be without progress before it makes room.
func (h *Holding) patience(state State) time.Duration {
	switch {
	case state == Handling:
		return never
	case state == Writing:
		return stalledWriting
	case state == Idle && h.served.Load():
		return stalledServed
	default:
		return stalledReading
	}
}
