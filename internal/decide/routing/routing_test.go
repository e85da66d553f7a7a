package routing_test

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/decide/rendezvous"
	"github.com/pollenpier/pollenpier/internal/decide/routing"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/operator"
)

const partitions = 16

// sample returns a configuration and a view with two zones, each with two lease groups, and one service. Its partition 0 is
// moving, partition 1 has no owner, and partition 2 is owned by a backend that was removed.
func sample(t testing.TB) (*operator.Config, *ownership.View) {
	t.Helper()
	svc := operator.Service{Name: "stock", Partitions: partitions, Routes: []operator.Route{
		{Path: "/", Kind: operator.RouteIdempotent, Access: operator.AccessOpen},
		{Path: "/items", Kind: operator.RouteIdempotent, Access: operator.AccessOpen},
		{Path: "/items/levels", Methods: []string{"PUT"}, Kind: operator.RouteAtMostOnce, Access: operator.AccessInternal},
	}}
	view := &ownership.View{Services: map[entity.ServiceName]*ownership.ServiceView{}}
	for i := range 8 {
		svc.Backends = append(svc.Backends, operator.Backend{
			Name: fmt.Sprint("stock-", i), Zone: fmt.Sprint("z", i%2), Address: fmt.Sprintf("192.0.2.%d:80", i+1), Slots: 2,
		})
		view.Members = append(view.Members, ownership.Member{
			ID: entity.InstanceID(fmt.Sprint("i", i)), Zone: entity.Zone(fmt.Sprint("z", i%2)), Group: uint32(i / 4),
		})
	}
	c, err := operator.New().Zone("z0", "z1").Customer("c", 1, 1, operator.HashKey("key")).Service(svc).Build()
	require.NoError(t, err)
	owners := make([]ownership.Owner, partitions)
	for i := range owners {
		owners[i] = ownership.Owner{Backend: entity.BackendID(fmt.Sprint("stock-", i%8)), Epoch: entity.Epoch(100 + i)}
	}
	owners[0].To = "stock-1"
	owners[1].Backend = ""
	owners[2].Backend = "removed"
	view.Services["stock"] = &ownership.ServiceView{Count: partitions, Owners: owners}
	return c, view
}

func keyOf(t testing.TB, p entity.Partition) string {
	t.Helper()
	for i := range 10_000 {
		key := fmt.Sprint("key-", i)
		if entity.PartitionOf(entity.HashKey(key), partitions) == p {
			return key
		}
	}
	t.Fatal("no key for the partition")
	return ""
}

// Guards against a request that reaches a route with other access or another kind than the route of its path.
func TestRouteFollowsWholeSegments(t *testing.T) {
	c, view := sample(t)
	s := routing.Build(c, 7, view)
	for _, test := range []struct{ method, path, route, rest string }{
		{"GET", "/stock", "/", "/"},
		{"GET", "/stock/", "/", "/"},
		{"GET", "/stock/itemsX", "/", "/itemsX"},
		{"GET", "/stock/items", "/items", "/items"},
		{"GET", "/stock/items/5/", "/items", "/items/5/"},
		{"PUT", "/stock/items/levels/5", "/items/levels", "/items/levels/5"},
		{"GET", "/stock/items/levels", "", ""}, // the shorter path is not used for another method
		{"DELETE", "/stock/items", "", ""},
		{"GET", "/other/items", "", ""},
		{"GET", "stock/items", "", ""},
		{"GET", "", "", ""},
		{"GET", "/", "", ""},
		{"GET", "//stock/items", "", ""},
		{"GET", "/stock//items", "", ""},
		{"GET", "/stock/x/../items/levels", "", ""},
		{"GET", "/stock/./items", "", ""},
	} {
		route, rest, ok := s.Route(test.method, test.path)
		require.Equal(t, test.route != "", ok, "%s %s", test.method, test.path)
		if ok {
			require.Equal(t, test.route, route.Path)
			require.Equal(t, test.rest, rest)
			require.Equal(t, route.Path == "/items/levels", route.Internal)
			require.Equal(t, route.Path != "/items/levels", route.Idempotent)
		}
	}
	require.True(t, s.HasService("/stock/none"))
	require.False(t, s.HasService("/other"))
}

// Guards against requests that are sent although their key has no owner, or that are sent to the wrong backend.
func TestLocateFindsTheOwnerOnly(t *testing.T) {
	c, view := sample(t)
	s := routing.Build(c, 7, view)
	for p := range entity.Partition(partitions) {
		target, outcome := s.Locate("stock", keyOf(t, p))
		require.Equal(t, p, target.Partition)
		if p <= 2 {
			require.Equal(t, entity.OutcomeNotRun, outcome.Kind)
			require.Equal(t, entity.ReasonNoOwner, outcome.Reason)
			require.Nil(t, target.Backend)
			continue
		}
		require.Equal(t, entity.OutcomeAnswered, outcome.Kind)
		require.Equal(t, entity.Epoch(100+p), target.Epoch)
		require.Equal(t, entity.BackendID(fmt.Sprint("stock-", p%8)), target.Backend.ID)
		require.Equal(t, operator.DefaultMaxConnections, target.Backend.MaxConnections)
	}
	_, outcome := s.Locate("none", "k")
	require.Equal(t, entity.ReasonUnknownService, outcome.Reason)
	_, outcome = routing.Build(c, 7, nil).Locate("stock", "k")
	require.Equal(t, entity.ReasonNoOwner, outcome.Reason)
	view.Members = nil
	_, outcome = routing.Build(c, 7, view).Locate("stock", keyOf(t, 5))
	require.Equal(t, entity.ReasonNoOwner, outcome.Reason)
}

// Guards against instances that disagree on which instances to ask for a primary: the candidates are ordered by the name of the
// lease.
func TestCandidatesAreTheClaimingGroupInRendezvousOrder(t *testing.T) {
	c, view := sample(t)
	s := routing.Build(c, 7, view)
	for _, b := range c.Services[0].Backends {
		backend, ok := s.Backend(entity.BackendID(b.Name))
		require.True(t, ok)
		name := string(service.BackendLease(backend.ID))
		members := view.Group(ownership.GroupKey{Zone: backend.Zone, Group: ownership.ClaimingGroup})
		want := rendezvous.OrderBy(name, members, func(m ownership.Member) string { return string(m.ID) })
		require.Len(t, want, 2)
		require.Equal(t, want, backend.Candidates)
	}
}

// Guards against an order that is reused although the roster or the zone of the backend has changed.
func TestBuilderReusesOnlyUnchangedOrders(t *testing.T) {
	c, view := sample(t)
	var builder routing.Builder
	r := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		changed := *view
		changed.Members = slices.Clone(view.Members)
		switch r.IntN(4) {
		case 0:
			changed.Members = slices.Delete(changed.Members, 0, r.IntN(len(changed.Members)))
		case 1:
			changed.Members[r.IntN(len(changed.Members))].ID = entity.InstanceID(fmt.Sprint("new", r.IntN(3)))
		case 2:
			changed.Members[r.IntN(len(changed.Members))].Group = uint32(r.IntN(4))
		default:
			c = c.WithDefaults()
			backend := &c.Services[0].Backends[r.IntN(8)]
			backend.Zone = fmt.Sprint("z", r.IntN(2))
		}
		got, want := builder.Build(c, 1, &changed), routing.Build(c, 1, &changed)
		require.Equal(t, want, got)
	}
}

// Guards against a builder that keeps the customers of an earlier configuration, or that lets a request in because a configuration has
// no customers.
func TestCustomersFollowEachConfiguration(t *testing.T) {
	const key = "key"
	some := func() *operator.Config {
		return &operator.Config{Customers: []operator.Customer{{Name: "c", KeyHashes: []string{operator.HashKey(key)}}}}
	}
	var b routing.Builder
	for i, c := range []*operator.Config{nil, some(), {}, some(), {Customers: []operator.Customer{}}, {Customers: []operator.Customer{{Name: "c"}}}} {
		s := b.Build(c, uint64(i), nil)
		_, ok := s.Customer(sha256.Sum256([]byte(key)))
		require.Equal(t, i == 1 || i == 3, ok, "version %d", i)
		_, ok = s.Customer(sha256.Sum256(nil))
		require.False(t, ok, "version %d", i)
	}
}

// Guards against allocations in the path of every request.
func TestLookupsDoNotAllocate(t *testing.T) {
	c, view := sample(t)
	s := routing.Build(c, 7, view)
	hash := sha256.Sum256([]byte("key"))
	key := keyOf(t, 5)
	allocations := testing.AllocsPerRun(1000, func() {
		customer, ok := s.Customer(hash)
		if !ok || customer != "c" {
			t.Error("customer not found")
		}
		route, _, ok := s.Route("PUT", "/stock/items/levels/5")
		if !ok {
			t.Error("route not found")
		}
		if _, outcome := s.Locate(route.Service, key); outcome.Kind != entity.OutcomeAnswered {
			t.Error("owner not found")
		}
	})
	require.Zero(t, allocations)
	_, ok := s.Customer(sha256.Sum256([]byte("other")))
	require.False(t, ok)
}

// BenchmarkLookups measures the three lookups of a request, together and separately.
func BenchmarkLookups(b *testing.B) {
	c, view := sample(b)
	s := routing.Build(c, 7, view)
	hash := sha256.Sum256([]byte("key"))
	key := keyOf(b, 5)
	for _, lookup := range []struct {
		name string
		run  func()
	}{
		{"customer", func() { s.Customer(hash) }},
		{"route", func() { s.Route("PUT", "/stock/items/levels/5") }},
		{"owner", func() { s.Locate("stock", key) }},
	} {
		b.Run(lookup.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				lookup.run()
			}
		})
	}
	b.Run("all", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			s.Customer(hash)
			route, _, _ := s.Route("PUT", "/stock/items/levels/5")
			s.Locate(route.Service, key)
		}
	})
}

// BenchmarkBuildAtDesignSize measures building a snapshot of the design size, which the control goroutine does after each
// change.
func BenchmarkBuildAtDesignSize(b *testing.B) {
	builder := operator.New()
	view := &ownership.View{Services: map[entity.ServiceName]*ownership.ServiceView{}}
	for z := range 12 {
		builder.Zone(fmt.Sprint("z", z))
		for m := range 800 {
			view.Members = append(view.Members, ownership.Member{
				ID: entity.InstanceID(fmt.Sprint("i", z, "-", m)), Zone: entity.Zone(fmt.Sprint("z", z)), Group: uint32(m / 5),
			})
		}
	}
	svc := operator.Service{Name: "s", Routes: []operator.Route{{Path: "/", Kind: operator.RouteIdempotent, Access: operator.AccessOpen}}}
	for i := range 10_000 {
		svc.Backends = append(svc.Backends, operator.Backend{
			Name: fmt.Sprint("b", i), Zone: fmt.Sprint("z", i%12), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, 1+i%250), Slots: 2,
		})
	}
	c, err := builder.Service(svc).Build()
	require.NoError(b, err)
	b.Run("first", func(b *testing.B) {
		for b.Loop() {
			routing.Build(c, 1, view)
		}
	})
	b.Run("next after an ownership change", func(b *testing.B) {
		var builder routing.Builder
		builder.Build(c, 1, view)
		for b.Loop() {
			changed := *view
			builder.Build(c, 1, &changed)
		}
	})
	b.Run("next after a roster change", func(b *testing.B) {
		var builder routing.Builder
		builder.Build(c, 1, view)
		for i := 0; b.Loop(); i++ {
			changed := *view
			changed.Members = slices.Clone(view.Members)
			changed.Members[i%len(view.Members)].ID = entity.InstanceID(fmt.Sprint("replaced", i))
			builder.Build(c, 1, &changed)
		}
	})
}
