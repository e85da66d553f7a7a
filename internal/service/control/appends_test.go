package control_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/service/control"
	"github.com/pollenpier/pollenpier/operator"
)

// appendsPerLoss is one Move that marks the backend as down and reassigns all its partitions, and one Release. The log
// accepts several hundred appends a second, which must suffice when backends of many instances are lost at once.
const appendsPerLoss = 2

// Guards against a number of appends for a lost backend that grows with its partitions.
func TestAppendsPerLostBackend(t *testing.T) {
	c := newCluster(t)
	a := c.start("a", control.Settings{})
	a.deliver(t, service.ConfigChanged{Config: testConfig(operator.Zone{Name: "a"}), Version: 1})
	c.eventually("assigned", func() bool { return owners(a.view())["a1"] == 8 })
	before := len(c.log.Records(platformapi.StreamControl))
	a.deliver(t, service.BackendLost{Backend: "a1"})
	c.eventually("moving", func() bool { return owners(a.view())["moving"] == 8 })
	ready := service.ReleaseReady{Backend: "a1", Lapsed: true}
	for p, o := range a.view().Services["stock"].Owners {
		if o.Moving() {
			ready.Partitions = append(ready.Partitions,
				service.PartitionEpoch{Service: "stock", Partition: entity.Partition(p), Epoch: o.Epoch})
		}
	}
	a.deliver(t, ready)
	c.eventually("granted", func() bool { return owners(a.view())["a2"] == 16 })
	appends := len(c.log.Records(platformapi.StreamControl)) - before
	t.Logf("%d appends for a lost backend with 8 partitions", appends)
	require.LessOrEqual(t, appends, appendsPerLoss)
}
