package callerbudget

import (
	"sync"
	"sync/atomic"
	"time"
)

// State is what a connection does.
type State int32

// States of a connection. Requests that are being handled are never closed to make room, since they may have reached a backend.
const (
	Idle     State = iota // waits for its first or next request
	Reading               // part of a request has been read
	Handling              // a complete request is in progress
	Writing               // a write of an answer waits for the caller
	revoked               // the connection makes room for others
)

const (
	// reservePart is the part of the memory and of the connections, as a divisor, that is reserved for small requests of addresses that
	// hold little.
	reservePart = 16
	// lightPart is the part, as a divisor, up to which an address holds little.
	lightPart = 8
	// batchPart is the part of the limit, as a divisor, that is freed at once, so that a full account is not searched for each byte.
	batchPart = 64
	// smallAnswer is the size of an answer in bytes that ConnectionCost covers.
	smallAnswer = 4 << 10
	// averageWeight is the number of answers over which their size is averaged, roughly.
	averageWeight = 16
	// searchPause is the pause after a search that did not find enough.
	searchPause = 50 * time.Millisecond
)

// Budget is what an instance may hold for callers. It is safe for concurrent use.
type Budget struct {
	limits Limits
	used   atomic.Int64 // bytes; written under the lock
	live   atomic.Int64 // connections that are open and have not been revoked; written under the lock
	// running is the number of requests in progress whose answers have not been charged, and expected the moving average of the sizes of
	// answers: what is in progress will need memory, too.
	running, expected atomic.Int64

	mu         sync.Mutex
	open       int // connections, those that have been revoked included
	holdings   map[*Holding]struct{}
	addresses  map[string]*addressUse
	pauseUntil time.Duration // no search before
}

// addressUse is what the connections of one address hold.
type addressUse struct {
	bytes       int64
	connections int
}

// New returns a budget with the given limits.
func New(l Limits) *Budget {
	return &Budget{limits: l, holdings: map[*Holding]struct{}{}, addresses: map[string]*addressUse{}}
}

// Limit returns the largest size in bytes that one body may have.
func (b *Budget) Limit() int64 { return b.limits.Memory - b.limits.Memory/reservePart }

// Usage returns the bytes held and the number of connections.
func (b *Budget) Usage() (bytes, connections int64) { return b.used.Load(), b.live.Load() }

// Load returns the part of the connections that is in use, from 0 to 1.
func (b *Budget) Load() float64 {
	if b.limits.Connections == 0 {
		return 0
	}
	return float64(b.live.Load()) / float64(b.limits.Connections)
}

// Holding is the part of one connection. Its methods may be called concurrently. A nil Holding is unlimited.
type Holding struct {
	of      *Budget
	address string
	cancel  func(State)

	state    atomic.Int32
	progress atomic.Int64 // time of the last progress
	served   atomic.Bool  // a request has been answered
	running  atomic.Bool  // counted in the budget's running

	// The fields below are guarded by the budget's lock.
	held   int64
	closed bool
}

// Open adds a connection from an address. If the connection has to make room for others, cancel is called with its last state; it must
// not block. Open reports false if there is no room.
func (b *Budget) Open(address string, now time.Duration, cancel func(State)) (*Holding, bool) {
	h := &Holding{of: b, address: address, cancel: cancel}
	h.progress.Store(int64(now))
	b.mu.Lock()
	victims, ok := b.makeRoom(h, ConnectionCost, 1, now)
	if ok {
		b.holdings[h] = struct{}{}
		b.open++
		b.add(h, ConnectionCost, 1)
	}
	b.mu.Unlock()
	victims.cancel()
	return h, ok
}

// Grow adds bytes to what the connection holds. It reports false if there is no room, or if the connection makes room for others.
func (h *Holding) Grow(bytes int64, now time.Duration) bool {
	if h == nil || bytes <= 0 {
		return true
	}
	b := h.of
	b.mu.Lock()
	if h.closed || h.isRevoked() {
		b.mu.Unlock()
		return false
	}
	victims, ok := b.makeRoom(h, bytes, 0, now)
	if ok {
		b.add(h, bytes, 0)
	}
	b.mu.Unlock()
	victims.cancel()
	return ok
}

// Charge adds the bytes of an answer, which must be delivered in any case, and returns how many it has added: small answers are covered
// by the cost of the connection. The budget may be exceeded; until there is room again, Begin refuses requests.
func (h *Holding) Charge(bytes int64, now time.Duration) int64 {
	if h == nil {
		return 0
	}
	b := h.of
	h.endRunning()
	if average := b.expected.Load(); average != bytes {
		b.expected.Store(average + (bytes-average)/averageWeight) // a lost update does not matter
	}
	if bytes <= smallAnswer {
		return 0
	}
	h.Add(bytes, now)
	return bytes
}

// Add adds bytes that the connection holds already. The budget may be exceeded.
func (h *Holding) Add(bytes int64, now time.Duration) {
	if h == nil {
		return
	}
	b := h.of
	b.mu.Lock()
	victims, _ := b.makeRoom(h, bytes, 0, now)
	b.add(h, bytes, 0)
	b.mu.Unlock()
	victims.cancel()
}

// ExpectedAnswer returns the size in bytes that answers have on average, zero if they are small.
func (b *Budget) ExpectedAnswer() int64 {
	if expected := b.expected.Load(); expected > smallAnswer {
		return expected
	}
	return 0
}

// Protect records that a request is handled which has begun before, and protects the connection.
func (h *Holding) Protect(now time.Duration) bool {
	if h == nil {
		return true
	}
	h.progress.Store(int64(now))
	return h.state.CompareAndSwap(int32(Reading), int32(Handling)) || h.state.CompareAndSwap(int32(Idle), int32(Handling)) ||
		State(h.state.Load()) == Handling
}

// endRunning records that the answer of the current request has been charged or that there is none.
func (h *Holding) endRunning() {
	if h.running.CompareAndSwap(true, false) {
		h.of.running.Add(-1)
	}
}

// Shrink returns bytes to the budget.
func (h *Holding) Shrink(bytes int64) {
	if h == nil || bytes <= 0 {
		return
	}
	h.of.mu.Lock()
	defer h.of.mu.Unlock()
	h.of.add(h, -min(bytes, h.held), 0)
}

// Close returns everything to the budget.
func (h *Holding) Close() {
	if h == nil {
		return
	}
	h.endRunning()
	b := h.of
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	b.open--
	if _, ok := b.holdings[h]; ok {
		b.drop(h)
	}
}

// Read records that data of the caller has been read.
func (h *Holding) Read(now time.Duration) {
	if h == nil {
		return
	}
	h.progress.Store(int64(now))
	h.state.CompareAndSwap(int32(Idle), int32(Reading))
}

// Begin records that a request is complete and is handled from now on, and protects the connection. It reports false if the
// connection makes room for others, or if the answers of the requests in progress are expected to exceed the budget; the request must
// then not run.
func (h *Holding) Begin(now time.Duration) bool {
	if h == nil {
		return true
	}
	if !h.of.settle(h, now) || !h.Protect(now) {
		return false
	}
	if h.running.CompareAndSwap(false, true) {
		h.of.running.Add(1)
	}
	return true
}

// settle reports whether the budget has room for the answers of all requests in progress and of a further one, and makes room if not.
func (b *Budget) settle(h *Holding, now time.Duration) bool {
	answers := (b.running.Load() + 1) * b.ExpectedAnswer()
	if b.used.Load()+answers <= b.limits.Memory {
		return true
	}
	b.mu.Lock()
	victims, ok := b.makeRoom(h, answers, 0, now)
	b.mu.Unlock()
	victims.cancel()
	return ok
}

// Write records that a write of the answer begins, and Written that it has progressed.
func (h *Holding) Write(now time.Duration) { h.move(Handling, Writing, now) }

// Written records that data of the answer was written.
func (h *Holding) Written(now time.Duration) { h.move(Writing, Handling, now) }

func (h *Holding) move(from, to State, now time.Duration) {
	if h == nil {
		return
	}
	h.progress.Store(int64(now))
	h.state.CompareAndSwap(int32(from), int32(to))
}

// Wait records that the answer is complete and that the connection waits for its next request.
func (h *Holding) Wait(now time.Duration) {
	if h == nil {
		return
	}
	h.progress.Store(int64(now))
	h.served.Store(true)
	h.endRunning()
	for state := h.state.Load(); State(state) != revoked && !h.state.CompareAndSwap(state, int32(Idle)); state = h.state.Load() {
	}
}

// IsRevoked reports whether the connection makes room for others.
func (h *Holding) IsRevoked() bool { return h != nil && h.isRevoked() }

func (h *Holding) isRevoked() bool { return State(h.state.Load()) == revoked }

// fits reports whether there is room for more bytes and connections of a holding. The caller holds the lock.
func (b *Budget) fits(h *Holding, bytes int64, connections int) bool {
	memory, slots := b.limits.Memory, b.limits.Connections
	if !b.isLight(h, bytes, connections) {
		memory -= memory / reservePart
		slots -= slots / reservePart
	}
	if b.used.Load()+bytes > memory {
		return false
	}
	return connections == 0 || b.limits.Connections == 0 ||
		(int(b.live.Load())+connections <= slots && b.open+connections <= b.limits.Connections+b.limits.Closing)
}

// isLight reports whether a holding may use the reserve. The caller holds the lock.
func (b *Budget) isLight(h *Holding, bytes int64, connections int) bool {
	var use addressUse
	if u := b.addresses[h.address]; u != nil {
		use = *u
	}
	isFew := b.limits.Connections == 0 || use.connections+connections <= max(b.limits.Connections/lightPart, 1)
	return h.held+bytes <= ConnectionCost+FreeSize && use.bytes+bytes <= b.limits.Memory/lightPart && isFew
}

// add changes what a holding has. The caller holds the lock.
func (b *Budget) add(h *Holding, bytes int64, connections int) {
	if _, ok := b.holdings[h]; !ok {
		return
	}
	use := b.addresses[h.address]
	if use == nil {
		use = &addressUse{}
		b.addresses[h.address] = use
	}
	use.bytes += bytes
	use.connections += connections
	h.held += bytes
	b.used.Add(bytes)
	b.live.Add(int64(connections))
	if use.connections == 0 {
		delete(b.addresses, h.address)
	}
}

// drop removes a holding with all that it has. The caller holds the lock.
func (b *Budget) drop(h *Holding) {
	b.add(h, -h.held, -1)
	delete(b.holdings, h)
}
