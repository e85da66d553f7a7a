package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/quota"
)

// cluster simulates instances that admit one customer's requests and learn of each other's admissions after a delay.
type cluster struct {
	buckets []*quota.Bucket
	pending []report
}

// report is a request that is reported to the peers.
type report struct {
	at       time.Duration
	from     int
	admitted bool
}

const (
	rate   = 100.0
	burst  = 100.0
	step   = time.Millisecond
	window = 5 * time.Second
)

// simulate sends demand requests per second to random instances and returns the times of admission. Instances receive each
// other's reports after delay; reachable returns whether instance a receives the reports of instance b.
func (c *cluster) simulate(seed uint64, demand float64, delay, length time.Duration, share float64, reachable func(a, b int) bool) []time.Duration {
	random := rand.New(rand.NewPCG(seed, seed))
	var admitted []time.Duration
	for now := time.Duration(0); now < length; now += step {
		c.deliver(now, reachable)
		if random.Float64() < demand*step.Seconds() {
			i := random.IntN(len(c.buckets))
			ok, _ := c.buckets[i].Take(now, quota.Peers{ReachableShare: share, ReachableCount: len(c.buckets), Staleness: delay})
			c.pending = append(c.pending, report{now + delay, i, ok})
			if ok {
				admitted = append(admitted, now)
			}
		}
	}
	return admitted
}

// deliver applies the reports that arrive by now.
func (c *cluster) deliver(now time.Duration, reachable func(a, b int) bool) {
	for len(c.pending) > 0 && c.pending[0].at <= now {
		for i, b := range c.buckets {
			switch {
			case i == c.pending[0].from:
				b.AddReportedDemand(1, now)
			case reachable(i, c.pending[0].from):
				b.AddPeerDemand(1, now)
				if c.pending[0].admitted {
					b.ChargePeer(1)
				}
			}
		}
		c.pending = c.pending[1:]
	}
}

func newCluster(n int) *cluster {
	c := &cluster{}
	for range n {
		c.buckets = append(c.buckets, quota.NewBucket(rate, burst, 0))
	}
	return c
}

func mostInWindow(times []time.Duration) int {
	most, from := 0, 0
	for i := range times {
		for times[i]-times[from] > window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Guards against many instances together admitting more than rate and burst when the demand is several times the rate.
func TestInstancesTogetherKeepTheRate(t *testing.T) {
	for seed := range uint64(20) {
		admitted := newCluster(12).simulate(seed, 700, 200*time.Millisecond, 20*time.Second, 1, func(int, int) bool { return true })
		allowed := rate*window.Seconds() + burst
		require.LessOrEqual(t, float64(mostInWindow(admitted)), allowed*1.1+20, "seed %d", seed)
		require.GreaterOrEqual(t, float64(len(admitted)), 0.95*rate*20, "seed %d", seed)
	}
}

// Guards against a large deployment exceeding the rate because its instances receive each other's reports only every second.
func TestRateIsKeptWhenPeerReportsAreLate(t *testing.T) {
	for seed := range uint64(20) {
		admitted := newCluster(69).simulate(seed, 500, time.Second, 20*time.Second, 1, func(int, int) bool { return true })
		allowed := rate*window.Seconds() + burst
		require.LessOrEqual(t, float64(mostInWindow(admitted)), allowed*1.1+20, "seed %d", seed)
		require.GreaterOrEqual(t, float64(len(admitted)), 0.85*rate*20, "seed %d", seed)
	}
}

// heartbeatCluster is a cluster whose instances report their admissions in heartbeats: often within a zone, rarely to other
// zones.
type heartbeatCluster struct {
	buckets                      []*quota.Bucket
	zones                        int
	zoneInterval, remoteInterval time.Duration
	admittedZone, admittedRemote []int // admissions since the last heartbeat to the same zone and to other zones
	offeredRemote                []int // requests since the last heartbeat to other zones
	offeredZone                  []int // requests since the last heartbeat to the same zone
}

func newHeartbeatCluster(n, zones int, rate float64, zoneInterval, remoteInterval time.Duration) *heartbeatCluster {
	c := &heartbeatCluster{
		zones: zones, zoneInterval: zoneInterval, remoteInterval: remoteInterval,
		admittedZone: make([]int, n), admittedRemote: make([]int, n), offeredRemote: make([]int, n), offeredZone: make([]int, n)}
	for range n {
		c.buckets = append(c.buckets, quota.NewBucket(rate, rate, 0))
	}
	return c
}

// sendDue sends the heartbeats that are due. Each instance has its own phase.
func (c *heartbeatCluster) sendDue(now time.Duration) {
	for i := range c.buckets {
		phase := time.Duration(i) * 17 * time.Millisecond
		if (now+phase)%c.zoneInterval == 0 {
			c.sendHeartbeat(now, i, true, c.admittedZone, c.offeredZone)
		}
		if (now+phase)%c.remoteInterval == 0 {
			c.sendHeartbeat(now, i, false, c.admittedRemote, c.offeredRemote)
		}
	}
}

func (c *heartbeatCluster) sendHeartbeat(now time.Duration, i int, sameZone bool, admitted, offered []int) {
	for j, b := range c.buckets {
		switch {
		case j == i && !sameZone:
			b.AddReportedDemand(float64(offered[i]), now)
		case j != i && (j%c.zones == i%c.zones) == sameZone:
			b.ChargePeer(float64(admitted[i]))
			b.AddPeerDemand(float64(offered[i]), now)
		}
	}
	admitted[i], offered[i] = 0, 0
}

// simulate sends demand requests per second to random instances and returns the times of admission.
func (c *heartbeatCluster) simulate(random *rand.Rand, from, to time.Duration, demand float64) []time.Duration {
	var admitted []time.Duration
	for now := from; now < to; now += step {
		c.sendDue(now)
		if random.Float64() >= demand*step.Seconds() {
			continue
		}
		i := random.IntN(len(c.buckets))
		c.offeredRemote[i]++
		c.offeredZone[i]++
		if ok, _ := c.buckets[i].Take(now, quota.Peers{ReachableShare: 1, ReachableCount: len(c.buckets), Staleness: c.remoteInterval}); ok {
			admitted = append(admitted, now)
			c.admittedRemote[i]++
			c.admittedZone[i]++
		}
	}
	return admitted
}

// Guards against a customer exceeding its rate when all of its callers together suddenly send five times the rate in the largest
// deployment. The bucket is full, since the customer has stayed within its rate for a long time.
func TestSuddenBurstKeepsTheRate(t *testing.T) {
	const instances, zones = 82, 4
	for _, rate := range []float64{20, 40, 100, 400} {
		for seed := range uint64(10) {
			random := rand.New(rand.NewPCG(seed, 9))
			c := newHeartbeatCluster(instances, zones, rate, 300*time.Millisecond, 1400*time.Millisecond)
			admitted := c.simulate(random, 0, 12*time.Second, 0.6*rate)
			admitted = append(admitted, c.simulate(random, 12*time.Second, 22*time.Second, 5*rate)...)
			allowed := rate*window.Seconds() + rate
			require.LessOrEqual(t, float64(mostInWindow(admitted)), allowed*1.1+20, "rate %v, seed %d", rate, seed)
		}
	}
}

// Guards against uneven admission for a customer whose demand is several times its rate: all instances admit at once what the
// level allows, receive each other's reports of admissions a second later, and then refuse every request. In a large
// deployment with a rate of 441, successive seconds admitted 902, 196, 373, 715, 136, 325 and 1021 requests, and the customer
// exceeded its rate where such a peak coincided with a retry.
func TestOverloadedCustomerIsServedEvenly(t *testing.T) {
	const instances, zones, start, end = 82, 4, 5 * time.Second, 25 * time.Second
	for _, times := range []float64{2, 8} {
		for _, rate := range []float64{100, 441} {
			for seed := range uint64(5) {
				random := rand.New(rand.NewPCG(seed, 11))
				c := newHeartbeatCluster(instances, zones, rate, 300*time.Millisecond, 1000*time.Millisecond)
				c.simulate(random, 0, start, times*rate)
				admitted := c.simulate(random, start, end, times*rate)
				bySecond := make([]int, (end-start)/time.Second)
				for _, at := range admitted {
					bySecond[(at-start)/time.Second]++
				}
				for second, n := range bySecond {
					require.InDelta(t, rate, n, 0.5*rate, "%v times the rate of %v, seed %d, second %d: %v", times, rate, seed, second, bySecond)
				}
				require.InDelta(t, rate*(end-start).Seconds(), len(admitted), 0.1*rate*(end-start).Seconds())
			}
		}
	}
}

// Guards against all callers of an overloaded customer being told to retry when the next token is due, which only one of them
// gets.
func TestCallersOfAnOverloadedCustomerAreSpread(t *testing.T) {
	const rate, offered = 10.0, 80 // requests per second
	peers := quota.Peers{ReachableShare: 1, ReachableCount: 1, Staleness: time.Second}
	b := quota.NewBucket(rate, rate, 0)
	refused, short := 0, 0
	for i := range offered * 20 {
		now := time.Duration(i) * time.Second / offered
		if i%offered == 0 {
			b.AddReportedDemand(offered, now)
		}
		ok, retry := b.Take(now, peers)
		if now < 5*time.Second || ok {
			continue
		}
		refused++
		if retry < 200*time.Millisecond { // less than the time of two tokens
			short++
		}
		require.LessOrEqual(t, retry, 5*time.Second)
	}
	require.Positive(t, refused)
	require.Less(t, float64(short), 0.4*float64(refused))
}

// Guards against instances that all start at the same moment during a burst and admit twice their shares of the rate before
// they have received each other's reports. In a large deployment, a customer ran 3,589 requests in the 5 s around a
// restart of all instances, where 3,366 were allowed.
func TestNewInstancesTogetherKeepTheRate(t *testing.T) {
	const rate, instances, start, length = 507.0, 82, 10 * time.Second, 2 * time.Second
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 13))
		c := newHeartbeatCluster(instances, 4, rate, time.Second, time.Second)
		for i := range c.buckets {
			c.buckets[i] = quota.NewBucket(rate, rate, start)
		}
		admitted := 0
		for now := start; now < start+length; now += step / 10 {
			if random.Float64() < 8*rate*(step/10).Seconds() {
				if ok, _ := c.buckets[random.IntN(instances)].Take(now, quota.Peers{ReachableShare: 1, ReachableCount: instances, Staleness: time.Second}); ok {
					admitted++
				}
			}
		}
		require.LessOrEqual(t, float64(admitted), 1.1*rate*length.Seconds(), "seed %d", seed)
	}
}

// Guards against an instance that has been idle for a long time admitting without a limit, because the time until its next
// token overflows a duration.
func TestIdleInstanceOfAnOverloadedCustomerKeepsItsShare(t *testing.T) {
	const rate = 400.0
	peers := quota.Peers{ReachableShare: 1, ReachableCount: 82, Staleness: time.Second}
	b := quota.NewBucket(rate, rate, 0)
	b.AddReportedDemand(1, 0)
	for now := time.Duration(0); now <= 2*time.Minute; now += time.Second {
		b.AddPeerDemand(8*rate, now)
		b.ChargePeer(0.9 * rate)
	}
	admitted := 0
	for i := range 100 {
		ok, retry := b.Take(2*time.Minute+time.Duration(i)*time.Millisecond, peers)
		if ok {
			admitted++
			continue
		}
		require.Positive(t, retry)
		require.LessOrEqual(t, retry, 5*time.Second)
	}
	require.LessOrEqual(t, admitted, 4)
}

// Guards against each half of a partitioned network admitting the full rate.
func TestPartitionedHalvesAdmitTheirShare(t *testing.T) {
	for seed := range uint64(20) {
		sameHalf := func(a, b int) bool { return (a < 6) == (b < 6) }
		admitted := newCluster(12).simulate(seed, 700, 200*time.Millisecond, 20*time.Second, 0.5, sameHalf)
		allowed := rate*window.Seconds() + burst
		require.LessOrEqual(t, float64(mostInWindow(admitted)), allowed*1.1+20, "seed %d", seed)
	}
}

// Guards against refused requests of a customer that stays within its rate.
func TestDemandWithinTheRateIsNotRefused(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(12)
		admitted := c.simulate(seed, 60, 200*time.Millisecond, 20*time.Second, 1, func(int, int) bool { return true })
		require.InDelta(t, 60*20, len(admitted), 200, "seed %d", seed)
	}
}

// Guards against refused requests of a customer within its rate whose callers keep their connections to a few of many
// instances. On the enlarged Ziedlapu deployment, a seventh of all requests was refused as beyond the rate.
func TestCallersAtFewInstancesAreNotRefused(t *testing.T) {
	const instances, used, demand = 69, 5, 60.0
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		c := newCluster(instances)
		offered, refused := 0, 0
		const start = 4 * time.Second // the buckets are full by then
		for now := start; now < 24*time.Second; now += step {
			c.deliver(now, func(int, int) bool { return true })
			if random.Float64() >= demand*step.Seconds() {
				continue
			}
			offered++
			i := random.IntN(used)
			ok, _ := c.buckets[i].Take(now, quota.Peers{ReachableShare: 1, ReachableCount: instances, Staleness: time.Second})
			c.pending = append(c.pending, report{now + time.Second, i, ok})
			if !ok {
				refused++
			}
		}
		require.Less(t, float64(refused), 0.05*float64(offered), "seed %d", seed)
	}
}

// Guards against a large customer exceeding its rate because instances are killed before they have reported their admissions.
// In a large deployment, a customer ran 3,070 requests in 5 s, where 2,931 were allowed.
func TestBurstAcrossKilledInstancesKeepsTheRate(t *testing.T) {
	const rate, instances, zones, killed = 441.0, 82, 4, 14 * time.Second
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 5))
		c := newHeartbeatCluster(instances, zones, rate, 300*time.Millisecond, 1400*time.Millisecond)
		admitted := c.simulate(random, 0, 12*time.Second, 0.6*rate)
		admitted = append(admitted, c.simulate(random, 12*time.Second, killed, 5*rate)...)
		for i := range c.buckets {
			if i%5 < 3 {
				c.buckets[i] = quota.NewBucket(rate, rate, killed)
				c.admittedRemote[i], c.admittedZone[i], c.offeredRemote[i], c.offeredZone[i] = 0, 0, 0, 0
			}
		}
		admitted = append(admitted, c.simulate(random, killed, 22*time.Second, 5*rate)...)
		allowed := rate*window.Seconds() + rate
		require.LessOrEqual(t, float64(mostInWindow(admitted)), allowed*1.1+20, "seed %d", seed)
	}
}

// Guards against exceeding the rate when a burst continues while all instances restart: their new buckets have no record of
// earlier admissions.
func TestBurstAcrossRestartKeepsTheRate(t *testing.T) {
	const instances, zones, killed, restarted, end = 82, 4, 11 * time.Second, 11500 * time.Millisecond, 20 * time.Second
	for _, times := range []float64{5, 8} {
		for _, rate := range []float64{40, 100, 400} {
			for seed := range uint64(4) {
				random := rand.New(rand.NewPCG(seed, 9))
				c := newHeartbeatCluster(instances, zones, rate, 300*time.Millisecond, 1400*time.Millisecond)
				admitted := c.simulate(random, 0, 6*time.Second, 0.6*rate)
				admitted = append(admitted, c.simulate(random, 6*time.Second, killed, times*rate)...)
				for i := range c.buckets {
					c.buckets[i] = quota.NewBucket(rate, rate, killed)
					c.admittedRemote[i], c.admittedZone[i], c.offeredRemote[i], c.offeredZone[i] = 0, 0, 0, 0
				}
				admitted = append(admitted, c.simulate(random, restarted, end, times*rate)...)
				allowed := rate*window.Seconds() + rate
				require.LessOrEqual(t, float64(mostInWindow(admitted)), allowed*1.1+20, "%v times the rate of %v, seed %d", times, rate, seed)
			}
		}
	}
}
