package router_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/service"
)

// Guards against a forecast that uses up the customer's rate, counts as a request in flight, or waits for a key that is moving.
func TestForecastChangesNothing(t *testing.T) {
	b := newTestRouter(t, &catalog.Customer{ID: "c", Keys: []string{"k"}, Rate: 1, Burst: 8})
	b.endpoints.answer = succeeding
	ask := func(path string, hasKey bool) service.Forecast {
		now := b.clock.Now()
		return b.router.Forecast(&service.Call{Host: host, Path: path, Credential: "k", HasKey: hasKey, Received: now, Deadline: now + time.Second})
	}
	b.call("/lookups/x", "k", false) // creates the bucket
	b.clock.Advance(4 * time.Hour)   // fills it
	b.endpoints.delivered = nil
	first := ask("/lookups/x", false)
	require.Len(t, first.Targets[0].Backends, 3)
	for range 50 {
		require.Equal(t, first, ask("/lookups/x", false))
	}
	require.Empty(t, b.endpoints.delivered)
	for range 8 {
		r := b.call("/lookups/x", "k", false)
		require.Equal(t, 200, r.Status, "%+v", r)
	}
	require.Equal(t, "orders1", string(ask("/orders/x", true).Targets[0].Choice.Backend.ID))
	b.keys.view.State.Tables[0].Ranges[0].Granted = false
	moving := ask("/orders/x", true).Targets[0]
	require.Nil(t, moving.Choice.Backend)
	require.Equal(t, "the key is moving to another owner", moving.Refused.Detail)
}
