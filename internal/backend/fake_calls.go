package backend

import (
	"context"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/entity"
)

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
