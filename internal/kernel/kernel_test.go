package kernel_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/pollenpier/pollenpier/internal/kernel"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recorder is a service that records the messages it handles. It uses no lock, so that the race detector reports any call of
// Handle outside the control goroutine.
type recorder struct {
	name      kernel.Name
	needs     []kernel.Name
	lookup    kernel.Name
	trace     *[]string
	got       []kernel.Message
	onMessage func(*kernel.Turn, kernel.Message)
}

func (r *recorder) Name() kernel.Name    { return r.name }
func (r *recorder) Needs() []kernel.Name { return r.needs }
func (r *recorder) Provision(res *kernel.Resolver) error {
	if r.lookup == "" {
		return nil
	}
	_, err := kernel.Lookup[kernel.Service](res, r.lookup)
	return err
}

func (r *recorder) Start(context.Context) error {
	*r.trace = append(*r.trace, "start "+string(r.name))
	return nil
}

func (r *recorder) Stop(context.Context) error {
	*r.trace = append(*r.trace, "stop "+string(r.name))
	return nil
}

func (r *recorder) Drain(context.Context) error {
	*r.trace = append(*r.trace, "drain "+string(r.name))
	return nil
}

func (r *recorder) Handle(t *kernel.Turn, m kernel.Message) {
	r.got = append(r.got, m)
	if r.onMessage != nil {
		r.onMessage(t, m)
	}
}

// Guards against a wrong life-cycle order: a service that starts before the services that it needs, stops after them, or stops
// while another service is still draining.
func TestStartsInDependencyOrderAndStopsInReverse(t *testing.T) {
	var trace []string
	a := &recorder{name: "a", needs: []kernel.Name{"b"}, lookup: "b", trace: &trace}
	b := &recorder{name: "b", trace: &trace}
	k, err := kernel.New(kernel.NewSystemClock(), []kernel.Service{a, b})
	require.NoError(t, err)
	require.NoError(t, k.Start(context.Background()))
	require.NoError(t, k.Stop(context.Background()))
	require.Equal(t, []string{"start b", "start a", "drain a", "drain b", "stop a", "stop b"}, trace)
}

// Guards against a registry that accepts an invalid set of services, which would fail only later, under traffic.
func TestRegistryRejectsInvalidServices(t *testing.T) {
	var trace []string
	svc := func(name string, needs ...kernel.Name) kernel.Service {
		return &recorder{name: kernel.Name(name), needs: needs, trace: &trace}
	}
	for _, c := range []struct {
		name     string
		services []kernel.Service
		want     error
	}{
		{"duplicate", []kernel.Service{svc("a"), svc("a")}, kernel.ErrDuplicateService},
		{"missing", []kernel.Service{svc("a", "b")}, kernel.ErrServiceNotFound},
		{"cycle", []kernel.Service{svc("a", "b"), svc("b", "a")}, kernel.ErrDependencyCycle},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := kernel.New(kernel.NewSystemClock(), c.services)
			require.ErrorIs(t, err, c.want)
		})
	}
}

// Guards against hidden dependencies: a service that is looked up without being declared in Needs may not have started yet.
func TestLookupOutsideNeedsFails(t *testing.T) {
	var trace []string
	a := &recorder{name: "a", lookup: "b", trace: &trace}
	b := &recorder{name: "b", trace: &trace}
	k, err := kernel.New(kernel.NewSystemClock(), []kernel.Service{a, b})
	require.NoError(t, err)
	require.ErrorIs(t, k.Start(context.Background()), kernel.ErrUndeclaredNeed)
}

// Guards against messages between services, timers or results of workers that arrive out of order or outside the control
// goroutine.
func TestMessagesTimersAndWorkersReachTheHandler(t *testing.T) {
	var trace []string
	clock := kernel.NewManualClock()
	done := make(chan struct{})
	a := &recorder{name: "a", trace: &trace}
	b := &recorder{name: "b", trace: &trace}
	a.onMessage = func(turn *kernel.Turn, m kernel.Message) {
		switch m {
		case "begin":
			turn.Send("b", "first")
			turn.Send("b", "second")
			turn.Go(func(context.Context) kernel.Message { return "worked" })
		case "worked":
			turn.After(time.Second, "timer")
			go clock.Advance(time.Second)
		case "timer":
			close(done)
		}
	}
	k, err := kernel.New(clock, []kernel.Service{a, b})
	require.NoError(t, err)
	require.NoError(t, k.Start(context.Background()))
	require.NoError(t, k.Deliver(context.Background(), "a", "begin"))
	<-done
	require.NoError(t, k.Stop(context.Background()))
	require.Equal(t, []kernel.Message{"begin", "worked", "timer"}, a.got)
	require.Equal(t, []kernel.Message{"first", "second"}, b.got)
}

// Guards against traffic goroutines that wait for the control goroutine: when the mailbox is full, Post must return at once and
// report the dropped message.
func TestPostNeverBlocks(t *testing.T) {
	var trace []string
	block := make(chan struct{})
	entered := make(chan struct{}, 1)
	a := &recorder{name: "a", trace: &trace}
	a.onMessage = func(*kernel.Turn, kernel.Message) {
		select {
		case entered <- struct{}{}:
		default:
		}
		<-block
	}
	dropped := 0
	k, err := kernel.New(kernel.NewSystemClock(), []kernel.Service{a},
		kernel.WithDropHandler(func(kernel.Name) { dropped++ }))
	require.NoError(t, err)
	require.NoError(t, k.Start(context.Background()))
	require.True(t, k.Post("a", 0))
	<-entered
	accepted := 0
	for k.Post("a", accepted) {
		accepted++
	}
	require.Positive(t, accepted)
	require.Equal(t, 1, dropped)
	close(block)
	require.NoError(t, k.Stop(context.Background()))
}

// failing is a service that fails in the named step and records its Cleanup.
type failing struct {
	recorder

	failsIn string
}

func (f *failing) Provision(*kernel.Resolver) error { return f.errorIn("provision") }
func (f *failing) Validate() error                  { return f.errorIn("validate") }
func (f *failing) Cleanup()                         { *f.trace = append(*f.trace, "clean up "+string(f.name)) }

func (f *failing) errorIn(step string) error {
	if f.failsIn == step {
		return errors.New(step)
	}
	return nil
}

// Guards against resources that services acquired before a failed start and that are never released.
func TestFailedStartReleasesResources(t *testing.T) {
	for _, step := range []string{"provision", "validate"} {
		t.Run(step, func(t *testing.T) {
			var trace []string
			a := &failing{recorder: recorder{name: "a", trace: &trace}}
			b := &failing{recorder: recorder{name: "b", needs: []kernel.Name{"a"}, trace: &trace}, failsIn: step}
			k, err := kernel.New(kernel.NewSystemClock(), []kernel.Service{a, b})
			require.NoError(t, err)
			require.ErrorContains(t, k.Start(context.Background()), step)
			require.Equal(t, []string{"clean up b", "clean up a"}, trace)
		})
	}
}
