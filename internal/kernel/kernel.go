// Package kernel is the micro-kernel of both kinds of instance: it starts and stops named services, lets them look each other
// up by name, and delivers typed messages to them on one control goroutine. It contains no routing logic.
package kernel

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Name identifies a service in the registry.
type Name string

// Message is a typed control message. Each service defines its own message types.
type Message any

// Service is a named component with a life cycle. The kernel calls Provision on every service in dependency order, then Start
// in the same order, and Stop in reverse order.
type Service interface {
	Name() Name
	// Needs lists the services that Provision may look up.
	Needs() []Name
	// Provision looks up the needed services. It must not start goroutines or perform I/O.
	Provision(*Resolver) error
	Start(context.Context) error
	Stop(context.Context) error
}

// Handler is a service that owns control state. Handle runs only on the control goroutine, so that state needs no lock. Handle
// must not block; I/O belongs in Turn.Go.
type Handler interface {
	Handle(*Turn, Message)
}

// Drainer is a service that finishes its work before any service stops. The kernel calls Drain on the started services in
// reverse dependency order while all of them still run, so that work in progress can use the services that it needs.
type Drainer interface {
	Drain(context.Context) error
}

// Validator is a service that checks its settings after Provision and before anything starts.
type Validator interface {
	Validate() error
}

// Cleaner is a service that releases resources after all services have stopped. The kernel also calls Cleanup if a service fails
// in Provision or Validate, even on services that it has not provisioned.
type Cleaner interface {
	Cleanup()
}

// Errors returned by the registry and the life cycle.
var (
	ErrDuplicateService = errors.New("duplicate service name")
	ErrServiceNotFound  = errors.New("service not found")
	ErrDependencyCycle  = errors.New("dependency cycle")
	ErrUndeclaredNeed   = errors.New("service looked up but not declared in Needs")
	ErrWrongType        = errors.New("service does not implement the requested interface")
	ErrStopped          = errors.New("kernel stopped")
)

// mailboxSize is the number of undelivered messages from outside the control goroutine that the mailbox can hold. At 10,000
// messages per second it holds 400 ms of messages, which is more than the control goroutine is allowed to fall behind.
const mailboxSize = 4096

// Kernel owns the registry and the control goroutine.
type Kernel struct {
	clock            Clock
	services         map[Name]Service
	order            []Service
	mailbox          chan envelope
	started          []Service
	ctx              context.Context
	cancel           context.CancelFunc
	loopDone         chan struct{}
	workers          sync.WaitGroup
	invariantHandler func(error)
	dropHandler      func(Name)
}

type envelope struct {
	to  Name
	msg Message
}

// Option configures a Kernel.
type Option func(*Kernel)

// WithInvariantHandler sets the function that is called once, on the control goroutine, when an invariant is violated. It must
// terminate the process.
func WithInvariantHandler(f func(error)) Option { return func(k *Kernel) { k.invariantHandler = f } }

// WithDropHandler sets the function that counts messages that Post refused because the mailbox was full.
func WithDropHandler(f func(Name)) Option { return func(k *Kernel) { k.dropHandler = f } }

// New returns a kernel for the given services. It fails with ErrServiceNotFound, ErrDuplicateService or ErrDependencyCycle if
// a name is missing, duplicate or part of a cycle.
func New(clock Clock, services []Service, opts ...Option) (*Kernel, error) {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Kernel{
		clock:            clock,
		services:         make(map[Name]Service, len(services)),
		mailbox:          make(chan envelope, mailboxSize),
		ctx:              ctx,
		cancel:           cancel,
		loopDone:         make(chan struct{}),
		invariantHandler: func(err error) { panic(err) },
		dropHandler:      func(Name) {},
	}
	for _, opt := range opts {
		opt(k)
	}
	for _, s := range services {
		if _, ok := k.services[s.Name()]; ok {
			cancel()
			return nil, errors.Wrapf(ErrDuplicateService, "service %q", s.Name())
		}
		k.services[s.Name()] = s
	}
	order, err := sortByNeeds(services, k.services)
	if err != nil {
		cancel()
		return nil, err
	}
	k.order = order
	return k, nil
}

// Start provisions, validates and starts all services. If a service fails, it stops those already started and releases the
// resources of all.
func (k *Kernel) Start(ctx context.Context) error {
	if err := k.prepare(); err != nil {
		k.cancel()
		k.cleanUp()
		return err
	}
	go k.run()
	for _, s := range k.order {
		if err := s.Start(ctx); err != nil {
			err = errors.Wrapf(err, "start service %q", s.Name())
			return errors.Join(err, k.Stop(ctx))
		}
		k.started = append(k.started, s)
	}
	return nil
}

// prepare provisions and validates all services.
func (k *Kernel) prepare() error {
	for _, s := range k.order {
		if err := s.Provision(&Resolver{kernel: k, service: s}); err != nil {
			return errors.Wrapf(err, "provision service %q", s.Name())
		}
	}
	for _, s := range k.order {
		v, ok := s.(Validator)
		if !ok {
			continue
		}
		if err := v.Validate(); err != nil {
			return errors.Wrapf(err, "validate service %q", s.Name())
		}
	}
	return nil
}

// Stop drains the started services and then stops them, both in reverse order, and ends the control goroutine and its workers.
// It returns all errors joined.
func (k *Kernel) Stop(ctx context.Context) error {
	failed := k.drain(ctx)
	for i := len(k.started) - 1; i >= 0; i-- {
		s := k.started[i]
		if err := s.Stop(ctx); err != nil {
			failed = errors.Join(failed, errors.Wrapf(err, "stop service %q", s.Name()))
		}
	}
	k.started = nil
	k.cancel()
	<-k.loopDone
	k.workers.Wait()
	k.cleanUp()
	return failed
}

// cleanUp releases the resources of all services in reverse order.
func (k *Kernel) cleanUp() {
	for i := len(k.order) - 1; i >= 0; i-- {
		if c, ok := k.order[i].(Cleaner); ok {
			c.Cleanup()
		}
	}
}

// drain drains the started services in reverse order.
func (k *Kernel) drain(ctx context.Context) error {
	var failed error
	for i := len(k.started) - 1; i >= 0; i-- {
		d, ok := k.started[i].(Drainer)
		if !ok {
			continue
		}
		if err := d.Drain(ctx); err != nil {
			failed = errors.Join(failed, errors.Wrapf(err, "drain service %q", k.started[i].Name()))
		}
	}
	return failed
}

// Post queues a message for a service without blocking. If the mailbox is full, it drops the message, calls the drop handler
// and returns false. Traffic goroutines use it for messages that may be lost.
func (k *Kernel) Post(to Name, msg Message) bool {
	select {
	case k.mailbox <- envelope{to, msg}:
		return true
	default:
		k.dropHandler(to)
		return false
	}
}

// Deliver queues a message for a service and waits for space in the mailbox. I/O workers use it for messages that must not be
// lost. It fails if ctx ends or, with ErrStopped, if the kernel stops first.
func (k *Kernel) Deliver(ctx context.Context, to Name, msg Message) error {
	select {
	case k.mailbox <- envelope{to, msg}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-k.ctx.Done():
		return ErrStopped
	}
}

// Stopped returns a channel that is closed when the control goroutine ends. Messages that were delivered but not handled by then are
// not answered.
func (k *Kernel) Stopped() <-chan struct{} { return k.loopDone }

// Now returns the monotonic time of the kernel's clock.
func (k *Kernel) Now() time.Duration { return k.clock.Now() }

// AfterFunc calls f on a separate goroutine when d has passed on the kernel's clock. The returned function cancels the call.
// Traffic goroutines use it for deadlines; handlers use Turn.After.
func (k *Kernel) AfterFunc(d time.Duration, f func()) (stop func() bool) {
	return k.clock.AfterFunc(d, f)
}
