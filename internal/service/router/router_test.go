package router_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/shutdown"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

const key = "k"

func unlimited() *catalog.Customer { return &catalog.Customer{ID: "florist", Keys: []string{key}} }

// Guards against a customer that exceeds its rate because retries of its lookups run without a token: if half of the backends
// fail, half of its requests would run in addition.
func TestRetryThatRunsAgainTakesAToken(t *testing.T) {
	const burst = 12
	for name, answer := range map[string]func(service.Delivery) service.DeliveryResult{"failure": failing, "broken": connectionLost} {
		b := newTestRouter(t, &catalog.Customer{ID: "florist", Keys: []string{key}, Rate: 0.001, Burst: burst})
		b.endpoints.answer = succeeding
		b.call("/lookups/1", key, false) // creates the bucket
		b.clock.Advance(4 * time.Hour)   // fills it
		b.endpoints.answer, b.endpoints.delivered = answer, nil
		for range burst {
			b.call("/lookups/1", key, false)
		}
		require.Len(t, b.endpoints.delivered, burst, name)
	}
}

// Guards against a customer that is refused within its rate because backends rejected its requests without running them.
func TestRejectedRequestRefundsItsToken(t *testing.T) {
	b := newTestRouter(t, &catalog.Customer{ID: "florist", Keys: []string{key}, Rate: 0.001, Burst: 2})
	b.endpoints.answer = rejecting
	b.call("/orders/1", key, true) // creates the bucket
	b.clock.Advance(4 * time.Hour)
	for range 3 {
		require.Equal(t, entity.ReasonShed, b.call("/orders/1", key, true).Outcome.Reason)
	}
	b.endpoints.answer = succeeding
	require.Equal(t, http.StatusOK, b.call("/orders/1", key, true).Status)
}

// Guards against a customer that is refused within its rate because retries took its tokens that the retry budget refused.
func TestRetryRefusedByTheBudgetReturnsTheCustomersToken(t *testing.T) {
	const burst = 4
	customer := &catalog.Customer{ID: "florist", Keys: []string{key}, Rate: 0.001, Burst: burst}
	b := newTestRouterOf(t, service.InstanceConfig{ID: "one", Zone: "a", DrainTime: 2 * time.Second}, customer, zap.NewNop())
	b.endpoints.answer = succeeding
	b.call("/lookups/1", key, false) // creates the bucket
	b.clock.Advance(4 * time.Hour)   // fills it
	b.endpoints.answer, b.endpoints.delivered = failing, nil
	for range burst {
		b.call("/lookups/1", key, false)
	}
	require.Len(t, b.endpoints.delivered, burst)
}

// Guards against an earlier answer that is lost if there is no token for another attempt. The request has run, so a refusal would
// be false.
func TestRequestThatRanIsNotRefusedWithoutARetryToken(t *testing.T) {
	b := newTestRouter(t, &catalog.Customer{ID: "florist", Keys: []string{key}, Rate: 4, Burst: 1})
	b.endpoints.answer = failing
	b.clock.Advance(time.Minute)
	reply := b.call("/lookups/1", key, false)
	require.Equal(t, entity.OutcomeAnswered, reply.Outcome.Kind)
	require.Equal(t, http.StatusInternalServerError, reply.Status)
}

// Guards against a lookup that fails although another backend would answer it.
func TestLookupIsSentToAnotherBackendAfterAFailure(t *testing.T) {
	b := newTestRouter(t, unlimited())
	b.endpoints.answer = func(d service.Delivery) service.DeliveryResult {
		if len(b.endpoints.delivered) < attempts {
			return failing(d)
		}
		return succeeding(d)
	}
	reply := b.call("/lookups/1", key, false)
	require.Equal(t, http.StatusOK, reply.Status)
	require.Len(t, b.endpoints.delivered, attempts)
	require.NotEqual(t, b.endpoints.delivered[0], b.endpoints.delivered[1])
	require.NotEqual(t, b.endpoints.delivered[1], b.endpoints.delivered[2])
}

// Guards against an order that runs twice: an order that may have run must not be sent again.
func TestOrderThatMayHaveRunIsSentOnce(t *testing.T) {
	b := newTestRouter(t, unlimited())
	for _, answer := range []func(service.Delivery) service.DeliveryResult{connectionLost, failing} {
		b.endpoints.answer, b.endpoints.delivered = answer, nil
		reply := b.call("/orders/1", key, true)
		require.NotEqual(t, entity.OutcomeNotRun, reply.Outcome.Kind)
		require.Len(t, b.endpoints.delivered, 1)
	}
}

// Guards against a request that is reported as not run although an earlier attempt ran.
func TestRefusalAfterAnAttemptThatRanIsNotCalledNotRun(t *testing.T) {
	b := newTestRouter(t, unlimited())
	b.endpoints.answer = func(d service.Delivery) service.DeliveryResult {
		if len(b.endpoints.delivered) == 1 {
			return connectionLost(d)
		}
		return rejecting(d)
	}
	reply := b.call("/lookups/1", key, false)
	require.Equal(t, entity.OutcomeUnknown, reply.Outcome.Kind)
}

// Guards against a request that is sent again and again because the table and the owner disagree: the table must be read again
// and the caller must be sent a retry time.
func TestRetriesOfAMisdirectedKeyAreBounded(t *testing.T) {
	b := newTestRouter(t, unlimited())
	b.endpoints.answer = func(service.Delivery) service.DeliveryResult {
		return service.DeliveryResult{Outcome: entity.NotRun(entity.ReasonFenced, "not granted"), Misdirected: true}
	}
	reply := b.call("/orders/1", key, true)
	require.Equal(t, entity.OutcomeNotRun, reply.Outcome.Kind)
	require.Positive(t, reply.RetryAfter)
	require.Equal(t, len(b.endpoints.delivered), b.keys.misdirected)
	require.LessOrEqual(t, len(b.endpoints.delivered), 3)
}

// Guards against requests that the configuration doesn't allow but that reach a backend: each must be refused with its own
// reason.
func TestCallsThatNoConfigurationAllowsReachNoBackend(t *testing.T) {
	b := newTestRouter(t, unlimited())
	b.endpoints.answer = succeeding
	for _, c := range []struct {
		path, key string
		routed    bool
		reason    entity.Reason
	}{
		{"/lookups/1", "other", false, entity.ReasonUnauthenticated},
		{"/lookups/1", "", false, entity.ReasonUnauthenticated},
		{"/nowhere/1", key, false, entity.ReasonUnknownRoute},
		{"/orders/1", key, false, entity.ReasonBadRequest},
	} {
		reply := b.call(c.path, c.key, c.routed)
		require.Equal(t, entity.OutcomeNotRun, reply.Outcome.Kind, c.path)
		require.Equal(t, c.reason, reply.Outcome.Reason, c.path)
	}
	b.directory.view = &service.DirectoryView{}
	require.Equal(t, entity.ReasonStopping, b.call("/lookups/1", key, false).Outcome.Reason)
	require.Empty(t, b.endpoints.delivered)
}

// Guards against 401 and 404 for a route or a key of a configuration that this instance may have missed, as in the users' record: callers
// do not retry these. Requests that the known configuration allows are served all the while.
func TestUnknownRoutesAreRetriedElsewhereWhileTheConfigurationMayBeOutdated(t *testing.T) {
	const apply = 2 * time.Second
	instance := service.InstanceConfig{ID: "one", Zone: "a", RetryRatio: 1, RetrySlack: 100, ConfigApply: apply}
	b := newTestRouterOf(t, instance, unlimited(), zap.NewNop())
	b.endpoints.answer = succeeding
	b.directory.checkedAt.Store(int64(b.clock.Now()))
	b.clock.Advance(apply)
	require.Equal(t, entity.ReasonUnknownRoute, b.call("/nowhere/1", key, false).Outcome.Reason, "checked within the time that a configuration has to come into force")
	b.clock.Advance(time.Millisecond)
	for path, credential := range map[string]string{"/nowhere/1": key, "/lookups/1": "other"} {
		reply := b.call(path, credential, false)
		require.Equal(t, entity.OutcomeNotRun, reply.Outcome.Kind, path)
		require.Equal(t, entity.ReasonStaleConfig, reply.Outcome.Reason, path)
		require.Positive(t, reply.RetryAfter, path)
	}
	require.Empty(t, b.endpoints.delivered)
	require.Equal(t, entity.OutcomeAnswered, b.call("/lookups/1", key, false).Outcome.Kind)
	b.directory.checkedAt.Store(int64(b.clock.Now()))
	require.Equal(t, entity.ReasonUnknownRoute, b.call("/nowhere/1", key, false).Outcome.Reason)
}

// Guards against requests that a starting instance refuses although it could serve them shortly after. A restart of all instances
// of a large deployment refused 3,700 requests because there was no configuration or no table of key ranges yet.
func TestRequestsWaitForTheViewsOfANewInstance(t *testing.T) {
	b := newTestRouter(t, unlimited())
	b.endpoints.answer = succeeding
	complete, table := *b.directory.view, *b.keys.view
	b.directory.ready = make(chan struct{})
	b.directory.view, b.keys.view = &service.DirectoryView{}, &service.KeyView{Changed: make(chan struct{})}
	replies := make(chan service.Reply, 1)
	go func() { replies <- b.call("/orders/1", key, true) }()
	empty := b.keys.view
	time.Sleep(20 * time.Millisecond)
	require.Empty(t, replies)
	b.directory.mu.Lock()
	b.directory.view = &complete
	b.directory.mu.Unlock()
	close(b.directory.ready)
	time.Sleep(20 * time.Millisecond)
	require.Empty(t, replies)
	b.keys.mu.Lock()
	b.keys.view = &table
	b.keys.mu.Unlock()
	close(empty.Changed)
	reply := <-replies
	require.Equal(t, http.StatusOK, reply.Status, reply.Outcome)
}

// Guards against requests that wait at an instance that cannot read the store at its start.
func TestRequestsAreRefusedImmediatelyWhileTheStoreIsUnavailable(t *testing.T) {
	b := newTestRouter(t, unlimited())
	b.directory.ready = make(chan struct{})
	b.directory.view = &service.DirectoryView{}
	b.clock.Advance(10 * time.Second)
	began := time.Now()
	require.Equal(t, entity.ReasonStopping, b.call("/orders/1", key, true).Outcome.Reason)
	require.Less(t, time.Since(began), 200*time.Millisecond)
}

// Guards against requests that are sent to leaving backends or to an evacuated zone.
func TestLeavingBackendsAndEvacuatedZonesGetNoNewRequests(t *testing.T) {
	b := newTestRouter(t, unlimited())
	b.endpoints.answer = succeeding
	list := b.directory.view.Services[lookups]
	list[0].Draining = true
	list[1].Zone = "b"
	b.directory.view.Evacuated = map[entity.Zone]bool{"b": true}
	for range 5 {
		require.Equal(t, http.StatusOK, b.call("/lookups/1", key, false).Status)
	}
	for _, id := range b.endpoints.delivered {
		require.Equal(t, list[2].ID, id)
	}
}

// Guards against callers of an instance without a configuration that use up their retries within milliseconds: after a restart of all
// instances the others have none either. A stopping instance refers its callers to the others at once.
func TestOnlyAStoppingInstanceRefersToOthers(t *testing.T) {
	b := newTestRouter(t, unlimited())
	b.endpoints.answer = succeeding
	now := b.clock.Now()
	call := &service.Call{
		ID: "r", Method: http.MethodGet, Host: host, Path: "/lookups/1", Credential: key, Received: now, Deadline: now + time.Minute,
		Stop: shutdown.Schedule{StopBy: now + time.Second},
	}
	reply := b.router.Route(t.Context(), call)
	require.Equal(t, entity.ReasonStopping, reply.Outcome.Reason)
	require.Positive(t, reply.RetryAfter)
	b.directory.view = &service.DirectoryView{}
	b.clock.Advance(time.Minute)
	call.Stop = shutdown.Schedule{}
	reply = b.router.Route(t.Context(), call)
	require.Equal(t, entity.ReasonStopping, reply.Outcome.Reason)
	require.Zero(t, reply.RetryAfter)
}
