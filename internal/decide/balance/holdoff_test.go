package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that are sent to a backend while it asks for none, also if a request that was in flight succeeds in that
// time, and against a backend that is lost for an hour because of an absurd value.
func TestHeldOffBackendIsNotChosen(t *testing.T) {
	busy, free := NewEndpoint(2), NewEndpoint(2)
	candidates := []Candidate{{Endpoint: busy, SameZone: true}, {Endpoint: free}}
	now, none := time.Second, func() float64 { return 0 }
	position := busy.Start()
	require.Equal(t, 0, Choose(now, Work{}, candidates, 0, none))
	busy.HoldOff(2*time.Second, now)
	busy.HoldOff(time.Second, now) // a shorter time does not end a longer one
	busy.Succeeded(50*time.Millisecond, position, Work{}, now)
	require.Equal(t, 1, Choose(now+1999*time.Millisecond, Work{}, candidates, 0, none))
	require.Equal(t, -1, Choose(now, Work{}, candidates[:1], 0, none))
	require.Equal(t, 0, Choose(now+2*time.Second, Work{}, candidates[:1], 0, none))
	busy.HoldOff(time.Hour, now)
	require.Equal(t, 0, Choose(now+maxHoldOff, Work{}, candidates[:1], 0, none))
}

// Guards against callers that all return at the moment at which the backend accepts requests again, or before.
func TestReturnsAfterHoldOffAreSpread(t *testing.T) {
	first, second := NewEndpoint(2), NewEndpoint(2)
	candidates := []Candidate{{Endpoint: first}, {Endpoint: second}}
	now := time.Second
	random := func(x float64) func() float64 { return func() float64 { return x } }
	require.Zero(t, ReturnAfterHoldOff(now, candidates, random(1)))
	first.HoldOff(3*time.Second, now)
	second.HoldOff(2*time.Second, now)
	require.Equal(t, 2*time.Second, ReturnAfterHoldOff(now, candidates, random(0)))
	require.Equal(t, 3*time.Second, ReturnAfterHoldOff(now, candidates, random(1)))
	require.Equal(t, 100*time.Millisecond+minHoldOffSpread, ReturnAfterHoldOff(now+1900*time.Millisecond, candidates, random(1)))
}
