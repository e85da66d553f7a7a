package loads

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/balance"
	"github.com/pollenpier/pollenpier/internal/decide/rendezvous"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// takeWarmup reports whether a cold backend may be sent one more request, and counts it. The caller holds the lock.
func (s *Service) takeWarmup(e *endpoint, q *service.LoadQuery) bool {
	if e.sharedBy != q.Members {
		e.sharing, e.sharedBy = warmupSharing(e, s.instance.ID, q.Members), q.Members
	}
	return e.warmup.Take(q.Now, q.Service.WarmupRate, e.sharing)
}

// warmupSharing ranks this instance among all instances. Those that are not listed yet are assumed to rank evenly around it.
func warmupSharing(e *endpoint, self entity.InstanceID, members *service.MembersView) balance.WarmupSharing {
	unlisted := members.KnownCount - len(members.Instances)
	rank := rendezvous.Rank(string(e.id), self, members.Instances)
	return balance.WarmupSharing{Instances: members.KnownCount, Rank: rank + int(e.preference*float64(max(unlisted, 0)))}
}

// checksWarmup reports whether backends are asked for their warm-up, because their entries cannot be read. The caller holds the lock.
func (s *Service) checksWarmup(q *service.LoadQuery) bool {
	return s.storeOutage && q.Service.WarmupRate > 0 && q.Service.HealthPath != ""
}

// FinishWarmupCheck implements service.LoadTracker.
func (s *Service) FinishWarmupCheck(b *catalog.Backend, remaining time.Duration, ok bool, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[b.ID]
	switch {
	case e == nil || e.incarnation != b.Incarnation:
	case ok:
		e.check.Answered(remaining, now)
	default:
		e.check.Failed()
	}
}
