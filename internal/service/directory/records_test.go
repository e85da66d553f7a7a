package directory_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// foreign returns the record of another writer: its service is not configured.
func foreign(id string, incarnation int64) service.BackendEntry {
	e := entry(id, incarnation, 0)
	e.Backend.Service = "agent"
	return e
}

// configWithAgent configures the service of foreign as well.
func configWithAgent(t *testing.T, version uint64) service.ConfigRead {
	t.Helper()
	c, err := catalog.New(version, nil, []*catalog.Service{{Name: "s"}, {Name: "agent"}}, catalog.Access{Open: true}, catalog.CallerLimits{})
	require.NoError(t, err)
	return service.ConfigRead{Config: c}
}

// Guards against a record of another writer that is taken for a backend: at the address of an owner it counted as proof that the owner had
// terminated, and under an owner's ID it replaced the owner's record.
func TestRecordOfAnUnconfiguredServiceListsNoBackend(t *testing.T) {
	h := newHarness(t)
	h.send(read(entry("e1", 1, 0)))
	view := h.send(read(foreign("agent-1", 9), foreign("e1", 9)))
	require.Len(t, view.Backends, 1)
	require.Equal(t, entity.ServiceName("s"), view.Backends["e1"].Service)
	require.Equal(t, int64(1), view.Backends["e1"].Incarnation)
	view = h.send(service.BackendsRead{Entries: []service.BackendEntry{entry("e1", 1, 0), foreign("agent-1", 9)}, Complete: true})
	require.Len(t, view.Backends, 1, "after a complete read")
}

// Guards against backends of a new service that are not used because their records were read before the configuration.
func TestRecordReadBeforeItsServiceIsConfigured(t *testing.T) {
	h := newHarness(t)
	h.send(read(foreign("new", 9), foreign("gone", 9)), read(service.BackendEntry{ID: "gone"}))
	view := h.send(configWithAgent(t, 2))
	require.Contains(t, view.Backends, entity.BackendID("new"))
	require.NotContains(t, view.Backends, entity.BackendID("gone"), "removed before the service was configured")
}

// Guards against backends that are dropped, and whose keys lose their owner, because their service is missing in one configuration.
func TestBackendsOfARemovedServiceStayKnown(t *testing.T) {
	h := newUnconfiguredHarness(t)
	h.send(configWithAgent(t, 1), read(foreign("a", 5)))
	require.Contains(t, h.send(config(t, 2), read(foreign("a", 5))).Backends, entity.BackendID("a"))
	require.Contains(t, h.send(configWithAgent(t, 3)).Backends, entity.BackendID("a"))
	require.NotContains(t, h.send(config(t, 4), read(service.BackendEntry{ID: "a"})).Backends, entity.BackendID("a"))
}

// Guards against a backend that is dropped because another writer has replaced its record by one that cannot be used, when all records
// are read anew.
func TestInvalidRecordDoesNotRemoveABackend(t *testing.T) {
	h := newHarness(t)
	h.send(read(entry("e1", 1, 0)))
	invalid := service.BackendEntry{ID: "e1", Invalid: true}
	require.Contains(t, h.send(service.BackendsRead{Entries: []service.BackendEntry{invalid}, Complete: true}).Backends, entity.BackendID("e1"))
	require.NotContains(t, h.send(service.BackendsRead{Complete: true}).Backends, entity.BackendID("e1"))
}
