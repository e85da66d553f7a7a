package members

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/pollenpier/pollenpier/internal/decide/rendezvous"
	"github.com/pollenpier/pollenpier/internal/decide/storesync"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/fleetpb"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// beat sends the heartbeats that are due.
func (s *Service) beat(t *kernel.Turn) {
	s.sequence++
	s.ticks++
	now := t.Now()
	s.pace(now)
	for id, p := range s.peers {
		s.age(id, p, now)
	}
	report := s.traffic.Report(now, now < s.wholeUntil)
	s.pending = append(s.pending, report.Keys...)
	message := s.compose(report)
	near, far := s.encode(s.withNews(message)), s.encode(message)
	relays := s.relays()
	for _, p := range s.peers {
		switch {
		case !s.due(p):
		case p.zone == s.site.Zone:
			s.write(p, near)
		case s.reachedByRelay(p, relays):
		default:
			s.write(p, far)
		}
	}
	if len(relays) > 0 && s.ticks%s.far == 0 {
		message.PassOn = true
		s.send(message, relays...)
		message.PassOn = false
	}
	s.reportKeys(t)
	s.publish(now)
}

// reportKeys sends the requested keys to the coordinator only, which balances by them.
func (s *Service) reportKeys(t *kernel.Turn) {
	if s.ticks%reportEvery != 0 || len(s.pending) == 0 {
		return
	}
	if s.keys.CoordinatorID == s.site.ID {
		t.Send(service.Keys, service.KeysRequested{Keys: s.pending, At: t.Now()})
	} else if p := s.peers[s.keys.CoordinatorID]; p != nil {
		s.send(&fleetpb.Heartbeat{From: s.self(), KeysOnly: true, Keys: s.pending}, p)
	}
	s.pending = nil
}

// beatAll sends a heartbeat to every instance at once.
func (s *Service) beatAll() {
	s.sequence++
	now := s.kernel.Now()
	report := s.traffic.Report(now, now < s.wholeUntil)
	s.pending = append(s.pending, report.Keys...)
	message := s.compose(report)
	if c := s.keys.Change; c != nil {
		message.Delta = fleetpb.EncodeDelta(c.Delta, uint64(c.From), uint64(c.To))
		if proto.Size(message.Delta) > maxDelta {
			message.Delta = nil // the others read the table
		}
	}
	s.send(message, slices.Collect(maps.Values(s.peers))...)
}

func (s *Service) compose(r service.TrafficReport) *fleetpb.Heartbeat {
	m := &fleetpb.Heartbeat{
		From: s.self(), Sequence: s.sequence, TableVersion: uint64(s.keys.TableVersion), Coordinator: s.keys.Coordinator,
		Millicores: uint32(s.site.Cores * millicores), StoreReachable: s.keys.StoreReachable, HeldFences: s.keys.HeldFences, Leaving: s.leaving,
		Crashing: r.Crashing, Refusing: r.Refusing,
	}
	for id, n := range r.InFlight {
		m.Backends = append(m.Backends, id)
		m.InFlight = append(m.InFlight, n)
	}
	for id, n := range r.ColdSent {
		m.Cold = append(m.Cold, id)
		m.ColdSent = append(m.ColdSent, n)
	}
	for id, n := range r.Admitted {
		m.Customers = append(m.Customers, id)
		m.Admitted = append(m.Admitted, n)
		m.Refused = append(m.Refused, r.Refused[id])
	}
	return m
}

// millicores is the number of them in a core.
const millicores = 1000

// withNews returns the heartbeat for the instances of the own zone. In large zones they learn from it what is new in the store.
func (s *Service) withNews(m *fleetpb.Heartbeat) *fleetpb.Heartbeat {
	if s.inZone < sharedReads {
		return m // each reads the store itself
	}
	own := s.news.LocalUpdate()
	near := proto.CloneOf(m)
	near.NewsRead, near.NewsChanged, near.NewsOperator = own.EntriesOffset, own.LastChangeOffset, own.OperatorOffset
	near.NewsAgeMs = uint32(own.Age.Milliseconds())
	for _, b := range own.Batches {
		near.News = append(near.News, &fleetpb.NewsBatch{After: b.After, UpTo: b.UpTo, Records: b.Records})
	}
	for _, b := range own.OperatorBatches {
		near.OperatorNews = append(near.OperatorNews, &fleetpb.NewsBatch{After: b.After, UpTo: b.UpTo, Records: b.Records})
	}
	return near
}

// newsOf returns what a heartbeat says of the store.
func newsOf(m *fleetpb.Heartbeat) storesync.Update {
	heard := storesync.Update{
		EntriesOffset: m.NewsRead, LastChangeOffset: m.NewsChanged, OperatorOffset: m.NewsOperator,
		Age: time.Duration(m.NewsAgeMs) * time.Millisecond,
	}
	for _, b := range m.News {
		heard.Batches = append(heard.Batches, storesync.Batch{After: b.After, UpTo: b.UpTo, Records: b.Records})
	}
	for _, b := range m.OperatorNews {
		heard.OperatorBatches = append(heard.OperatorBatches, storesync.Batch{After: b.After, UpTo: b.UpTo, Records: b.Records})
	}
	return heard
}

func trafficOf(m *fleetpb.Heartbeat) service.TrafficReport {
	r := service.TrafficReport{
		InFlight: map[uint32]uint32{}, ColdSent: map[uint32]uint32{}, Admitted: map[uint32]uint64{}, Refused: map[uint32]uint64{},
		Crashing: m.Crashing, Refusing: m.Refusing,
	}
	for i := range min(len(m.Backends), len(m.InFlight)) {
		r.InFlight[m.Backends[i]] = m.InFlight[i]
	}
	for i := range min(len(m.Cold), len(m.ColdSent)) {
		r.ColdSent[m.Cold[i]] = m.ColdSent[i]
	}
	for i := range min(len(m.Customers), len(m.Admitted)) {
		r.Admitted[m.Customers[i]] = m.Admitted[i]
		if i < len(m.Refused) {
			r.Refused[m.Customers[i]] = m.Refused[i]
		}
	}
	return r
}

// reader returns the instance of the zone that reads the store for the others. Instances that disagree for a moment read
// themselves.
func (s *Service) reader() entity.InstanceID {
	var candidates []entity.InstanceID
	if s.keys.StoreReachable && !s.leaving {
		candidates = append(candidates, s.site.ID)
	}
	for id, p := range s.peers {
		if p.zone == s.site.Zone && p.at > 0 && !p.silent && !p.leaving && p.storeGood {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		return s.site.ID
	}
	order := rendezvous.Order("reader", candidates)
	return slices.MaxFunc(order, func(a, b entity.InstanceID) int { return cmp.Compare(s.cores(a), s.cores(b)) })
}

// cores returns the processor of an instance. Those with the most of it read for the others, which wait for what they tell.
func (s *Service) cores(id entity.InstanceID) float64 {
	if p := s.peers[id]; p != nil {
		return p.cores
	}
	return s.site.Cores
}

// pace sets the intervals by the number of other instances.
func (s *Service) pace(now time.Duration) {
	near, far := 0, 0
	for _, p := range s.peers {
		switch {
		case p.silent || (p.at == 0 && !p.counts(now)):
		case p.zone == s.site.Zone:
			near++
		default:
			far++
		}
	}
	s.inZone = near
	s.near = uint64(1 + max(near-1, 0)/nearPeers)
	s.far = farFactor * uint64(1+max(far-1, 0)/farPeers)
}

// lag is how old what the other instances tell may be.
func (s *Service) lag() time.Duration { return time.Duration(max(s.near, s.far)) * interval }

// silentAfter is how long an instance may be silent and still counts as heard.
func (s *Service) silentAfter() time.Duration { return max(silence, silentBeats*s.lag()) }

// due reports whether an instance gets a heartbeat in this interval.
func (s *Service) due(p *peer) bool {
	switch {
	case p.silent || p.at == 0:
		return s.ticks%silentEvery == 0 || s.ticks < silentEvery
	case s.keys.Coordinator:
		return s.ticks%min(s.far, coordinatorEvery) == 0
	case p.zone != s.site.Zone:
		return s.ticks%s.far == 0
	default:
		return s.ticks%s.near == 0
	}
}

// send sends a heartbeat to the given instances.
func (s *Service) send(message *fleetpb.Heartbeat, to ...*peer) {
	raw := s.encode(message)
	for _, p := range to {
		s.write(p, raw)
	}
}

// encode returns the datagram of a heartbeat, or nil, with an event, if there is none.
func (s *Service) encode(message *fleetpb.Heartbeat) []byte {
	raw, err := proto.Marshal(message)
	if err != nil || len(raw) > maxDatagram {
		s.bad.Inc(1)
		telemetry.EventBadHeartbeat.Log(s.log, zap.Int("bytes", len(raw)), zap.Error(err))
		return nil
	}
	return raw
}

func (s *Service) write(p *peer, raw []byte) {
	if raw == nil {
		return
	}
	if _, err := s.socket.WriteToUDP(raw, p.address); err != nil {
		s.bad.Inc(1)
		return
	}
	s.sent.Inc(1)
}
