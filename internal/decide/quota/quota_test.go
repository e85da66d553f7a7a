package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/quota"
)

// fleet plays instances that admit one customer's requests and hear of each other's admissions after a delay.
type fleet struct {
	buckets []*quota.Bucket
	pending []charge
}

// charge is a request that the other instances hear of.
type charge struct {
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

// play sends demand requests a second to random instances and returns the times of admission. Instances hear each other after
// delay; heard tells which pairs hear each other.
func (f *fleet) play(seed uint64, demand float64, delay, length time.Duration, share float64, heard func(a, b int) bool) []time.Duration {
	random := rand.New(rand.NewPCG(seed, seed))
	var admitted []time.Duration
	for now := time.Duration(0); now < length; now += step {
		f.hear(now, heard)
		if random.Float64() < demand*step.Seconds() {
			i := random.IntN(len(f.buckets))
			ok, _ := f.buckets[i].Take(now, quota.Peers{ReachableShare: share, ReachableCount: len(f.buckets), Staleness: delay})
			f.pending = append(f.pending, charge{now + delay, i, ok})
			if ok {
				admitted = append(admitted, now)
			}
		}
	}
	return admitted
}

// hear charges the admissions that the instances learn of by now.
func (f *fleet) hear(now time.Duration, heard func(a, b int) bool) {
	for len(f.pending) > 0 && f.pending[0].at <= now {
		for i, b := range f.buckets {
			switch {
			case i == f.pending[0].from:
				b.AddReportedDemand(1, now)
			case heard(i, f.pending[0].from):
				b.AddPeerDemand(1, now)
				if f.pending[0].admitted {
					b.ChargePeer(1)
				}
			}
		}
		f.pending = f.pending[1:]
	}
}

func newFleet(n int) *fleet {
	f := &fleet{}
	for range n {
		f.buckets = append(f.buckets, quota.NewBucket(rate, burst, 0))
	}
	return f
}

func busiest(times []time.Duration) int {
	most, from := 0, 0
	for i := range times {
		for times[i]-times[from] > window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Guards against more than rate and burst being admitted by many instances together, at several times the rate.
func TestInstancesTogetherKeepTheRate(t *testing.T) {
	for seed := range uint64(20) {
		admitted := newFleet(12).play(seed, 700, 200*time.Millisecond, 20*time.Second, 1, func(int, int) bool { return true })
		allowed := rate*window.Seconds() + burst
		require.LessOrEqual(t, float64(busiest(admitted)), allowed*1.1+20, "seed %d", seed)
		require.GreaterOrEqual(t, float64(len(admitted)), 0.95*rate*20, "seed %d", seed)
	}
}

// Guards against a large deployment, whose instances hear of each other only each second, exceeding the rate.
func TestRateIsKeptWhenInstancesHearOfEachOtherLate(t *testing.T) {
	for seed := range uint64(20) {
		admitted := newFleet(69).play(seed, 500, time.Second, 20*time.Second, 1, func(int, int) bool { return true })
		allowed := rate*window.Seconds() + burst
		require.LessOrEqual(t, float64(busiest(admitted)), allowed*1.1+20, "seed %d", seed)
		require.GreaterOrEqual(t, float64(len(admitted)), 0.85*rate*20, "seed %d", seed)
	}
}

// beatFleet is a fleet whose instances tell their own admissions with heartbeats: often within a zone, rarely to other zones.
type beatFleet struct {
	buckets        []*quota.Bucket
	zones          int
	near, far      time.Duration
	toldNear, told []int // admissions since the last heartbeat of each kind
	asked          []int // requests since the last heartbeat to other zones
	askedNear      []int // the same to the own zone
}

func newBeatFleet(n, zones int, rate float64, near, far time.Duration) *beatFleet {
	f := &beatFleet{zones: zones, near: near, far: far, toldNear: make([]int, n), told: make([]int, n), asked: make([]int, n), askedNear: make([]int, n)}
	for range n {
		f.buckets = append(f.buckets, quota.NewBucket(rate, rate, 0))
	}
	return f
}

// beat sends the heartbeats that are due; each instance has a phase of its own.
func (f *beatFleet) beat(now time.Duration) {
	for i := range f.buckets {
		phase := time.Duration(i) * 17 * time.Millisecond
		if (now+phase)%f.near == 0 {
			f.tell(now, i, true, f.toldNear, f.askedNear)
		}
		if (now+phase)%f.far == 0 {
			f.tell(now, i, false, f.told, f.asked)
		}
	}
}

func (f *beatFleet) tell(now time.Duration, i int, near bool, told, asked []int) {
	for j, b := range f.buckets {
		switch {
		case j == i && !near:
			b.AddReportedDemand(float64(asked[i]), now)
		case j != i && (j%f.zones == i%f.zones) == near:
			b.ChargePeer(float64(told[i]))
			b.AddPeerDemand(float64(asked[i]), now)
		}
	}
	told[i], asked[i] = 0, 0
}

// play sends demand requests a second to random instances and returns the times of admission.
func (f *beatFleet) play(random *rand.Rand, from, to time.Duration, demand float64) []time.Duration {
	var admitted []time.Duration
	for now := from; now < to; now += step {
		f.beat(now)
		if random.Float64() >= demand*step.Seconds() {
			continue
		}
		i := random.IntN(len(f.buckets))
		f.asked[i]++
		f.askedNear[i]++
		if ok, _ := f.buckets[i].Take(now, quota.Peers{ReachableShare: 1, ReachableCount: len(f.buckets), Staleness: f.far}); ok {
			admitted = append(admitted, now)
			f.told[i]++
			f.toldNear[i]++
		}
	}
	return admitted
}

// Guards against a customer that suddenly sends five times its rate, from all callers at once, in the largest deployment, after it
// has stayed within its rate for long, so that its bucket is full.
func TestASuddenRushKeepsTheRate(t *testing.T) {
	const instances, zones = 82, 4
	for _, rate := range []float64{20, 40, 100, 400} {
		for seed := range uint64(10) {
			random := rand.New(rand.NewPCG(seed, 9))
			f := newBeatFleet(instances, zones, rate, 300*time.Millisecond, 1400*time.Millisecond)
			admitted := f.play(random, 0, 12*time.Second, 0.6*rate)
			admitted = append(admitted, f.play(random, 12*time.Second, 22*time.Second, 5*rate)...)
			allowed := rate*window.Seconds() + rate
			require.LessOrEqual(t, float64(busiest(admitted)), allowed*1.1+20, "rate %v, seed %d", rate, seed)
		}
	}
}

// Guards against admissions of a customer that sends several times its rate in waves: all instances admit at once what their level
// allows, hear of each other a second later and then refuse everything (902, 196, 373, 715, 136, 325 and 1021 requests in successive
// seconds at a rate of 441 on the grown Kitabi site, and QUOTA broken where a wave met a repeat).
func TestOverloadedCustomerIsServedEvenly(t *testing.T) {
	const instances, zones, settled, end = 82, 4, 5 * time.Second, 25 * time.Second
	for _, times := range []float64{2, 8} {
		for _, rate := range []float64{100, 441} {
			for seed := range uint64(5) {
				random := rand.New(rand.NewPCG(seed, 11))
				f := newBeatFleet(instances, zones, rate, 300*time.Millisecond, 1000*time.Millisecond)
				f.play(random, 0, settled, times*rate)
				admitted := f.play(random, settled, end, times*rate)
				bySecond := make([]int, (end-settled)/time.Second)
				for _, at := range admitted {
					bySecond[(at-settled)/time.Second]++
				}
				for second, n := range bySecond {
					require.InDelta(t, rate, n, 0.5*rate, "%v times the rate of %v, seed %d, second %d: %v", times, rate, seed, second, bySecond)
				}
				require.InDelta(t, rate*(end-settled).Seconds(), len(admitted), 0.1*rate*(end-settled).Seconds())
			}
		}
	}
}

// Guards against callers of an overloaded customer who are all told to come back for the next token, which one of them gets.
func TestCallersOfAnOverloadedCustomerAreSpread(t *testing.T) {
	const rate, asked = 10.0, 80 // a second
	others := quota.Peers{ReachableShare: 1, ReachableCount: 1, Staleness: time.Second}
	b := quota.NewBucket(rate, rate, 0)
	refused, short := 0, 0
	for i := range asked * 20 {
		now := time.Duration(i) * time.Second / asked
		if i%asked == 0 {
			b.AddReportedDemand(asked, now)
		}
		ok, retry := b.Take(now, others)
		if now < 5*time.Second || ok {
			continue
		}
		refused++
		if retry < 200*time.Millisecond { // two tokens
			short++
		}
		require.LessOrEqual(t, retry, 5*time.Second)
	}
	require.Positive(t, refused)
	require.Less(t, float64(short), 0.4*float64(refused))
}

// Guards against instances that all start at the same moment, in a rush, and use twice their parts of the rate before they have heard
// of each other (QUOTA on trouble-3 of the grown Kitabi site: 3,589 requests in the 5 s around a restart of all, 3,366 allowed).
func TestNewInstancesTogetherKeepTheRate(t *testing.T) {
	const rate, instances, start, length = 507.0, 82, 10 * time.Second, 2 * time.Second
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 13))
		f := newBeatFleet(instances, 4, rate, time.Second, time.Second)
		for i := range f.buckets {
			f.buckets[i] = quota.NewBucket(rate, rate, start)
		}
		admitted := 0
		for now := start; now < start+length; now += step / 10 {
			if random.Float64() < 8*rate*(step/10).Seconds() {
				if ok, _ := f.buckets[random.IntN(instances)].Take(now, quota.Peers{ReachableShare: 1, ReachableCount: instances, Staleness: time.Second}); ok {
					admitted++
				}
			}
		}
		require.LessOrEqual(t, float64(admitted), 1.1*rate*length.Seconds(), "seed %d", seed)
	}
}

// Guards against an instance that has been idle for long and admits without a limit, because the time until its next token is
// too large for a duration.
func TestIdleInstanceOfAnOverloadedCustomerKeepsItsPart(t *testing.T) {
	const rate = 400.0
	others := quota.Peers{ReachableShare: 1, ReachableCount: 82, Staleness: time.Second}
	b := quota.NewBucket(rate, rate, 0)
	b.AddReportedDemand(1, 0)
	for now := time.Duration(0); now <= 2*time.Minute; now += time.Second {
		b.AddPeerDemand(8*rate, now)
		b.ChargePeer(0.9 * rate)
	}
	admitted := 0
	for i := range 100 {
		ok, retry := b.Take(2*time.Minute+time.Duration(i)*time.Millisecond, others)
		if ok {
			admitted++
			continue
		}
		require.Positive(t, retry)
		require.LessOrEqual(t, retry, 5*time.Second)
	}
	require.LessOrEqual(t, admitted, 4)
}

// Guards against two halves that cannot hear each other and admit the whole rate each.
func TestHalvesThatAreCutAdmitTheirPart(t *testing.T) {
	for seed := range uint64(20) {
		sameHalf := func(a, b int) bool { return (a < 6) == (b < 6) }
		admitted := newFleet(12).play(seed, 700, 200*time.Millisecond, 20*time.Second, 0.5, sameHalf)
		allowed := rate*window.Seconds() + burst
		require.LessOrEqual(t, float64(busiest(admitted)), allowed*1.1+20, "seed %d", seed)
	}
}

// Guards against refusals of a customer that stays within its rate.
func TestDemandWithinTheRateIsNotRefused(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(12)
		admitted := f.play(seed, 60, 200*time.Millisecond, 20*time.Second, 1, func(int, int) bool { return true })
		require.InDelta(t, 60*20, len(admitted), 200, "seed %d", seed)
	}
}

// Guards against refusals of a customer within its rate whose callers have kept their connections to a few of many instances
// (seen on the grown Ziedlapu site: a seventh of all requests refused as beyond the rate).
func TestCallersAtFewInstancesAreNotRefused(t *testing.T) {
	const instances, used, demand = 69, 5, 60.0
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		f := newFleet(instances)
		asked, refused := 0, 0
		const settled = 4 * time.Second // the buckets have filled
		for now := settled; now < 24*time.Second; now += step {
			f.hear(now, func(int, int) bool { return true })
			if random.Float64() >= demand*step.Seconds() {
				continue
			}
			asked++
			i := random.IntN(used)
			ok, _ := f.buckets[i].Take(now, quota.Peers{ReachableShare: 1, ReachableCount: instances, Staleness: time.Second})
			f.pending = append(f.pending, charge{now + time.Second, i, ok})
			if !ok {
				refused++
			}
		}
		require.Less(t, float64(refused), 0.05*float64(asked), "seed %d", seed)
	}
}

// Guards against a large customer that passes its rate because instances are killed before they have told what they admitted (QUOTA
// on trouble-3 of the grown Kitabi site: 3070 requests in 5 s, 2931 allowed).
func TestARushAcrossKilledInstancesKeepsTheRate(t *testing.T) {
	const rate, instances, zones, killed = 441.0, 82, 4, 14 * time.Second
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 5))
		f := newBeatFleet(instances, zones, rate, 300*time.Millisecond, 1400*time.Millisecond)
		admitted := f.play(random, 0, 12*time.Second, 0.6*rate)
		admitted = append(admitted, f.play(random, 12*time.Second, killed, 5*rate)...)
		for i := range f.buckets {
			if i%5 < 3 {
				f.buckets[i] = quota.NewBucket(rate, rate, killed)
				f.told[i], f.toldNear[i], f.asked[i], f.askedNear[i] = 0, 0, 0, 0
			}
		}
		admitted = append(admitted, f.play(random, killed, 22*time.Second, 5*rate)...)
		allowed := rate*window.Seconds() + rate
		require.LessOrEqual(t, float64(busiest(admitted)), allowed*1.1+20, "seed %d", seed)
	}
}

// Guards against a rush that goes on while all instances start again: their new buckets know nothing of what was admitted before.
func TestARushAcrossARestartKeepsTheRate(t *testing.T) {
	const instances, zones, killed, back, end = 82, 4, 11 * time.Second, 11500 * time.Millisecond, 20 * time.Second
	for _, times := range []float64{5, 8} {
		for _, rate := range []float64{40, 100, 400} {
			for seed := range uint64(4) {
				random := rand.New(rand.NewPCG(seed, 9))
				f := newBeatFleet(instances, zones, rate, 300*time.Millisecond, 1400*time.Millisecond)
				admitted := f.play(random, 0, 6*time.Second, 0.6*rate)
				admitted = append(admitted, f.play(random, 6*time.Second, killed, times*rate)...)
				for i := range f.buckets {
					f.buckets[i] = quota.NewBucket(rate, rate, killed)
					f.told[i], f.toldNear[i], f.asked[i], f.askedNear[i] = 0, 0, 0, 0
				}
				admitted = append(admitted, f.play(random, back, end, times*rate)...)
				allowed := rate*window.Seconds() + rate
				require.LessOrEqual(t, float64(busiest(admitted)), allowed*1.1+20, "%v times the rate of %v, seed %d", times, rate, seed)
			}
		}
	}
}
