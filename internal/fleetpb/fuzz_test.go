package fleetpb

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
)

// Guards against a table in the store or a delta in a heartbeat that ends the process, or that is accepted although its ranges do
// not cover the keys.
func FuzzDecodeOwnership(f *testing.F) {
	owner := keyrange.Holder{ID: "b", Incarnation: 1}
	state := keyrange.State{Coordinator: "i", Tables: []keyrange.Table{{Service: "s", Ranges: []keyrange.Range{{To: catalog.KeySpace - 1, Owner: owner, Fence: 2}}}}}
	raw, err := EncodeState(&state)
	require.NoError(f, err)
	f.Add(raw)
	raw, err = proto.Marshal(&Heartbeat{From: &Member{Id: "i"}, Delta: EncodeDelta(keyrange.Delta{State: state}, 1, 2)})
	require.NoError(f, err)
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		if s, err := DecodeState(raw); err == nil {
			for i := range s.Tables {
				requireCovered(t, s.Tables[i].Ranges)
			}
		}
		m := &Heartbeat{}
		if proto.Unmarshal(raw, m) != nil || m.Delta == nil {
			return
		}
		if d, err := DecodeDelta(m.Delta); err == nil {
			_, _ = d.Apply(&state)
		}
	})
}

func requireCovered(t *testing.T, ranges []keyrange.Range) {
	t.Helper()
	next := uint32(0)
	for _, r := range ranges {
		require.Equal(t, next, r.From)
		require.GreaterOrEqual(t, r.To, r.From)
		next = r.To + 1
	}
	if len(ranges) > 0 {
		require.Equal(t, uint32(catalog.KeySpace), next)
	}
}
