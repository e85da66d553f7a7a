package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/balance"
)

// Guards against a restarted backend that counts as warm, and against one that stays cold for longer than its warm-up.
func TestBackendIsColdFromARefusedConnectionToTheEndOfItsWarmup(t *testing.T) {
	const warmup = 3 * time.Second
	var r balance.RestartDetector
	require.False(t, r.Cold(time.Second))
	require.False(t, r.Answered(time.Second, time.Second, warmup))
	r.ConnectionRefused(2 * time.Second)
	require.True(t, r.Cold(7*time.Second-1), "no process has answered")
	require.False(t, r.Cold(7*time.Second), "the entry of a later process would have been read")
	require.False(t, r.Answered(time.Second, 2*time.Second, warmup), "sent to the earlier process")
	require.True(t, r.Cold(2*time.Second))
	require.True(t, r.Answered(10*time.Second, 11*time.Second, warmup))
	require.False(t, r.Answered(12*time.Second, 13*time.Second, warmup), "a later answer does not extend the warm-up")
	require.True(t, r.Cold(14*time.Second-1))
	require.False(t, r.Cold(14*time.Second))
}
