package placement_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/decide/placement"
	"github.com/pollenpier/pollenpier/internal/entity"
)

func backends(count int) []placement.Backend {
	list := make([]placement.Backend, count)
	for i := range list {
		zone := entity.Zone(fmt.Sprintf("z%d", i%3))
		list[i] = placement.Backend{ID: entity.BackendID(fmt.Sprintf("b%05d", i)), Zone: zone, Slots: 2 + i%3, Rate: -1}
	}
	return list
}

// stabilize applies proposals together with their releases until there are none left. It returns the number of moves of owned
// partitions and the number of steps.
func stabilize(t testing.TB, in *placement.Input) (churn, steps int) {
	epoch := entity.Epoch(1)
	for steps < 1000 {
		moves := placement.Propose(*in, placement.DefaultSettings())
		if len(moves) == 0 {
			return churn, steps
		}
		steps++
		for _, m := range moves {
			if in.Owners[m.Partition].Backend != "" {
				churn++
			}
			epoch++
			in.Owners[m.Partition] = ownership.Owner{Backend: m.To, Epoch: epoch}
		}
	}
	t.Fatal("the placement does not stabilize")
	return 0, 0
}

// imbalance returns the highest load per slot of an active backend relative to the mean. All partitions have the same weight.
func imbalance(list []placement.Backend, owners []ownership.Owner) float64 {
	counts := map[entity.BackendID]int{}
	for _, o := range owners {
		counts[o.Backend]++
	}
	slots, worst := 0, 0.0
	for _, b := range list {
		if b.State == placement.Active {
			slots += b.Slots
		}
	}
	mean := float64(len(owners)) / float64(slots)
	for _, b := range list {
		if b.State == placement.Active {
			worst = math.Max(worst, float64(counts[b.ID])/float64(b.Slots)/mean)
		}
	}
	return worst
}

// ring is the baseline: consistent hashing with 100 points per slot, which ignores the load.
func ring(list []placement.Backend, partitions int) []ownership.Owner {
	type point struct {
		hash uint64
		id   entity.BackendID
	}
	var points []point
	for _, b := range list {
		if b.State != placement.Active {
			continue
		}
		for i := range 100 * b.Slots {
			points = append(points, point{xxhash.Sum64String(fmt.Sprint(b.ID, "/", i)), b.ID})
		}
	}
	slices.SortFunc(points, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	owners := make([]ownership.Owner, partitions)
	for p := range owners {
		hash := xxhash.Sum64String(fmt.Sprint("partition/", p))
		i, _ := slices.BinarySearchFunc(points, hash, func(q point, h uint64) int { return cmp.Compare(q.hash, h) })
		owners[p].Backend = points[i%len(points)].id
	}
	return owners
}

// Guards against a placement that is worse than the baseline: more imbalance, or many more moves, for the same seeded sequence
// of backends that are lost and recover.
func TestLessImbalanceThanConsistentHashing(t *testing.T) {
	const partitions = 256
	rng := rand.New(rand.NewPCG(1, 1))
	in := placement.Input{Backends: backends(12), Owners: make([]ownership.Owner, partitions), Count: partitions}
	stabilize(t, &in)
	base := ring(in.Backends, partitions)
	var churn, baseChurn int
	var worst, baseWorst float64
	for range 40 {
		b := &in.Backends[rng.IntN(len(in.Backends))]
		if b.State == placement.Active {
			b.State = placement.Lost
		} else {
			b.State = placement.Active
		}
		moved, _ := stabilize(t, &in)
		churn += moved
		next := ring(in.Backends, partitions)
		for p := range next {
			if next[p].Backend != base[p].Backend {
				baseChurn++
			}
		}
		base = next
		worst = math.Max(worst, imbalance(in.Backends, in.Owners))
		baseWorst = math.Max(baseWorst, imbalance(in.Backends, base))
	}
	t.Logf("worst imbalance %.2f, baseline %.2f; partitions moved %d, baseline %d", worst, baseWorst, churn, baseChurn)
	require.Less(t, worst, 1.25)
	require.Less(t, worst, baseWorst)
	require.Less(t, float64(churn), 1.3*float64(baseChurn))
}

// Guards against results that depend on the iteration order of a map.
func TestProposalsAreDeterministic(t *testing.T) {
	in := placement.Input{Backends: backends(50), Owners: ring(backends(20), 1024), Count: 1024}
	for i := range in.Backends {
		in.Backends[i].Rate = float64(i * 7 % 13)
	}
	first := placement.Propose(in, placement.DefaultSettings())
	require.NotEmpty(t, first)
	for range 20 {
		require.Equal(t, first, placement.Propose(in, placement.DefaultSettings()))
	}
}

// Guards against a cold zone that gets its full share at once, and against one that never gets it.
func TestRecoveredZoneFillsInSteps(t *testing.T) {
	in := placement.Input{Backends: backends(12), Owners: make([]ownership.Owner, 256), Count: 256}
	for i := range in.Backends {
		if in.Backends[i].Zone == "z0" {
			in.Backends[i].State = placement.Leaving
		}
	}
	stabilize(t, &in)
	for i := range in.Backends {
		in.Backends[i].State = placement.Active
	}
	counts := map[entity.BackendID]int{}
	for _, m := range placement.Propose(in, placement.DefaultSettings()) {
		counts[m.To]++
	}
	for _, b := range in.Backends {
		if b.Zone == "z0" {
			require.LessOrEqual(t, counts[b.ID], b.Slots, "first step of a cold backend")
		}
	}
	_, steps := stabilize(t, &in)
	require.Greater(t, steps, 2)
	require.Less(t, imbalance(in.Backends, in.Owners), 1.25)
}

// Guards against a drained backend that loses all partitions in one step, a lost one that does not, and moves with a small
// gain.
func TestStepsAndCosts(t *testing.T) {
	in := placement.Input{Backends: backends(12), Owners: make([]ownership.Owner, 256), Count: 256}
	stabilize(t, &in)
	require.Empty(t, placement.Propose(in, placement.DefaultSettings()))
	owned := func(id entity.BackendID) (n int) {
		for _, o := range in.Owners {
			if o.Backend == id {
				n++
			}
		}
		return n
	}
	changed := &in.Backends[2]
	changed.State = placement.Lost
	require.Len(t, placement.Propose(in, placement.DefaultSettings()), owned(changed.ID))
	changed.State = placement.Leaving
	settings := placement.DefaultSettings()
	settings.MaxMoves = 1.0 / 64
	require.Len(t, placement.Propose(in, settings), 256/64+1)
	stabilize(t, &in)
	require.Zero(t, owned(changed.ID))
	// One partition above the even load is not worth a move.
	changed.State = placement.Active
	stabilize(t, &in)
	require.Empty(t, placement.Propose(in, placement.DefaultSettings()))
}

// Guards against a hot key that stays with its overloaded owner while other backends are idle.
func TestHotKeyLeavesAnOverloadedOwner(t *testing.T) {
	in := placement.Input{Backends: backends(3), Owners: make([]ownership.Owner, 64), Count: 64}
	stabilize(t, &in)
	hot := in.Backends[0].ID
	in.Owners = append(in.Owners, ownership.Owner{Backend: hot, Epoch: 9}, ownership.Owner{Backend: hot, Epoch: 9})
	in.VirtualRate = map[entity.Partition]float64{64: 400, 65: 400}
	for i := range in.Backends {
		in.Backends[i].Rate = 100
	}
	in.Backends[0].Rate += 800
	moves := placement.Propose(in, placement.DefaultSettings())
	require.NotEmpty(t, moves)
	require.GreaterOrEqual(t, moves[0].Partition, entity.Partition(64), "the hot key moves before the others")
	require.NotEqual(t, hot, moves[0].To)
}

func BenchmarkPropose(b *testing.B) {
	for _, size := range []struct{ backends, partitions int }{{12, 256}, {1000, 16384}, {10000, 160000}} {
		list := backends(size.backends)
		for i := range list {
			list[i].Rate = float64(100 + i%17)
		}
		first := placement.Input{Backends: list, Owners: make([]ownership.Owner, size.partitions), Count: uint32(size.partitions)}
		b.Run(fmt.Sprintf("first/%d", size.backends), func(b *testing.B) {
			for b.Loop() {
				placement.Propose(first, placement.DefaultSettings())
			}
		})
		stable := placement.Input{Backends: list, Owners: ring(list, size.partitions), Count: first.Count}
		stabilize(b, &stable)
		lost := stable
		lost.Backends = slices.Clone(list)
		for i := range lost.Backends {
			if lost.Backends[i].Zone == "z0" {
				lost.Backends[i].State = placement.Lost
			}
		}
		b.Run(fmt.Sprintf("unchanged/%d", size.backends), func(b *testing.B) {
			for b.Loop() {
				placement.Propose(stable, placement.DefaultSettings())
			}
		})
		b.Run(fmt.Sprintf("zone-lost/%d", size.backends), func(b *testing.B) {
			for b.Loop() {
				placement.Propose(lost, placement.DefaultSettings())
			}
		})
	}
}
