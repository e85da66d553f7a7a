package directory_test

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/service/directory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// sink accepts the messages to a subscriber of the directory. If the message is a channel, sink closes it.
type sink struct{ name kernel.Name }

func (s sink) Name() kernel.Name              { return s.name }
func (sink) Needs() []kernel.Name             { return nil }
func (sink) Provision(*kernel.Resolver) error { return nil }
func (sink) Start(context.Context) error      { return nil }
func (sink) Stop(context.Context) error       { return nil }

func (sink) Handle(_ *kernel.Turn, m kernel.Message) {
	if done, ok := m.(chan struct{}); ok {
		close(done)
	}
}

// drainTime is how long a leaving backend may still get new requests.
const drainTime = 2 * time.Second

// harness runs the directory on a clock that the test advances.
type harness struct {
	t         *testing.T
	clock     *kernel.ManualClock
	kernel    *kernel.Kernel
	directory *directory.Service
	metrics   metrics.Registry
}

// newHarness returns a directory with the configuration of config.
func newHarness(t *testing.T) *harness {
	t.Helper()
	h := newUnconfiguredHarness(t)
	h.send(config(t, 1))
	return h
}

func newUnconfiguredHarness(t *testing.T) *harness {
	t.Helper()
	return newHarnessOf(t, service.InstanceConfig{Heartbeat: time.Second, DrainTime: drainTime})
}

func newHarnessOf(t *testing.T, instance service.InstanceConfig) *harness {
	t.Helper()
	h := &harness{t: t, clock: kernel.NewManualClock(), metrics: metrics.NewRegistry()}
	h.directory = directory.New(instance, zap.NewNop(), h.metrics)
	var err error
	h.kernel, err = kernel.New(h.clock, []kernel.Service{h.directory, sink{service.Keys}, sink{service.Loads}, sink{service.Rollout}})
	require.NoError(t, err)
	require.NoError(t, h.kernel.Start(context.Background()))
	t.Cleanup(func() { require.NoError(t, h.kernel.Stop(context.Background())) })
	h.clock.Advance(time.Minute)
	return h
}

// send delivers messages, waits until they are handled and returns the view. Reads without a time count as sent now.
func (h *harness) send(messages ...kernel.Message) *service.DirectoryView {
	h.t.Helper()
	for _, m := range messages {
		if r, ok := m.(service.BackendsRead); ok && r.At == 0 {
			r.At = h.clock.Now()
			m = r
		}
		require.NoError(h.t, h.kernel.Deliver(context.Background(), service.Directory, m))
	}
	done := make(chan struct{})
	require.NoError(h.t, h.kernel.Deliver(context.Background(), service.Keys, done))
	<-done
	return h.directory.Directory()
}

func entry(id string, incarnation int64, remainingWarmup time.Duration) service.BackendEntry {
	b := &catalog.Backend{ID: entity.BackendID(id), Service: "s", Zone: "a", Address: "10.0.0.1:1", Incarnation: incarnation, Slots: 2}
	return service.BackendEntry{ID: b.ID, Backend: b, RemainingWarmup: remainingWarmup}
}

func read(entries ...service.BackendEntry) service.BackendsRead {
	return service.BackendsRead{Entries: entries}
}

func config(t *testing.T, version uint64) service.ConfigRead {
	c, err := catalog.New(version, nil, []*catalog.Service{{Name: "s", Warmup: 3 * time.Second, WarmupRate: 10}}, catalog.Access{Open: true}, catalog.CallerLimits{})
	require.NoError(t, err)
	return service.ConfigRead{Config: c}
}

func evacuated(zones ...entity.Zone) service.ZonesRead {
	m := service.ZonesRead{Evacuated: map[entity.Zone]bool{}}
	for _, z := range zones {
		m.Evacuated[z] = true
	}
	return m
}

// Guards against full load on backends that became cold while their zone was evacuated and have not reported it yet: 24
// requests in the second after the zone was re-enabled, 20 allowed.
func TestBackendsOfReenabledZoneCountAsColdUntilReported(t *testing.T) {
	h := newHarness(t)
	h.send(config(t, 1), read(entry("e1", 1, 0)), evacuated("a"))
	h.clock.Advance(5 * time.Second)
	view := h.send(evacuated())
	require.Greater(t, view.Backends["e1"].WarmUntil, h.clock.Now(), "zone re-enabled")
	view = h.send(read(entry("e1", 1, 0))) // written before the zone was re-enabled
	require.Greater(t, view.Backends["e1"].WarmUntil, h.clock.Now(), "after an older record")
	h.clock.Advance(time.Second)
	view = h.send(read(entry("e1", 1, 2500*time.Millisecond)))
	require.Equal(t, h.clock.Now()+2500*time.Millisecond, view.Backends["e1"].WarmUntil, "as reported by the backend")
}

// Guards against full load on backends of a re-enabled zone whose entry, written before the zone was evacuated, reports the end of an
// earlier warm-up.
func TestOlderEntryDoesNotShortenTheColdTimeOfAReenabledZone(t *testing.T) {
	h := newHarness(t)
	h.send(config(t, 1), read(entry("e1", 1, 0)), evacuated("a"))
	h.clock.Advance(5 * time.Second)
	until := h.send(evacuated()).Backends["e1"].WarmUntil
	view := h.send(read(entry("e1", 1, 100*time.Millisecond)))
	require.Equal(t, until, view.Backends["e1"].WarmUntil)
}

// Guards against full load on backends that became cold while their zone was evacuated, by an instance that cannot read the entries
// after the zone was re-enabled.
func TestReenabledZoneStaysColdWhileItsEntriesAreNotRead(t *testing.T) {
	h := newHarness(t)
	h.send(config(t, 1), read(entry("e1", 1, 0)), evacuated("a"))
	h.clock.Advance(5 * time.Second)
	h.send(evacuated())
	h.clock.Advance(2500 * time.Millisecond)
	view := h.send()
	require.Greater(t, view.Backends["e1"].WarmUntil, h.clock.Now(), "the entries have not been read")
	h.clock.Advance(500 * time.Millisecond)
	require.LessOrEqual(t, view.Backends["e1"].WarmUntil, h.clock.Now(), "the warm-up time of the service has passed")
}

// Guards against an instance that gets only changes relayed and keeps the warm backends of a re-enabled zone at the warm-up limit.
func TestReadWithoutChangesEndsTheAssumedWarmupOfAReenabledZone(t *testing.T) {
	h := newHarness(t)
	h.send(config(t, 1), read(entry("e1", 1, 0)), evacuated("a"), evacuated())
	h.clock.Advance(time.Second)
	until := h.send(read()).Backends["e1"].WarmUntil
	require.Equal(t, h.clock.Now()+2*time.Second, until, "written before the zone was re-enabled")
	h.clock.Advance(400 * time.Millisecond)
	require.Equal(t, until-700*time.Millisecond, h.send(read()).Backends["e1"].WarmUntil)
}

// Guards against a re-enabled zone that stays at the warm-up limit although its backends are warm.
func TestWarmBackendsOfReenabledZoneAreUsedSoon(t *testing.T) {
	h := newHarness(t)
	h.send(config(t, 1), read(entry("e1", 1, 0)), evacuated("a"), evacuated())
	h.clock.Advance(2500 * time.Millisecond)
	view := h.send(read(entry("e1", 1, 0)))
	require.LessOrEqual(t, view.Backends["e1"].WarmUntil, h.clock.Now())
}

// Guards against views that revert to older state when messages arrive late: an older configuration, the record of an earlier
// process, or a leaving backend that is shown as active again.
func TestViewNeverReverts(t *testing.T) {
	h := newHarness(t)
	leaving := entry("e1", 5, 0)
	leaving.Backend.Draining = true
	view := h.send(config(t, 7), config(t, 4), read(leaving), read(entry("e1", 5, 0)), read(entry("e1", 3, 0)))
	require.Equal(t, uint64(7), view.Config.Version)
	require.Equal(t, int64(5), view.Backends["e1"].Incarnation)
	require.True(t, view.Backends["e1"].Draining)
	view = h.send(read(entry("e1", 6, 0)))
	require.False(t, view.Backends["e1"].Draining, "a new process is not leaving")
}

// Guards against requests to a leaving backend after its drain time (seen in a large Ziedlapu deployment: 2811 ms, 2500 ms
// allowed). The drain time was counted from the read of its record, which may be much later than the write.
func TestLeavingCountsFromThePreviousRead(t *testing.T) {
	h := newHarness(t)
	leaving := entry("e1", 1, 0)
	leaving.Backend.Draining = true
	h.send(read(entry("e1", 1, 0)))
	before := h.clock.Now()
	h.clock.Advance(2 * time.Second)
	next := read(leaving)
	next.PreviousReadAt, next.At = before, h.clock.Now()
	require.Equal(t, before, h.send(next).Backends["e1"].LastActiveAt)
	h.clock.Advance(time.Second)
	next.PreviousReadAt, next.At = h.clock.Now(), h.clock.Now()
	require.Equal(t, before, h.send(next).Backends["e1"].LastActiveAt, "leaving counts from the first record that reports it")
}

// Guards against a newly started instance that counts the drain time of leaving backends from its own start. It cannot tell how
// long ago they began to leave.
func TestBackendsFoundLeavingCountAsLeavingForDrainTime(t *testing.T) {
	h := newHarness(t)
	leaving := entry("e1", 1, 0)
	leaving.Backend.Draining = true
	require.Equal(t, h.clock.Now()-drainTime, h.send(read(leaving)).Backends["e1"].LastActiveAt)
}

// Guards against backends that are dropped because their records lapsed while the store was unavailable, and against removed
// backends that stay listed.
func TestRecordsLapsedDuringOutageAreKeptForGracePeriod(t *testing.T) {
	h := newHarness(t)
	h.send(read(entry("e1", 1, 0), entry("e2", 1, 0)), service.StoreOutage{Unavailable: true})
	h.clock.Advance(5 * time.Second)
	noRecords := service.BackendsRead{Complete: true}
	view := h.send(service.StoreOutage{}, noRecords)
	require.Len(t, view.Backends, 2, "lapsed")
	h.clock.Advance(time.Second)
	h.send(read(entry("e1", 1, 0)))
	h.clock.Advance(2 * time.Second)
	view = h.send()
	require.Len(t, view.Backends, 1)
	require.Contains(t, view.Backends, entity.BackendID("e1"))
	view = h.send(noRecords)
	require.Empty(t, view.Backends, "removed outside an outage")
}

// Guards against requests to a backend after its drain time, because its record was removed within the grace period after an outage
// (2,022 ms after the removal, 2,000 allowed).
func TestRecordRemovedAfterAnOutageEndsRequestsWithinTheDrainTime(t *testing.T) {
	h := newHarness(t)
	h.send(read(entry("e1", 1, 0), entry("e2", 1, 0)), service.StoreOutage{Unavailable: true})
	h.clock.Advance(5 * time.Second)
	recovered := h.clock.Now()
	h.send(service.StoreOutage{}, read(entry("e1", 1, 0), entry("e2", 1, 0)))
	h.clock.Advance(100 * time.Millisecond)
	removed := service.BackendsRead{Entries: []service.BackendEntry{{ID: "e2"}}, PreviousReadAt: recovered}
	require.Len(t, h.send(removed).Backends, 2, "its record may have lapsed in the outage")
	h.clock.Advance(recovered + drainTime - h.clock.Now())
	require.NotContains(t, h.send().Backends, entity.BackendID("e2"))
}

// Guards against requests that are accepted too early: a newly started instance has read its configuration but no backends yet.
func TestReadyRequiresConfigurationAndBackends(t *testing.T) {
	config, err := catalog.New(1, nil, nil, catalog.Access{Open: true}, catalog.CallerLimits{})
	require.NoError(t, err)
	isReady := func(h *harness) bool {
		handled := make(chan struct{})
		require.NoError(t, h.kernel.Deliver(context.Background(), service.Keys, handled))
		<-handled
		select {
		case <-h.directory.Ready():
			return true
		default:
			return false
		}
	}
	read := []kernel.Message{service.ConfigRead{Config: config}, service.BackendsRead{Complete: true}}
	for _, order := range [][]int{{0, 1}, {1, 0}} {
		h := newUnconfiguredHarness(t)
		for i, next := range order {
			require.False(t, isReady(h))
			require.NoError(t, h.kernel.Deliver(context.Background(), service.Directory, read[next]))
			require.Equal(t, i == 1, isReady(h))
		}
	}
}

// Guards against an operator who cannot see how late a configuration came into force, and against an instance that believes that its
// configuration is recent before it is in force.
func TestAgeAndLagOfTheConfigurationAreReported(t *testing.T) {
	h := newHarness(t)
	gauge := func(name string) int64 { return h.metrics.Get(name).(metrics.Gauge).Value() }
	require.Zero(t, h.directory.ConfigCheckedAt())
	checked := h.clock.Now()
	h.send(service.ConfigChecked{At: checked}, service.ConfigChecked{At: checked - time.Second})
	require.Equal(t, checked, h.directory.ConfigCheckedAt(), "an older check counts for nothing")
	h.clock.Advance(700 * time.Millisecond)
	require.Equal(t, int64(700), gauge("directory.config_age_ms"))
	h.send(config(t, 2), service.ConfigChecked{At: h.clock.Now()})
	require.Equal(t, int64(700), gauge("directory.config_lag_ms"))
	require.Equal(t, int64(2), gauge("directory.config_version"))
	require.Zero(t, gauge("directory.config_age_ms"))
}
