package rollout_test

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

const duration = 12 * time.Second

// running is a deployment of 4 instances in 2 zones that have served for 3 s.
func running(t *testing.T) *deployment {
	t.Helper()
	d := newDeployment(t, 4)
	d.list(orders, "v1", 6)
	d.run(3 * time.Second)
	d.list(orders, "v2", 6)
	return d
}

// Guards against a good version that is not completed in time, requests to the old version after that, an exceeded share, and a wrong
// status.
func TestGoodVersionIsCompleted(t *testing.T) {
	d := running(t)
	start := d.clock.Now()
	d.order(orders, "v2", duration)
	d.until("completed", func() bool { return d.everywhere(orders, service.RolloutCompleted) })
	completed := d.clock.Now()
	require.LessOrEqual(t, completed-start, duration)
	require.Equal(t, []service.RolloutPhase{service.RolloutRunning, service.RolloutCompleted}, d.statuses(orders, "v2"))
	newer := d.count(orders, "v2", start, start+7*time.Second, nil)
	older := d.count(orders, "v1", start, start+7*time.Second, nil)
	require.LessOrEqual(t, float64(newer), share*float64(newer+older)+slack)
	require.Greater(t, float64(newer), 0.05*float64(newer+older))
	require.Zero(t, d.count(orders, "v1", start+9*time.Second, completed+time.Second, nil))
	d.unlist("v1")
	delete(d.orders, orders)
	d.run(35 * time.Second)
	require.Empty(t, d.instances[0].rollout.RolloutView().Services, "a completed rollout whose order was withdrawn is forgotten")
	require.Nil(t, d.instances[0].rollout.RolloutReport(d.clock.Now()))
}

// Guards against a bad version that keeps its requests, and against a status that is not written.
func TestBadVersionIsRolledBack(t *testing.T) {
	d := running(t)
	start := d.clock.Now()
	d.bad["v2"] = 0.3
	d.order(orders, "v2", duration)
	d.until("rolled back", func() bool { return d.everywhere(orders, service.RolloutRolledBack) })
	stopped := d.clock.Now()
	require.Less(t, stopped-start, 5*time.Second)
	d.run(10 * time.Second)
	require.Zero(t, d.count(orders, "v2", stopped+step, d.clock.Now(), nil))
	require.Equal(t, []service.RolloutPhase{service.RolloutRunning, service.RolloutRolledBack}, d.statuses(orders, "v2"))
}

// Guards against a rollout that stops with its coordinator, and against answers that an ended instance has counted and that are lost.
func TestSuccessorContinuesTheRollout(t *testing.T) {
	for name, failures := range map[string]float64{"good": 0, "bad": 0.2} {
		t.Run(name, func(t *testing.T) {
			d := running(t)
			start := d.clock.Now()
			d.order(orders, "v2", duration)
			d.run(2 * time.Second)
			d.bad["v2"] = failures
			d.end(d.coordinator(orders))
			want := service.RolloutCompleted
			if failures > 0 {
				want = service.RolloutRolledBack
			}
			d.until("end of the rollout", func() bool { return d.everywhere(orders, want) })
			require.LessOrEqual(t, d.clock.Now()-start, duration)
			d.run(time.Second)
			require.Equal(t, []service.RolloutPhase{service.RolloutRunning, want}, d.statuses(orders, "v2"))
		})
	}
}

// Guards against an instance that decides although it is about to stop.
func TestLeavingInstanceDoesNotCoordinate(t *testing.T) {
	d := running(t)
	d.order(orders, "v2", duration)
	d.run(2 * time.Second)
	leaving := d.coordinator(orders)
	writes := metrics.GetOrRegisterCounter("rollout.document_writes", leaving.metrics)
	require.Positive(t, writes.Count())
	require.NoError(t, leaving.rollout.Drain(context.Background()))
	leaving.leaving = true
	d.run(500 * time.Millisecond)
	before := writes.Count()
	d.until("completed", func() bool { return d.everywhere(orders, service.RolloutCompleted) })
	d.run(time.Second)
	require.Equal(t, before, writes.Count())
	require.Equal(t, []service.RolloutPhase{service.RolloutRunning, service.RolloutCompleted}, d.statuses(orders, "v2"))
}

// Guards against a deployment of many instances, whose heartbeats are rare, in which a rollout goes stale or ends too late.
func TestRareHeartbeats(t *testing.T) {
	for name, failures := range map[string]float64{"good": 0, "bad": 0.3} {
		t.Run(name, func(t *testing.T) {
			d := running(t)
			d.beat, d.took = 2600*time.Millisecond, 1500*time.Millisecond
			d.run(8 * time.Second)
			d.bad["v2"] = failures
			start := d.clock.Now()
			d.order(orders, "v2", duration)
			if failures > 0 {
				d.until("rolled back", func() bool { return d.everywhere(orders, service.RolloutRolledBack) })
				require.Less(t, d.clock.Now()-start, 8*time.Second)
				return
			}
			d.run(5 * time.Second)
			for _, i := range d.instances {
				by := func(id entity.InstanceID) bool { return id == i.id }
				require.Positive(t, d.count(orders, "v2", d.clock.Now()-2*time.Second, d.clock.Now(), by), "%s is stale", i.id)
			}
			d.until("completed", func() bool { return d.everywhere(orders, service.RolloutCompleted) })
			require.LessOrEqual(t, d.clock.Now()-start, duration)
		})
	}
}

// Guards against a bad version that keeps its requests because the rollback cannot be written, and against a rollback that is lost.
func TestRollbackIsAppliedBeforeItIsWritten(t *testing.T) {
	d := running(t)
	d.order(orders, "v2", duration)
	d.run(2 * time.Second)
	d.store.set(func() { d.store.unavailable = true })
	for _, i := range d.instances {
		d.deliver(i, service.StoreOutage{Unavailable: true, At: d.clock.Now()})
	}
	d.run(4 * time.Second)
	require.True(t, d.everywhere(orders, service.RolloutRunning))
	before := d.clock.Now()
	require.Positive(t, d.count(orders, "v2", before-time.Second, before, nil), "the phase stays while the store is unavailable")
	d.bad["v2"] = 0.5
	d.until("rolled back", func() bool { return d.everywhere(orders, service.RolloutRolledBack) })
	require.Less(t, d.clock.Now()-before, 3*time.Second)
	require.Equal(t, []service.RolloutPhase{service.RolloutRunning}, d.statuses(orders, "v2"))
	d.store.set(func() { d.store.unavailable = false })
	d.run(3 * time.Second)
	require.Equal(t, []service.RolloutPhase{service.RolloutRunning, service.RolloutRolledBack}, d.statuses(orders, "v2"))
	require.True(t, d.everywhere(orders, service.RolloutRolledBack))
}

// Guards against requests to a new version whose rollout no instance could write: instances would not agree on it.
func TestNothingIsSentBeforeTheDocumentIsWritten(t *testing.T) {
	d := running(t)
	d.order(orders, "v2", duration)
	d.run(50 * time.Millisecond)
	d.store.set(func() { d.store.unavailable = true })
	start := d.clock.Now()
	for _, i := range d.instances {
		d.deliver(i, service.RolloutsOrdered{Orders: d.orders, At: start})
	}
	d.run(3 * time.Second)
	require.Zero(t, d.count(orders, "v2", start+step, d.clock.Now(), nil))
}

// Guards against an isolated zone that sends to a new version which the rest may have found bad, and against a rest that stops.
func TestIsolatedZoneStopsSendingToTheNewVersion(t *testing.T) {
	d := running(t)
	d.start(share) // a third instance in the zone that stays reachable
	d.run(time.Second)
	d.order(orders, "v2", 20*time.Second)
	d.run(2 * time.Second)
	d.isolated["b"] = true
	cut := d.clock.Now()
	d.store.set(func() { d.store.unavailable = true }) // the isolated zone would read the state from the store otherwise
	d.run(5 * time.Second)
	inZone := func(id entity.InstanceID) bool { return id == "i1" || id == "i3" }
	require.Zero(t, d.count(orders, "v2", cut+3*time.Second+2*step, d.clock.Now(), inZone))
	require.Positive(t, d.count(orders, "v2", cut+4*time.Second, d.clock.Now(), func(id entity.InstanceID) bool { return !inZone(id) }))
	d.isolated["b"] = false
	d.run(time.Second)
	require.Positive(t, d.count(orders, "v2", d.clock.Now()-500*time.Millisecond, d.clock.Now(), inZone))
}

// Guards against an order that stays in force after it was withdrawn.
func TestWithdrawnOrderIsRolledBack(t *testing.T) {
	d := running(t)
	d.order(orders, "v2", duration)
	d.run(3 * time.Second)
	delete(d.orders, orders)
	d.until("rolled back", func() bool { return d.everywhere(orders, service.RolloutRolledBack) })
	stopped := d.clock.Now()
	d.run(5 * time.Second)
	require.Zero(t, d.count(orders, "v2", stopped+step, d.clock.Now(), nil))
	require.Equal(t, []service.RolloutPhase{service.RolloutRunning, service.RolloutRolledBack}, d.statuses(orders, "v2"))
	d.order(orders, "v2", duration)
	d.run(3 * time.Second)
	require.True(t, d.everywhere(orders, service.RolloutRolledBack), "a rollout does not return to an earlier phase")
}

// Guards against a version that keeps its requests after another one was ordered, and against a second order that does not start.
func TestReplacedOrderIsRolledBack(t *testing.T) {
	d := running(t)
	d.order(orders, "v2", duration)
	d.run(3 * time.Second)
	d.list(orders, "v3", 6)
	d.order(orders, "v3", duration)
	replaced := d.clock.Now()
	d.until("completed", func() bool { return d.everywhere(orders, service.RolloutCompleted) })
	require.LessOrEqual(t, d.clock.Now()-replaced, duration)
	require.Zero(t, d.count(orders, "v2", replaced+500*time.Millisecond, d.clock.Now(), nil))
	require.Equal(t, []service.RolloutPhase{service.RolloutRunning, service.RolloutRolledBack}, d.statuses(orders, "v2"))
	require.Equal(t, []service.RolloutPhase{service.RolloutRunning, service.RolloutCompleted}, d.statuses(orders, "v3"))
}

// Guards against a rollout that affects that of another service.
func TestTwoOrdersAreIndependent(t *testing.T) {
	const mail entity.ServiceName = "mail"
	d := newDeployment(t, 4)
	d.services = append(d.services, withName(mail))
	for _, name := range []entity.ServiceName{orders, mail} {
		d.list(name, "v1", 4)
	}
	d.run(3 * time.Second)
	d.list(orders, "v2", 4)
	d.list(mail, "v9", 4)
	d.bad["v9"] = 0.3
	d.order(orders, "v2", duration)
	d.order(mail, "v9", duration)
	d.until("bad version rolled back", func() bool { return d.everywhere(mail, service.RolloutRolledBack) })
	d.until("good version completed", func() bool { return d.everywhere(orders, service.RolloutCompleted) })
	require.True(t, d.everywhere(mail, service.RolloutRolledBack))
}

// Guards against a record that stays in the document, or requests that are limited, after the service was removed.
func TestUnconfiguredServiceDropsItsOrder(t *testing.T) {
	d := running(t)
	d.order(orders, "v2", duration)
	d.run(2 * time.Second)
	d.services = d.services[1:]
	d.publish()
	d.run(2 * time.Second)
	for _, i := range d.instances {
		require.Empty(t, i.rollout.RolloutView().Services)
	}
	d.store.set(func() { require.NotContains(t, string(d.store.value), "v2") })
}

// Guards against requests that fail because only the new version has backends.
func TestNewVersionServesWhenTheOldOneIsGone(t *testing.T) {
	d := running(t)
	start := d.clock.Now()
	d.order(orders, "v2", duration)
	d.run(3 * time.Second)
	d.unlist("v1")
	gone := d.clock.Now()
	d.until("completed", func() bool { return d.everywhere(orders, service.RolloutCompleted) })
	require.LessOrEqual(t, d.clock.Now()-start, duration)
	require.Positive(t, d.count(orders, "v2", gone, gone+time.Second, nil))
}

// Guards against a switch to a version that has too few backends for the load.
func TestTooFewBackendsAreRolledBack(t *testing.T) {
	d := newDeployment(t, 4)
	d.list(orders, "v1", 6)
	d.list(orders, "v2", 2)
	d.run(3 * time.Second)
	start := d.clock.Now()
	d.order(orders, "v2", duration)
	d.until("rolled back", func() bool { return d.everywhere(orders, service.RolloutRolledBack) })
	require.InDelta(t, (duration - 1500*time.Millisecond).Seconds(), (d.clock.Now() - start).Seconds(), 0.5)
}

// Guards against an operator who is not told the result because the coordinator ended before it could write the status.
func TestSuccessorWritesAMissingStatus(t *testing.T) {
	d := running(t)
	d.store.set(func() { d.store.noStatus = true })
	d.order(orders, "v2", duration)
	d.run(2 * time.Second)
	require.Empty(t, d.statuses(orders, "v2"))
	d.end(d.coordinator(orders))
	d.store.set(func() { d.store.noStatus = false })
	d.run(3 * time.Second)
	require.Equal(t, []service.RolloutPhase{service.RolloutRunning}, d.statuses(orders, "v2"))
}

// Guards against old backends that stop while keys or requests are still there, and against more requests to keys of new owners than
// the exposure limit allows.
func TestPartitionedServiceWaitsForItsKeys(t *testing.T) {
	d := newDeployment(t, 4)
	d.rate = 6
	d.list(stock, "v1", 9)
	d.run(3 * time.Second)
	d.list(stock, "v2", 5) // owners of a third of the keys
	start := d.clock.Now()
	d.order(stock, "v2", duration)
	d.run(7 * time.Second)
	newer := d.count(stock, "v2", start, d.clock.Now(), nil)
	older := d.count(stock, "v1", start, d.clock.Now(), nil)
	require.LessOrEqual(t, float64(newer), share*float64(newer+older)+slack)
	require.Greater(t, float64(newer), 0.8*share*float64(newer+older))
	require.Positive(t, d.refused)
	d.until("switching", func() bool { return d.everywhere(stock, service.RolloutSwitching) })
	d.unlist("v1") // the keys have moved
	d.run(3 * time.Second)
	require.True(t, d.everywhere(stock, service.RolloutSwitching), "keys has not reported that the ranges have moved")
	for _, i := range d.instances {
		d.deliver(i, service.RolloutKeysMoved{Service: stock, To: "v2", Done: true})
	}
	d.until("completed", func() bool { return d.everywhere(stock, service.RolloutCompleted) })
	require.LessOrEqual(t, d.clock.Now()-start, duration)
}

// Guards against a completion while a request is in progress at an old backend, here one that was sent before the order was seen, by
// the coordinator or by another instance.
func TestRequestInProgressPreventsTheCompletion(t *testing.T) {
	for i := range 4 {
		d := running(t)
		start := d.clock.Now()
		d.send(d.instances[i], orders, d.backends[0], start, duration-time.Second)
		d.order(orders, "v2", duration)
		d.until("completed", func() bool { return d.everywhere(orders, service.RolloutCompleted) })
		require.GreaterOrEqual(t, d.clock.Now()-start, duration-time.Second)
		require.LessOrEqual(t, d.clock.Now()-start, duration)
	}
}

// Guards against an instance that goes on sending to a version that is bad for its own requests until the coordinator knows it, and
// against one that was wrong and holds up the switch.
func TestInstanceStopsByItsOwnRequests(t *testing.T) {
	d := running(t)
	coordinator := d.coordinator(orders).id
	for _, i := range d.instances {
		if i.id != coordinator {
			d.badAt = i.id
		}
	}
	d.noCounts, d.rate = true, 6
	d.bad["v2"] = 0.6
	d.order(orders, "v2", 20*time.Second)
	affected := func(id entity.InstanceID) bool { return id == d.badAt }
	var tripped *instance
	for _, i := range d.instances {
		if affected(i.id) {
			tripped = i
		}
	}
	d.run(time.Second)
	d.until("own verdict", func() bool { return tripped.rollout.RolloutView().Services[orders].Share == 0 })
	stopped := d.clock.Now()
	d.run(2400 * time.Millisecond)
	require.True(t, d.everywhere(orders, service.RolloutRunning), "the coordinator knows nothing of the failures")
	require.Zero(t, d.count(orders, "v2", stopped+step, d.clock.Now(), affected))
	require.Positive(t, d.count(orders, "v2", stopped+step, d.clock.Now(), func(id entity.InstanceID) bool { return !affected(id) }))
	d.bad["v2"] = 0
	d.until("completed", func() bool { return d.everywhere(orders, service.RolloutCompleted) })
	require.Positive(t, d.count(orders, "v2", stopped, d.clock.Now(), affected), "the coordinator keeps to the version")
}

// Guards against an instance that starts and sends requests to a version that was rolled back before.
func TestStartingInstanceReadsTheDocumentFirst(t *testing.T) {
	d := running(t)
	d.bad["v2"] = 0.5
	d.order(orders, "v2", duration)
	d.until("rolled back", func() bool { return d.everywhere(orders, service.RolloutRolledBack) })
	for _, i := range d.instances {
		d.end(i)
	}
	d.run(time.Second)
	started := d.clock.Now()
	d.start(share)
	d.run(4 * time.Second)
	require.True(t, d.everywhere(orders, service.RolloutRolledBack))
	require.Zero(t, d.count(orders, "v2", started+2*step, d.clock.Now(), nil))
}

// Guards against any effect where the platform knows no rollouts.
func TestNothingHappensWithoutTheFeature(t *testing.T) {
	d := newDeployment(t, 0)
	i := d.start(0)
	d.list(orders, "v1", 2)
	d.order(orders, "v1", duration)
	d.run(3 * time.Second)
	require.Zero(t, d.store.calls)
	require.Nil(t, i.rollout.RolloutReport(d.clock.Now()))
	require.Empty(t, i.rollout.RolloutView().Services)
	require.True(t, i.rollout.MayUseOwner(orders, d.backends[0], d.clock.Now()))
}
