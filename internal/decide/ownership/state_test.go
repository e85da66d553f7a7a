package ownership_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

type logRecord struct {
	stamp  ownership.Stamp
	record ownership.Record
}

const testService = entity.ServiceName("stock")

// genLog draws a log of records that are mostly based on the current state and sometimes on an older one. Some records are
// duplicates of earlier appends.
func genLog(t *rapid.T) []logRecord {
	state := ownership.New()
	log := []logRecord{{}} // offset 0 is dropped
	state.Skip(0)
	sequences := map[entity.InstanceID]uint64{}
	views := []*ownership.View{state.View()}
	for range rapid.IntRange(1, 120).Draw(t, "records") {
		if len(log) > 1 && rapid.IntRange(0, 9).Draw(t, "repeat") == 0 {
			log = append(log, log[rapid.IntRange(1, len(log)-1).Draw(t, "which")])
		} else {
			view := views[len(views)-1]
			if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
				view = views[rapid.IntRange(0, len(views)-1).Draw(t, "view")]
			}
			writer := entity.InstanceID(rapid.SampledFrom([]string{"i1", "i2", "i3", "i4"}).Draw(t, "writer"))
			sequences[writer]++
			stamp := ownership.Stamp{Writer: writer, Sequence: sequences[writer]}
			log = append(log, logRecord{stamp, genRecord(t, view, writer)})
		}
		last := log[len(log)-1]
		state.Apply(entity.Offset(len(log)-1), last.stamp, last.record)
		views = append(views, state.View())
	}
	return log
}

func genRecord(t *rapid.T, v *ownership.View, writer entity.InstanceID) ownership.Record {
	zone := entity.Zone(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"))
	from := entity.Zone(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "from"))
	group := ownership.GroupKey{Zone: zone}
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return ownership.Join{Version: v.GroupVersions[group], Member: ownership.Member{ID: writer, Zone: zone}}
	case 1:
		return ownership.Leave{Group: group, Version: v.GroupVersions[group], Instance: writer}
	case 2:
		return ownership.ZoneLost{Zone: zone, From: from, Version: v.ZonesVersion}
	case 3:
		return ownership.ZoneBack{Zone: zone, From: from, Version: v.ZonesVersion}
	case 4:
		next := rapid.Uint32Range(0, 1000).Draw(t, "share")
		return ownership.Shares{Customer: "c1", Version: v.ShareVersions["c1"],
			Current: []ownership.ZoneShare{{Zone: "a", Share: 500}, {Zone: "b", Share: 500}},
			Next:    []ownership.ZoneShare{{Zone: "a", Share: next}, {Zone: "b", Share: 1000 - next}}}
	case 5:
		return ownership.SharesSettled{Customer: "c1", Version: v.ShareVersions["c1"]}
	case 6:
		return genHotKeys(t, v)
	case 7:
		return genRelease(t, v)
	default:
		return genMove(t, v)
	}
}

func version(v *ownership.View) entity.Epoch {
	if s := v.Services[testService]; s != nil {
		return s.Version
	}
	return 0
}

func genMove(t *rapid.T, v *ownership.View) ownership.Record {
	move := ownership.Move{Service: testService, Version: version(v), Count: 4}
	p := rapid.Uint32Range(0, 6).Draw(t, "partition")
	to := rapid.SampledFrom([]string{"b1", "b2", "b3", string(ownership.NoBackend)}).Draw(t, "to")
	move.Steps = []ownership.MoveStep{{Partition: entity.Partition(p), To: entity.BackendID(to)}}
	if rapid.Bool().Draw(t, "down") {
		move.Down = []entity.BackendID{"b3"}
		keep := rapid.Uint32Range(1, ownership.FullShare).Draw(t, "keep")
		move.Slow = []ownership.SlowMark{{Backend: "b2", Keep: keep}}
	}
	return move
}

func genRelease(t *rapid.T, v *ownership.View) ownership.Record {
	release := ownership.Release{Service: testService}
	if s := v.Services[testService]; s != nil {
		for p, owner := range s.Owners {
			wrong := rapid.IntRange(0, 4).Draw(t, "wrong") == 0
			if owner.Moving() != wrong && rapid.Bool().Draw(t, "release") {
				step := ownership.ReleaseStep{Partition: entity.Partition(p), Epoch: owner.Epoch}
				release.Steps = append(release.Steps, step)
			}
		}
	}
	return release
}

func genHotKeys(t *rapid.T, v *ownership.View) ownership.Record {
	hash := entity.KeyHash(rapid.Uint64Range(0, 7).Draw(t, "hash"))
	r := ownership.HotKeys{Service: testService, Version: version(v)}
	if rapid.Bool().Draw(t, "add") {
		r.Add = []entity.KeyHash{hash}
	} else {
		r.Remove = []entity.KeyHash{hash}
	}
	return r
}

func replay(s *ownership.State, log []logRecord) {
	for i := int(s.Next()); i < len(log); i++ {
		s.Apply(entity.Offset(i), log[i].stamp, log[i].record)
	}
}

// Guards against replicas that diverge after replaying the same log, and against a checkpoint that omits a part of the state.
func TestReplicasAgreeAndCheckpointsAreComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := genLog(t)
		reference, other := ownership.New(), ownership.New()
		replay(reference, log)
		cut := rapid.IntRange(0, len(log)).Draw(t, "cut")
		replay(other, log[:cut])
		other.View() // publishing a view must not affect later replay
		restored, err := ownership.Restore(other.Chunks())
		require.NoError(t, err)
		replay(other, log)
		replay(restored, log)
		require.Equal(t, reference.Chunks(), other.Chunks())
		require.Equal(t, reference.Chunks(), restored.Chunks())
		require.Equal(t, reference.View(), restored.View())
	})
}

// Guards against two owners of a partition: an owner may change only by a Release after a Move, to the target of the move and
// with a higher epoch. Also guards against views that change after publication and against shares above ShareTotal.
func TestOwnersChangeOnlyByRelease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := genLog(t)
		state := ownership.New()
		before := state.View()
		for i, entry := range log {
			verdict := state.Apply(entity.Offset(i), entry.stamp, entry.record)
			after := state.View()
			if !verdict.Applied {
				before.Offset = after.Offset
				require.Equal(t, before, after, "a dropped record changed the state")
			}
			checkOwners(t, before.Services[testService], after.Services[testService], entry.record)
			checkShares(t, after)
			before = after
		}
	})
}

func checkOwners(t require.TestingT, before, after *ownership.ServiceView, r ownership.Record) {
	if before == nil || after == nil {
		return
	}
	_, hotKeys := r.(ownership.HotKeys)
	release, _ := r.(ownership.Release)
	for p := range min(len(before.Owners), len(after.Owners)) {
		was, is := before.Owners[p], after.Owners[p]
		if was.Epoch == is.Epoch {
			require.Equal(t, was.Backend, is.Backend)
			continue
		}
		if hotKeys && uint32(p) >= after.Count {
			continue
		}
		require.Greater(t, is.Epoch, was.Epoch)
		if was.Backend == "" {
			continue
		}
		require.True(t, was.Moving(), "owner of %d changed without a move", p)
		require.Contains(t, release.Steps, ownership.ReleaseStep{Partition: entity.Partition(p), Epoch: was.Epoch})
		require.Contains(t, []entity.BackendID{is.Backend, ownership.NoBackend}, was.To)
	}
	for hash := range entity.KeyHash(8) {
		// The owner of a key does not change when the key becomes hot or stops being hot.
		was, is := before.Owners[before.Locate(hash)], after.Owners[after.Locate(hash)]
		if hotKeys {
			require.Equal(t, was.Backend, is.Backend)
			require.Equal(t, was.To, is.To)
		}
	}
}

func checkShares(t require.TestingT, v *ownership.View) {
	for customer, shares := range v.ZoneShares {
		sum := uint32(0)
		for zone, share := range shares {
			sum += share
			if pending, moving := v.PendingShares[customer]; moving {
				require.LessOrEqual(t, share, pending[zone])
			}
		}
		if _, moving := v.PendingShares[customer]; moving {
			require.LessOrEqual(t, sum, uint32(ownership.ShareTotal))
			continue
		}
		require.Equal(t, uint32(ownership.ShareTotal), sum)
	}
}

// Guards against two records based on the same version that both take effect.
func TestOneOfSeveralRacingWritersWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		racers := rapid.IntRange(2, 6).Draw(t, "racers")
		state := ownership.New()
		state.Skip(0)
		wins := map[string]int{}
		offset := entity.Offset(1)
		order := make([]int, racers*3)
		for i := range order {
			order[i] = i
		}
		for _, i := range rapid.Permutation(order).Draw(t, "order") {
			writer := entity.InstanceID(fmt.Sprintf("i%d", i))
			kind, record := racingRecord(i, writer)
			if state.Apply(offset, ownership.Stamp{Writer: writer, Sequence: 1}, record).Applied {
				wins[kind]++
			}
			offset++
		}
		require.Equal(t, map[string]int{"move": 1, "join": 1, "zone": 1}, wins)
	})
}

func racingRecord(i int, writer entity.InstanceID) (string, ownership.Record) {
	switch i % 3 {
	case 0:
		steps := []ownership.MoveStep{{Partition: 0, To: entity.BackendID(writer)}}
		return "move", ownership.Move{Service: testService, Count: 4, Steps: steps}
	case 1:
		return "join", ownership.Join{Member: ownership.Member{ID: writer, Zone: "a"}}
	default:
		return "zone", ownership.ZoneLost{Zone: "b", Confirmed: true}
	}
}

// Guards against a zone that is declared lost by the vote of a single zone, and against a lost zone that never recovers.
func TestZoneIsLostByMajority(t *testing.T) {
	state := ownership.New()
	offset := entity.Offset(0)
	apply := func(r ownership.Record) bool {
		stamp := ownership.Stamp{Writer: "w", Sequence: uint64(offset + 1)}
		applied := state.Apply(offset, stamp, r).Applied
		offset++
		return applied
	}
	apply(ownership.Release{})
	for _, zone := range []entity.Zone{"a", "b", "c"} {
		require.True(t, apply(ownership.Join{Member: ownership.Member{ID: entity.InstanceID("i" + zone), Zone: zone}}))
	}
	require.False(t, apply(ownership.ZoneLost{Zone: "c", From: "c"}), "a zone cannot vote on itself")
	require.True(t, apply(ownership.ZoneLost{Zone: "c", From: "a"}))
	require.Empty(t, state.View().LostZones)
	require.False(t, apply(ownership.ZoneLost{Zone: "c", From: "b"}), "based on the version before the first vote")
	require.True(t, apply(ownership.ZoneLost{Zone: "c", From: "b", Version: state.View().ZonesVersion}))
	require.Contains(t, state.View().LostZones, entity.Zone("c"))
	require.True(t, apply(ownership.ZoneBack{Zone: "c", From: "c", Version: state.View().ZonesVersion}))
	require.Empty(t, state.View().LostZones)
}

// Guards against an undetected gap in the stream, and against a state that grows with the number of writers that ever appended.
func TestGapIsDetectedAndWritersAreBounded(t *testing.T) {
	state := ownership.New()
	require.Equal(t, ownership.DropGap, state.Apply(1, ownership.Stamp{Writer: "w", Sequence: 1}, ownership.Release{}).Reason)
	require.Zero(t, state.Next())
	for i := range entity.Offset(2000) {
		writer := entity.InstanceID(fmt.Sprintf("w%d", i))
		state.Apply(i, ownership.Stamp{Writer: writer, Sequence: 1}, ownership.Release{})
	}
	require.Less(t, len(state.Chunks()[0].Writers), 300)
	last := ownership.Stamp{Writer: "w1999", Sequence: 1}
	require.Equal(t, ownership.DropRepeated, state.Apply(2000, last, ownership.Release{}).Reason)
}

// Guards against the release proof for an earlier assignment that releases a later assignment of the same partition.
func TestReleaseOfAnEarlierEpochIsDropped(t *testing.T) {
	state := ownership.New()
	state.Skip(0)
	move := func(to entity.BackendID) ownership.Record {
		steps := []ownership.MoveStep{{Partition: 0, To: to}}
		return ownership.Move{Service: testService, Version: version(state.View()), Count: 1, Steps: steps}
	}
	release := func(epoch entity.Epoch) ownership.Record {
		return ownership.Release{Service: testService, Steps: []ownership.ReleaseStep{{Partition: 0, Epoch: epoch}}}
	}
	apply := func(r ownership.Record) ownership.Verdict {
		offset := state.Next()
		return state.Apply(offset, ownership.Stamp{Writer: "w", Sequence: uint64(offset)}, r)
	}
	require.True(t, apply(move("b1")).Applied)
	require.True(t, apply(move("b2")).Applied)
	require.True(t, apply(release(1)).Applied)
	require.True(t, apply(move("b1")).Applied)
	require.Equal(t, ownership.DropEpoch, apply(release(1)).Reason)
	require.Equal(t, ownership.Owner{Backend: "b2", Epoch: 3, To: "b1"}, state.View().Services[testService].Owners[0])
}
