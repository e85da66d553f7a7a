package loads_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/balance"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/service/loads"
)

const (
	coldRate      = 6.6 // requests per second
	wholeColdRate = 6
)

// warmupQuery is a request for a cold backend, as a retry or the owner of a key passes it too.
func warmupQuery(b *catalog.Backend, partitioned bool, members *service.MembersView, now time.Duration) service.LoadQuery {
	return service.LoadQuery{
		Service: &catalog.Service{Name: "s", WarmupRate: coldRate, Partitioned: partitioned}, Candidates: []*catalog.Backend{b},
		Members: members, Goal: balance.LatencyGoal{Remaining: time.Minute, Target: time.Minute}, Now: now,
	}
}

// sentTo returns how many of many requests are sent to a cold backend at one moment.
func sentTo(s *loads.Service, q service.LoadQuery) int {
	sent := 0
	for range 50 {
		if choice, _ := s.Choose(q); choice.Backend != nil {
			sent++
		}
	}
	return sent
}

// Guards against instances that exceed the rate of a cold backend because they hear nothing of each other.
func TestInstancesWithoutReportsKeepTheWarmupLimit(t *testing.T) {
	const instances, overshoot, slack = 12, 1.5, 5.0
	b := &catalog.Backend{ID: "a", Slots: 50, WarmUntil: time.Minute}
	members := &service.MembersView{KnownCount: instances}
	for i := range instances {
		members.Instances = append(members.Instances, entity.InstanceID(fmt.Sprint("i", i)))
	}
	for _, partitioned := range []bool{false, true} {
		sent := 0
		for _, id := range members.Instances {
			s := loads.New(service.InstanceConfig{ID: id}, metrics.NewRegistry())
			sent += sentTo(s, warmupQuery(b, partitioned, members, 2*time.Second))
		}
		require.LessOrEqual(t, float64(sent), coldRate*overshoot+slack, "partitioned: %v", partitioned)
		require.GreaterOrEqual(t, sent, wholeColdRate, "partitioned: %v", partitioned)
	}
}

// Guards against a cold backend that gets the rate again because requests with an older directory view alternate with newer ones.
func TestWarmupCountOutlivesTheBackendProcess(t *testing.T) {
	s := newLoads()
	members := &service.MembersView{Instances: []entity.InstanceID{testInstance.ID}, KnownCount: 1}
	sent := 0
	for i := range 10 {
		b := &catalog.Backend{ID: "a", Incarnation: int64(1 + i%2), Slots: 50, WarmUntil: time.Minute}
		sent += sentTo(s, warmupQuery(b, false, members, 2*time.Second))
	}
	require.Equal(t, wholeColdRate, sent)
}

// Guards against full load on a running backend that has turned cold, by an instance that cannot read its entry: in plays of the bench
// such instances sent to the backends of a re-enabled zone as to warm ones.
func TestInstanceWithoutStoreAsksBackendsForTheirWarmup(t *testing.T) {
	b := &catalog.Backend{ID: "cold", Incarnation: 1, Slots: 200, Zone: "a"}
	members := &service.MembersView{Instances: []entity.InstanceID{testInstance.ID}, KnownCount: 1}
	s := newLoads()
	q := warmupQuery(b, false, members, 5*time.Second)
	q.Service.HealthPath = "/healthz"
	require.Equal(t, 50, sentTo(s, q), "the entry can be read")

	s.Handle(nil, service.StoreOutage{Unavailable: true})
	choice, _ := s.Choose(q)
	require.Equal(t, []*catalog.Backend{b}, choice.Checks)
	require.Equal(t, wholeColdRate-1, sentTo(s, q), "not checked yet")
	choice, _ = s.Choose(q)
	require.Nil(t, choice.Backend)
	require.True(t, choice.AwaitsCheck)
	s.FinishWarmupCheck(b, 0, true, q.Now)
	require.Equal(t, 50, sentTo(s, q), "the backend is warm")
	s.FinishWarmupCheck(b, 0, true, q.Now) // another check was due after a few requests

	q.Now += 600 * time.Millisecond
	choice, _ = s.Choose(q)
	require.Equal(t, []*catalog.Backend{b}, choice.Checks, "the next check is due")
	s.FinishWarmupCheck(b, time.Minute, true, q.Now)
	q.Now += time.Second
	require.Equal(t, wholeColdRate, sentTo(s, q), "the backend has turned cold")
	s.Handle(nil, service.StoreOutage{})
	require.Equal(t, 50, sentTo(s, q), "the entry can be read again")
}
