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

// FakeMode says how a FakeBackend reacts to all calls.
type FakeMode uint8

const (
	// FakeUp answers.
	FakeUp FakeMode = iota
	// FakeRefusing refuses connections.
	FakeRefusing
	// FakeFrozen accepts calls and does not answer. Control calls take effect late, when the mode becomes FakeUp.
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

// Fake is a Client with back ends in memory, for tests. It is safe for concurrent use.
type Fake struct {
	now func() time.Duration

	mu       sync.Mutex
	backends map[entity.BackendID]*FakeBackend
	blocked  map[context.Context]int
}

var _ Client = (*Fake)(nil)

// NewFake returns a Fake whose back ends read the given clock.
func NewFake(now func() time.Duration) *Fake {
	return &Fake{now: now, backends: map[entity.BackendID]*FakeBackend{}, blocked: map[context.Context]int{}}
}

// FakeBackend is one back end of a Fake.
type FakeBackend struct {
	fake    *Fake
	mode    FakeMode
	status  SessionStatus
	until   time.Duration
	granted map[Grant]bool
	revoked map[Grant]entity.Epoch // by grant without epoch
	calls   []FakeCall
	queue   []func()
	lose    map[FakeKind]bool
	handler func(context.Context, *Call) (*Answer, error)
}

// Backend returns a back end and makes it if needed, with its id as start id.
func (f *Fake) Backend(id entity.BackendID) *FakeBackend {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, ok := f.backends[id]
	if !ok {
		b = &FakeBackend{
			fake:    f,
			status:  SessionStatus{StartID: string(id)},
			granted: map[Grant]bool{},
			revoked: map[Grant]entity.Epoch{},
			lose:    map[FakeKind]bool{},
		}
		f.backends[id] = b
	}
	return b
}

// Blocked returns the number of calls that wait for a frozen back end and whose context is alive.
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

// SetMode changes how the back end reacts. What it received while it was frozen takes effect when it is up again.
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

// Restart replaces the process: session, grants and queued calls are gone.
func (b *FakeBackend) Restart(startID string, slots int) {
	b.fake.mu.Lock()
	defer b.fake.mu.Unlock()
	b.mode, b.queue, b.until = FakeUp, nil, 0
	b.status = SessionStatus{StartID: startID, Slots: slots}
	b.granted = map[Grant]bool{}
	b.revoked = map[Grant]entity.Epoch{}
}

// LoseAnswers makes calls of a kind take effect and fail, or not.
func (b *FakeBackend) LoseAnswers(kind FakeKind, lose bool) {
	b.fake.mu.Lock()
	defer b.fake.mu.Unlock()
	b.lose[kind] = lose
}

// SetHandler sets what Do returns.
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

// Serves reports whether the back end would run a request for a grant now.
func (b *FakeBackend) Serves(g Grant) bool {
	b.fake.mu.Lock()
	defer b.fake.mu.Unlock()
	return b.granted[g] && b.fake.now() < b.until
}

// Calls returns the control calls that reached the back end, and forgets them.
func (b *FakeBackend) Calls() []FakeCall {
	b.fake.mu.Lock()
	defer b.fake.mu.Unlock()
	calls := b.calls
	b.calls = nil
	return calls
}

// Do runs the back end's handler, by default an empty answer with status 200.
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

// Grant adds grants.
func (f *Fake) Grant(ctx context.Context, target Target, term entity.Term, grants []Grant) error {
	b := f.Backend(target.ID)
	return b.control(ctx, FakeCall{Kind: FakeGrant, Term: term, Grants: grants}, func() error {
		b.lapse()
		return b.setGrants(term, grants, true)
	})
}

// Revoke removes grants.
func (f *Fake) Revoke(ctx context.Context, target Target, term entity.Term, grants []Grant) error {
	b := f.Backend(target.ID)
	return b.control(ctx, FakeCall{Kind: FakeRevoke, Term: term, Grants: grants}, func() error {
		return b.setGrants(term, grants, false)
	})
}

// Health reports a ready back end.
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

// extend moves the end of the session to until, if that is later and not over. The caller holds the lock.
func (b *FakeBackend) extend(until time.Duration) {
	if until > b.fake.now() {
		b.until = max(b.until, until)
	}
}

// lapse forgets the grants if the session has ended. The caller holds the lock.
func (b *FakeBackend) lapse() {
	if b.until > 0 && b.fake.now() >= b.until {
		b.until = 0
		b.granted = map[Grant]bool{}
		b.status.Lapses++
	}
}

// setGrants changes the grants. The caller holds the lock.
func (b *FakeBackend) setGrants(term entity.Term, grants []Grant, granted bool) error {
	if term < b.status.Term {
		return ErrOutdatedTerm
	}
	for _, g := range grants {
		place := Grant{Service: g.Service, Partition: g.Partition}
		switch {
		case !granted:
			delete(b.granted, g)
			b.revoked[place] = max(b.revoked[place], g.Epoch)
		case g.Epoch > b.revoked[place]:
			b.granted[g] = true
		}
	}
	return nil
}

// control applies a control call as the mode says. Effect runs with the lock held.
func (b *FakeBackend) control(ctx context.Context, call FakeCall, effect func() error) error {
	f := b.fake
	f.mu.Lock()
	if b.mode == FakeRefusing {
		f.mu.Unlock()
		return errors.Join(ErrUnreachable, syscall.ECONNREFUSED)
	}
	b.calls = append(b.calls, call)
	if b.mode == FakeFrozen {
		b.queue = append(b.queue, func() { _ = effect() }) // the caller has stopped waiting for the result
		f.mu.Unlock()
		return errors.Join(ErrUnreachable, f.block(ctx))
	}
	defer f.mu.Unlock()
	err := effect()
	if b.lose[call.Kind] {
		return errors.Wrap(ErrUnreachable, "answer lost by fault")
	}
	return err
}

// block waits for the end of the context.
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
