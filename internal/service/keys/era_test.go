package keys_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
)

// storeCopy is the content of a store at one time.
type storeCopy struct {
	value   []byte
	version service.Version
}

func (m *memoryStore) copy() storeCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return storeCopy{m.value, m.version}
}

func (m *memoryStore) isOutdated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.outdated
}

// returnFrom makes the store return from an older copy in the next era, which it returns.
func (m *memoryStore) returnFrom(c storeCopy) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	era := m.version.Era() + 1
	m.value, m.version, m.outdated = c.value, service.NewVersion(era, c.version.Offset()), true
	return era
}

// eras is a deployment of the backends e1 and e2 whose store returns from a copy that was taken when both owned keys.
type eras struct {
	*harness
	clock   *kernel.ManualClock
	targets *backends
	store   *memoryStore
	copy    storeCopy
}

// newEras starts an instance, moves the keys of e1 to e2 after the copy was taken, and back.
func newEras(t *testing.T) *eras {
	t.Helper()
	d := &eras{clock: kernel.NewManualClock(), store: &memoryStore{}}
	d.targets = &backends{clock: d.clock}
	d.harness = newHarnessWithClock(t, "one", d.store, d.targets, d.clock)
	d.list(backend("e1", ownerAddress, 1), backend("e2", otherAddress, 1))
	advanceUntil(t, d.clock, 30*time.Second, func() bool {
		return min(len(d.targets.grantsAt(ownerAddress, 0, 0)), len(d.targets.grantsAt(otherAddress, 0, 0))) >= rangesPerBackend
	})
	d.copy = d.store.copy()
	moved := d.targets.count()
	leaving := backend("e1", ownerAddress, 1)
	leaving.Draining = true
	d.list(leaving, backend("e2", otherAddress, 1))
	advanceUntil(t, d.clock, 5*time.Second, func() bool {
		return len(overlapping(d.targets.grantsAt(otherAddress, moved, 0), d.targets.grantsAt(ownerAddress, 0, 0))) >= rangesPerBackend
	})
	return d
}

// waitOwned waits until the published table assigns every key under a fence that was granted at most limit from now on.
func (d *eras) waitOwned(h *harness, limit time.Duration) {
	d.t.Helper()
	advanceUntil(d.t, d.clock, limit, func() bool {
		view := h.keys.KeyView()
		if view.State == nil || view.Version.Era() != d.store.copy().version.Era() {
			return false
		}
		table, ok := view.State.Table(testService)
		if !ok || len(table.Ranges) == 0 {
			return false
		}
		for _, r := range table.Ranges {
			if !r.Granted && !view.Granted[r.Fence] {
				return false
			}
		}
		return true
	})
}

// requireOneOwner replays the commands as the backends execute them, and requires that no key has two owners at any moment, that no
// fence is granted to two backends, and that backends are told to drop or release keys before others get them.
func (d *eras) requireOneOwner() {
	d.t.Helper()
	type grant struct {
		sentCommand

		until time.Duration
	}
	var valid []grant
	owners := map[uint64]string{}
	for _, c := range d.targets.since(0) {
		kept := valid[:0]
		for _, g := range valid {
			overlaps := g.From <= c.To && c.From <= g.To
			switch {
			case c.at >= g.until:
			case c.Kind == keyrange.KindRelease && c.address == g.address && overlaps && g.Fence < c.Fence:
			default:
				kept = append(kept, g)
				if c.Kind == keyrange.KindGrant && overlaps {
					require.Equal(d.t, g.address, c.address, "two owners: %+v is valid until %v when %+v arrives", g.sentCommand, g.until, c)
				}
			}
		}
		valid = kept
		if c.Kind != keyrange.KindGrant {
			continue
		}
		if owner, ok := owners[c.Fence]; ok {
			require.Equal(d.t, owner, c.address, "fence %d is assigned twice", c.Fence)
		}
		owners[c.Fence] = c.address
		valid = append(valid, grant{c, c.at + c.TTL})
	}
}

// grantedFences returns the address that was granted each fence.
func (d *eras) grantedFences() map[uint64]string {
	granted := map[uint64]string{}
	for _, c := range d.targets.since(0) {
		if c.Kind == keyrange.KindGrant {
			granted[c.Fence] = c.address
		}
	}
	return granted
}

// highestFence returns the largest fence that a backend has been granted.
func (d *eras) highestFence() uint64 {
	return slices.Max(slices.Collect(maps.Keys(d.grantedFences())))
}

// Guards against a coordinator that goes back to the table in an older copy of the store: keys would return to their previous owners
// and fences would be assigned again.
func TestCoordinatorWritesItsTableAgainInALaterEra(t *testing.T) {
	d := newEras(t)
	for range 2 { // the store goes back twice
		granted, highest, before := d.grantedFences(), d.highestFence(), d.targets.count()
		lost := d.keys.KeyView().State
		d.deliver(service.StoreEraChanged{Era: d.store.returnFrom(d.copy)})
		d.waitOwned(d.harness, 3*time.Second)
		require.Equal(t, lost.Term, d.keys.KeyView().State.Term, "the coordinator stays")
		advanceUntil(t, d.clock, 3*time.Second, func() bool { return !d.store.isOutdated() })
		d.advance(4 * time.Second)
		require.Empty(t, d.targets.grantsAt(ownerAddress, before, 0), "keys return to the owner in the copy")
		d.list(backend("e1", ownerAddress, 2), backend("e2", otherAddress, 1), backend("e3", thirdAddress, 1))
		leaving := backend("e2", otherAddress, 1)
		leaving.Draining = true
		d.list(backend("e3", thirdAddress, 1), leaving)
		next := d.targets.count()
		advanceUntil(t, d.clock, 10*time.Second, func() bool { return len(d.targets.grantsAt(thirdAddress, next, 0)) > 0 })
		for _, g := range d.targets.grantsAt(thirdAddress, next, 0) {
			require.True(t, granted[g.Fence] == thirdAddress || g.Fence > highest, "fence %d is assigned again", g.Fence)
		}
		back := backend("e2", otherAddress, 1)
		d.list(back, backend("e3", thirdAddress, 1))
		d.advance(4 * time.Second)
	}
	d.requireOneOwner()
}

const thirdAddress, fourthAddress = "10.0.0.3:1", "10.0.0.4:1"

// advance lets the given time pass.
func (d *eras) advance(by time.Duration) {
	end := d.clock.Now() + by
	advanceUntil(d.t, d.clock, by+time.Second, func() bool { return d.clock.Now() >= end })
}

// second starts another instance with the same store and backends. If follower is true it reads the table before the store returns.
func (d *eras) second(id entity.InstanceID, follower bool) *harness {
	d.t.Helper()
	h := newHarnessWithClock(d.t, id, d.store, d.targets, d.clock)
	leaving := backend("e1", ownerAddress, 1)
	leaving.Draining = true
	h.list(leaving, backend("e2", otherAddress, 1))
	if follower {
		d.heartbeatUntil(h, func() bool { return h.keys.KeyView().Version == d.keys.KeyView().Version })
	}
	return h
}

// heartbeatUntil sends an instance the heartbeats of the first one until a condition holds.
func (d *eras) heartbeatUntil(h *harness, condition func() bool) {
	d.t.Helper()
	advanceUntil(d.t, d.clock, 5*time.Second, func() bool {
		view := d.keys.KeyView()
		h.deliver(service.PeerHeartbeat{Instance: "one", Zone: "a", Coordinator: view.Coordinator, StoreReachable: true,
			TableVersion: view.Version, At: d.clock.Now()})
		return condition()
	})
}

// Guards against an instance that routes by the table in the copy although it has a newer one, and against one that stays without the
// table that the coordinator has written again, also if it sees the new era seconds later.
func TestFollowerKeepsItsTableUntilItIsWrittenAgain(t *testing.T) {
	for name, late := range map[string]bool{"at once": false, "late": true} {
		t.Run(name, func(t *testing.T) {
			d := newEras(t)
			follower := d.second("two", true)
			fences := map[uint64]bool{}
			for _, r := range follower.keys.KeyView().State.Tables[0].Ranges {
				fences[r.Fence] = true
			}
			era := d.store.returnFrom(d.copy) // the coordinator reads the store only every 1.5 s
			if !late {
				follower.deliver(service.StoreEraChanged{Era: era})
			}
			d.heartbeatUntil(follower, func() bool {
				for _, r := range follower.keys.KeyView().State.Tables[0].Ranges {
					require.True(t, fences[r.Fence], "the table of the copy is applied")
				}
				return late || follower.keys.KeyView().Version.Era() == era
			})
			if late {
				d.advance(500 * time.Millisecond)
			}
			d.deliver(service.StoreEraChanged{Era: era})
			d.heartbeatUntil(follower, func() bool {
				view := follower.keys.KeyView()
				return view.Version == d.keys.KeyView().Version && view.Version > service.NewVersion(era, d.copy.version.Offset())
			})
			d.requireOneOwner()
		})
	}
}

// Guards against two owners and fences that are assigned twice when the coordinator has ended before it wrote its table again, and
// against keys that stay without an owner: the successor has the newest table, an older one, or only that of the copy.
func TestSuccessorInALaterEraAssignsAllKeysAgain(t *testing.T) {
	for _, name := range []string{"newest table", "older table", "started later"} {
		t.Run(name, func(t *testing.T) {
			d := newEras(t)
			var successor *harness
			if name == "newest table" {
				successor = d.second("two", true)
			}
			if name == "older table" {
				newest := d.store.copy()
				d.store.mu.Lock()
				d.store.value, d.store.version = d.copy.value, d.copy.version
				d.store.mu.Unlock()
				successor = d.second("two", false)
				advanceUntil(t, d.clock, 5*time.Second, func() bool { return successor.keys.KeyView().Version == d.copy.version })
				d.store.mu.Lock()
				d.store.value, d.store.version = newest.value, newest.version
				d.store.mu.Unlock()
			}
			era := d.store.returnFrom(d.copy)
			require.NoError(t, d.kernel.Stop(t.Context())) // the coordinator ends
			highest, before := d.highestFence(), d.targets.count()
			if name == "started later" {
				successor = d.second("two", false)
			}
			successor.deliver(service.StoreEraChanged{Era: era})
			d.waitOwned(successor, 6*time.Second)
			raised := map[string]bool{}
			for _, c := range d.targets.since(before) {
				if c.Kind == keyrange.KindGrant {
					require.Greater(t, c.Fence, highest, "a fence is assigned again")
					require.True(t, raised[ownerAddress] && raised[otherAddress], "a grant before all backends have dropped theirs")
					continue
				}
				require.Greater(t, c.Fence, highest)
				raised[c.address] = true
			}
			d.requireOneOwner()
		})
	}
}

// Guards against two owners when another instance has become coordinator and moved keys in the lost time, and the first coordinator
// has not heard of it: it must move nothing until the other's grants have expired, and then give the keys that were moved an owner.
func TestCoordinatorThatWasReplacedInTheLostTimeMovesNothing(t *testing.T) {
	for name, moves := range map[string]bool{"has moves to make": true, "has none": false} {
		t.Run(name, func(t *testing.T) {
			d := newEras(t)
			lost := &memoryStore{value: d.store.copy().value, version: d.store.copy().version}
			replacement := newHarnessWithClock(t, "two", lost, d.targets, d.clock)
			d.deliver(service.PeerHeartbeat{Instance: "two", Zone: "a", StoreReachable: true, At: d.clock.Now()})
			leaving := backend("e2", otherAddress, 1)
			leaving.Draining = true
			replacement.list(leaving, backend("e3", thirdAddress, 1))
			advanceUntil(t, d.clock, 10*time.Second, func() bool { return len(d.targets.grantsAt(thirdAddress, 0, 0)) >= rangesPerBackend })
			lost.setUnavailable(true)

			returned := d.targets.count()
			d.deliver(service.StoreEraChanged{Era: d.store.returnFrom(d.copy)})
			next := otherAddress
			d.list(backend("e2", otherAddress, 1))
			if moves {
				next = fourthAddress
				d.list(leaving, backend("e4", fourthAddress, 1))
			}
			movedBack := func() []sentCommand {
				return overlapping(d.targets.grantsAt(next, returned, 0), d.targets.grantsAt(thirdAddress, 0, 0))
			}
			d.advance(10 * time.Second)
			require.Empty(t, movedBack(), "keys are granted while another coordinator's grants may be valid")
			advanceUntil(t, d.clock, 20*time.Second, func() bool { return len(movedBack()) >= rangesPerBackend })
			d.waitOwned(d.harness, 5*time.Second)
			d.requireOneOwner()
		})
	}
}

// Guards against a coordinator that never writes its table again, or gives up its role, because a peer has ended before the store
// returned: the peer might have become coordinator, but has not.
func TestCoordinatorStaysIfNobodyHasReplacedIt(t *testing.T) {
	d := newEras(t)
	d.deliver(service.PeerHeartbeat{Instance: "two", Zone: "a", StoreReachable: true, At: d.clock.Now()})
	d.advance(3 * time.Second)
	term, before, since := d.keys.KeyView().State.Term, d.targets.count(), d.clock.Now()
	d.deliver(service.StoreEraChanged{Era: d.store.returnFrom(d.copy)})
	d.advance(10 * time.Second)
	require.True(t, d.store.isOutdated(), "a successor would rely on the table")
	for _, g := range d.targets.grantsAt(otherAddress, before, 0) {
		require.LessOrEqual(t, g.at+g.TTL, since+keyrange.TableReadTTL, "a read of the copy does not confirm the table")
	}
	advanceUntil(t, d.clock, 8*time.Second, func() bool { return !d.store.isOutdated() })
	returned := d.targets.count()
	renewed := func() bool { return len(d.targets.grantsAt(otherAddress, returned, 0)) >= 2*rangesPerBackend }
	advanceUntil(t, d.clock, 2*time.Second, renewed)
	require.Equal(t, term, d.keys.KeyView().State.Term)
	d.requireOneOwner()
}

// Guards against two owners when the record of a backend that has grants was lost with the store's writes: an instance that has never
// read it does not know the backend until it writes its record again.
func TestSuccessorWaitsForTheRecordsOfBackends(t *testing.T) {
	d := newEras(t)
	leaving := backend("e2", otherAddress, 1)
	leaving.Draining = true
	d.list(leaving, backend("e3", thirdAddress, 1)) // e3 has started after the copy was taken
	advanceUntil(t, d.clock, 10*time.Second, func() bool { return len(d.targets.grantsAt(thirdAddress, 0, 0)) >= 2*rangesPerBackend })
	d.setStoreUnavailable(true)
	successor := newHarnessWithClock(t, "two", d.store, d.targets, d.clock)
	successor.list(backend("e1", ownerAddress, 1), backend("e2", otherAddress, 1))
	d.advance(3 * time.Second)
	era := d.store.returnFrom(d.copy)
	before := d.targets.count()
	require.NoError(t, d.kernel.Stop(t.Context()))
	d.store.setUnavailable(false)
	successor.deliver(service.StoreEraChanged{Era: era})
	d.advance(2 * time.Second)
	require.Empty(t, d.targets.grantsAt(ownerAddress, before, 0))
	successor.list(backend("e1", ownerAddress, 1), backend("e2", otherAddress, 1), backend("e3", thirdAddress, 1))
	d.waitOwned(successor, 4*time.Second)
	require.NotEmpty(t, d.targets.grantsAt(ownerAddress, before, 0))
	d.requireOneOwner()
}

// Guards against two owners when a backend does not answer the successor of a coordinator that ended in a new era: no table shows
// which keys it has been granted, so none of them may be granted elsewhere before its grants have expired.
func TestSuccessorWaitsForABackendThatDoesNotAnswer(t *testing.T) {
	d := newEras(t)
	era := d.store.returnFrom(d.copy)
	require.NoError(t, d.kernel.Stop(t.Context()))
	d.targets.mu.Lock()
	d.targets.unresponsive = map[string]bool{otherAddress: true}
	d.targets.mu.Unlock()
	before := d.targets.count()
	successor := newHarnessWithClock(t, "two", d.store, d.targets, d.clock)
	successor.list(backend("e1", ownerAddress, 2), backend("e2", otherAddress, 1))
	successor.deliver(service.StoreEraChanged{Era: era})
	advanceUntil(t, d.clock, 25*time.Second, func() bool {
		return len(d.targets.grantsAt(ownerAddress, before, 0)) >= 2*rangesPerBackend
	})
	d.requireOneOwner()
}
