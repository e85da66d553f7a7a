package records_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/records"
)

var benchSizes = []uint32{256, 4096, 65536}

// assigned returns a state in which all partitions have owners.
func assigned(b *testing.B, count uint32) *ownership.State {
	state := ownership.New()
	state.Skip(0)
	move := ownership.Move{Service: "s", Count: count}
	for p := range count {
		to := entity.BackendID(fmt.Sprintf("backend-%d", p/16))
		move.Steps = append(move.Steps, ownership.MoveStep{Partition: entity.Partition(p), To: to})
	}
	require.True(b, state.Apply(1, ownership.Stamp{Writer: "w", Sequence: 1}, move).Applied)
	return state
}

// BenchmarkReplay decodes and applies moves and releases of one partition each and builds one view at the end, as the
// replay at the start of an instance does.
func BenchmarkReplay(b *testing.B) {
	const steps = 500
	for _, count := range benchSizes {
		payloads := encodedMoves(b, count, steps)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				state := assigned(b, count)
				b.StartTimer()
				for i, payload := range payloads {
					record, err := records.Decode(payload)
					require.NoError(b, err)
					state.Apply(entity.Offset(i+2), ownership.Stamp{Writer: "w", Sequence: uint64(i + 2)}, record)
				}
				state.View()
			}
			b.ReportMetric(float64(len(payloads)*b.N)/b.Elapsed().Seconds(), "records/s")
		})
	}
}

// encodedMoves returns encoded moves and releases that all apply, in this order, to an assigned state.
func encodedMoves(b *testing.B, count uint32, steps int) [][]byte {
	state := assigned(b, count)
	var payloads [][]byte
	add := func(record ownership.Record) {
		payload, err := records.Encode(record)
		require.NoError(b, err)
		payloads = append(payloads, payload)
		stamp := ownership.Stamp{Writer: "w", Sequence: uint64(state.Next())}
		require.True(b, state.Apply(state.Next(), stamp, record).Applied)
	}
	for i := range steps {
		view := state.View().Services["s"]
		p := entity.Partition(uint32(i) % count)
		to := entity.BackendID(fmt.Sprint("other-", i)) // never the owner before
		add(ownership.Move{Service: "s", Version: view.Version, Count: count, Steps: []ownership.MoveStep{{Partition: p, To: to}}})
		add(ownership.Release{Service: "s", Steps: []ownership.ReleaseStep{{Partition: p, Epoch: view.Owners[p].Epoch}}})
	}
	return payloads
}

// BenchmarkRestore restores a state from an encoded checkpoint.
func BenchmarkRestore(b *testing.B) {
	for _, count := range benchSizes {
		chunks := assigned(b, count).Chunks()
		encoded, err := records.EncodeState(chunks)
		require.NoError(b, err)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				decoded, err := records.DecodeState(encoded)
				require.NoError(b, err)
				state, err := ownership.Restore(decoded)
				require.NoError(b, err)
				state.View()
			}
			b.ReportMetric(float64(int(count)*b.N)/b.Elapsed().Seconds(), "partitions/s")
			b.ReportMetric(float64(len(encoded)), "bytes")
			b.ReportMetric(float64(len(chunks)*b.N)/b.Elapsed().Seconds(), "records/s")
		})
	}
}
