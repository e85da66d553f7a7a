package placement_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/backpressure"
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/decide/placement"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// Guards against stragglers that determine the tail latency of all keys: moving partitions from them must improve it.
// Stragglers take three times as long as other backends, so their queues grow without bound at this load.
func TestStragglersGetFewerPartitions(t *testing.T) {
	for _, stragglers := range []int{1, 2, 4} {
		plain := runStragglers(t, stragglers, false)
		reacting := runStragglers(t, stragglers, true)
		t.Logf("%d stragglers of 12: p99 %v, p99.9 %v, partitions moved %d; without reaction p99 %v, p99.9 %v", stragglers,
			reacting.at(0.99), reacting.at(0.999), reacting.moves, plain.at(0.99), plain.at(0.999))
		require.Less(t, reacting.at(0.99), plain.at(0.99))
	}
}

const (
	stragglerSlots       = 2
	stragglerServiceTime = 10 * time.Millisecond
	stragglerFactor      = 3
	stragglerLoad        = 0.4 // fraction of the capacity of healthy backends
	// stragglerStart excludes the time until the moves have taken effect.
	stragglerStart = 60 * time.Second
	stragglerEnd   = 180 * time.Second
	// moveTime is how long a moving partition is not served.
	moveTime = 100 * time.Millisecond
)

// simulation is a service in virtual time. Each backend serves its queue on its slots.
type simulation struct {
	t          *testing.T
	in         placement.Input
	slow       int
	free       [][]time.Duration // per backend and slot
	windows    [][]time.Duration // service times in the current window
	servedFrom []time.Duration   // per partition: when its move ends
	shares     map[entity.BackendID]float64
	changed    map[entity.BackendID]time.Duration
	detect     *backpressure.Stragglers
	waits      []time.Duration
	moves      int
}

func (s *simulation) at(quantile float64) time.Duration {
	slices.Sort(s.waits)
	return s.waits[int(quantile*float64(len(s.waits)-1))].Round(time.Millisecond)
}

func runStragglers(t *testing.T, slow int, react bool) *simulation {
	const partitions = 256
	s := &simulation{
		t: t, slow: slow, detect: backpressure.NewStragglers(), shares: map[entity.BackendID]float64{},
		changed: map[entity.BackendID]time.Duration{}, servedFrom: make([]time.Duration, partitions),
		in: placement.Input{Backends: backends(12), Owners: make([]ownership.Owner, partitions), Count: partitions},
	}
	for i := range s.in.Backends {
		s.in.Backends[i].Slots = stragglerSlots
		s.free = append(s.free, make([]time.Duration, stragglerSlots))
	}
	stabilize(t, &s.in)
	s.windows = make([][]time.Duration, len(s.in.Backends))
	rng := rand.New(rand.NewPCG(5, 6))
	rate := stragglerLoad * float64(len(s.in.Backends)*stragglerSlots) / stragglerServiceTime.Seconds()
	nextObservation := time.Second
	for now := time.Duration(0); now < stragglerEnd; {
		now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		for react && now >= nextObservation {
			s.observe(nextObservation)
			nextObservation += time.Second
		}
		s.serve(now, rng.IntN(partitions), rng.ExpFloat64())
	}
	return s
}

// serve runs a request on the first free slot of the owner. Service times are half constant and half exponential.
func (s *simulation) serve(now time.Duration, partition int, random float64) {
	owner := slices.IndexFunc(s.in.Backends, func(b placement.Backend) bool { return b.ID == s.in.Owners[partition].Backend })
	serviceTime := time.Duration((0.5 + 0.5*random) * float64(stragglerServiceTime))
	if owner < s.slow {
		serviceTime *= stragglerFactor
	}
	slot := &s.free[owner][0]
	for i := range s.free[owner] {
		if s.free[owner][i] < *slot {
			slot = &s.free[owner][i]
		}
	}
	start := max(now, *slot, s.servedFrom[partition])
	*slot = start + serviceTime
	s.windows[owner] = append(s.windows[owner], serviceTime)
	if now >= stragglerStart {
		s.waits = append(s.waits, *slot-now)
	}
}

// observe closes a window: it detects stragglers, changes their shares in the steps of the control service, and moves
// partitions.
func (s *simulation) observe(now time.Duration) {
	const least, step = 0.25, 5 * time.Second
	medians := map[entity.BackendID]time.Duration{}
	var known []entity.BackendID
	for i := range s.in.Backends {
		b := &s.in.Backends[i]
		known = append(known, b.ID)
		b.Rate = float64(len(s.windows[i]))
		if runs := s.windows[i]; len(runs) > 0 {
			slices.Sort(runs)
			medians[b.ID] = runs[len(runs)/2]
		}
		s.windows[i] = nil
	}
	s.detect.Observe(medians, known)
	for i := range s.in.Backends {
		b := &s.in.Backends[i]
		next, wait := min(1, 2*s.share(b.ID)), 2*step
		if s.detect.IsStraggler(b.ID) {
			next, wait = max(least, s.share(b.ID)/2), step
		}
		if last, ok := s.changed[b.ID]; next != s.share(b.ID) && (!ok || now-last >= wait) {
			s.shares[b.ID], s.changed[b.ID] = next, now
		}
		b.Factor = s.share(b.ID)
	}
	for _, m := range placement.Propose(s.in, placement.DefaultSettings()) {
		s.in.Owners[m.Partition].Backend = m.To
		s.servedFrom[m.Partition] = now + moveTime
		s.moves++
	}
}

func (s *simulation) share(id entity.BackendID) float64 {
	if factor, ok := s.shares[id]; ok {
		return factor
	}
	return 1
}

// Guards against a loss that moves more partitions than those of the lost backend, which would make other keys unavailable too.
func TestMovesPerLoss(t *testing.T) {
	for _, size := range []struct{ backends, partitions int }{{12, 256}, {41, 1024}, {1000, 16384}} {
		count := uint32(size.partitions)
		in := placement.Input{Backends: backends(size.backends), Owners: make([]ownership.Owner, count), Count: count}
		stabilize(t, &in)
		lost := &in.Backends[size.backends/2]
		owned := 0
		for _, o := range in.Owners {
			if o.Backend == lost.ID {
				owned++
			}
		}
		lost.State = placement.Lost
		moved, steps := stabilize(t, &in)
		t.Logf("%d backends, %d partitions: %d owned by the lost one, %d moved in %d steps",
			size.backends, size.partitions, owned, moved, steps)
		require.Positive(t, owned)
		require.Equal(t, owned, moved)
	}
}
