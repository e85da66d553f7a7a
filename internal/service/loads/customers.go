package loads

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/quota"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

type customer struct {
	bucket   *quota.Bucket
	rate     float64
	burst    float64
	hash     uint32
	admitted uint64
	reported uint64
	refused  uint64
	// published is the number of requests, admitted or refused, that has been reported to peers.
	published uint64
	// lastRequestAt is the time of the last admission or refusal.
	lastRequestAt time.Duration
}

// customer returns the state of a customer with its current limits. The caller holds the lock.
func (s *Service) customer(c *catalog.Customer, now time.Duration) *customer {
	state := s.customers[c.ID]
	if state == nil {
		state = &customer{bucket: quota.NewBucket(c.Rate, c.Burst, now), rate: c.Rate, burst: c.Burst, hash: entity.ShortHash(c.ID)}
		s.customers[c.ID], s.customersByHash[state.hash] = state, state
	}
	if state.rate != c.Rate || state.burst != c.Burst {
		state.rate, state.burst = c.Rate, c.Burst
		state.bucket.SetLimits(c.Rate, c.Burst)
	}
	return state
}

// Admit implements service.LoadTracker.
func (s *Service) Admit(c *catalog.Customer, members *service.MembersView, now time.Duration) (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.customer(c, now)
	ok, wait := state.bucket.Take(now, quota.Peers{ReachableShare: members.ReachableShare, ReachableCount: members.ReachableCount, Staleness: members.Staleness})
	state.lastRequestAt = now
	if !ok {
		state.refused++
		s.refusedRates.Inc(1)
		return false, wait
	}
	state.admitted++
	return true, 0
}

// RefundToken implements service.LoadTracker.
func (s *Service) RefundToken(c *catalog.Customer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Peers keep counting requests that were reported to them, so only a request that was not reported yet is refunded.
	if state := s.customers[c.ID]; state != nil && state.admitted > state.reported {
		state.admitted--
		state.bucket.Refund()
	}
}
