package storesync_test

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/storesync"
)

// Guards against every instance reading the store at each change, although the zone reader has relayed it. On the enlarged
// deployments, each of 69 instances sent about one call a second.
func TestRelayedChangesAreNotReadAgain(t *testing.T) {
	var reader, other storesync.Tracker
	reader.EntriesRead(10, []byte("all"), true, time.Second)
	other.EntriesRead(10, []byte("all"), true, time.Second)
	reader.EntriesRead(14, []byte("a"), false, 2*time.Second)
	reader.EntriesRead(17, nil, false, 2500*time.Millisecond)
	reader.EntriesRead(20, []byte("b"), false, 2800*time.Millisecond)
	now := 2900 * time.Millisecond
	other.ReceiveUpdate(reader.Outgoing(now), now)
	step := other.Entries(10, now)
	require.Equal(t, storesync.Step{UpTo: 20, Records: [][]byte{[]byte("a"), []byte("b")}, At: 2800 * time.Millisecond}, step)
	other.EntriesRead(step.UpTo, []byte("ab"), false, step.At)
	require.Empty(t, other.Entries(20, now).Records, "applied twice")
	require.False(t, other.Entries(20, now).ReadStore)
	require.Equal(t, step.At, other.ReadAt())
}

// Guards against every instance reading each new configuration from the store (two thirds of the calls on a day with many
// configurations), and against skipping a read although an earlier record was not relayed.
func TestOperatorRecordsAreRelayedInOrder(t *testing.T) {
	var reader, other storesync.Tracker
	now := 2 * time.Second
	reader.EntriesRead(10, nil, true, now)
	reader.OperatorRead(4, nil, now, now)
	other.OperatorRead(4, nil, now, now)
	require.True(t, other.Operator(4, now).ReadStore, "no update received")
	other.ReceiveUpdate(reader.Outgoing(now), now)
	require.Equal(t, storesync.Step{UpTo: 4, At: now}, other.Operator(4, now))

	reader.OperatorRead(5, []byte("a"), now, now)
	reader.OperatorRead(7, []byte("b"), now, now)
	other.ReceiveUpdate(reader.Outgoing(now), now)
	step := other.Operator(4, now)
	require.Equal(t, storesync.Step{UpTo: 7, Records: [][]byte{[]byte("a"), []byte("b")}, At: now}, step)
	require.Equal(t, storesync.Step{UpTo: 7, Records: [][]byte{[]byte("b")}, At: now}, other.Operator(5, now))
	require.Equal(t, storesync.Step{ReadStore: true, Missing: 4}, other.Operator(3, now), "a record before the batches is missing")
	other.OperatorRead(step.UpTo, nil, now, now)
	require.False(t, other.Operator(7, now).ReadStore)
	require.Equal(t, storesync.Step{ReadStore: true}, other.Operator(8, now), "this instance has read further than the zone reader")

	reader.OperatorRead(8, make([]byte, 64<<10), now, now)
	other.ReceiveUpdate(reader.Outgoing(now), now)
	require.True(t, other.Operator(7, now).ReadStore, "too large for a heartbeat")
}

// Guards against one instance's hanging read of the operators' records that keeps its whole zone from reading them: its reads of the
// backend records are answered all the while.
func TestHangingReadOfTheOperatorsRecordsIsNoticed(t *testing.T) {
	var reader, other storesync.Tracker
	now := 10 * time.Second
	reader.EntriesRead(10, nil, true, now)
	reader.OperatorRead(4, nil, now, now)
	const readEvery, budget = 600 * time.Millisecond, 2 * time.Second // budget is the shortest time within which a change has to be in force
	readStoreAt := time.Duration(0)
	for at := now; at < now+10*time.Second; at += readEvery {
		reader.EntriesRead(10, nil, false, at)
		other.ReceiveUpdate(reader.Outgoing(at), at)
		if other.Operator(4, at).ReadStore {
			readStoreAt = at
			break
		}
	}
	require.Positive(t, readStoreAt, "never told to read")
	require.Less(t, readStoreAt-now, budget)
	require.Equal(t, now, reader.OperatorAt())
	reader.OperatorRead(4, nil, readStoreAt, readStoreAt)
	other.ReceiveUpdate(reader.Outgoing(readStoreAt), readStoreAt)
	require.Equal(t, storesync.Step{UpTo: 4, At: readStoreAt}, other.Operator(4, readStoreAt), "the zone reader has read again")
}

// Guards against changes that an instance never learns: those before the batches that it receives, those too large to be
// relayed, and those after the zone reader has stopped responding.
func TestChangesThatAreNotRelayedAreRead(t *testing.T) {
	fresh := func() (*storesync.Tracker, *storesync.Tracker) {
		var reader, other storesync.Tracker
		reader.EntriesRead(10, nil, true, time.Second)
		other.EntriesRead(10, nil, true, time.Second)
		return &reader, &other
	}
	now := 2100 * time.Millisecond

	reader, other := fresh()
	require.True(t, other.Entries(10, now).ReadStore, "no update received")

	reader.EntriesRead(14, []byte("a"), false, time.Second)
	reader.EntriesRead(16, []byte("b"), false, 2*time.Second)
	other.ReceiveUpdate(reader.Outgoing(now), now)
	require.True(t, other.Entries(10, now).ReadStore, "the first change is no longer relayed")
	require.False(t, other.Entries(14, now).ReadStore)
	require.True(t, other.Entries(14, now+2*time.Second).ReadStore, "the zone reader is unresponsive")

	reader, other = fresh()
	reader.EntriesRead(14, make([]byte, 64<<10), false, 2*time.Second)
	other.ReceiveUpdate(reader.Outgoing(now), now)
	require.True(t, other.Entries(10, now).ReadStore, "too large for a heartbeat")

	var started storesync.Tracker
	started.ReceiveUpdate(reader.Outgoing(now), now)
	require.True(t, started.Entries(0, now).ReadStore, "a process that has just started has no backend records")
}

// Guards against an instance that applies changes across a return of the store from an older copy: the records between its offset and
// that of the zone reader belong to two histories.
func TestChangesAcrossAnEraAreRead(t *testing.T) {
	const nextEra = 1 << 40 // see service.NewVersion
	var reader, other storesync.Tracker
	now := 2 * time.Second
	for _, tracker := range []*storesync.Tracker{&reader, &other} {
		tracker.EntriesRead(98, nil, true, now)
		tracker.OperatorRead(8, nil, now, now)
	}
	reader.EntriesRead(100, []byte("a"), false, now)
	reader.OperatorRead(9, []byte("b"), now, now)
	reader.EntriesRead(nextEra+50, []byte("all"), true, now)
	reader.OperatorRead(nextEra+4, nil, now, now)
	reader.EntriesRead(nextEra+51, []byte("c"), false, now)
	reader.OperatorRead(nextEra+5, []byte("d"), now, now)
	other.ReceiveUpdate(reader.Outgoing(now), now)
	require.True(t, other.Entries(98, now).ReadStore)
	require.True(t, other.Operator(8, now).ReadStore)
	require.Equal(t, storesync.Step{UpTo: nextEra + 51, Records: [][]byte{[]byte("c")}, At: now}, other.Entries(nextEra+50, now))
	require.Equal(t, storesync.Step{UpTo: nextEra + 5, Records: [][]byte{[]byte("d")}, At: now}, other.Operator(nextEra+4, now))

	reader.ReceiveUpdate(storesync.Update{EntriesOffset: 1000, LastChangeOffset: 1000, OperatorOffset: 1000}, now)
	require.True(t, reader.Entries(nextEra+51, now).ReadStore, "the other instance has not seen the era")
}

// Guards against instances that assume a later offset than that of the changes they have received, for any order of changes,
// reads and lost heartbeats.
func TestKnownPositionsCoverAllChanges(t *testing.T) {
	for seed := range uint64(200) {
		checked := uint64(1)
		random := rand.New(rand.NewPCG(seed, 7))
		var reader, other storesync.Tracker
		end, readerAt, otherAt := uint64(1), uint64(1), uint64(1)
		changes, readerKnows, otherKnows := map[uint64]bool{}, map[uint64]bool{}, map[uint64]bool{}
		reader.EntriesRead(1, nil, true, 0)
		other.EntriesRead(1, nil, true, 0)
		for now := 50 * time.Millisecond; now < 20*time.Second; now += 50 * time.Millisecond {
			for range random.IntN(4) {
				changes[end] = random.IntN(5) == 0
				end++
			}
			if random.IntN(12) == 0 {
				raw := changesBetween(changes, readerAt, end, readerKnows)
				reader.EntriesRead(end, raw, false, now)
				readerAt = end
			}
			if random.IntN(3) == 0 {
				other.ReceiveUpdate(reader.Outgoing(now), now)
			}
			step := other.Entries(otherAt, now)
			if step.ReadStore {
				raw := changesBetween(changes, otherAt, end, otherKnows)
				other.EntriesRead(end, raw, false, now)
				otherAt = end
				continue
			}
			for _, raw := range step.Records {
				for ; len(raw) > 0; raw = raw[positionBytes:] {
					otherKnows[uint64(binary.BigEndian.Uint32(raw))] = true
				}
			}
			otherAt = step.UpTo
			for ; checked < otherAt; checked++ {
				known := !changes[checked] || otherKnows[checked]
				require.True(t, known, "seed %d: change %d is not known at %v", seed, checked, now)
			}
		}
	}
}

// positionBytes is the size of an encoded offset.
const positionBytes = 4

// changesBetween returns the changes in a range of the log, positionBytes each, and records them as known.
func changesBetween(changes map[uint64]bool, from, to uint64, known map[uint64]bool) []byte {
	var raw []byte
	for p := from; p < to; p++ {
		if changes[p] {
			raw = binary.BigEndian.AppendUint32(raw, uint32(p))
			known[p] = true
		}
	}
	return raw
}
