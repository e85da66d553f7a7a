package router_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/service/loads"
	"github.com/pollenpier/pollenpier/internal/service/router"
)

// stub is a service of the kernel that does nothing by itself.
type stub struct{ name kernel.Name }

func (s stub) Name() kernel.Name                { return s.name }
func (s stub) Needs() []kernel.Name             { return nil }
func (s stub) Provision(*kernel.Resolver) error { return nil }
func (s stub) Start(context.Context) error      { return nil }
func (s stub) Stop(context.Context) error       { return nil }

// fakeDirectory is the directory, which shows one view.
type fakeDirectory struct {
	stub
	known chan struct{}

	mu   sync.Mutex
	view *service.DirectoryView
}

func (f *fakeDirectory) Directory() *service.DirectoryView {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeDirectory) Ready() <-chan struct{} { return f.known }

// ownership shows one table and counts the reports of refused keys.
type ownership struct {
	stub
	misdirected int

	mu   sync.Mutex
	view *service.KeyView
}

func (o *ownership) KeyView() *service.KeyView {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.view
}

func (o *ownership) ReportMisdirected(service.Version) { o.misdirected++ }

// alone is an instance that hears no others and needs none.
type alone struct{ stub }

func (alone) MembersView() *service.MembersView {
	return &service.MembersView{ReachableShare: 1, ReachableCount: 1}
}

// scripted answers deliveries by a function.
type scripted struct {
	stub
	answer    func(d service.Delivery) service.DeliveryResult
	delivered []entity.BackendID
}

func (s *scripted) Deliver(_ context.Context, d service.Delivery) service.DeliveryResult {
	s.delivered = append(s.delivered, d.Backend.ID)
	return s.answer(d)
}

// bench is a router with stand-ins for all services but loads.
type bench struct {
	router    *router.Service
	clock     *kernel.ManualClock
	fleet     *fakeDirectory
	ownership *ownership
	endpoints *scripted
}

// Shape of the test's configuration.
const (
	lookups  = entity.ServiceName("lookups")
	orders   = entity.ServiceName("orders")
	host     = "api.test"
	attempts = 3
)

// newBench builds a router before three back ends of each service. The keys of orders are held by the first of them.
func newBench(t testing.TB, customer *catalog.Customer) *bench {
	t.Helper()
	return newBenchWithLog(t, customer, zap.NewNop())
}

func newBenchWithLog(t testing.TB, customer *catalog.Customer, log *zap.Logger) *bench {
	t.Helper()
	routes := []*catalog.Route{
		{Name: "lookups", Host: host, PathPrefix: "/lookups/", Targets: []catalog.Target{{Service: lookups, Weight: 1}}, Idempotent: true, Timeout: 2 * time.Second, MaxAttempts: attempts},
		{Name: "orders", Host: host, PathPrefix: "/orders/", Targets: []catalog.Target{{Service: orders, Weight: 1}}, Timeout: 2 * time.Second, MaxAttempts: 1},
	}
	services := []*catalog.Service{{Name: lookups}, {Name: orders, Partitioned: true}}
	config, err := catalog.New(1, routes, services, []*catalog.Customer{customer}, catalog.CallerLimits{})
	require.NoError(t, err)
	b := &bench{clock: kernel.NewManualClock()}
	b.fleet = &fakeDirectory{stub: stub{service.Directory}, known: make(chan struct{}), view: &service.DirectoryView{
		Config: config, Services: map[entity.ServiceName][]*catalog.Backend{}, Backends: map[entity.BackendID]*catalog.Backend{},
	}}
	for _, name := range []entity.ServiceName{lookups, orders} {
		for _, n := range []string{"1", "2", "3"} {
			e := &catalog.Backend{ID: entity.BackendID(string(name) + n), Service: name, Slots: 4, Incarnation: 1, Zone: "a"}
			b.fleet.view.Services[name] = append(b.fleet.view.Services[name], e)
			b.fleet.view.Backends[e.ID] = e
		}
	}
	close(b.fleet.known)
	b.ownership = &ownership{stub: stub{service.Keys}, view: &service.KeyView{Version: 1, Changed: make(chan struct{}), State: ownedBy("orders1")}}
	b.endpoints = &scripted{stub: stub{service.Endpoints}}
	site := service.InstanceConfig{ID: "one", Zone: "a", RetryRatio: 1, RetrySlack: 100, DrainTime: 2 * time.Second}
	b.router = router.New(site, log, metrics.NewRegistry())
	k, err := kernel.New(b.clock, []kernel.Service{
		b.fleet, b.ownership, alone{stub{service.Members}}, loads.New(site, metrics.NewRegistry()), b.endpoints, b.router,
	})
	require.NoError(t, err)
	require.NoError(t, k.Start(context.Background()))
	t.Cleanup(func() { require.NoError(t, k.Stop(context.Background())) })
	return b
}

// ownedBy is a table in which one back end holds all keys of orders.
func ownedBy(id entity.BackendID) *keyrange.State {
	owner := keyrange.Holder{ID: id, Incarnation: 1}
	return &keyrange.State{Tables: []keyrange.Table{{Service: orders, Ranges: []keyrange.Range{{To: catalog.KeySpace - 1, Owner: owner, Fence: 1, Granted: true}}}}}
}

// call routes one request with a second left.
func (b *bench) call(path, key string, routed bool) service.Reply {
	now := b.clock.Now()
	return b.router.Route(context.Background(), &service.Call{
		ID: "r", Method: http.MethodGet, Host: host, Path: path, Target: path, Credential: key, HasKey: routed, Received: now, Deadline: now + time.Second,
	})
}

// failing answers with a failure of the back end's own; broken breaks the connection after the request was sent.
func failing(service.Delivery) service.DeliveryResult {
	return service.DeliveryResult{Outcome: entity.Answered(), Status: http.StatusInternalServerError}
}

func broken(service.Delivery) service.DeliveryResult {
	return service.DeliveryResult{Outcome: entity.Unknown(entity.ReasonBroken, "reset")}
}

func rejecting(service.Delivery) service.DeliveryResult {
	return service.DeliveryResult{Outcome: entity.NotRun(entity.ReasonShed, "full")}
}

func succeeding(service.Delivery) service.DeliveryResult {
	return service.DeliveryResult{Outcome: entity.Answered(), Status: http.StatusOK}
}
