package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// newEra is the first read of a later era of the store.
func newEra(entries ...service.BackendEntry) service.BackendsRead {
	return service.BackendsRead{Entries: entries, Complete: true, NewEra: true}
}

// Guards against backends that are dropped because the store has lost their records, against a terminated process that is listed
// again by a record in the copy, and against one that stays listed although nobody writes its record again.
func TestRecordsOfAnOlderCopy(t *testing.T) {
	h := newHarness(t)
	h.send(read(entry("kept", 1, 0), entry("gone", 1, 0), entry("ended", 1, 0), entry("restarted", 1, 0)))
	h.clock.Advance(time.Second)
	ended := read(service.BackendEntry{ID: "ended"}, entry("restarted", 2, 0))
	require.NotContains(t, h.send(ended).Backends, entity.BackendID("ended"))
	h.clock.Advance(time.Second)

	view := h.send(newEra(entry("ended", 1, 0), entry("restarted", 1, 0)))
	require.NotContains(t, view.Backends, entity.BackendID("ended"), "a record that was written before the process ended")
	require.Equal(t, int64(2), view.Backends["restarted"].Incarnation, "a record of the earlier process")
	require.Contains(t, view.Backends, entity.BackendID("kept"))
	require.Contains(t, view.Backends, entity.BackendID("gone"))
	h.clock.Advance(2 * time.Second)
	h.send(read(entry("kept", 1, 0), entry("restarted", 2, 0)))
	h.clock.Advance(300 * time.Millisecond)
	view = h.send()
	require.Contains(t, view.Backends, entity.BackendID("kept"))
	require.NotContains(t, view.Backends, entity.BackendID("gone"))
	require.Contains(t, h.send(read(entry("ended", 1, 0))).Backends, entity.BackendID("ended"), "a process that writes its record runs")
	h.clock.Advance(time.Second)
	require.Contains(t, h.send(newEra(entry("ended", 1, 0))).Backends, entity.BackendID("ended"), "listed again before the next era")
}
