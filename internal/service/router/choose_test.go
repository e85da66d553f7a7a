package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/service"
)

// Guards against requests to a leaving owner of keys for a fixed time after an instance has learned of it: one that learns late
// must use it for a shorter time, or not at all.
func TestLeavingOwnerIsUsedWithinItsTimeOnly(t *testing.T) {
	const since, drainTime = time.Minute, 2500 * time.Millisecond
	s := &Service{site: service.InstanceConfig{DrainTime: drainTime}}
	c := &request{fleet: &service.DirectoryView{}}
	leaving := &catalog.Backend{Draining: true, LastActiveAt: since}
	require.True(t, s.mayUse(c, leaving, since+time.Second))
	require.False(t, s.mayUse(c, leaving, since+drainTime-500*time.Millisecond), "the way of the request takes time too")
	require.False(t, s.mayUse(c, leaving, since+drainTime))
	require.True(t, s.mayUse(c, &catalog.Backend{}, since+drainTime), "it does not leave")
}
