package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
)

// leaving is the message that a process has stated that it is leaving.
func (h *harness) leaving(id string, incarnation int64) kernel.Message {
	process := keyrange.Holder{ID: entity.BackendID(id), Incarnation: incarnation}
	return service.BackendsLeaving{Processes: []uint64{process.Hash()}, At: h.clock.Now()}
}

// Guards against a backend that is used again although it has said that it is leaving: its record still says ready, is read later,
// or was removed and is returned by a store that lags.
func TestStatementOfLeavingIsFinalForAProcess(t *testing.T) {
	h := newHarness(t)
	h.send(read(entry("a", 1, 0), entry("b", 1, 0)))
	view := h.send(h.leaving("a", 1))
	require.True(t, view.Backends["a"].Draining)
	require.Equal(t, h.clock.Now(), view.Backends["a"].LastActiveAt)
	require.False(t, view.Backends["b"].Draining)
	h.clock.Advance(5 * time.Second)
	require.True(t, h.send(read(entry("a", 1, 0))).Backends["a"].Draining, "an older record")
	require.NotContains(t, h.send(read(service.BackendEntry{ID: "a"})).Backends, entity.BackendID("a"))
	require.True(t, h.send(read(entry("a", 1, 0))).Backends["a"].Draining, "a record that comes back")
	require.False(t, h.send(read(entry("a", 2, 0))).Backends["a"].Draining, "a new process is not affected")
}

// Guards against a statement that is lost because it arrives before the record of the backend has been read.
func TestStatementOfLeavingBeforeTheRecord(t *testing.T) {
	h := newHarness(t)
	view := h.send(h.leaving("a", 1), read(entry("a", 1, 0)))
	require.True(t, view.Backends["a"].Draining)
}

// Guards against a drain time that begins anew when a leaving backend is reported again, or that begins with an answer although the
// record said it earlier.
func TestDrainTimeBeginsWithTheFirstReport(t *testing.T) {
	h := newHarness(t)
	h.send(read(entry("a", 1, 0)))
	first := h.clock.Now()
	h.send(h.leaving("a", 1))
	h.clock.Advance(time.Second)
	require.Equal(t, first, h.send(h.leaving("a", 1)).Backends["a"].LastActiveAt)
	draining := entry("a", 1, 0)
	draining.Backend.Draining = true
	record := read(draining)
	record.PreviousReadAt = first - time.Second
	require.Equal(t, first-time.Second, h.send(record).Backends["a"].LastActiveAt)
}
