package backend

import (
	"context"
	"sync"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// FakeMode selects how a FakeBackend reacts to all calls.
type FakeMode uint8

const (
	// FakeUp answers calls.
	FakeUp FakeMode = iota
	// FakeRefusing refuses connections.
	FakeRefusing
	// FakeFrozen accepts calls and does not answer. Control calls take effect when the mode changes to FakeUp.
	FakeFrozen
)

// FakeCall is a control call that reached a FakeBackend.
type FakeCall struct {
	Kind    FakeKind
	Session Session // of a renewal
	Term    entity.Term
	Grants  []Grant
}

// FakeKind is the kind of a FakeCall.
type FakeKind string

// Kinds of control calls.
const (
	FakeRenew  FakeKind = "renew"
	FakeGrant  FakeKind = "grant"
	FakeRevoke FakeKind = "revoke"
	FakeHealth FakeKind = "health"
	FakeLoad   FakeKind = "load"
)

// Fake is a Client with simulated backends in memory, for tests. It is safe for concurrent use.
type Fake struct {
	now func() time.Duration

	mu       sync.Mutex
	backends map[entity.BackendID]*FakeBackend
	blocked  map[context.Context]int
}

var _ Client = (*Fake)(nil)

// NewFake returns a Fake whose backends use the given clock.
func NewFake(now func() time.Duration) *Fake {
	return &Fake{now: now, backends: map[entity.BackendID]*FakeBackend{}, blocked: map[context.Context]int{}}
}

// FakeBackend is one backend of a Fake.
type FakeBackend struct {
	fake        *Fake
	mode        FakeMode
	status      SessionStatus
	until       time.Duration
	granted     map[Grant]bool
	revoked     map[Grant]entity.Epoch // highest revoked epoch, by grant without its epoch
	calls       []FakeCall
	queue       []func()
	loseAnswers map[FakeKind]bool
	handler     func(context.Context, *Call) (*Answer, error)
}

// Backend returns the backend with an id. It creates the backend if needed, with the id as its start id.
func (f *Fake) Backend(id entity.BackendID) *FakeBackend {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, ok := f.backends[id]
	if !ok {
		b = &FakeBackend{
			fake:        f,
			status:      SessionStatus{StartID: string(id)},
			granted:     map[Grant]bool{},
			revoked:     map[Grant]entity.Epoch{},
			loseAnswers: map[FakeKind]bool{},
		}
		f.backends[id] = b
	}
	return b
}

// Blocked returns the number of calls that wait for a frozen backend and whose context has not ended.
func (f *Fake) Blocked() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for ctx, n := range f.blocked {
		if ctx.Err() == nil {
			count += n
		}
	}
	return count
}

// SetMode sets the mode. Control calls received while the backend was frozen take effect when the mode becomes FakeUp.
func (b *FakeBackend) SetMode(mode FakeMode) {
	b.fake.mu.Lock()
	defer b.fake.mu.Unlock()
	b.mode = mode
	if mode != FakeUp {
		return
	}
	for _, effect := range b.queue {
		effect()
	}
	b.queue = nil
}

// Restart simulates a new process: the session, the grants and the queued calls are removed.
func (b *FakeBackend) Restart(startID string, slots int) {
	b.fake.mu.Lock()
	defer b.fake.mu.Unlock()
	b.mode, b.queue, b.until = FakeUp, nil, 0
	b.status = SessionStatus{StartID: startID, Slots: slots}
	b.granted = map[Grant]bool{}
	b.revoked = map[Grant]entity.Epoch{}
}

// LoseAnswers sets whether calls of a kind take effect but fail as if the answer was lost.
func (b *FakeBackend) LoseAnswers(kind FakeKind, lose bool) {
	b.fake.mu.Lock()
	defer b.fake.mu.Unlock()
	b.loseAnswers[kind] = lose
}

// SetHandler sets the function that answers Do.
func (b *FakeBackend) SetHandler(handler func(context.Context, *Call) (*Answer, error)) {
	b.fake.mu.Lock()
	defer b.fake.mu.Unlock()
	b.handler = handler
}

// SessionUntil returns the end of the session on the fake's clock.
func (b *FakeBackend) SessionUntil() time.Duration {
	b.fake.mu.Lock()
	defer b.fake.mu.Unlock()
	return b.until
}

// Serves reports whether the backend would run a request for a grant now.
func (b *FakeBackend) Serves(g Grant) bool {
	b.fake.mu.Lock()
	defer b.fake.mu.Unlock()
	return b.granted[g] && b.fake.now() < b.until
}

// Calls returns the control calls received since the last call of Calls.
func (b *FakeBackend) Calls() []FakeCall {
	b.fake.mu.Lock()
	defer b.fake.mu.Unlock()
	calls := b.calls
	b.calls = nil
	return calls
}
