package loads_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/balance"
	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/service/loads"
)

// chooseOf chooses one of the backends for a request with much time left.
func chooseOf(s *loads.Service, now time.Duration, list ...*catalog.Backend) (service.Choice, service.Attempt) {
	return s.Choose(service.LoadQuery{
		Service: &catalog.Service{Name: "s"}, Candidates: list, Zone: "a", Now: now,
		Goal: balance.LatencyGoal{Remaining: time.Minute, Target: time.Minute},
	})
}

// Guards against a statement of leaving that the peers do not learn, or that is reported long after the backend has gone.
func TestStatementOfLeavingIsReportedToPeers(t *testing.T) {
	s := newLoads()
	b := &catalog.Backend{ID: "a", Incarnation: 3, Slots: 2, Zone: "a"}
	_, attempt := chooseOf(s, time.Second, b)
	s.FinishAttempt(attempt, &service.DeliveryResult{Outcome: entity.Answered(), Status: 200, Leaving: true}, time.Second)
	want := []uint64{keyrange.Holder{ID: "a", Incarnation: 3}.Hash()}
	require.Equal(t, want, s.Report(time.Second, window, false).Leaving)
	require.Equal(t, want, s.Report(3*time.Second, window, false).Leaving)
	require.Empty(t, s.Report(time.Minute, window, false).Leaving)
}

// Guards against requests to a process that asked for none, and against a new process under the same id that gets none because of
// its predecessor's late answer.
func TestHoldOffAppliesToTheProcess(t *testing.T) {
	s := newLoads()
	old, next := &catalog.Backend{ID: "a", Incarnation: 1, Slots: 2}, &catalog.Backend{ID: "a", Incarnation: 2, Slots: 2}
	refused := &service.DeliveryResult{Outcome: entity.NotRun(entity.ReasonShed, ""), Status: 503, HoldOff: 2 * time.Second}
	_, first := chooseOf(s, time.Second, old)
	_, second := chooseOf(s, time.Second, old)
	s.FinishAttempt(first, refused, time.Second)
	choice, _ := chooseOf(s, 2*time.Second, old)
	require.Nil(t, choice.Backend)
	require.Equal(t, entity.ReasonShed, choice.Reason)
	require.GreaterOrEqual(t, choice.RetryAfter, time.Second)
	choice, _ = chooseOf(s, 2*time.Second, next)
	require.NotNil(t, choice.Backend)
	s.FinishAttempt(second, refused, 2*time.Second)
	choice, _ = chooseOf(s, 2*time.Second, next)
	require.NotNil(t, choice.Backend)
}
