package router_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// fakeRollout is a rollout service with a fixed state. It counts attempts that have begun and not ended.
type fakeRollout struct {
	stub

	mu       sync.Mutex
	state    *service.RolloutState
	toNew    bool // the next request may go to the new version
	refuse   bool // owners of the new version get no requests
	inFlight map[entity.BackendID]int
	finished []service.DeliveryResult
	onSent   func() // called by Sent, if set
}

func (f *fakeRollout) RolloutView() *service.RolloutView {
	f.mu.Lock()
	defer f.mu.Unlock()
	view := &service.RolloutView{Services: map[entity.ServiceName]*service.RolloutState{}}
	if f.state != nil {
		view.Services[f.state.Service] = f.state
	}
	return view
}

func (f *fakeRollout) Candidates(_ entity.ServiceName, usable []*catalog.Backend, _ time.Duration) []*catalog.Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	var wanted []*catalog.Backend
	for _, b := range usable {
		if f.state.IsNew(b) == (f.toNew || f.state.Phase == service.RolloutSwitching) {
			wanted = append(wanted, b)
		}
	}
	if len(wanted) == 0 {
		return usable
	}
	return wanted
}

func (f *fakeRollout) MayUseOwner(entity.ServiceName, *catalog.Backend, time.Duration) bool {
	return !f.refuse
}

func (f *fakeRollout) Sent(_ entity.ServiceName, b *catalog.Backend) {
	f.inFlight[b.ID]++
	if f.onSent != nil {
		f.onSent()
	}
}

func (f *fakeRollout) Finished(_ entity.ServiceName, _ string, b *catalog.Backend, _ bool, r *service.DeliveryResult, _, _ time.Duration) {
	f.inFlight[b.ID]--
	f.finished = append(f.finished, *r)
}

// newRolloutRouter returns a router whose third backend of each service runs the new version.
func newRolloutRouter(t *testing.T, of entity.ServiceName, phase service.RolloutPhase) (*testRouter, *fakeRollout) {
	t.Helper()
	instance := service.InstanceConfig{ID: "one", Zone: "a", RetryRatio: 1, RetrySlack: 100, DrainTime: 2 * time.Second, ExposureShare: 0.1}
	f := &fakeRollout{stub: stub{service.Rollout}, inFlight: map[entity.BackendID]int{}, state: &service.RolloutState{Service: of, To: "v2", Phase: phase}}
	customer := &catalog.Customer{ID: "c", Keys: []string{"k"}}
	b := newTestRouterOf(t, instance, customer, zap.NewNop(), f)
	for _, list := range b.directory.view.Services {
		list[0].Version, list[1].Version, list[2].Version = "v1", "v1", "v2"
	}
	b.endpoints.answer = succeeding
	return b, f
}

func (f *fakeRollout) requireBalanced(t *testing.T) {
	t.Helper()
	for id, n := range f.inFlight {
		require.Zero(t, n, "attempts at %s", id)
	}
}

// Guards against requests that do not go to the version that the rollout chooses, and against attempts that it does not count to their
// end, also canceled ones.
func TestRolloutChoosesTheVersion(t *testing.T) {
	b, f := newRolloutRouter(t, lookups, service.RolloutRunning)
	for _, toNew := range []bool{false, true, true, false} {
		f.toNew, b.endpoints.delivered = toNew, nil
		require.Equal(t, entity.OutcomeAnswered, b.call("/lookups/", "k", false).Outcome.Kind)
		require.Equal(t, toNew, b.endpoints.delivered[0] == "lookups3")
	}
	b.endpoints.answer = func(service.Delivery) service.DeliveryResult {
		return service.DeliveryResult{Outcome: entity.Unknown(entity.ReasonCanceled, "")}
	}
	b.call("/lookups/", "k", false)
	require.Len(t, f.finished, 5)
	f.requireBalanced(t)
}

// Guards against a request that is refused because the new version, which is only being compared, cannot take it.
func TestOldVersionServesWhatTheNewOneCannot(t *testing.T) {
	b, f := newRolloutRouter(t, lookups, service.RolloutRunning)
	f.toNew = true
	b.endpoints.answer = func(d service.Delivery) service.DeliveryResult {
		if d.Backend.Version == "v2" {
			return service.DeliveryResult{Outcome: entity.NotRun(entity.ReasonShed, ""), HoldOff: time.Minute}
		}
		return succeeding(d)
	}
	for range 3 {
		require.Equal(t, entity.OutcomeAnswered, b.call("/lookups/", "k", false).Outcome.Kind)
	}
	f.requireBalanced(t)
}

// Guards against a request that is sent to an old backend because it was chosen just before the phase changed: the backend may stop
// while the request runs.
func TestPhaseThatChangesAfterTheChoiceCounts(t *testing.T) {
	b, f := newRolloutRouter(t, lookups, service.RolloutRunning)
	f.onSent = func() {
		f.mu.Lock()
		f.state = &service.RolloutState{Service: lookups, To: "v2", Phase: service.RolloutSwitching}
		f.mu.Unlock()
	}
	require.Equal(t, entity.OutcomeAnswered, b.call("/lookups/", "k", false).Outcome.Kind)
	require.Equal(t, []entity.BackendID{"lookups3"}, b.endpoints.delivered)
	f.requireBalanced(t)
}

// Guards against more requests for keys of a new version than the exposure limit allows, against refusals that wait or say that the
// request may have run, and against the use of an outdated table after the old backends have stopped.
func TestOwnerOfAKeyAndItsVersion(t *testing.T) {
	b, f := newRolloutRouter(t, orders, service.RolloutRunning)
	require.Equal(t, entity.OutcomeAnswered, b.call("/orders/", "k", true).Outcome.Kind)
	f.refuse, b.endpoints.delivered = true, nil
	reply := b.call("/orders/", "k", true)
	require.Equal(t, entity.OutcomeNotRun, reply.Outcome.Kind)
	require.Positive(t, reply.RetryAfter)
	require.LessOrEqual(t, reply.RetryAfter, time.Second)
	f.refuse, f.state = false, &service.RolloutState{Service: orders, To: "v2", Phase: service.RolloutCompleted}
	require.Equal(t, entity.OutcomeNotRun, b.call("/orders/", "k", true).Outcome.Kind, "the owner runs the old version")
	require.Empty(t, b.endpoints.delivered)
	f.requireBalanced(t)
}

// Guards against requests to a version that an instance has just seen for the first time, before an order for it can arrive, and against
// a service that is not served because all its backends are held back.
func TestHeldBackBackends(t *testing.T) {
	b, f := newRolloutRouter(t, orders, service.RolloutRunning)
	list := b.directory.view.Services[lookups]
	list[0].HeldBackUntil, list[1].HeldBackUntil = time.Minute, time.Minute
	for range 6 {
		require.Equal(t, entity.OutcomeAnswered, b.call("/lookups/", "k", false).Outcome.Kind)
	}
	require.NotContains(t, b.endpoints.delivered, list[0].ID)
	require.NotContains(t, b.endpoints.delivered, list[1].ID)
	list[2].Draining = true
	require.Equal(t, entity.OutcomeAnswered, b.call("/lookups/", "k", false).Outcome.Kind)
	list[2].Draining = false
	b.endpoints.answer = func(d service.Delivery) service.DeliveryResult {
		if d.Backend == list[2] {
			return service.DeliveryResult{Outcome: entity.NotRun(entity.ReasonShed, ""), HoldOff: time.Hour}
		}
		return succeeding(d)
	}
	require.Equal(t, entity.OutcomeNotRun, b.call("/lookups/", "k", false).Outcome.Kind)
	b.clock.Advance(time.Minute)
	require.Equal(t, entity.OutcomeAnswered, b.call("/lookups/", "k", false).Outcome.Kind, "no longer held back")
	f.requireBalanced(t)
}
