package dispatch

import (
	"github.com/pollenpier/pollenpier/internal/service"
)

// lapsed ends the calls for partitions whose owner's session has lapsed. A frozen back end would otherwise keep their callers
// until the deadline of the request, although the keys have another owner by then.
func (s *Service) lapsed(m service.PartitionsLapsed) {
	l := s.backendQueue(m.Backend)
	if l == nil {
		return
	}
	ended := make(map[service.PartitionEpoch]bool, len(m.Partitions))
	for _, p := range m.Partitions {
		ended[p] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for f := range l.running {
		p := service.PartitionEpoch{Service: f.req.Service, Partition: f.req.Partition, Epoch: f.req.Epoch}
		if ended[p] && f.cut != nil {
			f.cut(errOwnerLapsed)
		}
	}
}
