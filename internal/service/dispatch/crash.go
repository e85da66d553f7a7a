package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// maxBlameReceivers bounds the instances that a blamed request is reported to. The next owner's primary is most likely
// among the first members, and every other instance detects the request by itself after two crashes.
const maxBlameReceivers = 64

func (s *Service) suspect(suspect outcome.Suspect, now time.Duration) {
	s.quarantineMu.Lock()
	defer s.quarantineMu.Unlock()
	s.quarantine.Suspect(suspect, now)
}

func (s *Service) clearSuspect(suspect outcome.Suspect) {
	s.quarantineMu.Lock()
	defer s.quarantineMu.Unlock()
	if !s.quarantine.Empty() {
		s.quarantine.Clear(suspect)
	}
}

// blame counts a crash against a request, here and at the peers: the request may be sent again to the next owner of its
// key, whose primary is another instance. The caller holds the queue's lock.
func (s *Service) blame(q *backendQueue, suspect outcome.Suspect, now time.Duration) {
	s.quarantineMu.Lock()
	s.quarantine.Blame(suspect, now)
	s.quarantineMu.Unlock()
	s.meters.blames.Inc(1)
	telemetry.EventRequestBlamed.Log(s.log,
		zap.String("backend", string(q.id)),
		zap.String("customer", string(suspect.Customer)),
		zap.Uint64("fingerprint", suspect.Fingerprint))
	record := outcome.Record{
		Key:         outcome.Key{Customer: suspect.Customer, Service: q.service},
		Fingerprint: suspect.Fingerprint,
		State:       outcome.StateBlamed,
	}
	term := q.term
	s.startWorker(func(ctx context.Context) {
		for _, m := range s.blameReceivers() {
			callCtx, cancel := context.WithTimeout(ctx, s.settings.CopyTimeout)
			// A lost report costs at most one more crash.
			if err := s.copier.CopyOutcomes(callCtx, m.Address, q.id, term, []outcome.Record{record}); err != nil {
				s.meters.copiesFailed.Inc(1)
			}
			cancel()
		}
	})
}

func (s *Service) blameReceivers() []ownership.Member {
	members := s.withoutSelf(s.plan.Load().view.Members)
	return members[:min(len(members), maxBlameReceivers)]
}
