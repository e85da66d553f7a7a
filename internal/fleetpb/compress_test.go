package fleetpb_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/fleetpb"
)

// Guards against a heartbeat whose data decompresses to more memory than an instance has, and against data that is not restored
// exactly.
func TestCompressedBytesAreRestoredWithinTheLimit(t *testing.T) {
	raw := bytes.Repeat([]byte("route "), 1000)
	compressed, err := fleetpb.Compress(raw)
	require.NoError(t, err)
	require.Less(t, len(compressed), len(raw)/10)
	got, err := fleetpb.Decompress(compressed, int64(len(raw)))
	require.NoError(t, err)
	require.Equal(t, raw, got)
	_, err = fleetpb.Decompress(compressed, int64(len(raw))-1)
	require.ErrorIs(t, err, fleetpb.ErrTooLarge)
	_, err = fleetpb.Decompress([]byte("not packed"), 1000)
	require.Error(t, err)
}
