package config

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/configlog"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// suppression determines the distribution of the random delay before a checkpoint. With e^suppression instances, about
// one of them draws a delay so short that the others read its checkpoint before their own delay has passed.
const suppression = 10

// checkpointer decides when this instance writes a checkpoint.
type checkpointer struct {
	// seen is set by a complete checkpoint in the stream. seenAt is the time of the last one.
	seen   bool
	seenAt time.Duration
	// pending is true while a delay or a write is in progress.
	pending  bool
	sequence uint64
}

type (
	checkpointDue  struct{}
	checkpointDone struct {
		records int
		err     error
	}
)

// scheduleCheckpoint starts the delay after which this instance writes a checkpoint, if one is needed.
func (s *Service) scheduleCheckpoint(turn *kernel.Turn) {
	if s.checkpoint.seen {
		s.checkpoint.seen, s.checkpoint.seenAt = false, turn.Now()
	}
	if s.checkpoint.pending || !s.needsCheckpoint(turn.Now()) {
		return
	}
	s.checkpoint.pending = true
	turn.After(suppressedDelay(s.settings.CheckpointSpread, rand.Float64()), checkpointDue{}) // #nosec G404 -- not a secret
}

// needsCheckpoint reports whether the last checkpoint is too old: by the number of records since, by time, or because
// the log drops records and the checkpoint is in the older half of those that remain.
func (s *Service) needsCheckpoint(now time.Duration) bool {
	if !s.replay.IsComplete() || s.replay.Version() == 0 || s.direct.failing {
		return false
	}
	at, first, next := s.replay.CheckpointOffset(), s.direct.first, s.replay.Next()
	if s.replay.SinceCheckpoint() >= s.settings.CheckpointRecords {
		return true
	}
	if now-s.checkpoint.seenAt >= s.settings.CheckpointInterval {
		return true
	}
	return first > 0 && at < first+(next-first)/2
}

// suppressedDelay maps a uniform number in [0,1) to a delay of at most spread whose density grows exponentially. The
// shortest of many draws is then well before the others, so that few instances write the same checkpoint.
func suppressedDelay(spread time.Duration, uniform float64) time.Duration {
	return time.Duration(float64(spread) * math.Log1p(uniform*math.Expm1(suppression)) / suppression)
}

// writeCheckpoint appends the checkpoint unless another instance has written one in the meantime.
func (s *Service) writeCheckpoint(turn *kernel.Turn) {
	state, _ := s.replay.State()
	if !s.needsCheckpoint(turn.Now()) {
		s.checkpoint.pending = false
		return
	}
	first := s.checkpoint.sequence
	log, self, timeout := s.log, string(s.self.ID), s.settings.ReadTimeout
	s.checkpoint.sequence += configlog.MaxChunks
	turn.Go(func(ctx context.Context) kernel.Message {
		records, err := configlog.CheckpointOf(state, self)
		for i := 0; err == nil && i < len(records); i++ {
			err = appendRecord(ctx, log, timeout, self, first+uint64(i), records[i])
		}
		return checkpointDone{records: len(records), err: err}
	})
}

func appendRecord(
	ctx context.Context, log platformapi.Log, timeout time.Duration, writer string, sequence uint64, r configlog.Record,
) error {
	payload, err := configlog.Encode(r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err = log.Append(ctx, platformapi.StreamConfig, platformapi.Draft{Writer: writer, Sequence: sequence, Payload: payload})
	return err
}

func (s *Service) finishCheckpoint(m checkpointDone) {
	s.checkpoint.pending = false
	if m.err != nil {
		telemetry.EventConfigCheckpointFailed.Log(s.logger, zap.Error(m.err))
		return
	}
	s.counters.checkpoints.Inc(1)
	telemetry.EventConfigCheckpoint.Log(s.logger, zap.Int("records", m.records))
}
