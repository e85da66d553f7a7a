package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// versioned returns the entry of a backend that runs a version.
func versioned(id, version string, incarnation int64) service.BackendEntry {
	e := entry(id, incarnation, 0)
	e.Backend.Version = version
	return e
}

func (h *harness) heldBack(id entity.BackendID) bool {
	b := h.directory.Directory().Backends[id]
	require.NotNil(h.t, b)
	return b.HeldBackUntil > h.clock.Now()
}

// Guards against requests to a new version before the order of its rollout has been read, against known versions that are held back, and
// against a version that is held back again with each new backend.
func TestNewVersionsAreHeldBack(t *testing.T) {
	const apply = 2 * time.Second
	h := newHarnessOf(t, service.InstanceConfig{Heartbeat: time.Second, DrainTime: drainTime, ConfigApply: apply, ExposureShare: 0.1})
	h.send(config(t, 1), service.BackendsRead{Entries: []service.BackendEntry{versioned("c", "v2", 3), versioned("a", "v1", 1), versioned("b", "v1", 4)}, Complete: true})
	require.False(t, h.heldBack("a"), "the version of the oldest process")
	require.False(t, h.heldBack("b"))
	require.True(t, h.heldBack("c"))
	h.clock.Advance(apply)
	require.False(t, h.heldBack("c"))
	h.send(read(versioned("d", "v2", 5), versioned("e", "v3", 6)))
	require.False(t, h.heldBack("d"))
	require.True(t, h.heldBack("e"))
	h.clock.Advance(time.Second)
	h.send(read(versioned("f", "v3", 7), versioned("e", "v3", 6)))
	h.clock.Advance(time.Second)
	require.False(t, h.heldBack("e"))
	require.False(t, h.heldBack("f"), "since the version was first seen")
	h.send(read(service.BackendEntry{ID: "e"}, service.BackendEntry{ID: "f"}), read(versioned("g", "v3", 8)))
	require.True(t, h.heldBack("g"), "all backends of the version had gone")
}

// Guards against backends that are held back where the platform knows no rollouts.
func TestNothingIsHeldBackWithoutRollouts(t *testing.T) {
	h := newHarnessOf(t, service.InstanceConfig{Heartbeat: time.Second, DrainTime: drainTime, ConfigApply: time.Second})
	h.send(config(t, 1), read(versioned("a", "v1", 1)), read(versioned("b", "v2", 2)))
	require.False(t, h.heldBack("b"))
}

// Guards against a record that changes the version of a running process, which only another writer can have left.
func TestProcessDoesNotChangeItsVersion(t *testing.T) {
	h := newHarness(t)
	view := h.send(read(versioned("a", "v1", 1)), read(versioned("a", "v2", 1)))
	require.Equal(t, "v1", view.Backends["a"].Version)
	view = h.send(read(versioned("a", "v2", 2)))
	require.Equal(t, "v2", view.Backends["a"].Version)
}
