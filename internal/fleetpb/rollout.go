package fleetpb

import (
	"strings"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// ErrBadRollout means that the rollout report of a heartbeat is malformed or exceeds its bounds.
var ErrBadRollout = errors.New("rollout report of a heartbeat is malformed")

// fieldRollout is the number of the field of Heartbeat that contains the rollout report. The generated code does not know the field: it
// is encoded here, without a compiler for messages, and is passed on like any unknown field. fleet.proto describes its content.
const fieldRollout protowire.Number = 30

// Field numbers of the messages RolloutReport, RolloutState and RolloutCounts, see fleet.proto.
const (
	reportStates, reportCounts = 1, 2

	stateService, stateTo, statePhase, stateVersion, stateAge          = 1, 2, 3, 4, 5
	stateDuration, stateConfirmed, stateReason, stateOldInFlight       = 6, 7, 8, 9
	countsState, countsRoute, countsZone, countsNew, countsAnswers     = 1, 2, 3, 4, 5
	countsFailed, countsLatencies, countsGroup                         = 6, 7, 8
	maxRolloutStates, maxRolloutCounts, maxRolloutBuckets              = 64, 512, 64
	maxRolloutName, maxRolloutReason, maxRolloutBytes, maxRolloutBatch = 256, 200, 4 << 10, 8 << 10
)

// SetRollout adds a report to a heartbeat. The size of a report is bounded; it returns the number of states and counts that do not fit
// and are left out. Counts are cumulative, so that a later report makes up for them if it is smaller.
func SetRollout(m *Heartbeat, r *service.RolloutReport) (dropped int) {
	var raw []byte
	add := func(field protowire.Number, message []byte) bool {
		if len(raw)+len(message) > maxRolloutBytes {
			dropped++
			return false
		}
		raw = protowire.AppendTag(raw, field, protowire.BytesType)
		raw = protowire.AppendBytes(raw, message)
		return true
	}
	states := map[rolloutKey]uint64{}
	for i := range r.States {
		s := &r.States[i]
		if add(reportStates, encodeRolloutState(s)) {
			states[rolloutKey{s.Service, s.To}] = uint64(len(states))
		}
	}
	for i := range r.Counts {
		c := &r.Counts[i]
		state, ok := states[rolloutKey{c.Service, c.To}]
		if !ok {
			dropped++
			continue
		}
		add(reportCounts, encodeRolloutCounts(c, state))
	}
	unknown := protowire.AppendTag(nil, fieldRollout, protowire.BytesType)
	m.ProtoReflect().SetUnknown(protowire.AppendBytes(unknown, raw))
	return dropped
}

// rolloutKey identifies a rollout.
type rolloutKey struct {
	service entity.ServiceName
	to      string
}

func appendText(raw []byte, field protowire.Number, text string, limit int) []byte {
	text = strings.ToValidUTF8(text[:min(len(text), limit)], "")
	if text == "" {
		return raw
	}
	return protowire.AppendString(protowire.AppendTag(raw, field, protowire.BytesType), text)
}

func appendNumber(raw []byte, field protowire.Number, n uint64) []byte {
	if n == 0 {
		return raw
	}
	return protowire.AppendVarint(protowire.AppendTag(raw, field, protowire.VarintType), n)
}

func appendMillis(raw []byte, field protowire.Number, d time.Duration) []byte {
	return appendNumber(raw, field, uint64(max(d, 0).Milliseconds()))
}

func encodeRolloutState(s *service.RolloutReportState) []byte {
	raw := appendText(nil, stateService, string(s.Service), maxRolloutName)
	raw = appendText(raw, stateTo, s.To, maxRolloutName)
	raw = appendNumber(raw, statePhase, uint64(s.Phase))
	raw = appendNumber(raw, stateVersion, uint64(s.Version))
	raw = appendMillis(raw, stateAge, s.Age)
	raw = appendMillis(raw, stateDuration, s.Duration)
	raw = appendMillis(raw, stateConfirmed, s.Confirmed)
	raw = appendText(raw, stateReason, s.Reason, maxRolloutReason)
	return appendNumber(raw, stateOldInFlight, uint64(max(s.OldInFlight, 0)))
}

func encodeRolloutCounts(c *service.RolloutCounts, state uint64) []byte {
	raw := appendNumber(nil, countsState, state)
	raw = appendText(raw, countsRoute, c.Route, maxRolloutName)
	raw = appendText(raw, countsZone, string(c.Zone), maxRolloutName)
	raw = appendNumber(raw, countsNew, protowire.EncodeBool(c.New))
	raw = appendNumber(raw, countsGroup, uint64(max(c.Group, 0)))
	raw = appendNumber(raw, countsAnswers, c.Answers)
	raw = appendNumber(raw, countsFailed, c.Failed)
	if len(c.Latencies) == 0 {
		return raw
	}
	var packed []byte
	for _, n := range c.Latencies {
		packed = protowire.AppendVarint(packed, uint64(n))
	}
	return protowire.AppendBytes(protowire.AppendTag(raw, countsLatencies, protowire.BytesType), packed)
}
