package dispatch

import (
	"github.com/pollenpier/pollenpier/internal/service"
)

// lapsed cancels the calls for partitions whose owner's session has lapsed. A frozen backend would otherwise keep their
// callers waiting until the deadline of the request, although the keys have another owner by then.
func (s *Service) lapsed(m service.PartitionsLapsed) {
	q := s.backendQueue(m.Backend)
	if q == nil {
		return
	}
	lapsed := make(map[service.PartitionEpoch]bool, len(m.Partitions))
	for _, p := range m.Partitions {
		lapsed[p] = true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for f := range q.running {
		p := service.PartitionEpoch{Service: f.req.Service, Partition: f.req.Partition, Epoch: f.req.Epoch}
		if lapsed[p] && f.cancelCall != nil {
			f.cancelCall(errOwnerLapsed)
		}
	}
}
