package control

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/records"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// reader is the reading position in the control stream.
type reader struct {
	startedAt time.Duration
	// failing is true from a failed read to the next successful one.
	failing bool
	// synced is true once the state has reached the tail of the log or has been fetched from a peer.
	synced bool
	// tailAt is when the last read that reached the tail was sent, directly or by a relaying peer.
	tailAt   time.Duration
	tailSeen bool
	// searching is true while the state has a gap and a checkpoint is needed. The search reads from offset scan on.
	searching bool
	scan      entity.Offset
	collector *ownership.Collector
	recent    recentRecords
	relaying  bool
	fetching  bool
	nextPeer  int
}

func newReader() reader { return reader{collector: ownership.NewCollector()} }

// currentMaxAge is the age of the last read at the tail up to which decisions are made. Records of later decisions
// would mostly be dropped. It is much longer than a read takes, because a slow platform must not stop decisions.
const currentMaxAge = 5 * time.Second

func (r *reader) current(now time.Duration) bool {
	return r.synced && !r.searching && r.tailSeen && now-r.tailAt < currentMaxAge
}

type (
	readAgain struct{}
	readDone  struct {
		from    entity.Offset
		started time.Duration
		batch   platformapi.Batch
		err     error
	}
)

func (s *Service) position() entity.Offset {
	if s.reader.searching {
		return s.reader.scan
	}
	return s.state.Next()
}

func (s *Service) startRead(turn *kernel.Turn) {
	from, started, log := s.position(), turn.Now(), s.log
	turn.Go(func(ctx context.Context) kernel.Message {
		batch, err := log.Read(ctx, platformapi.StreamControl, from, readLimit, readWait)
		return readDone{from: from, started: started, batch: batch, err: err}
	})
}

func (s *Service) finishRead(turn *kernel.Turn, m readDone) {
	switch {
	case errors.Is(m.err, platformapi.ErrTruncated) && m.batch.First > m.from:
		s.gap(m.batch.First)
	case m.err != nil:
		s.readFailed(m.err)
		turn.After(retryInterval, readAgain{})
		return
	case s.reader.searching:
		s.readRecovered()
		s.search(turn, m.batch)
	default:
		s.readRecovered()
		s.replay(turn, m.batch.Records)
		s.reachedTail(turn, m.started, m.batch)
	}
	if len(m.batch.Records) == 0 && turn.Now()-m.started < readPause {
		turn.After(readPause, readAgain{})
		return
	}
	s.startRead(turn)
}

func (s *Service) readFailed(err error) {
	s.counters.readErrors.Inc(1)
	if !s.reader.failing {
		telemetry.EventControlReadFailed.Log(s.logger, zap.Error(err))
	}
	s.reader.failing = true
}

func (s *Service) readRecovered() {
	if s.reader.failing {
		telemetry.EventControlReadRecovered.Log(s.logger)
	}
	s.reader.failing = false
}

// reachedTail reports a read to the lease service as a proof of freshness.
func (s *Service) reachedTail(turn *kernel.Turn, started time.Duration, batch platformapi.Batch) {
	if s.reader.searching {
		return
	}
	atTail := s.state.Next() >= batch.Next
	if atTail && (!s.reader.tailSeen || started > s.reader.tailAt) {
		s.reader.tailAt = started
		s.reader.tailSeen = true
		s.reader.synced = true
	}
	turn.Send(service.Lease, service.LogRead{
		Stream: platformapi.StreamControl, Started: started, AtTail: atTail, Offset: s.state.Next(),
	})
}

// replay applies records in order and publishes the resulting view once.
func (s *Service) replay(turn *kernel.Turn, batch []platformapi.Record) {
	before := s.state.Next()
	for _, record := range batch {
		if s.replayOne(turn.Now(), record) == ownership.DropGap {
			s.gap(record.Offset)
			break
		}
	}
	if s.state.Next() == before {
		return
	}
	s.counters.offset.Update(int64(s.state.Next()))
	s.publish(turn)
}

// replayOne applies one record and returns its drop reason, DropApplied if it was not dropped.
func (s *Service) replayOne(now time.Duration, record platformapi.Record) ownership.DropReason {
	decoded, err := records.Decode(record.Payload)
	var verdict ownership.Verdict
	if err != nil {
		verdict = s.state.Skip(record.Offset)
	} else {
		stamp := ownership.Stamp{Writer: entity.InstanceID(record.Writer), Sequence: record.Sequence}
		verdict = s.state.Apply(record.Offset, stamp, decoded)
	}
	if verdict.Reason == ownership.DropApplied || verdict.Reason == ownership.DropGap {
		return verdict.Reason
	}
	if verdict.Reason == ownership.DropUndecodable {
		telemetry.EventControlUndecodable.Log(s.logger, zap.Uint64("offset", uint64(record.Offset)), zap.Error(err))
	}
	if verdict.Applied {
		s.counters.applied.Inc(1)
	} else {
		s.counters.dropped.Inc(1)
	}
	s.reader.recent.add(record)
	if verdict.Reason != ownership.DropRepeated {
		s.roster.recordAppend(now, entity.InstanceID(record.Writer))
	}
	s.replayed(record, decoded, verdict)
	return verdict.Reason
}

// replayed forwards a replayed record to the parts of the service that follow the stream.
func (s *Service) replayed(record platformapi.Record, decoded ownership.Record, verdict ownership.Verdict) {
	if entity.InstanceID(record.Writer) == s.self.ID {
		s.ownReplayed(record, decoded, verdict)
	}
	switch r := decoded.(type) {
	case ownership.JoinRequest:
		s.roster.requested(r.Member, s.self)
	case ownership.Checkpoint:
		s.checkpoints.observe(entity.InstanceID(record.Writer), r.Chunk)
	}
}
