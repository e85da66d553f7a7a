package router_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// Guards against retries and requests for the owner of a key that pass by the limit of a cold backend.
func TestEveryAttemptAtAColdBackendCounts(t *testing.T) {
	const rate, calls = 2, 20
	misdirected := func(service.Delivery) service.DeliveryResult {
		return service.DeliveryResult{Outcome: entity.NotRun(entity.ReasonNoOwner, ""), Misdirected: true}
	}
	for _, answer := range []func(service.Delivery) service.DeliveryResult{failing, connectionLost, rejecting, succeeding, misdirected} {
		b := newTestRouter(t, unlimited())
		b.clock.Advance(2 * time.Second)
		for _, s := range b.directory.view.Config.Services {
			s.WarmupRate = rate
		}
		for _, e := range b.directory.view.Backends {
			e.WarmUntil = time.Hour
		}
		b.endpoints.answer = answer
		for range calls {
			b.call("/lookups/a", key, false)
			b.call("/orders/a", key, true)
		}
		sent := map[entity.BackendID]int{}
		for _, id := range b.endpoints.delivered {
			sent[id]++
		}
		require.NotZero(t, sent["orders1"])
		for id, n := range sent {
			require.LessOrEqual(t, n, rate, "backend %s", id)
		}
	}
}

// Guards against a request that waits for the table of keys and is then sent by what was known of the owner before the wait.
func TestOwnerIsReadAgainAfterTheWaitForTheTable(t *testing.T) {
	b := newTestRouter(t, unlimited())
	b.endpoints.answer = succeeding
	changed := make(chan struct{})
	b.keys.view = &service.KeyView{Changed: changed}
	b.keys.viewed = func() {
		b.keys.viewed = nil
		b.keys.view = &service.KeyView{Version: 1, Changed: make(chan struct{}), State: ownedBy("orders1")}
		view := *b.directory.view
		view.Backends = map[entity.BackendID]*catalog.Backend{}
		b.directory.view = &view
		close(changed)
	}
	reply := b.call("/orders/a", key, true)
	require.Equal(t, entity.OutcomeNotRun, reply.Outcome.Kind)
	require.Empty(t, b.endpoints.delivered)
}
