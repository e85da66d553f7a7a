package session

import (
	"context"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/operator"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	testBackend = entity.BackendID("b1")
	testService = entity.ServiceName("stock")
	testMaxRun  = 5 * time.Second
	testHold    = 30 * time.Second
	tick        = 10 * time.Millisecond
	distant     = time.Duration(1 << 60)
)

// neighbour is a fake of another service. It runs functions that it gets, on the control goroutine.
type neighbour struct {
	name   kernel.Name
	handle func(*kernel.Turn, kernel.Message)
}

func (n *neighbour) Name() kernel.Name                { return n.name }
func (n *neighbour) Needs() []kernel.Name             { return nil }
func (n *neighbour) Provision(*kernel.Resolver) error { return nil }
func (n *neighbour) Start(context.Context) error      { return nil }
func (n *neighbour) Stop(context.Context) error       { return nil }
func (n *neighbour) Handle(t *kernel.Turn, m kernel.Message) {
	if f, ok := m.(func()); ok {
		f()
		return
	}
	n.handle(t, m)
}

type leaseFake struct {
	neighbour
	view kernel.Snapshot[service.LeaseView]
}

func (l *leaseFake) Leases() *service.LeaseView { return l.view.Load() }

type backendsFake struct {
	neighbour
	*backend.Fake
}

// sent is a message to control with its time.
type sent struct {
	at  time.Duration
	msg kernel.Message
}

// harness runs the service in virtual time with a fake back end and fake neighbours.
type harness struct {
	t       require.TestingT
	clock   *kernel.ManualClock
	kernel  *kernel.Kernel
	service *Service
	fake    *backend.Fake
	back    *backend.FakeBackend
	leases  *leaseFake
	owners  []ownership.Owner
	down    map[entity.BackendID]entity.Offset

	// Written on the control goroutine, read after settle.
	control []sent
	started []service.BackendStarted
	drains  []service.DrainPartitions
	// drainFor is how long requests without a known end run on after a drain.
	drainFor time.Duration
	// holdDrain keeps drains unanswered, as while a request is in flight.
	holdDrain bool
	released  []backend.Grant
}

func newHarness(t require.TestingT, checksTokens bool, partitions int) *harness {
	h := &harness{t: t, clock: kernel.NewManualClock(), down: map[entity.BackendID]entity.Offset{}}
	h.fake = backend.NewFake(h.clock.Now)
	h.back = h.fake.Backend(testBackend)
	h.leases = &leaseFake{neighbour: neighbour{name: service.Lease}}
	h.service = New(service.Self{ID: "i1", Zone: "a"}, Settings{}, zap.NewNop(), metrics.NewRegistry())
	control := &neighbour{name: service.Control, handle: h.onControl}
	dispatch := &neighbour{name: service.Dispatch, handle: h.onDispatch}
	backends := &backendsFake{neighbour: neighbour{name: service.Backends}, Fake: h.fake}
	k, err := kernel.New(h.clock, []kernel.Service{h.service, h.leases, backends, control, dispatch})
	require.NoError(t, err)
	h.kernel = k
	require.NoError(t, k.Start(context.Background()))
	h.deliver(service.ConfigChanged{Version: 1, Config: &operator.Config{Services: []operator.Service{{
		Name: string(testService), MaxRun: testMaxRun, CutoffHold: testHold,
		Backends: []operator.Backend{{Name: string(testBackend), Address: "127.0.0.1:1", Slots: 2, ChecksTokens: checksTokens}},
	}}}})
	for p := range partitions {
		h.owners = append(h.owners, ownership.Owner{Backend: testBackend, Epoch: entity.Epoch(10 + p)})
	}
	h.publish()
	return h
}

func (h *harness) stop() { require.NoError(h.t, h.kernel.Stop(context.Background())) }

func (h *harness) onControl(_ *kernel.Turn, m kernel.Message) {
	h.control = append(h.control, sent{at: h.clock.Now(), msg: m})
	if ready, ok := m.(service.ReleaseReady); ok {
		for _, p := range ready.Partitions {
			h.released = append(h.released, backend.Grant(p))
		}
	}
}

func (h *harness) onDispatch(t *kernel.Turn, m kernel.Message) {
	switch m := m.(type) {
	case service.BackendStarted:
		h.started = append(h.started, m)
	case service.DrainPartitions:
		h.drains = append(h.drains, m)
		if h.holdDrain {
			return
		}
		drained := service.PartitionsDrained{Backend: m.Backend, Partitions: m.Partitions}
		if h.drainFor > 0 {
			drained.Until = t.Now() + h.drainFor
		}
		t.Send(service.Session, drained)
	}
}

func (h *harness) deliver(m kernel.Message) {
	require.NoError(h.t, h.kernel.Deliver(context.Background(), service.Session, m))
	h.settle()
}

// settle waits until every message is handled and every call has ended or waits for a frozen back end.
func (h *harness) settle() {
	settled := make(chan bool)
	for limit := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Microsecond) {
		require.True(h.t, time.Now().Before(limit), "calls did not end")
		check := func() { settled <- h.service.calls == h.fake.Blocked() }
		require.NoError(h.t, h.kernel.Deliver(context.Background(), service.Control, check))
		if <-settled {
			return
		}
	}
}

// run lets virtual time pass. At each tick, nothing that was released may be served by its old owner.
func (h *harness) run(d time.Duration) {
	for end := h.clock.Now() + d; h.clock.Now() < end; {
		h.clock.Advance(tick)
		h.settle()
		for _, g := range h.released {
			require.False(h.t, h.back.Serves(g), "partition %d served after its release", g.Partition)
		}
	}
}

// hold gives the lease to this instance.
func (h *harness) hold(term entity.Term) {
	h.setLeases(&service.LeaseView{
		Held: map[service.LeaseName]service.HeldLease{
			service.BackendLease(testBackend): {Term: term, Until: distant},
		},
		FreshUntil: distant,
	})
}

func (h *harness) setLeases(v *service.LeaseView) {
	h.leases.view.Publish(v)
	h.deliver(service.LeaseChanged{View: v})
}

// publish sends the owners to the service.
func (h *harness) publish() {
	owners := append([]ownership.Owner(nil), h.owners...)
	view := &ownership.ServiceView{Count: uint32(len(owners)), Owners: owners, Down: h.down}
	h.deliver(service.OwnershipChanged{View: &ownership.View{
		Services: map[entity.ServiceName]*ownership.ServiceView{testService: view},
	}})
}

// move begins the move of all partitions of the back end, as control does with a lost one.
func (h *harness) move() {
	for p := range h.owners {
		if h.owners[p].Backend == testBackend {
			h.owners[p].To = "b2"
		}
	}
	h.publish()
}

// finish ends the moves that were reported as ready.
func (h *harness) finish() {
	for _, g := range h.released {
		owner := &h.owners[g.Partition]
		if owner.Epoch == g.Epoch && owner.Moving() {
			*owner = ownership.Owner{Backend: owner.To, Epoch: owner.Epoch + 100}
		}
	}
	h.publish()
}

func (h *harness) grant(p int) backend.Grant {
	return backend.Grant{Service: testService, Partition: entity.Partition(p), Epoch: entity.Epoch(10 + p)}
}

// messages returns the messages of one type to control and when the first was sent.
func messages[T any](h *harness) (found []T, first time.Duration) {
	for _, s := range h.control {
		m, ok := s.msg.(T)
		if !ok {
			continue
		}
		if len(found) == 0 {
			first = s.at
		}
		found = append(found, m)
	}
	return found, first
}

// callsOf returns the number of control calls of a kind that reached the back end since the last look.
func callsOf(calls []backend.FakeCall, kind backend.FakeKind) int {
	count := 0
	for _, c := range calls {
		if c.Kind == kind {
			count++
		}
	}
	return count
}
