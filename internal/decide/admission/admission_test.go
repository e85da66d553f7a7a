package admission_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollenpier/pollenpier/internal/decide/admission"
	"github.com/pollenpier/pollenpier/internal/entity"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.steps": "200", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// rounding is the tolerance for errors in sums of floating-point numbers.
const rounding = 1e-6

// Guards against all instances together admitting more than rate*t + burst requests in any window when messages are lost,
// delayed, duplicated or reordered, instances and token servers are replaced while the previous ones still run, and clocks
// drift.
func TestNoWindowExceedsRateAndBurst(t *testing.T) {
	admitted := 0
	rapid.Check(t, func(t *rapid.T) {
		limits := admission.Limits{
			Rate:  rapid.SampledFrom([]float64{1, 30, 300, 2000}).Draw(t, "rate"),
			Burst: rapid.SampledFrom([]int{1, 10, 80}).Draw(t, "burst"),
		}
		w := newWorld(t, limits, 3)
		w.advance(t, 30*time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"spend": func(t *rapid.T) { w.spend(w.holder(t), rapid.SampledFrom([]int{1, 5, 100}).Draw(t, "count")) },
			"ask":   func(t *rapid.T) { w.sendRequest(t, w.holder(t)) },
			"ask and spend": func(t *rapid.T) {
				for _, h := range w.holders {
					w.sendRequest(t, h)
				}
				w.advance(t, 2*time.Millisecond)
				w.spend(w.holder(t), 100)
			},
			"give up and ask again": func(t *rapid.T) {
				h := w.holder(t)
				h.client.HandleFailure(h.sequence)
				w.sendRequest(t, h)
			},
			"withdraw": func(t *rapid.T) { w.holder(t).client.Withdraw(customer) },
			"advance": func(t *rapid.T) {
				w.advance(t, time.Duration(rapid.SampledFrom([]int{1, 20, 100, 190}).Draw(t, "ms"))*time.Millisecond)
			},
			"wait": func(t *rapid.T) { w.advance(t, time.Second) },
			"new holder": func(t *rapid.T) {
				if len(w.holders) < maxHolders {
					w.addHolder(t)
				}
			},
			"new server": w.replaceServer,
			"set the same": func(*rapid.T) {
				w.servers[len(w.servers)-1].SetLimits(w.now, map[entity.CustomerID]admission.Limits{customer: limits})
			},
			"": func(t *rapid.T) {
				if e := excess(w.admitted, limits); e > rounding {
					t.Fatalf("%.3f requests above the limits", e)
				}
			},
		})
		admitted += len(w.admitted)
	})
	// If the network delivered no messages, the property would hold trivially.
	require.Greater(t, admitted, 10_000)
	t.Logf("%d requests admitted", admitted)
}

// maxHolders bounds the number of instances in the simulation, including replaced ones.
const maxHolders = 6

// Guards against shares of zones that sum to more or less than the customer's limits.
func TestSharesSumToTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := admission.Limits{
			Rate:  rapid.Float64Range(0.1, 1e6).Draw(t, "rate"),
			Burst: rapid.IntRange(1, 100_000).Draw(t, "burst"),
		}
		count := rapid.IntRange(1, 12).Draw(t, "zones")
		zones := make([]entity.Zone, count)
		for i := range zones {
			zones[i] = entity.Zone(fmt.Sprint("z", i))
		}
		var shares map[entity.Zone]uint32
		if rapid.Bool().Draw(t, "recorded") {
			shares = map[entity.Zone]uint32{}
			left := uint32(1000)
			for _, z := range zones[1:] {
				shares[z] = rapid.Uint32Range(0, left).Draw(t, "share")
				left -= shares[z]
			}
			shares[zones[0]] = left
		}
		rate, burst := 0.0, 0
		for _, z := range zones {
			share := admission.Share("c", total, zones, shares, z)
			require.GreaterOrEqual(t, share.Burst, 0)
			rate += share.Rate
			burst += share.Burst
		}
		require.InEpsilon(t, total.Rate, rate, 1e-9)
		require.Equal(t, total.Burst, burst)
	})
	require.Zero(t, admission.Share("c", admission.Limits{Rate: 1, Burst: 1}, nil, nil, "z"))
}

func limits(rate float64, burst int) map[entity.CustomerID]admission.Limits {
	return map[entity.CustomerID]admission.Limits{customer: {Rate: rate, Burst: burst}}
}

func want(sequence uint64, tokens uint32, reports ...admission.Report) admission.Request {
	return admission.Request{Instance: "i", Sequence: sequence, Demands: []admission.Demand{
		{Customer: customer, Want: tokens, Reports: reports},
	}}
}

// Guards against a new server or bucket admitting a burst in addition to the tokens of the previous one.
func TestNewServerStartsEmptyUntilPreviousTokensExpire(t *testing.T) {
	s := admission.NewServer(time.Second)
	s.SetLimits(time.Second, limits(100, 10))
	require.Zero(t, s.Lease(time.Second+admission.TokenTTL, want(1, 5)).Grants[0].Tokens)
	require.Equal(t, uint32(4), s.Lease(time.Second+admission.TokenTTL+50*time.Millisecond, want(2, 9)).Grants[0].Tokens)
	require.Zero(t, s.Lease(2*time.Second, want(2, 5)).Grants[0].Tokens, "duplicate request")
	g := s.Lease(2*time.Second, want(3, 100)).Grants[0]
	require.Equal(t, uint32(10), g.Tokens)
	require.Positive(t, g.RetryAfter)
}

// Guards against a lowered rate or burst that does not take effect at once, and against raised limits that add tokens at once.
func TestLimitsChangeAtOnce(t *testing.T) {
	s := admission.NewServer(0)
	s.SetLimits(0, limits(100, 100))
	require.Equal(t, uint32(20), s.Lease(5*time.Second, want(1, 20)).Grants[0].Tokens)
	s.SetLimits(5*time.Second, limits(1, 10))
	// 20 tokens are outstanding, so the new burst of 10 is already exceeded.
	require.Zero(t, s.Lease(5*time.Second, want(2, 20)).Grants[0].Tokens)
	// The tokens are refunded: the bucket has its new burst and no more.
	g := s.Lease(5*time.Second, want(3, 50, admission.Report{Sequence: 1, Closed: true})).Grants[0]
	require.Equal(t, uint32(10), g.Tokens)

	s.SetLimits(5*time.Second, limits(100, 1000))
	require.Zero(t, s.Lease(5*time.Second, want(4, 50)).Grants[0].Tokens)
	require.Equal(t, uint32(10), s.Lease(5100*time.Millisecond, want(5, 50)).Grants[0].Tokens)
	s.SetLimits(6*time.Second, nil)
	require.Zero(t, s.Lease(9*time.Second, want(6, 1)).Grants[0].Tokens)
}

// Guards against allocations in the path of every request.
func TestSpendingDoesNotAllocate(t *testing.T) {
	pool := filledPool(t, 1_000_000)
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		pool.CountArrival()
		if ok, _ := pool.Spend(time.Second); !ok {
			t.Error("no token")
		}
	}))
}

// filledPool returns a pool whose tokens can be spent until shortly after one second.
func filledPool(t testing.TB, tokens int) *admission.TokenPool {
	t.Helper()
	client := admission.NewClient("i", 0, 0)
	pool := client.Pool(customer)
	client.Request(time.Second, map[entity.CustomerID]int{customer: tokens})
	client.HandleResponse(time.Second, 1, admission.Response{Holder: true, Grants: []admission.Grant{
		{Customer: customer, Tokens: uint32(tokens)},
	}})
	client.Publish(customer)
	return pool
}

// Guards against a token that two goroutines spend, or that is both spent and refunded.
func TestConcurrentSpendingIsExact(t *testing.T) {
	const tokens = 10_000
	client := admission.NewClient("i", 0, 0)
	pool := client.Pool(customer)
	client.Request(0, map[entity.CustomerID]int{customer: tokens})
	client.HandleResponse(0, 1, admission.Response{Holder: true, Grants: []admission.Grant{{Customer: customer, Tokens: tokens}}})
	client.Publish(customer)
	var spent atomic.Int64
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range tokens / 3 {
				if ok, _ := pool.Spend(0); ok {
					spent.Add(1)
				}
			}
		})
	}
	for spent.Load() < tokens/10 {
		time.Sleep(time.Microsecond)
	}
	client.Withdraw(customer)
	wg.Wait()
	r := client.Request(0, map[entity.CustomerID]int{customer: 1})
	require.Equal(t, []admission.Report{{Sequence: 1, Spent: uint32(spent.Load()), Closed: true}}, r.Demands[0].Reports)
	ok, _ := pool.Spend(0)
	require.False(t, ok)
}

func BenchmarkSpend(b *testing.B) {
	pool := filledPool(b, 1<<20)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%(1<<20) == 0 {
			pool = filledPool(b, 1<<20)
		}
		pool.CountArrival()
		pool.Spend(time.Second)
	}
}

// waitBound is how long a request waits for a token before it is refused, here and in the baselines.
const waitBound = 50 * time.Millisecond

// Guards against refusals while the demand is below the rate but arrives at changing instances. The baseline has equal fixed
// shares for all instances; the ideal is one bucket for all instances.
func TestDemandBelowTheRateIsAdmitted(t *testing.T) {
	for _, test := range []struct {
		rate  float64
		burst int
		load  float64 // fraction of the rate
		bound float64 // fraction of all requests that may be refused
	}{
		{rate: 400, burst: 40, load: 0.7, bound: 0.001},
		{rate: 100, burst: 10, load: 0.7, bound: 0.001},
		{rate: 20, burst: 10, load: 0.5, bound: 0.001},
	} {
		t.Run(fmt.Sprintf("rate %g burst %d", test.rate, test.burst), func(t *testing.T) {
			all := admission.Limits{Rate: test.rate, Burst: test.burst}
			arrivals := shiftingDemand(all.Rate*test.load, 4)
			leased := refusedWithLeasing(all, arrivals, 4)
			ideal := refusedWithBuckets(all, arrivals, 1)
			fixed := refusedWithBuckets(all, arrivals, 4)
			n := float64(len(arrivals))
			t.Logf("%d requests, refused: token leasing %.3f%%, one bucket %.3f%%, even fixed shares %.3f%%",
				len(arrivals), 100*float64(leased)/n, 100*float64(ideal)/n, 100*float64(fixed)/n)
			require.LessOrEqual(t, float64(leased)/n, test.bound)
			require.Greater(t, fixed, leased)
		})
	}
}

type arrival struct {
	at       time.Duration
	instance int
}

// shiftingDemand returns a minute of random arrivals. Nine tenths of them arrive at one instance, which changes twice a second.
func shiftingDemand(rate float64, instances int) []arrival {
	r := rand.New(rand.NewPCG(1, 2))
	var list []arrival
	at := 2 * time.Second // buckets are full then
	for at < 62*time.Second {
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		instance := int(at/(500*time.Millisecond)) % instances
		if r.IntN(10) == 0 {
			instance = r.IntN(instances)
		}
		list = append(list, arrival{at, instance})
	}
	return list
}

// refusedWithBuckets divides the limits evenly between independent buckets.
func refusedWithBuckets(l admission.Limits, arrivals []arrival, buckets int) (refused int) {
	rate, burst := l.Rate/float64(buckets), float64(l.Burst/buckets)
	levels, at := make([]float64, buckets), make([]time.Duration, buckets)
	for _, a := range arrivals {
		i := a.instance % buckets
		levels[i] = min(burst, levels[i]+rate*(a.at-at[i]).Seconds())
		at[i] = a.at
		// A request that waits takes a token that is added later.
		if levels[i]-1 < -rate*waitBound.Seconds() {
			refused++
			continue
		}
		levels[i]--
	}
	return refused
}

// refusedWithLeasing simulates the token server and the instances in steps of a millisecond, with a round-trip time of two.
func refusedWithLeasing(l admission.Limits, arrivals []arrival, instances int) (refused int) {
	const step = time.Millisecond
	server := admission.NewServer(0)
	server.SetLimits(0, map[entity.CustomerID]admission.Limits{customer: l})
	nodes := make([]*leasingNode, instances)
	for i := range nodes {
		nodes[i] = &leasingNode{client: admission.NewClient(entity.InstanceID(fmt.Sprint(i)), 0, 0)}
		nodes[i].pool = nodes[i].client.Pool(customer)
	}
	for now := time.Duration(0); now < 65*time.Second; now += step {
		for len(arrivals) > 0 && arrivals[0].at <= now {
			nodes[arrivals[0].instance].arrive(now)
			arrivals = arrivals[1:]
		}
		for _, n := range nodes {
			refused += n.step(now, server)
		}
	}
	return refused
}

// leasingNode is an instance that uses the client as the admission service does.
type leasingNode struct {
	client  *admission.Client
	pool    *admission.TokenPool
	waiting []time.Duration // deadlines
	low     bool
	retryAt time.Duration
	sent    []leasingCall
}

type leasingCall struct {
	arrives time.Duration
	request admission.Request
	answer  *admission.Response
}

func (n *leasingNode) arrive(now time.Duration) {
	n.pool.CountArrival()
	ok, low := n.pool.Spend(now)
	n.low = n.low || low
	if !ok {
		n.waiting = append(n.waiting, now+waitBound)
	}
}

func (n *leasingNode) step(now time.Duration, server *admission.Server) (refused int) {
	if len(n.sent) > 0 && n.sent[0].arrives <= now {
		n.receive(now, server)
	}
	for len(n.waiting) > 0 && n.waiting[0] < now {
		n.waiting = n.waiting[1:]
		refused++
	}
	if (len(n.waiting) > 0 || n.low) && !n.client.Busy() && now >= n.retryAt {
		n.low = false
		r := n.client.Request(now, map[entity.CustomerID]int{customer: len(n.waiting)})
		n.sent = append(n.sent, leasingCall{arrives: now + time.Millisecond, request: r})
	}
	return refused
}

func (n *leasingNode) receive(now time.Duration, server *admission.Server) {
	call := n.sent[0]
	n.sent = nil
	if call.answer == nil {
		answer := server.Lease(now, call.request)
		n.sent = append(n.sent, leasingCall{arrives: now + time.Millisecond, request: call.request, answer: &answer})
		return
	}
	n.retryAt = now + call.answer.Grants[0].RetryAfter
	for _, b := range n.client.HandleResponse(now, call.request.Sequence, *call.answer) {
		for len(n.waiting) > 0 {
			if ok, _ := b.Spend(now); !ok {
				break
			}
			n.waiting = n.waiting[1:]
		}
	}
	n.client.Publish(customer)
}
