package dispatch_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// Guards against a request path that returns no answer, and against requests sent by an instance that is not the primary or
// for an epoch that is not current.
func TestOnlyThePrimarySends(t *testing.T) {
	n := newNetwork().node(t, "i1", nil)
	n.setUp(2, "i1")
	o, _ := n.do(n.get("a"))
	require.Equal(t, entity.ReasonNotHolder, o.Reason)
	require.Equal(t, entity.OutcomeNotRun, o.Kind)
	n.becomePrimary(1)
	o, body := n.do(n.get("a"))
	require.Equal(t, entity.Answered(), o)
	require.Equal(t, "ok", body)
	stale := n.get("a")
	stale.Epoch--
	o, _ = n.do(stale)
	require.Equal(t, entity.NotRun(entity.ReasonFenced, o.Detail), o)
	n.loseLease("i2")
	resp := n.service.Dispatch(context.Background(), n.get("a"))
	require.Equal(t, entity.ReasonNotHolder, resp.Outcome.Reason)
	require.Equal(t, entity.InstanceID("i2"), resp.Holder)
	require.EqualValues(t, 1, n.backends.sends.Load())
}

// Guards against more concurrent requests at a backend than it has slots, and against more than one at a cold backend.
func TestSlotsAreNeverExceeded(t *testing.T) {
	const slots = 3
	n := newNetwork().node(t, "i1", nil)
	n.backends.do = func(context.Context, *backend.Call) (*backend.Answer, error) {
		time.Sleep(time.Millisecond)
		return answer("ok"), nil
	}
	n.setUp(slots, "i1")
	n.becomePrimary(1)
	burst := func(count int) {
		var done sync.WaitGroup
		for range count {
			done.Go(func() {
				o, _ := n.do(n.get("a"))
				require.Equal(t, entity.Answered(), o)
			})
		}
		done.Wait()
	}
	burst(10)
	require.EqualValues(t, 1, n.backends.maxRunning.Load(), "cold")
	burst(100)
	require.EqualValues(t, slots, n.backends.maxRunning.Load(), "warm")
}
