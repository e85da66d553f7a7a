package dispatch_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// Guards against senders that return to a stopping instance again and again because it does not name the new primary.
func TestStoppingInstanceNamesTheNewPrimary(t *testing.T) {
	n := newNetwork().node(t, "i1", nil)
	n.setUp(2, "i1", "i2")
	n.becomePrimary(1)
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	require.NoError(t, n.service.Drain(ctx))
	resp := n.service.Dispatch(context.Background(), n.order("a"))
	require.Equal(t, entity.NotRun(entity.ReasonStopping, ""), resp.Outcome, "the instance still holds the lease")
	n.loseLease("i2")
	resp = n.service.Dispatch(context.Background(), n.order("b"))
	require.Equal(t, entity.OutcomeNotRun, resp.Outcome.Kind)
	require.Equal(t, entity.ReasonNotHolder, resp.Outcome.Reason)
	require.Equal(t, entity.InstanceID("i2"), resp.Holder)
	require.Zero(t, n.backends.sends.Load())
}
