package dispatch_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// Guards against a cold backend that gets two requests at once and collapses, as seen with b1 in TestZoneOutDuringColdStart.
// The backend counts the remaining time from the arrival of a request, so it may still run the request when its sender's
// deadline passes.
func TestSlotIsKeptForAMomentAfterTheDeadline(t *testing.T) {
	const closeDelay = 100 * time.Millisecond // until the close of a connection reaches the backend
	n := newNetwork().node(t, "i1", nil)
	n.setUp(1, "i1")
	n.becomePrimary(1)
	expires := n.get("a")
	expires.Deadline = n.kernel.Now() + 200*time.Millisecond
	sent := make(chan time.Duration, 1)
	n.backends.do = func(ctx context.Context, call *backend.Call) (*backend.Answer, error) {
		if call.RequestID != expires.ID {
			sent <- n.kernel.Now()
			return answer("ok"), nil
		}
		<-ctx.Done()
		return nil, failure(backend.FailureBroken)
	}
	var callers sync.WaitGroup
	callers.Go(func() {
		got, _ := n.do(expires)
		require.Equal(t, entity.ReasonDeadline, got.Reason)
	})
	require.Eventually(t, func() bool { return n.backends.running.Load() == 1 }, testWait, time.Millisecond)
	got, _ := n.do(n.get("b"))
	require.Equal(t, entity.OutcomeAnswered, got.Kind)
	callers.Wait()
	require.GreaterOrEqual(t, receive(t, sent), expires.Deadline+closeDelay, "the backend may still run the first request")
}
