package config

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/configlog"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// platformReads is the state of the reads at the platform.
type platformReads struct {
	// succeededAt is the time of the last successful read, or of the start before the first.
	succeededAt time.Duration
	succeeded   bool
	failing     bool
	shrunk      bool
	// first is the offset of the oldest record that the log still has.
	first entity.Offset
}

// read starts one long poll.
func (s *Service) read(turn *kernel.Turn) {
	log, from, started := s.log, s.replay.Next(), turn.Now()
	wait, timeout := s.settings.PollWait, s.settings.ReadTimeout+s.settings.PollWait
	turn.Go(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		batch, err := log.Read(ctx, platformapi.StreamConfig, from, readLimit, wait)
		return readDone{started: started, batch: batch, err: err}
	})
}

func (s *Service) finishRead(turn *kernel.Turn, m readDone) {
	s.counters.reads.Inc(1)
	if m.err != nil && !errors.Is(m.err, platformapi.ErrTruncated) {
		s.readFailed(m.err)
		turn.After(retryDelay, readNext{})
		return
	}
	s.readSucceeded(turn.Now())
	before := s.replay.Next()
	s.direct.first = m.batch.First
	s.skipTo(m.batch.First)
	s.apply(m.batch.Records)
	s.checkShrinking(m.batch.Next)
	s.recordRead(turn, m.started, m.batch.Next)
	s.scheduleCheckpoint(turn)
	// The pause avoids a tight loop with a platform that answers without waiting when there are no new records.
	if idle := turn.Now()-m.started < s.settings.PollWait/2; idle && s.replay.Next() == before {
		turn.After(s.settings.PollWait, readNext{})
		return
	}
	s.read(turn)
}

func (s *Service) readFailed(err error) {
	s.counters.failures.Inc(1)
	if !s.direct.failing {
		telemetry.EventConfigReadFailed.Log(s.logger, zap.Error(err))
	}
	s.direct.failing = true
}

func (s *Service) readSucceeded(now time.Duration) {
	if s.direct.failing {
		telemetry.EventConfigReadRecovered.Log(s.logger)
	}
	s.direct.failing, s.direct.succeeded, s.direct.succeededAt = false, true, now
}

// checkShrinking logs an event when the log has lost its end. The configuration that was read stays effective, because
// versions only increase.
func (s *Service) checkShrinking(next entity.Offset) {
	shrunk := next < s.replay.Next()
	if shrunk && !s.direct.shrunk {
		telemetry.EventConfigLogShrunk.Log(s.logger,
			zap.Uint64("end", uint64(next)), zap.Uint64("position", uint64(s.replay.Next())))
	}
	s.direct.shrunk = shrunk
}

// skipTo skips records that the log no longer has.
func (s *Service) skipTo(first entity.Offset) {
	position := s.replay.Next()
	if s.replay.MarkTruncated(first) {
		telemetry.EventConfigGap.Log(s.logger,
			zap.Uint64("from", uint64(position)), zap.Uint64("to", uint64(first)))
	}
}

// apply replays records from the platform or a peer.
func (s *Service) apply(records []platformapi.Record) {
	for _, r := range records {
		s.skipTo(r.Offset)
		verdict := s.replay.ApplyRaw(r)
		if verdict.Kind == configlog.VerdictOld {
			continue
		}
		s.recent.add(r)
		s.recordVerdict(r, verdict)
	}
}

func (s *Service) recordVerdict(r platformapi.Record, verdict configlog.Verdict) {
	offset, writer := zap.Uint64("offset", uint64(r.Offset)), zap.String("writer", r.Writer)
	switch verdict.Kind {
	case configlog.VerdictAccepted:
		s.counters.accepted.Inc(1)
	case configlog.VerdictRefused:
		s.counters.refused.Inc(1)
		telemetry.EventConfigRefused.Log(s.logger, offset, writer, zap.String("reason", verdict.Reason))
	case configlog.VerdictRestored:
		telemetry.EventConfigRestored.Log(s.logger, offset, zap.Uint64("version", verdict.Version))
		s.checkpoint.seen = true
	case configlog.VerdictCheckpoint:
		s.checkpoint.seen = true
	default: // duplicates, chunks of checkpoints and records that wait for one have no effect to report
	}
}

// recordRead records a read that was sent at started and returned end as the end of the stream.
func (s *Service) recordRead(turn *kernel.Turn, started time.Duration, end entity.Offset) {
	atTail := s.replay.IsComplete() && s.replay.Next() == end
	if atTail {
		s.tailAt = max(s.tailAt, started)
	}
	turn.Send(service.Lease, service.LogRead{
		Stream: platformapi.StreamConfig, Started: started, AtTail: atTail, Offset: s.replay.Next(),
	})
	s.publish(turn)
}
