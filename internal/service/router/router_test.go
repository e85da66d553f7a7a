package router_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

const key = "k"

func unlimited() *catalog.Customer { return &catalog.Customer{ID: "florist", Keys: []string{key}} }

// Guards against a customer that exceeds its rate because repeats of its lookups run again without a token: half of the back
// ends that fail would add half of its requests.
func TestRepeatThatRunsAgainTakesAToken(t *testing.T) {
	const burst = 12
	for name, answer := range map[string]func(service.Delivery) service.DeliveryResult{"failure": failing, "broken": broken} {
		b := newBench(t, &catalog.Customer{ID: "florist", Keys: []string{key}, Rate: 0.001, Burst: burst})
		b.endpoints.answer = succeeding
		b.call("/lookups/1", key, false) // begins the bucket
		b.clock.Advance(4 * time.Hour)   // fills it
		b.endpoints.answer, b.endpoints.delivered = answer, nil
		for range burst {
			b.call("/lookups/1", key, false)
		}
		require.Len(t, b.endpoints.delivered, burst, name)
	}
}

// Guards against a customer that is refused within its rate because back ends rejected its requests without running them.
func TestRejectedRequestGivesItsTokenBack(t *testing.T) {
	b := newBench(t, &catalog.Customer{ID: "florist", Keys: []string{key}, Rate: 0.001, Burst: 2})
	b.endpoints.answer = rejecting
	b.call("/orders/1", key, true) // begins the bucket
	b.clock.Advance(4 * time.Hour)
	for range 3 {
		require.Equal(t, entity.ReasonShed, b.call("/orders/1", key, true).Outcome.Reason)
	}
	b.endpoints.answer = succeeding
	require.Equal(t, http.StatusOK, b.call("/orders/1", key, true).Status)
}

// Guards against an earlier answer that is lost when there is no token for another attempt: the request has run, so a refusal
// would be untrue.
func TestRequestThatRanIsNotRefusedForWantOfAToken(t *testing.T) {
	b := newBench(t, &catalog.Customer{ID: "florist", Keys: []string{key}, Rate: 4, Burst: 1})
	b.endpoints.answer = failing
	b.clock.Advance(time.Minute)
	reply := b.call("/lookups/1", key, false)
	require.Equal(t, entity.OutcomeAnswered, reply.Outcome.Kind)
	require.Equal(t, http.StatusInternalServerError, reply.Status)
}

// Guards against a lookup that fails although another back end would answer it.
func TestLookupIsSentToAnotherBackEndAfterAFailure(t *testing.T) {
	b := newBench(t, unlimited())
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

// Guards against an order that runs twice: whatever may have run is never sent again.
func TestOrderThatMayHaveRunIsSentOnce(t *testing.T) {
	b := newBench(t, unlimited())
	for _, answer := range []func(service.Delivery) service.DeliveryResult{broken, failing} {
		b.endpoints.answer, b.endpoints.delivered = answer, nil
		reply := b.call("/orders/1", key, true)
		require.NotEqual(t, entity.OutcomeNotRun, reply.Outcome.Kind)
		require.Len(t, b.endpoints.delivered, 1)
	}
}

// Guards against a request that is called not run although an earlier attempt ran.
func TestRefusalAfterAnAttemptThatRanIsNotCalledNotRun(t *testing.T) {
	b := newBench(t, unlimited())
	b.endpoints.answer = func(d service.Delivery) service.DeliveryResult {
		if len(b.endpoints.delivered) == 1 {
			return broken(d)
		}
		return rejecting(d)
	}
	reply := b.call("/lookups/1", key, false)
	require.Equal(t, entity.OutcomeUnknown, reply.Outcome.Kind)
}

// Guards against a request that goes round between a table and an owner that disagree: the table is read again and the caller is
// told when to come back.
func TestKeyThatItsOwnerRefusesIsGivenUp(t *testing.T) {
	b := newBench(t, unlimited())
	b.endpoints.answer = func(service.Delivery) service.DeliveryResult {
		return service.DeliveryResult{Outcome: entity.NotRun(entity.ReasonFenced, "not held"), Misdirected: true}
	}
	reply := b.call("/orders/1", key, true)
	require.Equal(t, entity.OutcomeNotRun, reply.Outcome.Kind)
	require.Positive(t, reply.RetryAfter)
	require.Equal(t, len(b.endpoints.delivered), b.ownership.misdirected)
	require.LessOrEqual(t, len(b.endpoints.delivered), 3)
}

// Guards against requests that no configuration allows: each is refused with its own cause and reaches no back end.
func TestCallsThatNoConfigurationAllowsReachNoBackEnd(t *testing.T) {
	b := newBench(t, unlimited())
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
	b.fleet.view = &service.DirectoryView{}
	require.Equal(t, entity.ReasonStopping, b.call("/lookups/1", key, false).Outcome.Reason)
	require.Empty(t, b.endpoints.delivered)
}

// Guards against requests that are refused in the first moments of an instance, though it can serve them a moment later: a restart of
// all instances of the grown Kitabi site refused 3,700 requests for want of a configuration or of the table of keys.
func TestRequestsWaitForTheViewsOfANewInstance(t *testing.T) {
	b := newBench(t, unlimited())
	b.endpoints.answer = succeeding
	whole, table := *b.fleet.view, *b.ownership.view
	b.fleet.known = make(chan struct{})
	b.fleet.view, b.ownership.view = &service.DirectoryView{}, &service.KeyView{Changed: make(chan struct{})}
	replies := make(chan service.Reply, 1)
	go func() { replies <- b.call("/orders/1", key, true) }()
	unknown := b.ownership.view
	time.Sleep(20 * time.Millisecond)
	require.Empty(t, replies)
	b.fleet.mu.Lock()
	b.fleet.view = &whole
	b.fleet.mu.Unlock()
	close(b.fleet.known)
	time.Sleep(20 * time.Millisecond)
	require.Empty(t, replies)
	b.ownership.mu.Lock()
	b.ownership.view = &table
	b.ownership.mu.Unlock()
	close(unknown.Changed)
	reply := <-replies
	require.Equal(t, http.StatusOK, reply.Status, reply.Outcome)
}

// Guards against requests that are kept waiting by an instance that cannot read the store at its start.
func TestRequestsAreRefusedAtOnceWhileTheStoreIsAway(t *testing.T) {
	b := newBench(t, unlimited())
	b.fleet.known = make(chan struct{})
	b.fleet.view = &service.DirectoryView{}
	b.clock.Advance(10 * time.Second)
	began := time.Now()
	require.Equal(t, entity.ReasonStopping, b.call("/orders/1", key, true).Outcome.Reason)
	require.Less(t, time.Since(began), 200*time.Millisecond)
}

// Guards against requests that are sent to back ends that are leaving, or in an evacuated zone.
func TestLeavingBackEndsAndEvacuatedZonesGetNoNewWork(t *testing.T) {
	b := newBench(t, unlimited())
	b.endpoints.answer = succeeding
	list := b.fleet.view.Services[lookups]
	list[0].Draining = true
	list[1].Zone = "b"
	b.fleet.view.Evacuated = map[entity.Zone]bool{"b": true}
	for range 5 {
		require.Equal(t, http.StatusOK, b.call("/lookups/1", key, false).Status)
	}
	for _, id := range b.endpoints.delivered {
		require.Equal(t, list[2].ID, id)
	}
}
