package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/service"
)

// Guards against an instance that uses a leaving owner of keys for a fixed time after it has learned that the owner is leaving:
// an instance that learns of it late must use the owner for a shorter time, or not at all.
func TestLeavingOwnerIsUsedWithinItsGracePeriodOnly(t *testing.T) {
	const since, drainTime = time.Minute, 2500 * time.Millisecond
	s := &Service{instance: service.InstanceConfig{DrainTime: drainTime}}
	c := &request{view: &service.DirectoryView{}}
	leaving := &catalog.Backend{Draining: true, LastActiveAt: since}
	require.True(t, s.mayUse(c, leaving, since+time.Second))
	require.False(t, s.mayUse(c, leaving, since+drainTime-500*time.Millisecond), "the request needs time to arrive")
	require.False(t, s.mayUse(c, leaving, since+drainTime))
	require.True(t, s.mayUse(c, &catalog.Backend{}, since+drainTime), "the backend is not leaving")
}
