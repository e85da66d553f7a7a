package kernel

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Turn is a handler's access to the kernel while it handles one message. It must not be kept after Handle returns, except
// inside functions passed to Go.
type Turn struct {
	kernel  *Kernel
	self    Name
	now     time.Duration
	pending *[]envelope
}

// Now returns the monotonic time at which the handling of the message began.
func (t *Turn) Now() time.Duration { return t.now }

// Send queues a message for a service, which may be the current one, behind those already queued in this turn. It never blocks
// and never drops the message.
func (t *Turn) Send(to Name, msg Message) {
	*t.pending = append(*t.pending, envelope{to, msg})
}

// After delivers msg to the current service when d has passed. The message is dropped if the kernel stops first.
func (t *Turn) After(d time.Duration, msg Message) {
	k, self := t.kernel, t.self
	k.clock.AfterFunc(d, func() {
		// This fails only if the kernel has stopped; the message then has no receiver.
		_ = k.Deliver(k.ctx, self, msg)
	})
}

// Go runs work on a separate goroutine and delivers its result to the current service. A nil result is not delivered. The
// context ends when the kernel stops.
func (t *Turn) Go(work func(context.Context) Message) {
	k, self := t.kernel, t.self
	k.workers.Add(1)
	go func() {
		defer k.workers.Done()
		if msg := work(k.ctx); msg != nil {
			_ = k.Deliver(k.ctx, self, msg)
		}
	}()
}

// InvariantViolated reports a violated invariant to the invariant handler, which terminates the process.
func (t *Turn) InvariantViolated(err error) {
	t.kernel.invariantHandler(errors.Wrapf(err, "invariant violated in service %q", t.self))
}

// run is the control goroutine, the only goroutine that calls Handle.
func (k *Kernel) run() {
	defer close(k.loopDone)
	for {
		select {
		case e := <-k.mailbox:
			k.dispatch(e)
		case <-k.ctx.Done():
			return
		}
	}
}

// dispatch delivers one message from the mailbox and then all messages that the handlers send as a consequence.
func (k *Kernel) dispatch(first envelope) {
	queue := []envelope{first}
	for len(queue) > 0 {
		e := queue[0]
		queue = queue[1:]
		h, ok := k.services[e.to].(Handler)
		if !ok {
			k.invariantHandler(errors.Wrapf(ErrServiceNotFound, "no handler named %q for %T", e.to, e.msg))
			continue
		}
		h.Handle(&Turn{kernel: k, self: e.to, now: k.clock.Now(), pending: &queue}, e.msg)
	}
}
