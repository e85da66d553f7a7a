package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/balance"
)

// Guards against full load on a backend that nobody has asked lately whether it is cold, and against needless checks.
func TestBackendIsWarmOnlyAfterARecentCheck(t *testing.T) {
	var check balance.WarmupCheck
	now := 5 * time.Second
	require.True(t, check.Unknown(now), "not checked")
	require.True(t, check.Start(now))
	require.False(t, check.Start(now), "a check is in flight")
	check.Answered(0, now+10*time.Millisecond)
	require.False(t, check.Cold(now+400*time.Millisecond))
	require.False(t, check.Unknown(now+400*time.Millisecond))
	require.False(t, check.Start(now+400*time.Millisecond))
	require.True(t, check.Start(now+500*time.Millisecond))
	check.Failed()
	require.False(t, check.Start(now+510*time.Millisecond))
	require.False(t, check.Start(now+520*time.Millisecond))
	require.True(t, check.Start(now+530*time.Millisecond), "due after a few requests")
	check.Failed()
	require.True(t, check.Unknown(now+time.Second), "the last answer is too old")
	require.True(t, check.Start(now+1100*time.Millisecond))
	check.Answered(2*time.Second, now+1100*time.Millisecond)
	require.True(t, check.Start(now+1600*time.Millisecond))
	require.True(t, check.Cold(now+1700*time.Millisecond), "the backend has said that it is cold")
}
