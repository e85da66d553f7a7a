package dispatch

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// maxCollectedAnswers bounds the answers in one reply to a new primary, in bytes. Records beyond it are sent without their
// answers, so that their repeats are answered as unknown.
const maxCollectedAnswers = 2 << 20

// StoreOutcomes stores records for another primary. It returns false if there is no space. It may be called from any
// goroutine.
func (s *Service) StoreOutcomes(_ entity.BackendID, _ entity.Term, entries []outcome.Record) bool {
	now := s.kernel.Now()
	for i := range entries {
		if e := &entries[i]; e.State == outcome.StateBlamed {
			s.quarantineMu.Lock()
			s.quarantine.Blame(outcome.Suspect{Customer: e.Key.Customer, Fingerprint: e.Fingerprint}, now)
			s.quarantineMu.Unlock()
		}
	}
	s.copiesMu.Lock()
	defer s.copiesMu.Unlock()
	return s.copies.Store(entries, now)
}

// KnownOutcomes returns all records of the partitions, those stored for other primaries and those of this instance's own
// backends, and the age of this process's memory. It may be called from any goroutine.
func (s *Service) KnownOutcomes(name entity.ServiceName, partitions []entity.Partition) ([]outcome.Record, time.Duration) {
	now := s.kernel.Now()
	keys := keysOf(name, partitions)
	s.copiesMu.Lock()
	records := s.copies.Export(keys, now)
	s.copiesMu.Unlock()
	if p := s.plan.Load(); p != nil {
		for _, q := range p.queues {
			if q.service == name {
				q.mu.Lock()
				records = append(records, q.memory.Export(keys, now)...)
				q.mu.Unlock()
			}
		}
	}
	dropAnswersBeyond(records, maxCollectedAnswers)
	return records, now - s.started
}

func dropAnswersBeyond(records []outcome.Record, limit int) {
	size := 0
	for i := range records {
		if records[i].Answer == nil {
			continue
		}
		size += len(records[i].Answer.Body)
		if size > limit {
			records[i].Answer = nil
		}
	}
}
