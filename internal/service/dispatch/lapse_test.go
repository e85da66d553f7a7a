package dispatch_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// Guards against callers that wait for a frozen backend until their deadline although its session has lapsed and its keys
// have another owner.
func TestRequestsEndWhenTheirOwnerHasLapsed(t *testing.T) {
	n := newNetwork().node(t, "i1", nil)
	began := make(chan struct{}, 2)
	n.backends.do = func(ctx context.Context, _ *backend.Call) (*backend.Answer, error) {
		began <- struct{}{}
		<-ctx.Done()
		return nil, failure(backend.FailureBroken)
	}
	n.setUp(1, "i1")
	n.becomePrimary(1)
	done := make(chan entity.Outcome, 1)
	go func() {
		o, _ := n.do(n.get("a"))
		done <- o
	}()
	receive(t, began)
	partition := service.PartitionEpoch{Service: testService, Partition: 0, Epoch: testEpoch}
	other := partition
	other.Epoch++
	n.deliver(service.PartitionsLapsed{Backend: testBackend, Partitions: []service.PartitionEpoch{other}})
	n.deliver(service.OwnershipChanged{View: testView("b2", testEpoch+1, []entity.InstanceID{"i1"})})
	n.flush()
	select {
	case <-done:
		t.Fatal("the request was ended by the lapse of another epoch")
	default:
	}
	n.deliver(service.PartitionsLapsed{Backend: testBackend, Partitions: []service.PartitionEpoch{partition}})
	require.Equal(t, entity.OutcomeUnknown, receive(t, done).Kind)
	require.EqualValues(t, 1, n.backends.sends.Load())
}
