package keys

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/capacity"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// maxMeasured bounds the number of backends whose measurements are kept.
const maxMeasured = 10_000

// measurements are what all instances have measured at the backends since this instance became the coordinator, by short hash. Instances
// report only to the coordinator.
type measurements map[uint32]*capacity.Measured

func (m measurements) add(reported []service.BackendMeasurement, now time.Duration) {
	for _, r := range reported {
		measured := m[r.Backend]
		if measured == nil {
			if len(m) >= maxMeasured {
				clear(m) // most are of backends that are gone; the others are measured again within seconds
			}
			measured = &capacity.Measured{}
			m[r.Backend] = measured
		}
		measured.Add(r.Answers, r.ServiceTime, now)
	}
}

// throughput returns the requests per second that a backend handles well, zero if it is not known.
func (m measurements) throughput(id entity.BackendID, slots float64, now time.Duration) float64 {
	measured := m[entity.ShortHash(id)]
	if measured == nil {
		return 0
	}
	throughput, _ := measured.Throughput(slots, now)
	return throughput
}
