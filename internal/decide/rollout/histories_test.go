package rollout_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/rollout"
)

// Bounds of docs/design/hard-load.md, section 1.1.
const (
	exposeShare  = 0.1
	slack        = 50.0
	rollbackTime = 5 * time.Second
)

// Delays of the simulated deployment: counts reach the coordinator with a heartbeat, its decision the instances with another one.
const (
	step        = 50 * time.Millisecond
	reportDelay = 200 * time.Millisecond
	decideEvery = 100 * time.Millisecond
	applyDelay  = 250 * time.Millisecond
	canaryCount = 2
	zoneCount   = 3
)

// world is one simulated service during an order.
type world struct {
	random   *rand.Rand
	duration time.Duration
	rate     float64 // requests per second
	routes   []time.Duration
	sigma    float64 // of the logarithm of latencies
	failures float64 // share of failures of both versions
	loadSlow float64 // factor of the latencies of a new version that has all the load
	// Faults of the environment in a period, which say nothing about the version.
	from, to            time.Duration
	bothSlow            float64 // factor for all backends
	zoneSlow            float64 // factor in zone 0
	canarySlow          float64 // factor at the first canary
	oldCrash, newCrash  bool    // a process fails its requests at the beginning of the period
	oldFailures         float64 // share of failures of the old version
	newFailures         float64 // and of the new one
	stall               bool    // the first canary answers nothing in the period
	badFrom             time.Duration
	badFailed, badSlow  float64 // share of the new version's answers that fail or are slow
	badFactor           float64 // by which they are slower
	badRoute            int     // -1 for all routes
	badLoad             float64 // share of the traffic from which the version is bad
	bad                 bool
	crashedOld, crashed bool
}

func newWorld(seed uint64) *world {
	r := rand.New(rand.NewPCG(seed, 17))
	w := &world{
		random:   r,
		duration: []time.Duration{8 * time.Second, 12 * time.Second, 20 * time.Second}[r.IntN(3)],
		rate:     60 * math.Exp(r.Float64()*math.Log(15)), // 60 to 900
		sigma:    0.3 + 0.4*r.Float64(),
		loadSlow: 1 + 0.6*r.Float64(),
		badRoute: -1,
	}
	for range 1 + r.IntN(4) {
		w.routes = append(w.routes, time.Duration(15+r.IntN(80))*time.Millisecond)
	}
	if r.IntN(2) == 0 {
		w.failures = 0.02 * r.Float64()
	}
	w.from = time.Duration(r.Float64() * 0.8 * float64(w.duration))
	w.to = w.from + time.Second + time.Duration(r.Float64()*4*float64(time.Second))
	return w
}

// goodWorld returns a world whose new version is as good as the old one, possibly with a fault of the environment.
func goodWorld(seed uint64) *world {
	w := newWorld(seed)
	factor := 3 + 3*w.random.Float64()
	switch seed % 7 {
	case 1:
		// A slowness of the whole service that begins after the switch cannot be told from a version that is slow under load.
		w.bothSlow, w.to = factor, min(w.to, rollout.SwitchAt(w.duration))
	case 2:
		w.zoneSlow = factor
	case 3:
		w.oldCrash, w.newCrash = true, true
	case 4:
		w.oldFailures = 0.3
	case 5:
		w.oldFailures, w.newFailures, w.to = 0.3, 0.3, min(w.to, rollout.SwitchAt(w.duration))
	case 6:
		w.rate = 8
	}
	return w
}

// canaryWorld returns a world whose new version is good but one of whose two canaries is slow or stands still for a time.
func canaryWorld(seed uint64) *world {
	w := newWorld(seed)
	if seed%2 == 0 {
		w.canarySlow = 3 + 3*w.random.Float64()
	} else {
		w.stall, w.to = true, w.from+600*time.Millisecond
	}
	return w
}

// badWorld returns a world whose new version is bad at once, later, on one route or under load.
func badWorld(seed uint64) *world {
	w := newWorld(seed)
	w.bad = true
	if seed%2 == 0 {
		w.badFailed = 0.1 + 0.4*w.random.Float64()
	} else {
		w.badSlow, w.badFactor = 0.3+0.7*w.random.Float64(), 3+3*w.random.Float64()
	}
	switch seed / 2 % 4 {
	case 1:
		w.badFrom = time.Duration(w.random.Float64() * 0.85 * float64(rollout.SwitchAt(w.duration)))
	case 2:
		w.badRoute = w.random.IntN(len(w.routes))
	case 3:
		w.badLoad = (0.5 + 0.45*w.random.Float64()) * 0.8 * exposeShare
	}
	return w
}

// answer draws the answer of one request. It reports whether the version, and not the environment, is to blame for it.
func (w *world) answer(now time.Duration, route, zone, canary int, isNew bool, share float64, load bool) (failed bool, took time.Duration, toBlame bool) {
	r := w.random
	during := now >= w.from && now < w.to
	factor := math.Exp(w.sigma * r.NormFloat64())
	if isNew && load {
		factor *= w.loadSlow
	}
	if during {
		if w.bothSlow > 0 {
			factor *= w.bothSlow
		}
		if w.zoneSlow > 0 && zone == 0 {
			factor *= w.zoneSlow
		}
		if w.canarySlow > 0 && isNew && canary == 0 && !load {
			factor *= w.canarySlow
		}
		failed = !isNew && r.Float64() < w.oldFailures || isNew && r.Float64() < w.newFailures
	}
	failed = failed || r.Float64() < w.failures
	if isNew && w.bad && now >= w.badFrom && share >= w.badLoad && (w.badRoute < 0 || w.badRoute == route) {
		if r.Float64() < w.badFailed {
			failed, toBlame = true, true
		}
		if r.Float64() < w.badSlow {
			factor *= w.badFactor
			toBlame = true
		}
	}
	return failed, time.Duration(float64(w.routes[route]) * factor), toBlame
}

// result is what was measured of one history.
type result struct {
	phase        rollout.Phase
	reason       string
	endedAt      time.Duration
	sentNew, all int
	firstBad     time.Duration // time of the first bad answer, -1 if there was none
	fiftieth     time.Duration
	lastNew      time.Duration // time of the last request to the new version
	badAnswers   int
	badAtSwitch  int // bad answers sent before the switch
}

// run simulates one order.
func (w *world) run() result {
	res := result{phase: rollout.Running, firstBad: -1, fiftieth: -1}
	meter, comparison := rollout.NewMeter(rollout.Burst(slack, 1)), rollout.NewComparison()
	totals := rollout.Totals{}
	type arrival struct {
		at      time.Duration
		stratum rollout.Stratum
		isNew   bool
		group   int
		failed  bool
		took    time.Duration
	}
	var arrivals []arrival // counts that have not reached the coordinator
	applied := rollout.Running
	type change struct {
		at    time.Duration
		phase rollout.Phase
	}
	var changes []change
	for now := time.Duration(0); now < w.duration+2*time.Second; now += step {
		for len(changes) > 0 && changes[0].at <= now {
			applied, changes = changes[0].phase, changes[1:]
		}
		if res.phase.Ended() && len(changes) == 0 {
			break
		}
		share := rollout.Share(now, w.duration, exposeShare)
		for n := poisson(w.random, w.rate*step.Seconds()); n > 0; n-- {
			isNew := applied == rollout.Switching || applied == rollout.Completed || applied == rollout.Running && meter.Reserve(now)
			meter.Sent(isNew, share)
			load := applied != rollout.Running
			if load {
				share = 1
			}
			route, zone, canary := w.random.IntN(len(w.routes)), w.random.IntN(zoneCount), w.random.IntN(canaryCount)
			if isNew && !load {
				zone = canary // one canary in zone 0 and one in zone 1
			} else if isNew {
				canary = zone % rollout.Groups // after the switch the groups are those of zones
			}
			if now < w.duration {
				res.all++
			}
			failed, took, toBlame := w.answer(now, route, zone, canary, isNew, share, load)
			if w.stall && isNew && canary == 0 && now >= w.from && now < w.to {
				took += w.to - now
			}
			if w.newCrash && isNew && !w.crashed && now >= w.from {
				w.crashed, failed = true, true // requests that end together with a process are counted once
			}
			if w.oldCrash && !isNew && !w.crashedOld && now >= w.from {
				w.crashedOld, failed = true, true
			}
			if isNew {
				res.sentNew++
				res.lastNew = now
			}
			if toBlame {
				res.badAnswers++
				if res.badAnswers == 1 {
					res.firstBad = now + took
				}
				if res.badAnswers == 50 {
					res.fiftieth = now + took
				}
			}
			arrivals = append(arrivals, arrival{now + took + reportDelay, rollout.Stratum{Route: string(rune('a' + route)), Zone: string(rune('x' + zone))},
				isNew, canary, failed, took})
		}
		if now%decideEvery != 0 || res.phase.Ended() {
			continue
		}
		arrivals = slices.DeleteFunc(arrivals, func(a arrival) bool {
			if a.at > now {
				return false
			}
			pair := totals.At(a.stratum)
			counts := &pair.Old
			if a.isNew {
				counts = &pair.New[a.group]
			}
			counts.Answers++
			if a.failed {
				counts.Failed++
			} else {
				counts.Latencies[rollout.Bucket(a.took)]++
			}
			return true
		})
		verdict := comparison.Observe(now, totals, res.phase == rollout.Switching)
		phase, reason := rollout.Next(rollout.Progress{
			Phase: res.phase, Age: now, Duration: w.duration, Verdict: verdict, NewAnswers: totals.NewAnswers(), NewSlots: 10, OldSlots: 10,
			Majority: true, Applied: applied == rollout.Switching, KeysMoved: true,
		})
		if phase != res.phase {
			if phase == rollout.Switching {
				res.badAtSwitch = res.badAnswers
			}
			res.phase, res.reason = phase, reason
			changes = append(changes, change{now + applyDelay, phase})
			if phase.Ended() {
				res.endedAt = now
			}
		}
	}
	return res
}

func poisson(r *rand.Rand, mean float64) int {
	n, p, limit := 0, 1.0, math.Exp(-mean)
	for {
		p *= r.Float64()
		if p <= limit {
			return n
		}
		n++
	}
}

// histories is the number of simulated orders of each kind.
const histories = 200

// Guards against a good version that is rolled back because of a fault of the environment, chance, or few requests, and against one
// that is not completed in time.
func TestGoodVersionsAreCompleted(t *testing.T) {
	latest := time.Duration(0)
	for seed := range uint64(histories) {
		w := goodWorld(seed)
		r := w.run()
		require.Equal(t, rollout.Completed, r.phase, "seed %d of kind %d: %s", seed, seed%7, r.reason)
		require.LessOrEqual(t, r.endedAt, w.duration, "seed %d", seed)
		latest = max(latest, w.duration-r.endedAt)
	}
	t.Logf("%d good versions: no false verdict; all completed before the end, the earliest by %v", histories, latest)
}

// Guards against a test that takes a fault of one canary for one of the version. A backend of two that is slow for seconds gives half
// of the answers, so that a few of these are expected.
func TestFaultOfOneCanaryIsSeldomBlamedOnTheVersion(t *testing.T) {
	const most = 0.1
	blamed := 0
	for seed := range uint64(histories) {
		if r := canaryWorld(seed).run(); r.phase != rollout.Completed {
			blamed++
			t.Logf("seed %d: %s", seed, r.reason)
		}
	}
	t.Logf("%d good versions with a slow canary or one that stood still: %d rolled back", histories, blamed)
	require.LessOrEqual(t, float64(blamed), most*histories)
}

// Guards against bad versions that are found too late or get too many requests. The exposure bound can hold only for versions that show
// their fault before the switch: after it, a version gets all requests.
func TestBadVersionsAreRolledBack(t *testing.T) {
	const (
		mostMissed = 0.01
		shown      = 12 // bad answers before the switch from which the exposure bound must hold
	)
	var times []time.Duration
	missed, exposed := 0, 0
	worstShare, worstExcess, worstAfter := 0.0, 0.0, time.Duration(0)
	for seed := range uint64(histories) {
		w := badWorld(seed)
		r := w.run()
		if r.phase == rollout.RolledBack {
			times = append(times, r.endedAt+applyDelay-r.firstBad)
		} else {
			missed++
			t.Logf("seed %d missed: %d of %d answers bad, %d before the switch", seed, r.badAnswers, r.sentNew, r.badAtSwitch)
		}
		if r.fiftieth >= 0 {
			worstAfter = max(worstAfter, r.lastNew-r.fiftieth)
		}
		worstShare = max(worstShare, float64(r.sentNew)/float64(r.all))
		excess := float64(r.sentNew) - exposeShare*float64(r.all)
		worstExcess = max(worstExcess, excess)
		if excess > slack {
			exposed++
			t.Logf("seed %d exposed: %d of %d requests, %d bad answers before the switch, %s", seed, r.sentNew, r.all, r.badAtSwitch, r.reason)
			require.Less(t, r.badAtSwitch, shown, "seed %d", seed)
		}
	}
	slices.Sort(times)
	t.Logf("%d bad versions: %d missed; from the first bad answer to the rollback: median %v, worst %v; last request at most %v after "+
		"the 50th bad answer; %d above the exposure limit; largest share of requests %.1f%%, at most %.0f requests above the share",
		histories, missed, times[len(times)/2], times[len(times)-1], worstAfter, exposed, 100*worstShare, worstExcess)
	require.LessOrEqual(t, worstAfter, rollbackTime)
	require.LessOrEqual(t, float64(missed), mostMissed*histories)
}

// Guards against any bad version that is completed or gets more requests than the exposure limit allows.
func TestAllBadVersionsStayWithinTheExposureLimit(t *testing.T) {
	for seed := range uint64(histories) {
		r := badWorld(seed).run()
		require.LessOrEqual(t, float64(r.sentNew), exposeShare*float64(r.all)+slack, "seed %d", seed)
		require.Equal(t, rollout.RolledBack, r.phase, "seed %d", seed)
	}
}

// Guards against a good version that is rolled back because one of its two canaries is slow or stands still for a time.
func TestNoFaultOfOneCanaryIsBlamedOnTheVersion(t *testing.T) {
	for seed := range uint64(histories) {
		require.Equal(t, rollout.Completed, canaryWorld(seed).run().phase, "seed %d", seed)
	}
}
