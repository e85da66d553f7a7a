package config

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/configlog"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// Pauses between calls to peers. The pause grows to the longer one while no peer is ahead, to spare a network that is
// already impaired.
const (
	minPeerPause = 100 * time.Millisecond
	maxPeerPause = time.Second
)

// peerExpiry is the time without a heartbeat after which a peer is no longer asked.
const peerExpiry = 30 * time.Second

// peers selects the peer to ask while the platform does not answer.
type peers struct {
	own           string
	seeds         []string
	lastHeartbeat map[string]time.Duration
	// current is the index of the peer to ask next.
	current int
	// pause is the time between two calls. nextAt is the time of the next.
	pause  time.Duration
	nextAt time.Duration
	busy   bool
}

func newPeers(own string, seeds []string) peers {
	return peers{own: own, seeds: seeds, lastHeartbeat: map[string]time.Duration{}, pause: minPeerPause}
}

func (p *peers) recordHeartbeat(m service.PeerState) {
	p.lastHeartbeat[m.Address] = max(p.lastHeartbeat[m.Address], m.At)
}

// next returns the address of the peer to ask now, and false if none is due.
func (p *peers) next(now time.Duration) (string, bool) {
	if p.busy || now < p.nextAt {
		return "", false
	}
	addresses := make([]string, 0, len(p.lastHeartbeat)+len(p.seeds))
	for address, at := range p.lastHeartbeat {
		if now-at > peerExpiry {
			delete(p.lastHeartbeat, address)
			continue
		}
		addresses = append(addresses, address)
	}
	addresses = append(addresses, p.seeds...)
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == p.own || a == "" })
	if len(addresses) == 0 {
		return "", false
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	p.busy = true
	return addresses[p.current%len(addresses)], true
}

// done applies the result of a call. A peer with a useful answer is asked again after the short pause; otherwise the
// next peer is asked, after a longer one.
func (p *peers) done(now time.Duration, useful bool) {
	p.busy = false
	if useful {
		p.pause = minPeerPause
	} else {
		p.current++
		p.pause = min(2*p.pause, maxPeerPause)
	}
	p.nextAt = now + p.pause
}

type (
	relayDone struct {
		started time.Duration
		batch   service.RelayedBatch
		err     error
	}
	stateFetched struct {
		state configlog.State
		err   error
	}
)

// askPeers asks a peer for its state if there is none to start from, or for records if the platform does not answer.
func (s *Service) askPeers(turn *kernel.Turn) {
	unresponsive := turn.Now()-s.direct.succeededAt > s.settings.RelayAfter
	if !unresponsive && s.replay.IsComplete() {
		return
	}
	address, ok := s.peers.next(turn.Now())
	if !ok {
		return
	}
	if !s.replay.IsComplete() || (!s.direct.succeeded && s.replay.Version() == 0) {
		s.fetchState(turn, address)
		return
	}
	s.relay(turn, address)
}

func (s *Service) relay(turn *kernel.Turn, address string) {
	source, from, started, timeout := s.relays, s.replay.Next(), turn.Now(), s.settings.PeerTimeout
	turn.Go(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		batch, err := source.Records(ctx, address, platformapi.StreamConfig, from, readLimit)
		return relayDone{started: started, batch: batch, err: err}
	})
}

func (s *Service) finishRelay(turn *kernel.Turn, m relayDone) {
	if m.err != nil {
		s.peers.done(turn.Now(), false)
		return
	}
	s.counters.relays.Inc(1)
	before, freshBefore := s.replay.Next(), s.tailAt
	s.apply(s.following(m.batch.Records))
	if m.batch.Age >= 0 {
		s.recordRead(turn, m.batch.ReadAt(m.started), m.batch.Next)
	} else {
		s.publish(turn)
	}
	s.peers.done(turn.Now(), s.replay.Next() > before || s.tailAt > freshBefore)
}

// following returns the leading records that continue the position without a gap: a gap in a peer's records is not one
// of the log.
func (s *Service) following(records []platformapi.Record) []platformapi.Record {
	next := s.replay.Next()
	for i, r := range records {
		if r.Offset > next {
			return records[:i]
		}
		next = max(next, r.Offset+1)
	}
	return records
}

func (s *Service) fetchState(turn *kernel.Turn, address string) {
	source, timeout := s.states, s.settings.PeerTimeout
	turn.Go(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		data, _, err := source.FetchConfigState(ctx, address)
		if err != nil {
			return stateFetched{err: err}
		}
		state, err := configlog.DecodeState(data)
		return stateFetched{state: state, err: err}
	})
}

func (s *Service) finishFetch(turn *kernel.Turn, m stateFetched) {
	installed := m.err == nil && s.replay.ApplyState(m.state)
	s.peers.done(turn.Now(), installed)
	switch {
	case installed:
		s.recent.clear()
		telemetry.EventConfigStateFetched.Log(s.logger,
			zap.Uint64("version", m.state.Version), zap.Uint64("offset", uint64(m.state.Next)))
		s.publish(turn)
	case m.err != nil:
		telemetry.EventConfigStateRefused.Log(s.logger, zap.Error(m.err))
	}
}

// answerState answers a query with the own state. Encoding runs outside the control goroutine.
func (s *Service) answerState(turn *kernel.Turn, m service.StateQuery) {
	state, known := s.replay.State()
	if !known || (s.tailAt == never && state.Version == 0) {
		service.SendReply(m.Reply, service.StateAnswer{})
		return
	}
	logger := s.logger
	turn.Go(func(context.Context) kernel.Message {
		data, err := configlog.EncodeState(state)
		if err != nil {
			telemetry.EventConfigEncodeFailed.Log(logger, zap.Error(err))
		}
		service.SendReply(m.Reply, service.StateAnswer{Available: err == nil, State: data, Offset: state.Next})
		return nil
	})
}

// answerRecords answers a query with the records in memory.
func (s *Service) answerRecords(now time.Duration, m service.RecordsQuery) {
	next := s.replay.Next()
	records, ok := s.recent.from(m.From, next, m.Limit)
	if !ok || !s.replay.IsComplete() {
		service.SendReply(m.Reply, service.RecordsAnswer{RelayedBatch: service.RelayedBatch{Age: -1}})
		return
	}
	answer := service.RecordsAnswer{Available: true, RelayedBatch: service.RelayedBatch{
		Batch: platformapi.Batch{First: s.recent.first(next), Next: next, Records: records}, Age: -1,
	}}
	if s.tailAt != never {
		answer.Age = now - s.tailAt
	}
	service.SendReply(m.Reply, answer)
}

var _ service.ConfigSource = (*Service)(nil)
