package dispatch_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// Guards against a warm back end that is ramped up anew after each planned stop or rebalancing, and against a cold one that
// gets the load which its former process has borne.
func TestHandoverKeepsTheRampOfTheSameProcess(t *testing.T) {
	const slots = 3
	for _, c := range []struct {
		name    string
		startID string
		most    int64
	}{
		{"same process", "p1", slots},
		{"new process", "p2", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			net := newNetwork()
			for _, id := range []entity.InstanceID{"i1", "i2"} {
				n := net.node(t, id, nil)
				n.backends.do = func(context.Context, *backend.Call) (*backend.Answer, error) {
					time.Sleep(2 * time.Millisecond)
					return answer("ok"), nil
				}
				n.setUp(slots, "i1", "i2")
			}
			former, next := net.nodes["i1"], net.nodes["i2"]
			former.attend(1, "p1")
			former.burst(t, 10*slots)
			former.stop()
			next.attend(2, c.startID)
			next.burst(t, 2*slots)
			require.Equal(t, c.most, next.backends.most.Load())
		})
	}
}

// attend makes the node the primary of a back end that shows a start id.
func (n *node) attend(term entity.Term, startID string) {
	n.lead(term)
	n.deliver(service.BackendStarted{Backend: testBackend, StartID: startID})
	n.settle()
}

// burst sends requests at once and waits for their answers.
func (n *node) burst(t *testing.T, count int) {
	t.Helper()
	var done sync.WaitGroup
	for range count {
		done.Go(func() { n.do(n.get("a")) })
	}
	done.Wait()
}
