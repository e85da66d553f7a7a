package keys_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
)

// Guards against keys that move because a backend is slow during a load peak, and against a slow backend that keeps them.
func TestKeysLeaveASlowBackendAfterALoadPeak(t *testing.T) {
	clock, targets := kernel.NewManualClock(), &backends{}
	h := newHarnessWithClock(t, "one", &memoryStore{}, targets, clock)
	h.list(backend("e1", "10.0.0.1:1", 1), backend("e2", "10.0.0.2:1", 1))
	owned := func() (granted, ofSlow int) {
		if state := h.keys.KeyView().State; state != nil && len(state.Tables) > 0 {
			for _, r := range state.Tables[0].Ranges {
				if r.Granted || h.keys.KeyView().Granted[r.Fence] {
					granted++
				}
				if r.Owner.ID == "e1" {
					ofSlow++
				}
			}
		}
		return granted, ofSlow
	}
	advanceUntil(t, clock, 5*time.Second, func() bool { granted, _ := owned(); return granted == 20 })
	measured := []service.BackendMeasurement{
		{Backend: entity.ShortHash("e1"), Answers: 10, ServiceTime: 2 * time.Second}, {Backend: entity.ShortHash("e2"), Answers: 10, ServiceTime: time.Second},
	}
	slowSince := clock.Now()
	advanceUntil(t, clock, 15*time.Second, func() bool {
		h.deliver(service.KeysRequested{Keys: []uint32{1, 5000, 40000, 45000}, Measured: measured, At: clock.Now()})
		_, ofSlow := owned()
		require.True(t, ofSlow == 10 || clock.Now()-slowSince >= 5*time.Second, "after %v", clock.Now()-slowSince)
		return ofSlow <= 8
	})
}
