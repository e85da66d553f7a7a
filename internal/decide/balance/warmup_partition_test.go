package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/balance"
)

// The limit on the requests to a cold backend in each second, as the platform states it.
const (
	warmupOvershoot = 1.5
	warmupSlack     = 5.0
)

// Times of the membership of instances.
const (
	partitionedTTL    = 30 * time.Second
	maxHeartbeatDelay = 20 // milliseconds
	maxSendDelay      = 30 // milliseconds from the choice of the backend
)

// warmupInstance is an instance with what it has heard of its peers.
type warmupInstance struct {
	limiter     *balance.WarmupLimiter
	startedAt   time.Duration
	process     string
	heard       []time.Duration // time of each peer's last heartbeat
	side        int             // instances on different sides do not reach each other
	frozenUntil time.Duration
}

// warmupReport is a heartbeat on its way or waiting at a frozen receiver.
type warmupReport struct{ from, to, n int }

// warmupPartition simulates instances that reach one cold backend but not always each other.
type warmupPartition struct {
	random    *rand.Rand
	rate      float64
	interval  time.Duration
	instances []*warmupInstance
	inFlight  map[time.Duration][]warmupReport // by time of delivery
	chosen    map[time.Duration][]int          // instances with a request to send, by time
	sent      []time.Duration
}

// heartbeatInterval returns the interval of heartbeats to other zones, which grows with the number of instances.
func heartbeatInterval(instances int) time.Duration {
	return min(time.Second, time.Duration(2*(1+(instances*2/3-1)/10))*100*time.Millisecond)
}

const warmupStart = -10 * time.Second // before the backend turns cold at 0

func newWarmupPartition(seed uint64, n int, rate float64) *warmupPartition {
	p := &warmupPartition{random: rand.New(rand.NewPCG(seed, 3)), rate: rate, interval: heartbeatInterval(n), inFlight: map[time.Duration][]warmupReport{}, chosen: map[time.Duration][]int{}}
	for range n {
		p.instances = append(p.instances, &warmupInstance{})
	}
	for i := range p.instances {
		p.start(i, warmupStart)
		for j := range p.instances {
			p.instances[i].heard[j] = 0
		}
	}
	return p
}

func (p *warmupPartition) start(i int, now time.Duration) {
	r := p.instances[i]
	r.limiter, r.startedAt, r.process = balance.NewWarmupLimiter(), now, fmt.Sprint(i, now)
	r.heard = make([]time.Duration, len(p.instances))
	for j := range r.heard {
		r.heard[j] = now // listed
	}
}

// known returns the number of instances that instance i takes for running, whether or not it reaches them.
func (p *warmupPartition) known(i int, now time.Duration) int {
	known := 1
	for j, at := range p.instances[i].heard {
		if i != j && now-at <= partitionedTTL {
			known++
		}
	}
	return known
}

func (p *warmupPartition) take(i int, now time.Duration) {
	r := p.instances[i]
	if now < r.frozenUntil {
		return
	}
	if r.limiter.Take(now-r.startedAt, p.rate, balance.WarmupSharing{Instances: p.known(i, now), Rank: i}) {
		at := now + time.Duration(1+p.random.IntN(maxSendDelay))*time.Millisecond
		p.chosen[at] = append(p.chosen[at], i)
	}
}

// send sends the requests that are due; those of a frozen instance after the freeze.
func (p *warmupPartition) send(now time.Duration) {
	for _, i := range p.chosen[now] {
		if thaw := p.instances[i].frozenUntil; now < thaw {
			p.chosen[thaw] = append(p.chosen[thaw], i)
			continue
		}
		p.sent = append(p.sent, now)
	}
	delete(p.chosen, now)
}

// exchange sends the heartbeats that are due and delivers those that arrive.
func (p *warmupPartition) exchange(now time.Duration) {
	for i, r := range p.instances {
		if now < r.frozenUntil || (now/time.Millisecond+time.Duration(i*37))%(p.interval/time.Millisecond) != 0 {
			continue
		}
		for j, to := range p.instances {
			if i != j && r.side == to.side {
				at := now + time.Duration(1+p.random.IntN(maxHeartbeatDelay))*time.Millisecond
				p.inFlight[at] = append(p.inFlight[at], warmupReport{i, j, r.limiter.OwnCount(now - r.startedAt)})
			}
		}
	}
	for _, m := range p.inFlight[now] {
		to := p.instances[m.to]
		if now < to.frozenUntil {
			p.inFlight[to.frozenUntil] = append(p.inFlight[to.frozenUntil], m)
			continue
		}
		to.heard[m.from] = now
		to.limiter.SetPeerCount(p.instances[m.from].process, m.n, now-to.startedAt)
	}
	delete(p.inFlight, now)
}

// run offers demand requests per second to random instances for the time that the backend is cold.
func (p *warmupPartition) run(cold time.Duration, demand float64, event func(now time.Duration)) {
	for now := -p.interval; now < cold; now += time.Millisecond {
		event(now)
		p.exchange(now)
		p.send(now)
		if now < 0 {
			continue
		}
		for d := demand * time.Millisecond.Seconds(); d > 0; d-- {
			if d >= 1 || p.random.Float64() < d {
				p.take(p.random.IntN(len(p.instances)), now)
			}
		}
	}
}

// separate assigns each instance to a side.
func (p *warmupPartition) separate(side func(i int) int) {
	for i, r := range p.instances {
		r.side = side(i)
	}
}

func oneSide(int) int { return 0 }

var warmupPartitionCases = []struct {
	name  string
	event func(p *warmupPartition) func(now time.Duration)
}{
	{"connected", func(*warmupPartition) func(time.Duration) { return func(time.Duration) {} }},
	{"isolated instances", separatedBefore(func(i int) int { return max(0, 4-i) })},
	{"isolated zones", separatedBefore(func(i int) int { return i % 3 })},
	{"halves", separatedBefore(func(i int) int { return i % 2 })},
	{"all isolated", separatedBefore(func(i int) int { return i })},
	{"begins and heals while cold", func(p *warmupPartition) func(time.Duration) {
		begin := time.Duration(p.random.IntN(2000)) * time.Millisecond
		end := begin + time.Duration(1+p.random.IntN(3000))*time.Millisecond
		return func(now time.Duration) {
			if now == begin {
				p.separate(func(i int) int { return i % 3 })
			}
			if now == end {
				p.separate(oneSide)
			}
		}
	}},
	{"frozen instances", func(p *warmupPartition) func(time.Duration) {
		begin := time.Duration(p.random.IntN(1500)) * time.Millisecond
		return func(now time.Duration) {
			if now == begin {
				for i := 0; i < len(p.instances); i += 2 {
					p.instances[i].frozenUntil = now + time.Second
				}
			}
		}
	}},
	{"processes that have just started", func(p *warmupPartition) func(time.Duration) {
		begin := time.Duration(p.random.IntN(1500)) * time.Millisecond
		return func(now time.Duration) {
			if now == begin {
				for i := 0; i < len(p.instances); i += 2 {
					p.start(i, now)
				}
			}
		}
	}},
}

// separatedBefore separates the instances long enough before the backend turns cold for them to notice.
func separatedBefore(side func(i int) int) func(*warmupPartition) func(time.Duration) {
	return func(p *warmupPartition) func(time.Duration) {
		p.separate(side)
		for i, r := range p.instances {
			for j := range p.instances {
				if side(i) != side(j) {
					r.heard[j] = warmupStart
				}
			}
		}
		return func(time.Duration) {}
	}
}

// Guards against a cold backend that gets the full rate from each of several groups of instances that do not hear of each other.
func TestPartitionedInstancesKeepTheWarmupLimit(t *testing.T) {
	const seeds, cold = 4, 4 * time.Second
	for _, c := range warmupPartitionCases {
		t.Run(c.name, func(t *testing.T) {
			for _, n := range []int{2, 5, 12, 69, 195} {
				for _, rate := range []float64{2, 6.6, 20} {
					most := 0
					for seed := range uint64(seeds) {
						p := newWarmupPartition(seed, n, rate)
						p.run(cold, 20*float64(n)+10*rate, c.event(p))
						most = max(most, mostInOneSecond(p.sent))
					}
					allowed := rate*warmupOvershoot + warmupSlack
					if float64(most) > allowed {
						t.Errorf("%d instances, rate %v: %d requests in one second, %.1f allowed", n, rate, most, allowed)
					}
				}
			}
		})
	}
}

// Guards against a limit that wastes the rate of a cold backend although all instances hear of each other.
func TestConnectedInstancesUseTheWarmupRate(t *testing.T) {
	const cold, usedShare = 8 * time.Second, 0.8
	for _, n := range []int{1, 2, 5, 12, 69, 195} {
		for _, rate := range []float64{2, 6.6, 10, 20} {
			p := newWarmupPartition(1, n, rate)
			p.run(cold, 20*float64(n)+10*rate, func(time.Duration) {})
			usable := min(rate, float64(int(rate))) // whole requests in each second
			require.GreaterOrEqual(t, float64(len(p.sent)), usedShare*usable*cold.Seconds(), "%d instances, rate %v", n, rate)
		}
	}
}
