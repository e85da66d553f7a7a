package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// Guards against a wait that is too short: a zone that came back and was lost again within one read is waited for anew.
func TestWaitBeginsAnewWithEachLoss(t *testing.T) {
	lost := lossTimes{}
	began, _ := lost.applied(time.Second, &ownership.View{LostZones: map[entity.Zone]entity.Offset{"a": 5}})
	require.Equal(t, []entity.Zone{"a"}, began)
	lost.applied(2*time.Second, &ownership.View{LostZones: map[entity.Zone]entity.Offset{"a": 5}})
	require.Equal(t, time.Second, lost["a"].appliedAt)
	lost.applied(9*time.Second, &ownership.View{LostZones: map[entity.Zone]entity.Offset{"a": 8}})
	require.Equal(t, 9*time.Second, lost["a"].appliedAt)
	_, ended := lost.applied(10*time.Second, &ownership.View{})
	require.Equal(t, []entity.Zone{"a"}, ended)
}
