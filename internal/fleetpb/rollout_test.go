package fleetpb

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/pollenpier/pollenpier/internal/service"
)

func sampleReport() *service.RolloutReport {
	return &service.RolloutReport{
		States: []service.RolloutReportState{
			{Service: "s", To: "v2", Phase: service.RolloutSwitching, Version: 7, Age: 1500 * time.Millisecond, Duration: 12 * time.Second, Confirmed: 20 * time.Millisecond, Reason: "good", OldInFlight: 3},
			{Service: "t", To: "v3", Phase: service.RolloutRunning},
		},
		Counts: []service.RolloutCounts{
			{Service: "t", To: "v3", Route: "r", Zone: "a", New: true, Group: 1, Answers: 10, Failed: 4, Latencies: []uint32{0, 300, 1}},
			{Service: "s", To: "v2", Route: "q", Zone: "b", Answers: 1 << 40},
		},
	}
}

// Guards against a report that is lost or changed between two instances, also through an instance that relays the heartbeat.
func TestRolloutReportInAHeartbeat(t *testing.T) {
	m := &Heartbeat{From: &Member{Id: "i"}, Sequence: 4}
	r, err := Rollout(m)
	require.NoError(t, err)
	require.Nil(t, r)
	require.Zero(t, SetRollout(m, sampleReport()))
	raw, err := proto.Marshal(proto.CloneOf(m))
	require.NoError(t, err)
	received := &Heartbeat{}
	require.NoError(t, proto.Unmarshal(raw, received))
	require.Equal(t, uint64(4), received.Sequence)
	r, err = Rollout(received)
	require.NoError(t, err)
	require.Equal(t, sampleReport(), r)
}

// Guards against reports that make a heartbeat too large for a datagram, so that all of its facts are lost.
func TestRolloutReportIsBounded(t *testing.T) {
	r := sampleReport()
	r.States[0].Reason = strings.Repeat("ü", 1000)
	for i := range 500 {
		r.Counts = append(r.Counts, service.RolloutCounts{Service: "s", To: "v2", Route: fmt.Sprint("route-", i), Answers: 1, Latencies: make([]uint32, 20)})
	}
	m := &Heartbeat{From: &Member{Id: "i"}}
	require.Positive(t, SetRollout(m, r))
	require.LessOrEqual(t, proto.Size(m), maxRolloutBytes+1000)
	got, err := Rollout(m)
	require.NoError(t, err)
	require.Len(t, got.States, 2)
	require.Greater(t, len(got.Counts), 50)
}

// Guards against a malformed report that ends the process, or that is accepted with values outside their bounds.
func FuzzDecodeRollout(f *testing.F) {
	m := &Heartbeat{}
	SetRollout(m, sampleReport())
	f.Add(m.Rollout)
	f.Add([]byte{0x0a, 0x02, 0x18, 0x09})
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := Rollout(&Heartbeat{Rollout: raw})
		if err != nil || r == nil {
			require.Nil(t, r)
			return
		}
		for _, s := range r.States {
			require.True(t, s.Phase >= service.RolloutRunning && s.Phase <= service.RolloutRolledBack)
			require.GreaterOrEqual(t, s.Age, time.Duration(0))
		}
		for _, c := range r.Counts {
			require.NotEmpty(t, c.Service)
			require.LessOrEqual(t, c.Failed, c.Answers)
			require.LessOrEqual(t, len(c.Latencies), maxRolloutBuckets)
		}
	})
}

// Guards against malformed reports that are taken for valid ones.
func TestMalformedRolloutReports(t *testing.T) {
	valid := func() *RolloutState { return &RolloutState{Service: "s", To: "v", Phase: 1} }
	changed := func(change func(*RolloutState)) *RolloutReport {
		s := valid()
		change(s)
		return &RolloutReport{States: []*RolloutState{s}}
	}
	for name, report := range map[string]*RolloutReport{
		"no service":        changed(func(s *RolloutState) { s.Service = "" }),
		"no phase":          changed(func(s *RolloutState) { s.Phase = 0 }),
		"unknown phase":     changed(func(s *RolloutState) { s.Phase = 5 }),
		"age of a century":  changed(func(s *RolloutState) { s.AgeMs = 100 * maxMillis }),
		"long reason":       changed(func(s *RolloutState) { s.Reason = strings.Repeat("x", maxRolloutReason+1) }),
		"counts of nothing": {Counts: []*RolloutCounts{{Answers: 1}}},
		"more failed":       {States: []*RolloutState{valid()}, Counts: []*RolloutCounts{{Answers: 1, Failed: 2}}},
	} {
		raw, err := proto.Marshal(report)
		require.NoError(t, err)
		_, err = Rollout(&Heartbeat{Rollout: raw})
		require.ErrorIs(t, err, ErrBadRollout, name)
	}
	raw, err := proto.Marshal(&RolloutReport{States: []*RolloutState{valid()}})
	require.NoError(t, err)
	for name, raw := range map[string][]byte{"number for a text": {0x08, 1}, "truncated": raw[:len(raw)-1], "invalid text": {0x0a, 0x03, 0x0a, 0x01, 0xff}} {
		r, err := Rollout(&Heartbeat{Rollout: raw})
		require.True(t, err != nil || len(r.States) == 0, name)
	}
}
