package fleetpb

import (
	"math"
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// Rollout returns the report in a heartbeat, nil if there is none. It returns ErrBadRollout if the report is malformed or exceeds its
// bounds.
func Rollout(m *Heartbeat) (*service.RolloutReport, error) {
	unknown := m.ProtoReflect().GetUnknown()
	if len(unknown) == 0 {
		return nil, nil //nolint:nilnil // most heartbeats have no report, which is no error
	}
	var raw []byte
	err := eachField(unknown, func(f field) error {
		if f.number != int(fieldRollout) {
			return nil
		}
		var err error
		raw, err = f.message(maxRolloutBatch)
		return err
	})
	if err != nil || raw == nil {
		return nil, err
	}
	return decodeRollout(raw)
}

func decodeRollout(raw []byte) (*service.RolloutReport, error) {
	r := &service.RolloutReport{}
	err := eachField(raw, func(f field) error {
		message, err := f.message(maxRolloutBatch)
		switch {
		case err != nil:
			return err
		case f.number == reportStates && len(r.States) < maxRolloutStates:
			s, err := decodeRolloutState(message)
			r.States = append(r.States, s)
			return err
		case f.number == reportCounts && len(r.Counts) < maxRolloutCounts:
			c, err := decodeRolloutCounts(message, r.States)
			r.Counts = append(r.Counts, c)
			return err
		case f.number == reportStates || f.number == reportCounts:
			return ErrBadRollout
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return r, nil
}

func decodeRolloutState(raw []byte) (service.RolloutReportState, error) {
	var s service.RolloutReportState
	var phase uint64
	err := eachField(raw, func(f field) (err error) {
		switch f.number {
		case stateService:
			var name string
			name, err = f.text(maxRolloutName)
			s.Service = entity.ServiceName(name)
		case stateTo:
			s.To, err = f.text(maxRolloutName)
		case statePhase:
			phase, err = f.integer(uint64(service.RolloutRolledBack))
		case stateVersion:
			var version uint64
			version, err = f.integer(math.MaxUint64)
			s.Version = service.Version(version)
		case stateAge:
			s.Age, err = f.millis()
		case stateDuration:
			s.Duration, err = f.millis()
		case stateConfirmed:
			s.Confirmed, err = f.millis()
		case stateReason:
			s.Reason, err = f.text(maxRolloutReason)
		case stateOldInFlight:
			var n uint64
			n, err = f.integer(math.MaxInt32)
			s.OldInFlight = int(n)
		}
		return err
	})
	s.Phase = service.RolloutPhase(phase)
	if err == nil && (s.Service == "" || s.To == "" || s.Phase == 0) {
		err = ErrBadRollout
	}
	return s, err
}

func decodeRolloutCounts(raw []byte, states []service.RolloutReportState) (service.RolloutCounts, error) {
	var c service.RolloutCounts
	var state, isNew, group uint64
	err := eachField(raw, func(f field) (err error) {
		switch f.number {
		case countsState:
			state, err = f.integer(maxRolloutStates)
		case countsRoute:
			c.Route, err = f.text(maxRolloutName)
		case countsZone:
			var zone string
			zone, err = f.text(maxRolloutName)
			c.Zone = entity.Zone(zone)
		case countsNew:
			isNew, err = f.integer(1)
		case countsGroup:
			group, err = f.integer(1)
		case countsAnswers:
			c.Answers, err = f.integer(math.MaxInt64)
		case countsFailed:
			c.Failed, err = f.integer(math.MaxInt64)
		case countsLatencies:
			c.Latencies, err = f.packed()
		}
		return err
	})
	if err != nil || state >= uint64(len(states)) || c.Failed > c.Answers {
		return c, ErrBadRollout
	}
	c.Service, c.To, c.New, c.Group = states[state].Service, states[state].To, isNew == 1, int(group)
	return c, nil
}

// field is one field of an encoded message. Value is its number or, for fields of the type bytes, raw its content.
type field struct {
	number int
	kind   protowire.Type
	value  uint64
	raw    []byte
}

// eachField calls visit for each field of an encoded message until it returns an error.
func eachField(raw []byte, visit func(field) error) error {
	for len(raw) > 0 {
		number, kind, n := protowire.ConsumeTag(raw)
		if n < 0 {
			return ErrBadRollout
		}
		raw = raw[n:]
		f := field{number: int(number), kind: kind}
		switch kind {
		case protowire.VarintType:
			f.value, n = protowire.ConsumeVarint(raw)
		case protowire.BytesType:
			f.raw, n = protowire.ConsumeBytes(raw)
		default:
			n = protowire.ConsumeFieldValue(number, kind, raw)
		}
		if n < 0 {
			return ErrBadRollout
		}
		raw = raw[n:]
		if err := visit(f); err != nil {
			return err
		}
	}
	return nil
}

func (f field) message(limit int) ([]byte, error) {
	if f.kind != protowire.BytesType || len(f.raw) > limit {
		return nil, ErrBadRollout
	}
	return f.raw, nil
}

func (f field) text(limit int) (string, error) {
	raw, err := f.message(limit)
	if err != nil || !utf8.Valid(raw) {
		return "", ErrBadRollout
	}
	return string(raw), nil
}

func (f field) integer(highest uint64) (uint64, error) {
	if f.kind != protowire.VarintType || f.value > highest {
		return 0, ErrBadRollout
	}
	return f.value, nil
}

// maxMillis bounds times, so that sums of them do not overflow. It is a year.
const maxMillis = 365 * 24 * 3600 * 1000

func (f field) millis() (time.Duration, error) {
	n, err := f.integer(maxMillis)
	return time.Duration(n) * time.Millisecond, err
}

func (f field) packed() ([]uint32, error) {
	raw, err := f.message(maxRolloutBatch)
	if err != nil {
		return nil, err
	}
	var values []uint32
	for len(raw) > 0 {
		value, n := protowire.ConsumeVarint(raw)
		if n < 0 || value > math.MaxUint32 || len(values) == maxRolloutBuckets {
			return nil, ErrBadRollout
		}
		values, raw = append(values, uint32(value)), raw[n:]
	}
	return values, nil
}
