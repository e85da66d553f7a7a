package dispatch_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// Guards against a warm backend that is ramped up again after each planned stop or rebalancing, and against a cold backend
// that gets the load that its previous process handled.
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
			previous, next := net.nodes["i1"], net.nodes["i2"]
			previous.manage(1, "p1")
			previous.burst(t, 10*slots)
			previous.stop()
			next.manage(2, c.startID)
			next.burst(t, 2*slots)
			require.Equal(t, c.most, next.backends.maxRunning.Load())
		})
	}
}

// Guards against a cold backend that gets more requests at once after answers that are no successes: it answers 504 when its session
// lapses under a request, and 500 while it has collapsed.
func TestFailedAnswersDoNotWarmABackend(t *testing.T) {
	const slots = 3
	for _, c := range []struct {
		status int
		most   int64
	}{
		{http.StatusGatewayTimeout, 1},
		{http.StatusInternalServerError, 1},
		{http.StatusNotFound, slots},
	} {
		t.Run(http.StatusText(c.status), func(t *testing.T) {
			net := newNetwork()
			n := net.node(t, "i1", nil)
			n.backends.do = func(context.Context, *backend.Call) (*backend.Answer, error) {
				time.Sleep(2 * time.Millisecond)
				a := answer("ok")
				a.Status = c.status
				return a, nil
			}
			n.setUp(slots, "i1")
			n.manage(1, "p1")
			n.burst(t, 10*slots)
			n.burst(t, 2*slots)
			require.Equal(t, c.most, n.backends.maxRunning.Load())
		})
	}
}

// manage makes the node the primary of a backend with the start id.
func (n *node) manage(term entity.Term, startID string) {
	n.becomePrimary(term)
	n.deliver(service.BackendStarted{Backend: testBackend, StartID: startID})
	n.flush()
}

// burst sends requests concurrently and waits for their answers.
func (n *node) burst(t *testing.T, count int) {
	t.Helper()
	var done sync.WaitGroup
	for range count {
		done.Go(func() { n.do(n.get("a")) })
	}
	done.Wait()
}
