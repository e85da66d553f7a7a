package kernel

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Turn is the view of the kernel that a handler has while it handles one message. It must not be kept after Handle
// returns, except inside functions passed to Go.
type Turn struct {
	kernel *Kernel
	self   Name
	now    time.Duration
	local  *[]envelope
}

// Now returns the monotonic time at which the handling of the message began.
func (t *Turn) Now() time.Duration { return t.now }

// Send queues a message to another service (or to the same one) behind those already queued in this turn. It never
// blocks and never loses the message.
func (t *Turn) Send(to Name, msg Message) {
	*t.local = append(*t.local, envelope{to, msg})
}

// After delivers msg to the current service when d has passed. The timer ends with the kernel.
func (t *Turn) After(d time.Duration, msg Message) {
	k, self := t.kernel, t.self
	k.clock.AfterFunc(d, func() {
		// The kernel has stopped if this fails, and the message has no receiver any more.
		_ = k.Deliver(k.ctx, self, msg)
	})
}

// Go runs work on a goroutine of its own and delivers its result to the current service. A nil result is not delivered.
// The context ends when the kernel stops.
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

// InvariantViolated reports a broken invariant and ends the process.
func (t *Turn) InvariantViolated(err error) {
	t.kernel.broken(errors.Wrapf(err, "invariant broken in service %q", t.self))
}

// run is the control goroutine: the only one that calls Handle.
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

// dispatch handles one message from the mailbox and everything that its handlers send in turn.
func (k *Kernel) dispatch(first envelope) {
	queue := []envelope{first}
	for len(queue) > 0 {
		e := queue[0]
		queue = queue[1:]
		h, ok := k.services[e.to].(Handler)
		if !ok {
			k.broken(errors.Wrapf(ErrServiceNotFound, "no handler named %q for %T", e.to, e.msg))
			continue
		}
		h.Handle(&Turn{kernel: k, self: e.to, now: k.clock.Now(), local: &queue}, e.msg)
	}
}
