package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// Guards against a wait that is too short: a zone that recovered and was lost again within one read must be waited for
// from the second loss on.
func TestWaitRestartsWithEachLoss(t *testing.T) {
	lost := lossTimes{}
	began, _ := lost.update(time.Second, &ownership.View{LostZones: map[entity.Zone]entity.Offset{"a": 5}})
	require.Equal(t, []entity.Zone{"a"}, began)
	lost.update(2*time.Second, &ownership.View{LostZones: map[entity.Zone]entity.Offset{"a": 5}})
	require.Equal(t, time.Second, lost["a"].appliedAt)
	lost.update(9*time.Second, &ownership.View{LostZones: map[entity.Zone]entity.Offset{"a": 8}})
	require.Equal(t, 9*time.Second, lost["a"].appliedAt)
	_, ended := lost.update(10*time.Second, &ownership.View{})
	require.Equal(t, []entity.Zone{"a"}, ended)
}
