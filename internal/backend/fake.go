package backend

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

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

// Do runs the backend's handler. Without a handler it returns an empty answer with status 200.
func (f *Fake) Do(ctx context.Context, target Target, call *Call) (*Answer, error) {
	b := f.Backend(target.ID)
	f.mu.Lock()
	mode, handler, startID := b.mode, b.handler, b.status.StartID
	f.mu.Unlock()
	switch mode {
	case FakeRefusing:
		return nil, &Failure{Kind: FailureNotSent, Cause: syscall.ECONNREFUSED}
	case FakeFrozen:
		return nil, &Failure{Kind: FailureBroken, Cause: f.block(ctx)}
	case FakeUp:
	}
	if handler != nil {
		return handler(ctx, call)
	}
	body := io.NopCloser(strings.NewReader(""))
	return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: body, StartID: startID}, nil
}

// RenewSession extends the session to the stamp plus the TTL.
func (f *Fake) RenewSession(ctx context.Context, target Target, s Session) (SessionStatus, error) {
	b := f.Backend(target.ID)
	var status SessionStatus
	err := b.control(ctx, FakeCall{Kind: FakeRenew, Session: s, Term: s.Term}, func() error {
		if s.Term < b.status.Term {
			return ErrOutdatedTerm
		}
		b.lapse()
		b.status.Term = s.Term
		b.status.Stamp = uint64(f.now().Milliseconds())
		if s.StartID == b.status.StartID {
			b.extend(time.Duration(s.Stamp)*time.Millisecond + s.TTL)
		}
		status = b.status
		return nil
	})
	if err != nil {
		return SessionStatus{}, err
	}
	return status, nil
}

// Grant implements Client.
func (f *Fake) Grant(ctx context.Context, target Target, term entity.Term, grants []Grant) error {
	b := f.Backend(target.ID)
	return b.control(ctx, FakeCall{Kind: FakeGrant, Term: term, Grants: grants}, func() error {
		b.lapse()
		return b.setGrants(term, grants, true)
	})
}

// Revoke implements Client.
func (f *Fake) Revoke(ctx context.Context, target Target, term entity.Term, grants []Grant) error {
	b := f.Backend(target.ID)
	return b.control(ctx, FakeCall{Kind: FakeRevoke, Term: term, Grants: grants}, func() error {
		return b.setGrants(term, grants, false)
	})
}

// Health reports that the backend is ready.
func (f *Fake) Health(ctx context.Context, target Target) (Health, error) {
	b := f.Backend(target.ID)
	var h Health
	err := b.control(ctx, FakeCall{Kind: FakeHealth}, func() error {
		h = Health{Ready: true, StartID: b.status.StartID}
		return nil
	})
	return h, err
}

// Load reports no load.
func (f *Fake) Load(ctx context.Context, target Target) (Load, error) {
	b := f.Backend(target.ID)
	var l Load
	err := b.control(ctx, FakeCall{Kind: FakeLoad}, func() error {
		l = Load{StartID: b.status.StartID}
		return nil
	})
	return l, err
}

// extend moves the end of the session to until, if until is later than the current end and in the future. The caller
// holds the lock.
func (b *FakeBackend) extend(until time.Duration) {
	if until > b.fake.now() {
		b.until = max(b.until, until)
	}
}

// lapse drops the grants if the session has lapsed. The caller holds the lock.
func (b *FakeBackend) lapse() {
	if b.until > 0 && b.fake.now() >= b.until {
		b.until = 0
		b.granted = map[Grant]bool{}
		b.status.Lapses++
	}
}

// setGrants adds or revokes grants. The caller holds the lock.
func (b *FakeBackend) setGrants(term entity.Term, grants []Grant, granted bool) error {
	if term < b.status.Term {
		return ErrOutdatedTerm
	}
	for _, g := range grants {
		partition := Grant{Service: g.Service, Partition: g.Partition}
		switch {
		case !granted:
			delete(b.granted, g)
			b.revoked[partition] = max(b.revoked[partition], g.Epoch)
		case g.Epoch > b.revoked[partition]:
			b.granted[g] = true
		}
	}
	return nil
}

// control handles a control call according to the mode. It calls effect with the lock held.
func (b *FakeBackend) control(ctx context.Context, call FakeCall, effect func() error) error {
	f := b.fake
	f.mu.Lock()
	if b.mode == FakeRefusing {
		f.mu.Unlock()
		return errors.Join(ErrUnreachable, syscall.ECONNREFUSED)
	}
	b.calls = append(b.calls, call)
	if b.mode == FakeFrozen {
		b.queue = append(b.queue, func() { _ = effect() }) // the caller gets the error of its context instead
		f.mu.Unlock()
		return errors.Join(ErrUnreachable, f.block(ctx))
	}
	defer f.mu.Unlock()
	err := effect()
	if b.loseAnswers[call.Kind] {
		return errors.Wrap(ErrUnreachable, "answer lost by an injected fault")
	}
	return err
}

// block waits until the context ends.
func (f *Fake) block(ctx context.Context) error {
	f.mu.Lock()
	f.blocked[ctx]++
	f.mu.Unlock()
	<-ctx.Done()
	f.mu.Lock()
	delete(f.blocked, ctx)
	f.mu.Unlock()
	return ctx.Err()
}
