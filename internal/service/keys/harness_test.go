package keys_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/service/keys"
)

// memoryStore is an in-memory document store with a single document.
type memoryStore struct {
	mu          sync.Mutex
	value       []byte
	version     service.Version
	outdated    bool // the value was written in an earlier era
	unavailable bool
	// loseReplies is the number of writes that take effect but whose answer is lost.
	loseReplies int
}

func (m *memoryStore) Load(_ context.Context, _ string, known service.Version) (service.Document, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return service.Document{}, service.ErrStoreRefused
	}
	if m.version == known {
		return service.Document{Version: known}, nil
	}
	return service.Document{Value: m.value, Version: m.version, Outdated: m.outdated}, nil
}

func (m *memoryStore) Replace(_ context.Context, _ string, value []byte, known service.Version) (service.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return 0, service.ErrStoreRefused
	}
	if known != m.version {
		return 0, service.ErrConflict
	}
	m.version++
	m.value, m.outdated = value, false
	if m.loseReplies > 0 {
		m.loseReplies--
		return 0, service.ErrStoreUnknown
	}
	return m.version, nil
}

func (m *memoryStore) Register(context.Context, string, string, []byte) error { return nil }

func (m *memoryStore) ListRegistered(context.Context, string) (map[string][]byte, error) {
	return nil, nil
}

func (m *memoryStore) setUnavailable(unavailable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailable = unavailable
}

// sentCommand is a command, the address and, if the backends have a clock, the time at which it arrived.
type sentCommand struct {
	keyrange.Command
	address string
	at      time.Duration
}

// backends records the commands that arrive at each address.
type backends struct {
	mu           sync.Mutex
	arrived      []sentCommand
	unresponsive map[string]bool
	// unreleased is the address of the backend that neither executes nor answers releases.
	unreleased string
	clock      kernel.Clock
	// leaving is the address of the backend that states in its answers that it is leaving.
	leaving         string
	recordedLeaving []entity.BackendID // see loadsStub
	// running is which backend answers at an address. Without one it is the newest listed there, see harness.list.
	running, listed map[string]entity.BackendID
	// silent is true while no status path is answered.
	silent     bool
	identified int // answered status paths
}

// Identify implements service.IdentityChecker.
func (b *backends) Identify(_ context.Context, address, _ string) (entity.BackendID, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.silent || b.unresponsive[address] {
		return "", errors.New("no answer")
	}
	b.identified++
	if id, ok := b.running[address]; ok {
		return id, nil
	}
	return b.listed[address], nil
}

// setListed records the newest of the listed backends of each address.
func (b *backends) setListed(list []*catalog.Backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listed = map[string]entity.BackendID{}
	newest := map[string]int64{}
	for _, e := range list {
		if e.Incarnation >= newest[e.Address] {
			newest[e.Address], b.listed[e.Address] = e.Incarnation, e.ID
		}
	}
}

func (b *backends) SendCommand(_ context.Context, to *catalog.Backend, o keyrange.Command) keyrange.Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unresponsive[to.Address] {
		return keyrange.Result{Command: o, Outcome: keyrange.NotSent}
	}
	if o.Kind == keyrange.KindRelease && to.Address == b.unreleased {
		return keyrange.Result{Command: o, Outcome: keyrange.NoAnswer}
	}
	if o.Kind == keyrange.KindGrant && b.refuses(o, to.Address) {
		return keyrange.Result{Command: o, Outcome: keyrange.Refused}
	}
	var at time.Duration
	if b.clock != nil {
		at = b.clock.Now()
	}
	b.arrived = append(b.arrived, sentCommand{o, to.Address, at})
	return keyrange.Result{Command: o, Outcome: keyrange.Done, Handover: "warm", Leaving: to.Address == b.leaving}
}

// refuses reports whether the backend at an address has seen a higher fence for a key of a grant. The caller holds the lock.
func (b *backends) refuses(o keyrange.Command, address string) bool {
	return slices.ContainsFunc(b.arrived, func(c sentCommand) bool {
		return c.address == address && c.Target == o.Target && c.Fence > o.Fence && c.From <= o.To && o.From <= c.To
	})
}

// RaiseFence records the release of all keys.
func (b *backends) RaiseFence(_ context.Context, to *catalog.Backend, fence uint64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unresponsive[to.Address] {
		return errors.New("no answer")
	}
	var at time.Duration
	if b.clock != nil {
		at = b.clock.Now()
	}
	b.arrived = append(b.arrived, sentCommand{address: to.Address, at: at, Command: keyrange.Command{
		Kind: keyrange.KindRelease, To: catalog.KeySpace - 1, Fence: fence, Target: keyrange.Holder{ID: to.ID, Incarnation: to.Incarnation},
	}})
	return nil
}

// since returns the commands that arrived after the first n.
func (b *backends) since(n int) []sentCommand {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]sentCommand(nil), b.arrived[n:]...)
}

func (b *backends) count() int { return len(b.since(0)) }

// stub is a kernel service that ignores messages.
type stub struct{ name kernel.Name }

func (s stub) Name() kernel.Name                   { return s.name }
func (s stub) Needs() []kernel.Name                { return nil }
func (s stub) Provision(*kernel.Resolver) error    { return nil }
func (s stub) Start(context.Context) error         { return nil }
func (s stub) Stop(context.Context) error          { return nil }
func (s stub) Handle(*kernel.Turn, kernel.Message) {}

type storeStub struct {
	stub
	*memoryStore
}

type commandsStub struct {
	stub
	*backends
}

// loadsStub is a loads service. It records the backends that are leaving.
type loadsStub struct {
	stub
	*backends
}

// RecordLeaving implements service.LeavingRecorder.
func (s loadsStub) RecordLeaving(process keyrange.Holder, _ time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordedLeaving = append(s.recordedLeaving, process.ID)
}

// harness runs the keys service of one instance on a kernel.
type harness struct {
	t        *testing.T
	kernel   *kernel.Kernel
	keys     *keys.Service
	store    *memoryStore
	backends *backends
}

// testService is partitioned, plainService is not.
const (
	testService  entity.ServiceName = "stock"
	plainService entity.ServiceName = "orders"
)

func newHarness(t *testing.T, id entity.InstanceID, store *memoryStore, targets *backends) *harness {
	t.Helper()
	return newHarnessWithClock(t, id, store, targets, kernel.NewSystemClock())
}

func newHarnessWithClock(
	t *testing.T, id entity.InstanceID, store *memoryStore, targets *backends, clock kernel.Clock,
) *harness {
	t.Helper()
	return newHarnessOf(t, service.InstanceConfig{ID: id, Zone: "a", MaxGrantTTL: 10 * time.Second}, store, targets, clock)
}

func newHarnessOf(
	t *testing.T, instance service.InstanceConfig, store *memoryStore, targets *backends, clock kernel.Clock, more ...kernel.Service,
) *harness {
	t.Helper()
	h := &harness{t: t, store: store, backends: targets, keys: keys.New(instance, zap.NewNop(), metrics.NewRegistry())}
	var err error
	h.kernel, err = kernel.New(clock, append(more,
		h.keys,
		storeStub{stub{name: service.Store}, store},
		commandsStub{stub{name: service.Endpoints}, targets},
		loadsStub{stub{name: service.Loads}, targets},
		stub{name: service.Members},
	))
	require.NoError(t, err)
	require.NoError(t, h.kernel.Start(context.Background()))
	t.Cleanup(func() { require.NoError(t, h.kernel.Stop(context.Background())) })
	h.deliver(service.StoreOutage{})
	return h
}

func (h *harness) deliver(m kernel.Message) {
	h.t.Helper()
	require.NoError(h.t, h.kernel.Deliver(context.Background(), service.Keys, m))
}

// list publishes a directory view with the given backends of one partitioned service.
func (h *harness) list(list ...*catalog.Backend) {
	h.t.Helper()
	h.backends.setListed(list)
	services := []*catalog.Service{{Name: testService, Partitioned: true, HealthPath: "/healthz"}, {Name: plainService, HealthPath: "/status"}}
	config, err := catalog.New(1, nil, services, catalog.Access{Open: true}, catalog.CallerLimits{})
	require.NoError(h.t, err)
	view := &service.DirectoryView{
		Config: config, Services: map[entity.ServiceName][]*catalog.Backend{}, Backends: map[entity.BackendID]*catalog.Backend{},
	}
	for _, b := range list {
		view.Services[b.Service] = append(view.Services[b.Service], b)
		view.Backends[b.ID] = b
	}
	h.deliver(service.DirectoryChanged{View: view})
}

func backend(id, address string, incarnation int64) *catalog.Backend {
	return &catalog.Backend{ID: entity.BackendID(id), Service: testService, Address: address, Zone: "a", Incarnation: incarnation, Slots: 2}
}

// setStoreUnavailable starts or ends an outage of the store.
func (h *harness) setStoreUnavailable(unavailable bool) {
	h.t.Helper()
	h.store.setUnavailable(unavailable)
	h.deliver(service.StoreOutage{Unavailable: unavailable})
}

// waitGranted waits until every range of the table is granted to one of the given backends.
func (h *harness) waitGranted(owners ...string) {
	h.t.Helper()
	require.Eventually(h.t, func() bool {
		view := h.keys.KeyView()
		if view.State == nil {
			return false
		}
		table, ok := view.State.Table(testService)
		if !ok || len(table.Ranges) == 0 {
			return false
		}
		for _, r := range table.Ranges {
			if !contains(owners, string(r.Owner.ID)) || (!r.Granted && !view.Granted[r.Fence]) {
				return false
			}
		}
		return true
	}, 5*time.Second, 10*time.Millisecond)
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
