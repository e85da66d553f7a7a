package sleep_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/sleep"
)

// Guards against a retry that follows too early.
func TestSleepLastsForTheDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		require.NoError(t, sleep.For(t.Context(), time.Minute))
		require.Equal(t, time.Minute, time.Since(began))
	})
}

// Guards against a caller that has given up but still waits, or that is told to go on.
func TestSleepEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, sleep.For(ctx, time.Minute), context.DeadlineExceeded)
		require.Equal(t, time.Second, time.Since(began))
		require.ErrorIs(t, sleep.For(ctx, 0), context.DeadlineExceeded)
	})
}
