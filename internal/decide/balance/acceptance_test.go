package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/balance"
)

const pressed = 200 * time.Millisecond // until the next place is free

// Guards against callers of one hot key who are all told to come back for the next free place, and use up their attempts there:
// a third of all requests of the grown Ziedlapu site went to one key, whose owner serves one in fifty of them.
func TestCallersOfAnOverloadedPlaceAreSpread(t *testing.T) {
	var p balance.AcceptanceRate
	for i := range 600 {
		p.Record(i%12 == 0, time.Duration(i)*5*time.Millisecond)
	}
	require.GreaterOrEqual(t, p.RetryAfter(pressed), 6*pressed)
	require.LessOrEqual(t, p.RetryAfter(pressed), 12*pressed)
	for i := range 600 {
		p.Record(i%200 == 0, 3*time.Second+time.Duration(i)*5*time.Millisecond)
	}
	require.Equal(t, 5*time.Second, p.RetryAfter(pressed), "a hot spell is likely to have ended by then")
}

// Guards against callers who are sent away for long because a place was busy some time ago, or full by chance.
func TestCallersOfACalmPlaceComeBackSoon(t *testing.T) {
	var p balance.AcceptanceRate
	require.Equal(t, pressed, p.RetryAfter(pressed))
	for i := range 600 {
		p.Record(false, time.Duration(i)*5*time.Millisecond)
	}
	for i := range 60 {
		p.Record(i%10 != 0, 3*time.Second+time.Duration(i)*100*time.Millisecond)
	}
	require.LessOrEqual(t, p.RetryAfter(pressed), 2*pressed)
}
