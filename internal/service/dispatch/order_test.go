package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// executionCounts counts the sends that may have been executed, by idempotency key.
type executionCounts struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *executionCounts) add(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key]++
}

func (l *executionCounts) get(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

// Guards against an order that runs twice, or that is reported as not run after a send that may have arrived. Orders are
// repeated concurrently while backends fail, members are unreachable and the primary changes.
func TestOrdersRunAtMostOnceUnderFaults(t *testing.T) {
	const seed, rounds, keys = 1, 60, 6
	random := rand.New(rand.NewPCG(seed, seed))
	net := newNetwork()
	ids := []entity.InstanceID{"i1", "i2", "i3"}
	sent := &executionCounts{runs: map[string]int{}}
	for i, id := range ids {
		n := net.node(t, id, nil)
		n.setUp(2, ids...)
		faults := rand.New(rand.NewPCG(seed, uint64(i)))
		var mu sync.Mutex
		n.backends.do = func(_ context.Context, call *backend.Call) (*backend.Answer, error) {
			mu.Lock()
			fault := faults.IntN(8)
			mu.Unlock()
			if fault == 0 {
				return nil, failure(backend.FailureShed)
			}
			sent.add(call.Key)
			if fault == 1 {
				return nil, failure(backend.FailureBroken)
			}
			return answer("ok"), nil
		}
	}
	disconnectPeers := func(primary int) {
		for i, id := range ids {
			net.setDown(string(id), i != primary && random.IntN(2) == 0)
		}
	}
	term, at := entity.Term(1), 0
	net.nodes[string(ids[at])].becomePrimary(term)
	first := map[string]int{} // round of the first attempt
	for round := range rounds {
		// A minute per round: the memory of a primary that took over without its peers covers recent orders again.
		for _, n := range net.nodes {
			n.clock.ahead.Add(int64(time.Minute))
		}
		n := net.nodes[string(ids[at])]
		disconnectPeers(at)
		var done sync.WaitGroup
		for range 4 {
			key := fmt.Sprintf("%d-%d", round/4, random.IntN(keys))
			if _, repeat := first[key]; !repeat {
				first[key] = round
			}
			age := time.Duration(round-first[key]) * time.Minute
			done.Go(func() {
				before := sent.get(key)
				req := n.order(key)
				req.Age = age
				req.Deadline = n.kernel.Now() + time.Second
				o, _ := n.do(req)
				// Not-holder is sent to other instances and concerns this attempt only: they try the next instance.
				if o.Kind == entity.OutcomeNotRun && o.Reason != entity.ReasonNotHolder && before > 0 {
					t.Errorf("order %s: %v after %d sends", key, o, before)
				}
			})
		}
		change := random.IntN(3) == 0
		if change {
			n.loseLease("")
		}
		done.Wait()
		if !change {
			continue
		}
		at = (at + 1 + random.IntN(2)) % len(ids)
		disconnectPeers(at)
		term++
		net.nodes[string(ids[at])].becomePrimary(term)
	}
	answered := 0
	for key, runs := range sent.runs {
		require.LessOrEqual(t, runs, 1, "order %s", key)
		answered += runs
	}
	require.Greater(t, answered, keys, "some orders must run in spite of the faults")
}
