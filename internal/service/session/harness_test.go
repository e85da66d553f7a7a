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
	testBackend    = entity.BackendID("b1")
	testService    = entity.ServiceName("stock")
	testMaxRun     = 5 * time.Second
	testCutoffHold = 30 * time.Second
	tick           = 10 * time.Millisecond
	farFuture      = time.Duration(1 << 60)
)

// fakeService is a fake of another service. It runs functions that it receives as messages on the control goroutine.
type fakeService struct {
	name   kernel.Name
	handle func(*kernel.Turn, kernel.Message)
}

func (s *fakeService) Name() kernel.Name                { return s.name }
func (s *fakeService) Needs() []kernel.Name             { return nil }
func (s *fakeService) Provision(*kernel.Resolver) error { return nil }
func (s *fakeService) Start(context.Context) error      { return nil }
func (s *fakeService) Stop(context.Context) error       { return nil }
func (s *fakeService) Handle(t *kernel.Turn, m kernel.Message) {
	if f, ok := m.(func()); ok {
		f()
		return
	}
	s.handle(t, m)
}

type leaseFake struct {
	fakeService
	view kernel.Snapshot[service.LeaseView]
}

func (l *leaseFake) Leases() *service.LeaseView { return l.view.Load() }

type backendsFake struct {
	fakeService
	*backend.Fake
}

// sent is a message to the control service with the time at which it arrived.
type sent struct {
	at  time.Duration
	msg kernel.Message
}

// harness runs the service in virtual time with a fake backend and fakes of the other services.
type harness struct {
	t       require.TestingT
	clock   *kernel.ManualClock
	kernel  *kernel.Kernel
	service *Service
	fake    *backend.Fake
	backend *backend.FakeBackend
	leases  *leaseFake
	owners  []ownership.Owner
	down    map[entity.BackendID]entity.Offset

	// Written on the control goroutine, read after awaitIdle.
	control []sent
	started []service.BackendStarted
	drains  []service.DrainPartitions
	// drainFor is how long requests without a known end continue to run after a drain.
	drainFor time.Duration
	// holdDrain leaves drains unanswered, as while a request is in flight.
	holdDrain bool
	released  []backend.Grant
}

func newHarness(t require.TestingT, checksTokens bool, partitions int) *harness {
	h := &harness{t: t, clock: kernel.NewManualClock(), down: map[entity.BackendID]entity.Offset{}}
	h.fake = backend.NewFake(h.clock.Now)
	h.backend = h.fake.Backend(testBackend)
	h.leases = &leaseFake{fakeService: fakeService{name: service.Lease}}
	h.service = New(service.Self{ID: "i1", Zone: "a"}, Settings{}, zap.NewNop(), metrics.NewRegistry())
	control := &fakeService{name: service.Control, handle: h.onControl}
	dispatch := &fakeService{name: service.Dispatch, handle: h.onDispatch}
	backends := &backendsFake{fakeService: fakeService{name: service.Backends}, Fake: h.fake}
	k, err := kernel.New(h.clock, []kernel.Service{h.service, h.leases, backends, control, dispatch})
	require.NoError(t, err)
	h.kernel = k
	require.NoError(t, k.Start(context.Background()))
	h.deliver(service.ConfigChanged{Version: 1, Config: &operator.Config{Services: []operator.Service{{
		Name: string(testService), MaxRun: testMaxRun, CutoffHold: testCutoffHold,
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
	h.awaitIdle()
}

// awaitIdle waits until every message is handled and every call has ended or waits for a frozen backend.
func (h *harness) awaitIdle() {
	idle := make(chan bool)
	for limit := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Microsecond) {
		require.True(h.t, time.Now().Before(limit), "calls did not end")
		check := func() { idle <- h.service.calls == h.fake.Blocked() }
		require.NoError(h.t, h.kernel.Deliver(context.Background(), service.Control, check))
		if <-idle {
			return
		}
	}
}

// run advances the virtual time. At each tick it checks that the old owner serves no released partition.
func (h *harness) run(d time.Duration) {
	for end := h.clock.Now() + d; h.clock.Now() < end; {
		h.clock.Advance(tick)
		h.awaitIdle()
		for _, g := range h.released {
			require.False(h.t, h.backend.Serves(g), "partition %d was served after its release", g.Partition)
		}
	}
}

// becomePrimary makes this instance the holder of the lease.
func (h *harness) becomePrimary(term entity.Term) {
	h.setLeases(&service.LeaseView{
		Held: map[service.LeaseName]service.HeldLease{
			service.BackendLease(testBackend): {Term: term, Until: farFuture},
		},
		FreshUntil: farFuture,
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

// move starts to move all partitions of the backend, as the control service does with a lost backend.
func (h *harness) move() {
	for p := range h.owners {
		if h.owners[p].Backend == testBackend {
			h.owners[p].To = "b2"
		}
	}
	h.publish()
}

// finish completes the moves that were reported as ready.
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

// messages returns the messages of one type to the control service and when the first one was sent.
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

// callsOf returns the number of calls of a kind. FakeBackend.Calls returns the calls that reached the backend since it was
// last called.
func callsOf(calls []backend.FakeCall, kind backend.FakeKind) int {
	count := 0
	for _, c := range calls {
		if c.Kind == kind {
			count++
		}
	}
	return count
}
