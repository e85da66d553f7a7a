package members

import (
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/pollenpier/pollenpier/internal/decide/storesync"
	"github.com/pollenpier/pollenpier/internal/fleetpb"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

func (s *Service) compose(r service.TrafficReport) *fleetpb.Heartbeat {
	m := &fleetpb.Heartbeat{
		From: s.self(), Sequence: s.sequence, TableVersion: uint64(s.keys.TableVersion), Coordinator: s.keys.Coordinator,
		Millicores: uint32(s.instance.Cores * millicores), StoreReachable: s.keys.StoreReachable, HeldFences: s.keys.GrantedFences, Leaving: s.leaving,
		Crashing: r.Crashing, Refusing: r.Refusing, LeavingBackends: r.Leaving,
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
	s.addRollouts(m)
	return m
}

// addRollouts adds the report on rollouts to a heartbeat.
func (s *Service) addRollouts(m *fleetpb.Heartbeat) {
	if s.rollout == nil {
		return
	}
	if r := s.rollout.RolloutReport(s.kernel.Now()); r != nil {
		s.droppedRollouts.Inc(int64(fleetpb.SetRollout(m, r)))
	}
}

// millicores is the number of millicores in a core.
const millicores = 1000

// zoneHeartbeat returns the heartbeat for the peers in this instance's zone. That of the zone reader carries the store update; peers
// ignore those of other instances.
func (s *Service) zoneHeartbeat(m *fleetpb.Heartbeat) *fleetpb.Heartbeat {
	if s.reachableInZone < sharedReads || s.reader != s.instance.ID {
		return m
	}
	return s.withStoreUpdate(m)
}

func (s *Service) withStoreUpdate(m *fleetpb.Heartbeat) *fleetpb.Heartbeat {
	local := s.storeSync.LocalUpdate()
	zoneMessage := proto.CloneOf(m)
	zoneMessage.EntriesOffset, zoneMessage.LastChangeOffset, zoneMessage.OperatorOffset = local.EntriesOffset, local.LastChangeOffset, local.OperatorOffset
	zoneMessage.EntriesAgeMs, zoneMessage.OperatorAgeMs = uint32(local.Age.Milliseconds()), uint32(local.OperatorAge.Milliseconds())
	for _, b := range local.Batches {
		zoneMessage.EntryBatches = append(zoneMessage.EntryBatches, &fleetpb.RecordBatch{After: b.After, UpTo: b.UpTo, Records: b.Records})
	}
	for _, b := range local.OperatorBatches {
		zoneMessage.OperatorBatches = append(zoneMessage.OperatorBatches, &fleetpb.RecordBatch{After: b.After, UpTo: b.UpTo, Records: b.Records})
	}
	return zoneMessage
}

// storeUpdateOf returns the store update in a heartbeat.
func storeUpdateOf(m *fleetpb.Heartbeat) storesync.Update {
	update := storesync.Update{
		EntriesOffset: m.EntriesOffset, LastChangeOffset: m.LastChangeOffset, OperatorOffset: m.OperatorOffset,
		Age: time.Duration(m.EntriesAgeMs) * time.Millisecond, OperatorAge: time.Duration(m.OperatorAgeMs) * time.Millisecond,
	}
	for _, b := range m.EntryBatches {
		update.Batches = append(update.Batches, storesync.Batch{After: b.After, UpTo: b.UpTo, Records: b.Records})
	}
	for _, b := range m.OperatorBatches {
		update.OperatorBatches = append(update.OperatorBatches, storesync.Batch{After: b.After, UpTo: b.UpTo, Records: b.Records})
	}
	return update
}

func trafficOf(m *fleetpb.Heartbeat) service.TrafficReport {
	r := service.TrafficReport{
		InFlight: map[uint32]uint32{}, ColdSent: map[uint32]uint32{}, Admitted: map[uint32]uint64{}, Refused: map[uint32]uint64{},
		Crashing: m.Crashing, Refusing: m.Refusing, Leaving: m.LeavingBackends,
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

// encode returns the datagram of a heartbeat. If the heartbeat cannot be encoded or is too large, it logs an event and returns
// nil.
func (s *Service) encode(message *fleetpb.Heartbeat) []byte {
	raw, err := proto.Marshal(message)
	if err != nil || len(raw) > maxDatagram {
		s.bad.Inc(1)
		telemetry.EventBadHeartbeat.Log(s.log, zap.Int("bytes", len(raw)), zap.Error(err))
		return nil
	}
	return raw
}
