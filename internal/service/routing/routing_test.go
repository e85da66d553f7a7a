package routing_test

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/service/routing"
	"github.com/pollenpier/pollenpier/operator"
)

// Guards against traffic goroutines that find no snapshot or an outdated one, and against an older configuration that arrives
// late and replaces a newer one.
func TestSnapshotFollowsConfigurationAndOwnership(t *testing.T) {
	s := routing.New(metrics.NewRegistry())
	k, err := kernel.New(kernel.NewSystemClock(), []kernel.Service{s})
	require.NoError(t, err)
	ctx := context.Background()
	require.NoError(t, k.Start(ctx))
	_, outcome := s.Routing().Locate("stock", "key")
	require.Equal(t, entity.ReasonUnknownService, outcome.Reason)

	c, err := operator.New().Zone("z").Service(operator.Service{
		Name: "stock", Partitions: 1,
		Routes:   []operator.Route{{Path: "/", Kind: operator.RouteIdempotent, Access: operator.AccessOpen}},
		Backends: []operator.Backend{{Name: "b", Zone: "z", Address: "192.0.2.1:80", Slots: 1}},
	}).Build()
	require.NoError(t, err)
	require.NoError(t, k.Deliver(ctx, service.Routing, service.ConfigChanged{Config: c, Version: 7}))
	require.NoError(t, k.Deliver(ctx, service.Routing, service.ConfigChanged{Config: &operator.Config{}, Version: 3}))
	view := &ownership.View{
		Offset:  9,
		Members: []ownership.Member{{ID: "i", Zone: "z"}},
		Services: map[entity.ServiceName]*ownership.ServiceView{
			"stock": {Count: 1, Owners: []ownership.Owner{{Backend: "b", Epoch: 8}}},
		},
	}
	require.NoError(t, k.Deliver(ctx, service.Routing, service.OwnershipChanged{View: view}))
	require.Eventually(t, func() bool { return s.Routing().Offset() == 9 }, 20*time.Second, time.Millisecond)
	target, outcome := s.Routing().Locate("stock", "key")
	require.Equal(t, entity.OutcomeAnswered, outcome.Kind)
	require.Equal(t, entity.Epoch(8), target.Epoch)
	require.Equal(t, uint64(7), s.Routing().Version())
	require.NoError(t, k.Stop(ctx))
}
