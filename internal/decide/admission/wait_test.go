package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	testServer = "a"
	second     = time.Second
	// testArrival is when the request of a test arrives.
	testArrival = 100 * second
)

var testLimits = WaitLimits{Rate: second, Outage: 3 * second}

// Guards against a wait for nothing, and against a refusal as over the rate for a time in which no token server granted tokens.
func TestWaitFollowsAvailability(t *testing.T) {
	serving := Availability{Serving: true, Server: testServer, Since: second, CheckedAt: testArrival}
	lost := serving.Failed(testArrival + second/2)
	tests := map[string]struct {
		availability Availability
		after        time.Duration // since the arrival
		remaining    time.Duration
		overRate     bool
	}{
		"serving":                    {serving, 0, second, true},
		"served all the time":        {serving, second, 0, true},
		"not asked since":            {Availability{Serving: true, Server: testServer}, second, second, true},
		"lost during the wait":       {lost, second, 5 * second / 2, false},
		"still lost":                 {lost.Failed(testArrival + second).Failed(testArrival + 2*second).Failed(testArrival + 3*second), 7 * second / 2, 0, false},
		"lost before the arrival":    {Availability{Since: testArrival - 3*second, CheckedAt: testArrival}, 0, 0, false},
		"lost, not asked since":      {Availability{Since: testArrival - 9*second, CheckedAt: testArrival - 2*second}, 0, 3 * second, false},
		"replaced during the wait":   {lost.Answered(testArrival+second, "b"), second, second + serverTTL, false},
		"replaced without a failure": {serving.Answered(testArrival+second, "b"), second, second + serverTTL, false},
		"replaced server serves":     {lost.Answered(testArrival+second, "b"), 2*second + serverTTL, 0, true},
		"replaced again and again":   {lost.Answered(testArrival+4*second, "b"), 4 * second, 0, false},
	}
	for name, test := range tests {
		now := testArrival + test.after
		require.Equal(t, test.remaining, testLimits.Remaining(now, testArrival, test.availability), name)
		require.Equal(t, test.overRate, testLimits.OverRate(now, testArrival, test.availability), name)
	}
}

// Guards against an outage that is counted from a failure long ago, after which no request was sent to the token server.
func TestOutageBeginsAgainAfterAPause(t *testing.T) {
	a := Availability{Serving: true}.Failed(second)
	require.Equal(t, second, a.Failed(2*second).Since)
	require.Equal(t, 9*second, a.Failed(9*second).Since)
}
