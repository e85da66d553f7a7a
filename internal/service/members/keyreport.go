package members

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/fleetpb"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
)

// pendingReport is what this instance reports to the coordinator next.
type pendingReport struct {
	keys     []uint32
	measured map[uint32]service.BackendMeasurement // by short hash of the backend
}

func (p *pendingReport) add(r service.TrafficReport) {
	p.keys = append(p.keys, r.Keys...)
	for _, m := range r.Measured {
		if p.measured == nil {
			p.measured = map[uint32]service.BackendMeasurement{}
		}
		sum := p.measured[m.Backend]
		p.measured[m.Backend] = service.BackendMeasurement{
			Backend: m.Backend, Answers: sum.Answers + m.Answers, ServiceTime: sum.ServiceTime + m.ServiceTime,
		}
	}
}

func (p *pendingReport) isEmpty() bool { return len(p.keys) == 0 && len(p.measured) == 0 }

// reportKeys sends the requested keys and the measured service times to the coordinator only, which places key ranges by them.
func (s *Service) reportKeys(t *kernel.Turn) {
	if s.ticks%reportEvery != 0 || s.pending.isEmpty() {
		return
	}
	if s.keys.CoordinatorID == s.instance.ID {
		r := service.KeysRequested{Keys: s.pending.keys, At: t.Now()}
		for _, m := range s.pending.measured {
			r.Measured = append(r.Measured, m)
		}
		t.Send(service.Keys, r)
	} else if p := s.peers[s.keys.CoordinatorID]; p != nil {
		s.send(s.keyReport(), p)
	}
	s.pending = pendingReport{}
}

// keyReport returns the heartbeat that contains only the report for the coordinator.
func (s *Service) keyReport() *fleetpb.Heartbeat {
	m := &fleetpb.Heartbeat{From: s.self(), KeysOnly: true, Keys: s.pending.keys}
	for hash, sum := range s.pending.measured {
		m.Measured = append(m.Measured, hash)
		m.MeasuredAnswers = append(m.MeasuredAnswers, uint32(sum.Answers))
		m.MeasuredUs = append(m.MeasuredUs, uint64(sum.ServiceTime.Microseconds()))
	}
	return m
}

// Bounds of one measurement in a report. A report beyond them is not from a working instance.
const (
	maxMeasuredAnswers = 1 << 16
	maxMeasuredTime    = time.Hour
)

// measurementsOf returns the measurements in a heartbeat. It leaves out those that are incomplete or out of bounds.
func measurementsOf(m *fleetpb.Heartbeat) []service.BackendMeasurement {
	if len(m.Measured) != len(m.MeasuredAnswers) || len(m.Measured) != len(m.MeasuredUs) {
		return nil
	}
	measured := make([]service.BackendMeasurement, 0, len(m.Measured))
	for i, hash := range m.Measured {
		answers, us := m.MeasuredAnswers[i], m.MeasuredUs[i]
		if answers == 0 || answers > maxMeasuredAnswers || us > uint64(maxMeasuredTime/time.Microsecond) {
			continue
		}
		measured = append(measured, service.BackendMeasurement{Backend: hash, Answers: int(answers), ServiceTime: time.Duration(us) * time.Microsecond})
	}
	return measured
}
