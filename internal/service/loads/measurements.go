package loads

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// measurement sums up the answers of a backend since the last report.
type measurement struct {
	answers     int
	serviceTime time.Duration
}

// measure adds an answer to the next report. Only partitioned services are reported, since the coordinator places their keys by it. The
// caller holds the lock.
func (s *Service) measure(e *endpoint, name entity.ServiceName, slotTime time.Duration) {
	if s.config == nil || s.config.Services[name] == nil || !s.config.Services[name].Partitioned {
		return
	}
	e.measurement.answers++
	e.measurement.serviceTime += slotTime
}

// takeMeasurements returns the measurements since the last call. The caller holds the lock.
func (s *Service) takeMeasurements() []service.BackendMeasurement {
	var taken []service.BackendMeasurement
	for _, e := range s.endpoints {
		if e.measurement.answers > 0 {
			taken = append(taken, service.BackendMeasurement{Backend: e.hash, Answers: e.measurement.answers, ServiceTime: e.measurement.serviceTime})
			e.measurement = measurement{}
		}
	}
	return taken
}
