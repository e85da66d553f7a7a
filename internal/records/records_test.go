package records_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/records"
)

func samples() []ownership.Record {
	group := ownership.GroupKey{Zone: "a", Group: 2}
	return []ownership.Record{
		ownership.Join{Version: 3, Member: ownership.Member{ID: "i1", Zone: "a", Address: "127.0.0.1:1", Group: 2}},
		ownership.JoinRequest{Member: ownership.Member{ID: "i2", Zone: "b", Address: "127.0.0.1:2", Group: 1}},
		ownership.Leave{Group: group, Version: 4, Instance: "i1"},
		ownership.ForcedLeave{Group: group, Version: 5, Instances: []entity.InstanceID{"i1", "i2"}},
		ownership.Move{Service: "s", Version: 6, Count: 4, Steps: []ownership.MoveStep{{Partition: 3, To: "b1"}},
			Down: []entity.BackendID{"b2"}, Up: []entity.BackendID{"b3"},
			Slow: []ownership.SlowMark{{Backend: "b4", Keep: 500}}},
		ownership.Release{Service: "s", Steps: []ownership.ReleaseStep{{Partition: 3, Epoch: 6}}, WaitedVersion: 4},
		ownership.HotKeys{Service: "s", Version: 7, Add: []entity.KeyHash{1 << 63}, Remove: []entity.KeyHash{5}},
		ownership.RemoveService{Service: "s", Version: 8},
		ownership.ZoneLost{Zone: "a", From: "b", Confirmed: true, Version: 9},
		ownership.ZoneBack{Zone: "a", From: "b", Version: 10},
		ownership.Shares{Customer: "c", Version: 11, Current: []ownership.ZoneShare{{Zone: "a", Share: 1000}},
			Next: []ownership.ZoneShare{{Zone: "b", Share: 1000}}},
		ownership.SharesSettled{Customer: "c", Version: 12},
		ownership.Checkpoint{Chunk: ownership.Chunk{
			At: 13, Index: 1, Total: 2, ZonesVersion: 3,
			Members: []ownership.Member{{ID: "i1", Zone: "a", Address: "127.0.0.1:1"}},
			Groups:  []ownership.GroupVersion{{GroupKey: group, Version: 3}},
			Writers: []ownership.WriterMark{{Stamp: ownership.Stamp{Writer: "i1", Sequence: 2}, Last: 4}},
			Zones:   []ownership.ZoneMark{{Zone: "a", LostAt: 5, Votes: []ownership.ZoneVote{{From: "b", At: 6}}}},
			Shares: []ownership.ShareMark{{Customer: "c", Version: 7,
				Effective: []ownership.ZoneShare{{Zone: "a", Share: 400}},
				Pending:   []ownership.ZoneShare{{Zone: "a", Share: 1000}}}},
			Services: []ownership.ServicePart{{Name: "s", Count: 4, Version: 8, Total: 5, First: 1,
				Owners: []ownership.Owner{{Backend: "b1", Epoch: 9, To: "b2"}, {}},
				Hot:    []ownership.HotMark{{Hash: 10, Partition: 4}},
				Down:   []ownership.DownMark{{Backend: "b3", At: 11}},
				Slow:   []ownership.SlowMark{{Backend: "b4", Keep: 250}}}},
		}},
	}
}

// Guards against fields that are lost or swapped by encoding and decoding.
func TestEncodingKeepsEveryField(t *testing.T) {
	for _, record := range samples() {
		payload, err := records.Encode(record)
		require.NoError(t, err)
		decoded, err := records.Decode(payload)
		require.NoError(t, err)
		require.Equal(t, record, decoded)
	}
}

// Guards against invalid records that reach the replayed state.
func TestBadRecordsAreRefused(t *testing.T) {
	long := entity.InstanceID(strings.Repeat("x", 301))
	for _, record := range []ownership.Record{
		ownership.Join{Member: ownership.Member{Zone: "a"}},
		ownership.Join{Member: ownership.Member{ID: long, Zone: "a"}},
		ownership.Move{Service: "s", Count: 3, Steps: []ownership.MoveStep{{Partition: 1, To: "b"}}},
		ownership.Move{Service: "s", Count: 4},
		ownership.Move{Service: "s", Count: 4, Slow: []ownership.SlowMark{{Backend: "b", Keep: 0}}},
		ownership.Move{Service: "s", Count: 4, Steps: []ownership.MoveStep{{Partition: 4 + 1024, To: "b"}}},
		ownership.Move{Service: "s", Count: 4, Steps: []ownership.MoveStep{{Partition: 1}}},
		ownership.Release{Service: "s", Steps: []ownership.ReleaseStep{{Partition: 1}}},
		ownership.ZoneLost{Zone: "a"},
		ownership.Shares{Customer: "c", Next: []ownership.ZoneShare{{Zone: "a", Share: 1001}}},
		ownership.Checkpoint{Chunk: ownership.Chunk{Index: 1, Total: 1}},
	} {
		payload, err := records.Encode(record)
		require.NoError(t, err)
		_, err = records.Decode(payload)
		require.ErrorIs(t, err, records.ErrMalformed, "%#v", record)
	}
	_, err := records.Decode(nil)
	require.ErrorIs(t, err, records.ErrUnknownKind)
	_, err = records.Decode([]byte{0xff})
	require.ErrorIs(t, err, records.ErrMalformed)
	_, err = records.Decode(make([]byte, records.MaxPayload+1))
	require.ErrorIs(t, err, records.ErrTooLarge)
}

// Guards against checkpoint chunks that exceed the maximum size of a record, which long names and large numbers could
// cause.
func TestChunksOfALargeStateFitIntoRecords(t *testing.T) {
	const start = entity.Offset(1 << 62) // such offsets need many bytes
	state, err := ownership.Restore([]ownership.Chunk{{At: start, Total: 1}})
	require.NoError(t, err)
	apply := func(r ownership.Record) {
		stamp := ownership.Stamp{Writer: "w", Sequence: uint64(state.Next())}
		require.True(t, state.Apply(state.Next(), stamp, r).Applied)
	}
	for i := range 300 {
		zone := entity.Zone(fmt.Sprintf("zone-%0200d", i))
		apply(ownership.Join{Member: ownership.Member{ID: entity.InstanceID(fmt.Sprintf("i%d", i)), Zone: zone}})
	}
	for s := range 40 {
		move := ownership.Move{Service: entity.ServiceName(fmt.Sprintf("service-%d", s)), Count: 256}
		for p := range move.Count {
			to := entity.BackendID(fmt.Sprintf("backend-%d-%d", s, p))
			move.Steps = append(move.Steps, ownership.MoveStep{Partition: entity.Partition(p), To: to})
		}
		apply(move)
	}
	chunks := state.Chunks()
	require.Greater(t, len(chunks), 5)
	for _, chunk := range chunks {
		_, err := records.Encode(ownership.Checkpoint{Chunk: chunk})
		require.NoError(t, err)
	}
	encoded, err := records.EncodeState(chunks)
	require.NoError(t, err)
	decoded, err := records.DecodeState(encoded)
	require.NoError(t, err)
	restored, err := ownership.Restore(decoded)
	require.NoError(t, err)
	require.Equal(t, state.View(), restored.View())
}

// FuzzDecode guards against a payload that makes the process panic, and against records that change when they are encoded
// again.
func FuzzDecode(f *testing.F) {
	for _, record := range samples() {
		payload, err := records.Encode(record)
		require.NoError(f, err)
		f.Add(payload)
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		record, err := records.Decode(payload)
		if err != nil {
			return
		}
		state := ownership.New()
		state.Skip(0)
		state.Apply(1, ownership.Stamp{Writer: "w", Sequence: 1}, record)
		if checkpoint, ok := record.(ownership.Checkpoint); ok {
			_, _ = ownership.Restore([]ownership.Chunk{checkpoint.Chunk})
		}
		again, err := records.Encode(record)
		if err != nil {
			require.ErrorIs(t, err, records.ErrTooLarge) // the input can have a shorter encoding of its numbers
			return
		}
		decoded, err := records.Decode(again)
		require.NoError(t, err)
		require.Equal(t, record, decoded)
	})
}
