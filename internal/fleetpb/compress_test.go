package fleetpb_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/fleetpb"
)

// Guards against a heartbeat that unpacks to more memory than an instance has, and against bytes that are changed on the way.
func TestPackedBytesComeBackWithinTheLimit(t *testing.T) {
	raw := bytes.Repeat([]byte("route "), 1000)
	packed, err := fleetpb.Compress(raw)
	require.NoError(t, err)
	require.Less(t, len(packed), len(raw)/10)
	got, err := fleetpb.Decompress(packed, int64(len(raw)))
	require.NoError(t, err)
	require.Equal(t, raw, got)
	_, err = fleetpb.Decompress(packed, int64(len(raw))-1)
	require.ErrorIs(t, err, fleetpb.ErrTooLarge)
	_, err = fleetpb.Decompress([]byte("not packed"), 1000)
	require.Error(t, err)
}
