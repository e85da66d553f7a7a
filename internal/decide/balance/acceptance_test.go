package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/balance"
)

const untilFree = 200 * time.Millisecond // until the next slot is free

// Guards against callers of a hot key who use up their attempts because all of them are told to retry when the next slot is free.
// On the enlarged Ziedlapu deployment, a third of all requests went to one key, whose owner can serve one in fifty of them.
func TestCallersOfAnOverloadedBackendAreSpread(t *testing.T) {
	var a balance.AcceptanceRate
	for i := range 600 {
		a.Record(i%12 == 0, time.Duration(i)*5*time.Millisecond)
	}
	require.GreaterOrEqual(t, a.RetryAfter(untilFree), 6*untilFree)
	require.LessOrEqual(t, a.RetryAfter(untilFree), 12*untilFree)
	for i := range 600 {
		a.Record(i%200 == 0, 3*time.Second+time.Duration(i)*5*time.Millisecond)
	}
	require.Equal(t, 5*time.Second, a.RetryAfter(untilFree), "the load peak is likely to have ended by then")
}

// Guards against long retry times because a backend was busy some time ago, or full by chance.
func TestCallersOfAnIdleBackendRetrySoon(t *testing.T) {
	var a balance.AcceptanceRate
	require.Equal(t, untilFree, a.RetryAfter(untilFree))
	for i := range 600 {
		a.Record(false, time.Duration(i)*5*time.Millisecond)
	}
	for i := range 60 {
		a.Record(i%10 != 0, 3*time.Second+time.Duration(i)*100*time.Millisecond)
	}
	require.LessOrEqual(t, a.RetryAfter(untilFree), 2*untilFree)
}
