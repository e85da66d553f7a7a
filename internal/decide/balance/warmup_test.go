package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/balance"
)

// Guards against a cold backend that gets more requests than it can handle in a large deployment, whose instances learn of each
// other's requests too late: 16 requests in a second, where 15.5 were allowed.
func TestManyInstancesKeepTheWarmupLimit(t *testing.T) {
	const rate, allowed, instances = 5.0, 1.5*5 + 8, 69
	idle := 0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 2))
		limiters, ranks := make([]*balance.WarmupLimiter, instances), random.Perm(instances)
		for i := range limiters {
			limiters[i] = balance.NewWarmupLimiter()
		}
		var sent []time.Duration
		for now := 2 * time.Second; now < 8*time.Second; now += time.Millisecond {
			if now%time.Second == 0 {
				for i, r := range limiters {
					for j, other := range limiters {
						if i != j {
							r.SetPeerCount(fmt.Sprint(j), other.OwnCount(now), now)
						}
					}
				}
			}
			i := random.IntN(instances)
			if random.Float64() < 0.3 && limiters[i].Take(now, rate, balance.WarmupSharing{Instances: instances, Rank: ranks[i]}) {
				sent = append(sent, now)
			}
		}
		require.LessOrEqual(t, float64(mostInOneSecond(sent)), allowed, "seed %d", seed)
		if len(sent) == 0 {
			idle++
		}
	}
	require.Less(t, idle, 10, "backends that get no requests while they are cold")
}

// warmupCluster simulates instances that send to one cold backend and exchange their counts at intervals.
type warmupCluster struct {
	limiters  []*balance.WarmupLimiter
	startedAt []time.Duration // start time of each instance's process
	sent      []time.Duration
}

const (
	warmupRate = 10.0
	heartbeat  = 200 * time.Millisecond
)

func (c *warmupCluster) start(i int, now time.Duration) {
	c.limiters[i], c.startedAt[i] = balance.NewWarmupLimiter(), now
}

// simulate offers demand requests per second to random instances. All processes are replaced at restart.
func (c *warmupCluster) simulate(seed uint64, demand float64, restart time.Duration) {
	random := rand.New(rand.NewPCG(seed, 1))
	for now := time.Duration(0); now < 4*time.Second; now += time.Millisecond {
		if now == restart {
			for i := range c.limiters {
				c.start(i, now)
			}
		}
		if now%heartbeat == 0 {
			c.exchangeCounts(now)
		}
		if random.Float64() >= demand*time.Millisecond.Seconds() {
			continue
		}
		i := random.IntN(len(c.limiters))
		if c.limiters[i].Take(now-c.startedAt[i], warmupRate, balance.WarmupSharing{Instances: len(c.limiters), Rank: i}) {
			c.sent = append(c.sent, now)
		}
	}
}

func (c *warmupCluster) exchangeCounts(now time.Duration) {
	for i, r := range c.limiters {
		for j, other := range c.limiters {
			if i != j {
				r.SetPeerCount(fmt.Sprint(j, c.startedAt[j]), other.OwnCount(now-c.startedAt[j]), now-c.startedAt[i])
			}
		}
	}
}

func mostInOneSecond(times []time.Duration) int {
	most, from := 0, 0
	for i := range times {
		for times[i]-times[from] >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Guards against a cold backend that gets more requests than it can handle because restarted instances do not know what was
// sent just before: 21 requests in a second that spans the restart of all instances, where 20 were allowed.
func TestRestartOfAllInstancesKeepsTheWarmupLimit(t *testing.T) {
	const allowed = 1.5*warmupRate + 5
	for seed := range uint64(50) {
		c := &warmupCluster{limiters: make([]*balance.WarmupLimiter, 11), startedAt: make([]time.Duration, 11)}
		for i := range c.limiters {
			c.start(i, -2*time.Second)
		}
		c.simulate(seed, 60, 1500*time.Millisecond)
		require.LessOrEqual(t, float64(mostInOneSecond(c.sent)), allowed, "seed %d", seed)
		require.GreaterOrEqual(t, len(c.sent), 15, "seed %d: the backend gets too few requests", seed)
	}
}
