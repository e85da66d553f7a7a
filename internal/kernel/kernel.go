// Package kernel starts and stops named services, lets them find each other by name, and delivers typed messages to them
// on one control goroutine. It knows nothing of routing.
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

// Service is a unit of the program with a life cycle. The kernel calls Provision on every service in dependency order, then
// Start in the same order, and Stop in reverse order.
type Service interface {
	Name() Name
	// Needs lists the services that Provision may look up.
	Needs() []Name
	// Provision resolves the needed services. It starts no goroutine and performs no I/O.
	Provision(*Resolver) error
	Start(context.Context) error
	Stop(context.Context) error
}

// Handler is a service that owns control state. Handle runs only on the control goroutine, so the state that it owns needs
// no lock. It must not block: I/O belongs into Turn.Go.
type Handler interface {
	Handle(*Turn, Message)
}

// Drainer is a service that ends its work before anything stops. Drain is called in reverse order of dependencies on all
// started services, while all of them still run, so that work in progress can use the services that it needs.
type Drainer interface {
	Drain(context.Context) error
}

// Validator is a service that checks its settings after Provision and before anything starts.
type Validator interface {
	Validate() error
}

// Cleaner is a service that releases resources after all services have stopped.
type Cleaner interface {
	Cleanup()
}

// Errors of the registry and the life cycle.
var (
	ErrDuplicateService = errors.New("duplicate service name")
	ErrServiceNotFound  = errors.New("service not found")
	ErrDependencyCycle  = errors.New("dependency cycle")
	ErrUndeclaredNeed   = errors.New("service looked up but not declared in Needs")
	ErrWrongType        = errors.New("service does not implement the requested interface")
	ErrStopped          = errors.New("kernel stopped")
)

// mailboxSize bounds the messages from outside the control goroutine that wait for delivery. At 10,000 messages a second
// it holds 400 ms, longer than the control goroutine is allowed to lag.
const mailboxSize = 4096

// Kernel owns the registry and the control goroutine.
type Kernel struct {
	clock    Clock
	services map[Name]Service
	order    []Service
	mailbox  chan envelope
	started  []Service
	ctx      context.Context
	cancel   context.CancelFunc
	loopDone chan struct{}
	workers  sync.WaitGroup
	broken   func(error)
	dropped  func(Name)
}

type envelope struct {
	to  Name
	msg Message
}

// Option configures a Kernel.
type Option func(*Kernel)

// WithInvariantHandler sets the function that is called once, on the control goroutine, when an invariant is broken. It must end
// the process.
func WithInvariantHandler(f func(error)) Option { return func(k *Kernel) { k.broken = f } }

// WithDropHandler sets the function that counts messages that Post refused because the mailbox was full.
func WithDropHandler(f func(Name)) Option { return func(k *Kernel) { k.dropped = f } }

// New returns a kernel for the given services. It fails on a missing, duplicate or cyclic name.
func New(clock Clock, services []Service, opts ...Option) (*Kernel, error) {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Kernel{
		clock:    clock,
		services: make(map[Name]Service, len(services)),
		mailbox:  make(chan envelope, mailboxSize),
		ctx:      ctx,
		cancel:   cancel,
		loopDone: make(chan struct{}),
		broken:   func(err error) { panic(err) },
		dropped:  func(Name) {},
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

// Start provisions, validates and starts all services. On failure it stops those already started.
func (k *Kernel) Start(ctx context.Context) error {
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

// Stop drains the started services and then stops them, each in reverse order, and ends the control goroutine and its
// workers.
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
	for i := len(k.order) - 1; i >= 0; i-- {
		if c, ok := k.order[i].(Cleaner); ok {
			c.Cleanup()
		}
	}
	return failed
}

// drain ends the work of the started services in reverse order.
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

// Post hands a message to a service without waiting. It reports false, and counts the loss, when the mailbox is full.
// Traffic goroutines use it for messages that may be lost.
func (k *Kernel) Post(to Name, msg Message) bool {
	select {
	case k.mailbox <- envelope{to, msg}:
		return true
	default:
		k.dropped(to)
		return false
	}
}

// Deliver hands a message to a service and waits for space in the mailbox. I/O workers use it for messages that must
// not be lost. It fails when ctx ends or the kernel stops.
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

// Now returns the monotonic time of the kernel's clock.
func (k *Kernel) Now() time.Duration { return k.clock.Now() }

// AfterFunc calls f on a goroutine of its own when d has passed on the kernel's clock. The returned function cancels the
// call. Traffic goroutines use it for deadlines; services use Turn.After.
func (k *Kernel) AfterFunc(d time.Duration, f func()) (stop func() bool) {
	return k.clock.AfterFunc(d, f)
}
