package keys_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
)

// fakeRollout is a rollout service whose state the test sets. It records the reports of moved keys.
type fakeRollout struct {
	stub
	service.RolloutTracker

	mu    sync.Mutex
	state *service.RolloutState
	moved []service.RolloutKeysMoved
}

func (f *fakeRollout) set(phase service.RolloutPhase, share float64, canaries ...entity.BackendID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = &service.RolloutState{Service: testService, To: "v2", Phase: phase, Share: share, Canaries: map[entity.BackendID]bool{}}
	for _, id := range canaries {
		f.state.Canaries[id] = true
	}
}

func (f *fakeRollout) RolloutView() *service.RolloutView {
	f.mu.Lock()
	defer f.mu.Unlock()
	view := &service.RolloutView{Services: map[entity.ServiceName]*service.RolloutState{}}
	if f.state != nil {
		view.Services[testService] = f.state
	}
	return view
}

func (f *fakeRollout) Handle(_ *kernel.Turn, m kernel.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.moved = append(f.moved, m.(service.RolloutKeysMoved))
}

func (f *fakeRollout) reported(done bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.moved, service.RolloutKeysMoved{Service: testService, To: "v2", Done: done})
}

func versioned(id, address, version string, heldBackUntil time.Duration) *catalog.Backend {
	b := backend(id, address, 1)
	b.Version, b.HeldBackUntil = version, heldBackUntil
	return b
}

// Guards against keys that go to a new version before a rollout asks for it, to others of its backends than the canaries, or that stay
// with the old version after the switch; and against a switch that is reported as done too early or never.
func TestKeysFollowARollout(t *testing.T) {
	rollout := &fakeRollout{stub: stub{name: service.Rollout}}
	instance := service.InstanceConfig{ID: "one", Zone: "a", MaxGrantTTL: 10 * time.Second, ExposureShare: 0.1}
	h := newHarnessOf(t, instance, &memoryStore{}, &backends{}, kernel.NewSystemClock(), rollout)
	h.list(versioned("o1", "10.0.0.1:1", "v1", 0), versioned("o2", "10.0.0.2:1", "v1", 0),
		versioned("n1", "10.0.0.3:1", "v2", time.Hour), versioned("n2", "10.0.0.4:1", "v2", time.Hour))
	h.waitGranted("o1", "o2")
	rollout.set(service.RolloutRunning, 0.08, "n2")
	keys := make([]uint32, 400)
	for i := range keys {
		keys[i] = uint32(i) * catalog.KeySpace / 400
	}
	owners := func() map[entity.BackendID]int {
		by := map[entity.BackendID]int{}
		state := h.keys.KeyView().State
		for _, key := range keys {
			i, _ := state.Tables[0].Find(key)
			by[state.Tables[0].Ranges[i].Owner.ID]++
		}
		return by
	}
	h.deliver(service.KeysRequested{Keys: keys, At: h.kernel.Now()})
	require.Eventually(t, func() bool { return owners()["n2"] > 0 }, 3*time.Second, 10*time.Millisecond)
	h.waitGranted("o1", "o2", "n2")
	require.LessOrEqual(t, owners()["n2"], 32)
	require.Zero(t, owners()["n1"])
	require.False(t, rollout.reported(true))
	require.False(t, rollout.reported(false), "not before the switch")
	rollout.set(service.RolloutSwitching, 1)
	h.waitGranted("n1", "n2")
	require.Eventually(t, func() bool { return rollout.reported(true) }, time.Second, 10*time.Millisecond)
	require.True(t, rollout.reported(false))
	rollout.set(service.RolloutRolledBack, 0)
	h.waitGranted("o1", "o2")
}
