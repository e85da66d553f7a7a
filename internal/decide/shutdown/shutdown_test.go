package shutdown_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/shutdown"
)

// Guards against a request that is accepted late in a planned stop and canceled at its end, and against requests that are refused
// although they end in time.
func TestRequestsThatMayOutlastTheStopAreRefused(t *testing.T) {
	const stopBy = 10 * time.Second
	early, late := shutdown.Schedule{StopBy: stopBy}, shutdown.Schedule{StopBy: stopBy, ConnectionsClosed: true}
	short := shutdown.Request{End: 20 * time.Second, LatencyTarget: time.Second}
	long := shutdown.Request{End: 20 * time.Second, LatencyTarget: 3 * time.Second}
	unknown := shutdown.Request{End: 20 * time.Second}
	bounded := shutdown.Request{End: stopBy, LatencyTarget: 3 * time.Second}
	for _, c := range []struct {
		name     string
		schedule shutdown.Schedule
		request  shutdown.Request
		now      time.Duration
		want     bool
	}{
		{"no stop", shutdown.Schedule{}, long, 19 * time.Second, true},
		{"short, at the begin", early, short, 5 * time.Second, true},
		{"short, near the end", early, short, 8 * time.Second, false},
		{"long, at the begin", early, long, 5 * time.Second, false},
		{"without a target", early, unknown, time.Second, false},
		{"ends in time", early, bounded, 9 * time.Second, true},
		{"ends in time, connections closed", late, bounded, 9 * time.Second, true},
		{"short, connections closed", late, short, time.Second, false},
	} {
		require.Equal(t, c.want, c.schedule.Accepts(c.request, c.now), c.name)
	}
}

// Guards against stops that cut requests at work, for every grace time and time limit that a deployment may have. It plays callers
// that send requests until their connections are closed; a request takes up to reserveFactor times its latency target.
func TestAcceptedRequestsEndBeforeTheStop(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	accepted, refused := 0, 0
	for range 100000 {
		grace := time.Duration(2+random.IntN(10)) * time.Second
		schedule := shutdown.Schedule{StopBy: grace - 500*time.Millisecond}
		now := time.Duration(random.Int64N(int64(min(2500*time.Millisecond, grace/2))))
		target := time.Duration(100+random.IntN(3000)) * time.Millisecond
		limit := time.Duration(3+random.IntN(18)) * time.Second
		took := min(time.Duration(random.Float64()*2.5*float64(target)), limit)
		if !schedule.Accepts(shutdown.Request{End: now + limit, LatencyTarget: target}, now) {
			refused++
			continue
		}
		accepted++
		require.LessOrEqual(t, now+took, schedule.StopBy)
	}
	require.Greater(t, accepted, refused, "most requests are still served")
}
