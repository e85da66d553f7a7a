package control

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/records"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// writer appends one record at a time. A record is pending until its replay.
type writer struct {
	sequence uint64
	pending  *pendingRecord
	failed   bool // the last attempt failed, and the failure has been logged
	// idleUntil is the time before which nothing is appended, after a record that the platform refused or that could not
	// be encoded.
	idleUntil time.Duration
}

type pendingRecord struct {
	record ownership.Record
	draft  platformapi.Draft
}

func (w *writer) busy(now time.Duration) bool { return w.pending != nil || now < w.idleUntil }

type (
	appendAgain struct{}
	appendDone  struct {
		sequence uint64
		err      error
	}
)

// append starts the append of a record with the next sequence number.
func (s *Service) append(turn *kernel.Turn, record ownership.Record) {
	payload, err := records.Encode(record)
	if err != nil {
		// Long names in the configuration can make a record too large. Nothing is lost: the decision is made again.
		telemetry.EventControlEncodeFailed.Log(s.logger, zap.Error(err))
		s.writer.idleUntil = turn.Now() + retryInterval
		return
	}
	s.writer.sequence++
	s.writer.pending = &pendingRecord{record: record, draft: platformapi.Draft{
		Writer: string(s.self.ID), Sequence: s.writer.sequence, Payload: payload,
	}}
	s.counters.appends.Inc(1)
	s.startAppend(turn)
}

func (s *Service) startAppend(turn *kernel.Turn) {
	if s.writer.pending == nil {
		return // already replayed: only the answer was lost
	}
	draft, log := s.writer.pending.draft, s.log
	turn.Go(func(ctx context.Context) kernel.Message {
		_, err := log.Append(ctx, platformapi.StreamControl, draft)
		return appendDone{sequence: draft.Sequence, err: err}
	})
}

// finishAppend retries a failed append with the same sequence number, so that replay drops the second record if both
// took effect. A successful append stays pending until its replay.
func (s *Service) finishAppend(turn *kernel.Turn, m appendDone) {
	pending := s.writer.pending
	if pending == nil || pending.draft.Sequence != m.sequence {
		return
	}
	switch {
	case m.err == nil:
		s.writer.failed = false
	case errors.Is(m.err, platformapi.ErrRejected):
		// The record has no effect. After the wait the decision is made again on the then current state.
		telemetry.EventControlAppendRejected.Log(s.logger, zap.Error(m.err))
		s.writer.pending = nil
		s.writer.idleUntil = turn.Now() + retryInterval
	default:
		s.counters.appendErrors.Inc(1)
		if !s.writer.failed {
			telemetry.EventControlAppendFailed.Log(s.logger, zap.Error(m.err))
		}
		s.writer.failed = true
		turn.After(retryInterval, appendAgain{})
	}
}

// finishReplayed finishes the pending append if its record is part of a restored state.
func (s *Service) finishReplayed() {
	if p := s.writer.pending; p != nil && s.state.LastSequence(s.self.ID) >= p.draft.Sequence {
		s.writer.pending = nil
	}
}

// ownReplayed finishes the pending append when its record is replayed.
func (s *Service) ownReplayed(record platformapi.Record, decoded ownership.Record, verdict ownership.Verdict) {
	pending := s.writer.pending
	if pending == nil || record.Sequence != pending.draft.Sequence {
		return
	}
	s.writer.pending = nil
	if !verdict.Applied {
		telemetry.EventControlDropped.Log(s.logger,
			zap.Uint64("offset", uint64(record.Offset)), zap.String("reason", string(verdict.Reason)))
		return
	}
	if checkpoint, ok := decoded.(ownership.Checkpoint); ok {
		s.checkpoints.written(checkpoint.Chunk.Index)
		if checkpoint.Chunk.Index+1 == checkpoint.Chunk.Total {
			s.counters.checkpoints.Inc(1)
			telemetry.EventControlCheckpoint.Log(s.logger, zap.Uint64("offset", uint64(record.Offset)))
		}
	}
}
