package fleetpb

import (
	"strings"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// ErrBadRollout means that the rollout report of a heartbeat is malformed or exceeds its bounds.
var ErrBadRollout = errors.New("rollout report of a heartbeat is malformed")

// Bounds of a report. Sizes are in bytes.
const (
	// maxRolloutBytes keeps a heartbeat with a report in one datagram.
	maxRolloutBytes = 4 << 10
	// maxRolloutBatch bounds a report that is received.
	maxRolloutBatch   = 8 << 10
	maxRolloutStates  = 64
	maxRolloutCounts  = 512
	maxRolloutBuckets = 64
	maxRolloutName    = 256
	maxRolloutReason  = 200
	// maxMillis bounds times, so that sums of them do not overflow. It is a year.
	maxMillis = 365 * 24 * 3600 * 1000
)

// rolloutKey identifies a rollout.
type rolloutKey struct {
	service entity.ServiceName
	to      string
}

// SetRollout adds a report to a heartbeat. The size of a report is bounded; it returns the number of states and counts that do not fit
// and are left out. Counts are cumulative, so that a later report makes up for them if it is smaller.
func SetRollout(m *Heartbeat, r *service.RolloutReport) (dropped int) {
	report, size := &RolloutReport{}, 0
	fits := func(part proto.Message) bool {
		size += proto.Size(part) + maxPartHeader
		if size > maxRolloutBytes {
			size -= proto.Size(part) + maxPartHeader
			dropped++
			return false
		}
		return true
	}
	states := map[rolloutKey]uint32{}
	for i := range r.States {
		s := &r.States[i]
		if state := encodeRolloutState(s); fits(state) {
			states[rolloutKey{s.Service, s.To}] = uint32(len(report.States))
			report.States = append(report.States, state)
		}
	}
	for i := range r.Counts {
		c := &r.Counts[i]
		state, ok := states[rolloutKey{c.Service, c.To}]
		if !ok {
			dropped++
		} else if counts := encodeRolloutCounts(c, state); fits(counts) {
			report.Counts = append(report.Counts, counts)
		}
	}
	raw, err := proto.Marshal(report)
	if err != nil {
		return dropped + len(report.States) + len(report.Counts)
	}
	m.Rollout = raw
	return dropped
}

// maxPartHeader is the size in bytes of the tag and the length before a state or counts.
const maxPartHeader = 3

// text shortens a text and removes what a message cannot carry.
func text[Text ~string](t Text, limit int) string {
	return strings.ToValidUTF8(string(t[:min(len(t), limit)]), "")
}

func millis(d time.Duration) uint64 { return uint64(max(d, 0).Milliseconds()) }

func encodeRolloutState(s *service.RolloutReportState) *RolloutState {
	return &RolloutState{
		Service: text(s.Service, maxRolloutName), To: text(s.To, maxRolloutName), Phase: uint32(s.Phase), Version: uint64(s.Version),
		AgeMs: millis(s.Age), DurationMs: millis(s.Duration), ConfirmedMs: millis(s.Confirmed),
		Reason: text(s.Reason, maxRolloutReason), OldInFlight: uint32(max(s.OldInFlight, 0)),
	}
}

func encodeRolloutCounts(c *service.RolloutCounts, state uint32) *RolloutCounts {
	return &RolloutCounts{
		State: state, Route: text(c.Route, maxRolloutName), Zone: text(c.Zone, maxRolloutName), New: c.New, Group: uint32(max(c.Group, 0)),
		Answers: c.Answers, Failed: c.Failed, Latencies: c.Latencies,
	}
}

// Rollout returns the report in a heartbeat, nil if there is none. It returns ErrBadRollout if the report is malformed or exceeds its
// bounds.
func Rollout(m *Heartbeat) (*service.RolloutReport, error) {
	if len(m.Rollout) == 0 {
		return nil, nil //nolint:nilnil // most heartbeats have no report, which is no error
	}
	report := &RolloutReport{}
	if len(m.Rollout) > maxRolloutBatch || proto.Unmarshal(m.Rollout, report) != nil {
		return nil, ErrBadRollout
	}
	if len(report.States) > maxRolloutStates || len(report.Counts) > maxRolloutCounts {
		return nil, ErrBadRollout
	}
	r := &service.RolloutReport{}
	for _, s := range report.States {
		if !s.isValid() {
			return nil, ErrBadRollout
		}
		r.States = append(r.States, decodeRolloutState(s))
	}
	for _, c := range report.Counts {
		if !c.isValid(len(r.States)) {
			return nil, ErrBadRollout
		}
		r.Counts = append(r.Counts, decodeRolloutCounts(c, &r.States[c.State]))
	}
	return r, nil
}

func (s *RolloutState) isValid() bool {
	return s.Service != "" && s.To != "" && max(len(s.Service), len(s.To)) <= maxRolloutName && len(s.Reason) <= maxRolloutReason &&
		s.Phase >= uint32(service.RolloutRunning) && s.Phase <= uint32(service.RolloutRolledBack) &&
		max(s.AgeMs, s.DurationMs, s.ConfirmedMs) <= maxMillis
}

func (c *RolloutCounts) isValid(states int) bool {
	return int(c.State) < states && max(len(c.Route), len(c.Zone)) <= maxRolloutName && c.Group <= 1 && c.Failed <= c.Answers &&
		len(c.Latencies) <= maxRolloutBuckets
}

func decodeRolloutState(s *RolloutState) service.RolloutReportState {
	duration := func(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }
	return service.RolloutReportState{
		Service: entity.ServiceName(s.Service), To: s.To, Phase: service.RolloutPhase(s.Phase), Version: service.Version(s.Version),
		Age: duration(s.AgeMs), Duration: duration(s.DurationMs), Confirmed: duration(s.ConfirmedMs),
		Reason: s.Reason, OldInFlight: int(s.OldInFlight),
	}
}

func decodeRolloutCounts(c *RolloutCounts, state *service.RolloutReportState) service.RolloutCounts {
	return service.RolloutCounts{
		Service: state.Service, To: state.To, Route: c.Route, Zone: entity.Zone(c.Zone), New: c.New, Group: int(c.Group),
		Answers: c.Answers, Failed: c.Failed, Latencies: c.Latencies,
	}
}
