package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/records"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

type (
	relayDone struct {
		started time.Duration
		batch   service.RelayedBatch
		err     error
	}
	stateFetched struct {
		state []byte
		err   error
	}
)

// relay requests records from the next peer while direct reads do not reach the tail of the log.
func (s *Service) relay(turn *kernel.Turn) {
	r := &s.reader
	stale := !r.tailSeen || turn.Now()-r.tailAt > relayAfter
	if !stale || r.relaying || r.searching || !r.synced {
		return
	}
	address, ok := s.peer()
	if !ok {
		return
	}
	r.relaying = true
	from, started, source := s.state.Next(), turn.Now(), s.relays
	turn.Go(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		batch, err := source.Records(ctx, address, platformapi.StreamControl, from, readLimit)
		return relayDone{started: started, batch: batch, err: err}
	})
}

func (s *Service) finishRelay(turn *kernel.Turn, m relayDone) {
	s.reader.relaying = false
	if m.err != nil || s.reader.searching {
		return
	}
	s.counters.relays.Inc(1)
	s.replay(turn, m.batch.Records)
	if m.batch.Age >= 0 {
		s.reachedTail(turn, m.batch.ReadAt(m.started), m.batch.Batch)
	}
}

// peer returns the address of the next peer in round robin order over the members of the roster, then the peers of the
// settings. It returns false if there is none.
func (s *Service) peer() (string, bool) {
	addresses := make([]string, 0, len(s.view.Members)+len(s.settings.Peers))
	for _, m := range s.view.Members {
		if m.ID != s.self.ID && m.Address != s.self.Address {
			addresses = append(addresses, m.Address)
		}
	}
	for _, address := range s.settings.Peers {
		if address != s.self.Address {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) == 0 {
		return "", false
	}
	s.reader.nextPeer++
	return addresses[s.reader.nextPeer%len(addresses)], true
}

// fetchState requests the state of the next peer if the log cannot be read at start or has no checkpoint.
func (s *Service) fetchState(turn *kernel.Turn) {
	r := &s.reader
	noState := !r.synced || r.searching
	if !noState || r.fetching || turn.Now()-r.startedAt < stateFetchAfter {
		return
	}
	address, ok := s.peer()
	if !ok {
		return
	}
	r.fetching = true
	source := s.states
	turn.Go(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		state, _, err := source.FetchState(ctx, address)
		return stateFetched{state: state, err: err}
	})
}

func (s *Service) finishFetch(turn *kernel.Turn, m stateFetched) {
	r := &s.reader
	r.fetching = false
	if m.err != nil || (r.synced && !r.searching) {
		return
	}
	chunks, err := records.DecodeState(m.state)
	if err != nil {
		telemetry.EventControlStateRefused.Log(s.logger, zap.Error(err))
		return
	}
	if s.restore(turn, chunks) {
		r.synced = true
		telemetry.EventControlStateFetched.Log(s.logger, zap.Uint64("offset", uint64(s.state.Next())))
	}
}

// answerState answers a query with the own state. Encoding runs outside the control goroutine.
func (s *Service) answerState(turn *kernel.Turn, m service.StateQuery) {
	if !s.reader.synced || s.reader.searching {
		service.SendReply(m.Reply, service.StateAnswer{})
		return
	}
	chunks, offset, logger := s.state.Chunks(), s.state.Next(), s.logger
	turn.Go(func(context.Context) kernel.Message {
		state, err := records.EncodeState(chunks)
		if err != nil {
			telemetry.EventControlEncodeFailed.Log(logger, zap.Error(err))
		}
		service.SendReply(m.Reply, service.StateAnswer{Available: err == nil, State: state, Offset: offset})
		return nil
	})
}

func (s *Service) answerRecords(now time.Duration, m service.RecordsQuery) {
	next := s.state.Next()
	recent, ok := s.reader.recent.from(m.From, next, m.Limit)
	if !ok || s.reader.searching {
		service.SendReply(m.Reply, service.RecordsAnswer{RelayedBatch: service.RelayedBatch{Age: -1}})
		return
	}
	batch := service.RelayedBatch{Batch: platformapi.Batch{First: s.firstRecent(), Next: next, Records: recent}, Age: -1}
	if s.reader.tailSeen {
		batch.Age = now - s.reader.tailAt
	}
	service.SendReply(m.Reply, service.RecordsAnswer{Available: true, RelayedBatch: batch})
}

func (s *Service) firstRecent() entity.Offset {
	if len(s.reader.recent.records) == 0 {
		return s.state.Next()
	}
	return s.reader.recent.records[0].Offset
}
