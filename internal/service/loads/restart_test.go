package loads_test

import (
	"fmt"
	"math/rand/v2"
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

// warmedService has backends that are cold for 3 s and accept 6.6 requests per second while they are.
var warmedService = &catalog.Service{Name: "s", Warmup: 3 * time.Second, WarmupRate: 6.6}

const (
	restartInstances = 12
	// restartAllowed is the number of requests in one second that a cold backend can handle: 1.5 times its rate and 5.
	restartAllowed = 1.5*6.6 + 5
)

// Times of the simulation.
const (
	restartStep      = time.Millisecond
	restartHeartbeat = 200 * time.Millisecond
	restartDown      = 4 * time.Second // the first process terminates
	restartUp        = 6 * time.Second // the next process listens
	restartEnd       = 12 * time.Second

	restartServiceTime = 20 * time.Millisecond
)

// restartCluster simulates instances that have two backends in their view, both listed as warm. The first one restarts under its ID
// and address, and no instance reads the entry of the new process.
type restartCluster struct {
	instances []*loads.Service
	running   []runningRequest
	received  []time.Duration // arrivals at the new process
	other     int             // arrivals at the other backend
}

// runningRequest is a request that a backend is processing.
type runningRequest struct {
	instance *loads.Service
	attempt  service.Attempt
	end      time.Duration
}

func newRestartCluster() *restartCluster {
	c := &restartCluster{}
	for i := range restartInstances {
		instance := testInstance
		instance.ID = entity.InstanceID(fmt.Sprint(i))
		c.instances = append(c.instances, loads.New(instance, metrics.NewRegistry()))
	}
	return c
}

// run offers demand requests per second to random instances.
func (c *restartCluster) run(seed uint64, demand float64) {
	random := rand.New(rand.NewPCG(seed, 5))
	for now := 2 * time.Second; now < restartEnd; now += restartStep {
		for len(c.running) > 0 && c.running[0].end <= now {
			c.running[0].instance.FinishAttempt(c.running[0].attempt, served, now)
			c.running = c.running[1:]
		}
		if now%restartHeartbeat == 0 {
			c.exchange(now)
		}
		if random.Float64() < demand*restartStep.Seconds() {
			c.request(c.instances[random.IntN(restartInstances)], now)
		}
	}
}

func (c *restartCluster) exchange(now time.Duration) {
	for i, from := range c.instances {
		report := from.Report(now, window, true)
		for j, to := range c.instances {
			if i != j {
				to.ApplyPeerReport(service.PeerTraffic{Instance: entity.InstanceID(fmt.Sprint(i)), TrafficReport: report}, now)
			}
		}
	}
}

// request sends one request to the backend that the instance chooses.
func (c *restartCluster) request(s *loads.Service, now time.Duration) {
	choice, attempt := chooseAmong(s, restartMembers(), now, restartedBackend(), &catalog.Backend{ID: "other", Incarnation: 1, Slots: 8, Zone: "b"})
	if choice.Backend == nil {
		return
	}
	switch {
	case choice.Backend.ID == "other":
		c.other++
	case now >= restartDown && now < restartUp:
		s.FinishAttempt(attempt, refusedConnection, now)
		return
	case now >= restartUp:
		c.received = append(c.received, now)
	}
	c.running = append(c.running, runningRequest{s, attempt, now + restartServiceTime})
}

// restartMembers returns the view of an instance that reaches all others.
func restartMembers() *service.MembersView {
	view := &service.MembersView{KnownCount: restartInstances}
	for i := range restartInstances {
		view.Instances = append(view.Instances, entity.InstanceID(fmt.Sprint(i)))
	}
	return view
}

func restartedBackend() *catalog.Backend {
	return &catalog.Backend{ID: "restarted", Incarnation: 1, Slots: 8, Zone: "a"}
}

var (
	served            = &service.DeliveryResult{Outcome: entity.Answered(), Status: 200}
	refusedConnection = &service.DeliveryResult{Outcome: entity.NotRun(entity.ReasonUnreachable, "connection refused"), ConnectionRefused: true}
)

// chooseWarmed chooses a backend at the only instance.
func chooseWarmed(s *loads.Service, now time.Duration, list ...*catalog.Backend) (service.Choice, service.Attempt) {
	return chooseAmong(s, &service.MembersView{KnownCount: 1}, now, list...)
}

func chooseAmong(
	s *loads.Service, members *service.MembersView, now time.Duration, list ...*catalog.Backend,
) (service.Choice, service.Attempt) {
	return s.Choose(service.LoadQuery{
		Service: warmedService, Candidates: list, Zone: "a", Members: members, Now: now,
		Goal: balance.LatencyGoal{Remaining: time.Minute, Target: time.Minute},
	})
}

// Guards against full load on a backend that returns cold under its ID and address, by instances that cannot read its new entry.
func TestBackendThatReturnsAfterRefusedConnectionsIsNotFlooded(t *testing.T) {
	for _, demand := range []float64{40, 100, 400} {
		for seed := range uint64(20) {
			c := newRestartCluster()
			c.run(seed, demand)
			most := mostWithin(c.received, time.Second, restartUp+warmedService.Warmup)
			require.LessOrEqual(t, most, restartAllowed, "demand %.0f, seed %d", demand, seed)
			require.GreaterOrEqual(t, len(c.received), 20, "demand %.0f, seed %d: the backend stays unused", demand, seed)
			require.Positive(t, c.other, "demand %.0f, seed %d", demand, seed)
		}
	}
}

// mostWithin returns the largest number of times in a span that ends before end.
func mostWithin(times []time.Duration, span, end time.Duration) float64 {
	most, from := 0, 0
	for i := range times {
		if times[i] >= end {
			break
		}
		for times[i]-times[from] >= span {
			from++
		}
		most = max(most, i-from+1)
	}
	return float64(most)
}

// Guards against an entry that was written before the restart, and is read after it, ending the limit of the new process.
func TestOldEntryDoesNotMakeARestartedBackendWarm(t *testing.T) {
	s := newLoads()
	_, attempt := chooseWarmed(s, 2*time.Second, restartedBackend())
	s.FinishAttempt(attempt, refusedConnection, 2*time.Second)
	now := 4 * time.Second
	_, attempt = chooseWarmed(s, now, restartedBackend())
	require.True(t, attempt.Cold, "the next process counts as cold")
	s.FinishAttempt(attempt, served, now)
	now += 2 * time.Second
	_, attempt = chooseWarmed(s, now, restartedBackend())
	require.True(t, attempt.Cold, "an entry of the terminated process says nothing about the next one")
}

// Guards against full load on a cold backend by an instance that the store rejects, although peers report that they send to it as to a
// cold one; and against instances that keep each other at the limit by such reports.
func TestInstanceWithoutStoreLearnsOfColdBackendsFromPeers(t *testing.T) {
	informed, isolated, third := newLoads(), newLoads(), newLoads()
	for _, s := range []*loads.Service{isolated, third} {
		s.Handle(nil, service.StoreOutage{Unavailable: true})
	}
	now := 2 * time.Second
	_, attempt := chooseWarmed(isolated, now, restartedBackend())
	require.False(t, attempt.Cold)
	chooseWarmed(third, now, restartedBackend())
	listedCold := restartedBackend()
	listedCold.WarmUntil = now + time.Second
	_, attempt = chooseWarmed(informed, now, listedCold)
	require.True(t, attempt.Cold)
	exchange(informed, isolated, "informed", now)
	_, attempt = chooseWarmed(isolated, now, restartedBackend())
	require.True(t, attempt.Cold)
	exchange(isolated, third, "isolated", now)
	_, attempt = chooseWarmed(third, now, restartedBackend())
	require.False(t, attempt.Cold, "only instances with knowledge of their own report")
	now += 1100 * time.Millisecond
	_, attempt = chooseWarmed(isolated, now, restartedBackend())
	require.False(t, attempt.Cold, "the peer has not reported for a second")
}

// Guards against backends that stay limited after their warm-up because peers with an older list still report them as cold.
func TestInstanceWithStoreTrustsItsOwnList(t *testing.T) {
	s, peer := newLoads(), newLoads()
	now := 2 * time.Second
	chooseWarmed(s, now, restartedBackend())
	listedCold := restartedBackend()
	listedCold.WarmUntil = now + time.Second
	chooseWarmed(peer, now, listedCold)
	exchange(peer, s, "peer", now)
	_, attempt := chooseWarmed(s, now, restartedBackend())
	require.False(t, attempt.Cold)
}

// Guards against a warm backend that an instance without a quota for cold backends never uses again after one refused connection.
func TestOneRefusedConnectionDoesNotLimitAWarmBackendWithoutEnd(t *testing.T) {
	const instances = 20 // more than twice the rate, so that most of them have no quota
	view := &service.MembersView{KnownCount: instances}
	for i := range instances {
		view.Instances = append(view.Instances, entity.InstanceID(fmt.Sprint(i)))
	}
	for _, id := range view.Instances {
		instance := testInstance
		instance.ID = id
		s := loads.New(instance, metrics.NewRegistry())
		now := 2 * time.Second
		_, attempt := chooseAmong(s, view, now, restartedBackend())
		s.FinishAttempt(attempt, refusedConnection, now)
		choice, _ := chooseAmong(s, view, now+10*time.Second, restartedBackend())
		require.NotNil(t, choice.Backend, "instance %s", id)
	}
}
