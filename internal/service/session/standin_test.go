package session

import (
	"context"
	"net/http"
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
	standin "github.com/pollenpier/pollenpier/internal/standin/backend"
	"github.com/pollenpier/pollenpier/operator"
)

type realBackends struct {
	fakeService
	*backend.HTTPClient
}

// Guards against a fake backend that differs from the protocol: a frozen simulated backend must be declared lost and released
// after the lapse, and must not run a request of its old partition when it recovers, although one waited in it.
func TestFrozenStandinIsReleased(t *testing.T) {
	server, err := standin.Start("127.0.0.1:0", standin.Options{ChecksTokens: true, Slots: 2})
	require.NoError(t, err)
	defer server.Close()
	clock := kernel.NewSystemClock()
	lease := &leaseFake{fakeService: fakeService{name: service.Lease}}
	toControl := make(chan kernel.Message, 100)
	control := &fakeService{name: service.Control, handle: func(_ *kernel.Turn, m kernel.Message) { toControl <- m }}
	dispatch := &fakeService{name: service.Dispatch, handle: func(*kernel.Turn, kernel.Message) {}}
	client := backend.NewHTTPClient(backend.ClientSettings{})
	defer client.Close()
	backends := &realBackends{fakeService: fakeService{name: service.Backends}, HTTPClient: client}
	// Longer times than the defaults, so that a busy machine does not look like a lost backend.
	settings := Settings{
		SessionTTL: 1500 * time.Millisecond, RenewInterval: 200 * time.Millisecond,
		CallTimeout: 700 * time.Millisecond, DetectAfter: 300 * time.Millisecond,
	}
	s := New(service.Self{ID: "i1"}, settings, zap.NewNop(), metrics.NewRegistry())
	k, err := kernel.New(clock, []kernel.Service{s, lease, control, dispatch, backends})
	require.NoError(t, err)
	ctx := context.Background()
	require.NoError(t, k.Start(ctx))
	defer func() { require.NoError(t, k.Stop(ctx)) }()

	send := func(m kernel.Message) { require.NoError(t, k.Deliver(ctx, service.Session, m)) }
	own := func(o ownership.Owner) {
		view := &ownership.ServiceView{Count: 1, Owners: []ownership.Owner{o}}
		send(service.OwnershipChanged{View: &ownership.View{
			Services: map[entity.ServiceName]*ownership.ServiceView{testService: view},
		}})
	}
	held := map[service.LeaseName]service.HeldLease{service.BackendLease(testBackend): {Term: 1, Until: farFuture}}
	lease.view.Publish(&service.LeaseView{Held: held, FreshUntil: farFuture})
	send(service.ConfigChanged{Config: &operator.Config{Services: []operator.Service{{
		Name:     string(testService),
		Backends: []operator.Backend{{Name: string(testBackend), Address: server.Address(), Slots: 2, ChecksTokens: true}},
	}}}})
	own(ownership.Owner{Backend: testBackend, Epoch: 10})

	target := backend.Target{ID: testBackend, Address: server.Address()}
	do := func(epoch entity.Epoch) error {
		short, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		answer, err := client.Do(short, target, &backend.Call{
			RequestID: "r", Token: backend.Token{Service: testService, Epoch: epoch, Term: 1},
			Method: http.MethodGet, Path: "/", Header: http.Header{}, Remaining: time.Minute,
		})
		if err == nil {
			err = answer.Body.Close()
		}
		return err
	}
	await := func(want kernel.Message) {
		select {
		case got := <-toControl:
			require.Equal(t, want, got)
		case <-time.After(20 * time.Second):
			t.Fatalf("no %T was received in time", want)
		}
	}
	require.Eventually(t, func() bool { return do(10) == nil }, 20*time.Second, 10*time.Millisecond)
	ran := server.Executions().Total
	server.SetFaults(standin.Faults{Freeze: true})
	require.Error(t, do(10))
	await(service.BackendLost{Backend: testBackend})
	own(ownership.Owner{Backend: testBackend, Epoch: 10, To: "b2"})
	await(service.ReleaseReady{
		Backend: testBackend, Lapsed: true, Partitions: []service.PartitionEpoch{{Service: testService, Epoch: 10}},
	})
	server.SetFaults(standin.Faults{})
	require.Error(t, do(10))
	require.Equal(t, ran, server.Executions().Total)
	own(ownership.Owner{Backend: "b2", Epoch: 20})
	await(service.BackendRecovered{Backend: testBackend})
	require.Error(t, do(10))
	own(ownership.Owner{Backend: testBackend, Epoch: 30})
	require.Eventually(t, func() bool { return do(30) == nil }, 20*time.Second, 10*time.Millisecond)
	require.Error(t, do(10))
}
