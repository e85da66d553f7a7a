package dispatch_test

import (
	"context"
	"io"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// emptyAnswer saves allocations in the fake backend, so that the benchmarks measure only the path from admission to the end
// of the answer.
var emptyAnswer = &backend.Answer{Status: 204}

func benchmark(b *testing.B, slots int, run func(n *node)) {
	net := newNetwork()
	for _, id := range []entity.InstanceID{"i1", "i2", "i3"} {
		net.node(b, id, nil).setUp(slots, "i1", "i2", "i3")
	}
	n := net.nodes["i1"]
	n.becomePrimary(1)
	n.backends.do = func(context.Context, *backend.Call) (*backend.Answer, error) { return emptyAnswer, nil }
	for range 10 * slots {
		o, _ := n.do(n.get("warm"))
		require.Equal(b, entity.Answered(), o)
	}
	b.ReportAllocs()
	b.ResetTimer()
	run(n)
}

func (n *node) must(b testing.TB, req *service.Request) {
	resp := n.service.Dispatch(context.Background(), req)
	if resp.Outcome.Kind != entity.OutcomeAnswered {
		b.Fatal(resp.Outcome)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// BenchmarkDispatch measures the path of an idempotent request with a free slot.
func BenchmarkDispatch(b *testing.B) {
	benchmark(b, 3, func(n *node) {
		req := n.get("a")
		for b.Loop() {
			req.Deadline = n.kernel.Now() + testWait
			n.must(b, req)
		}
	})
}

// BenchmarkDispatchQueued measures the path through the queue: more callers than slots.
func BenchmarkDispatchQueued(b *testing.B) {
	benchmark(b, 2, func(n *node) {
		b.SetParallelism(4)
		b.RunParallel(func(pb *testing.PB) {
			req := n.get("a")
			for pb.Next() {
				req.Deadline = n.kernel.Now() + testWait
				n.must(b, req)
			}
		})
	})
}

// BenchmarkDispatchOrder measures an at-most-once request that is copied to another instance in this process.
func BenchmarkDispatchOrder(b *testing.B) {
	benchmark(b, 3, func(n *node) {
		number := 0
		for b.Loop() {
			number++
			n.must(b, n.order(strconv.Itoa(number)))
			if number%100_000 == 0 {
				// Records expire after the idempotency window. Without this the memory would be full.
				n.clock.ahead.Add(int64(processAge))
			}
		}
	})
}
