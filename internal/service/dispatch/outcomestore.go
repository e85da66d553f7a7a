package dispatch

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// maxCollectedAnswers bounds the bytes of answers in one reply to a new primary. Records beyond it come without their
// answers: their repeats are then unknown.
const maxCollectedAnswers = 2 << 20

// StoreOutcomes keeps records for another primary. It reports false if there is no room.
func (s *Service) StoreOutcomes(_ entity.BackendID, _ entity.Term, entries []outcome.Record) bool {
	now := s.kernel.Now()
	for i := range entries {
		if e := &entries[i]; e.State == outcome.StateBlamed {
			s.quarantineMu.Lock()
			s.quarantine.Blame(outcome.Suspect{Customer: e.Key.Customer, Fingerprint: e.Fingerprint}, now)
			s.quarantineMu.Unlock()
		}
	}
	s.keeperMu.Lock()
	defer s.keeperMu.Unlock()
	return s.copies.Store(entries, now)
}

// KnownOutcomes returns all records of the partitions, those held for others and those of this instance's own back ends,
// and the age of this process's memory.
func (s *Service) KnownOutcomes(name entity.ServiceName, partitions []entity.Partition) ([]outcome.Record, time.Duration) {
	now := s.kernel.Now()
	keys := keysOf(name, partitions)
	s.keeperMu.Lock()
	records := s.copies.Export(keys, now)
	s.keeperMu.Unlock()
	if p := s.plan.Load(); p != nil {
		for _, l := range p.queues {
			if l.service == name {
				l.mu.Lock()
				records = append(records, l.memory.Export(keys, now)...)
				l.mu.Unlock()
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
