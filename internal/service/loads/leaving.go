package loads

import (
	"cmp"
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
)

// maxLeavingReported bounds the backends in one report, which has to fit into a datagram. The latest are reported.
const maxLeavingReported = 256

// leavingReports contains the backend processes that have stated in an answer that they are leaving, and when they last did. It is
// guarded by the lock of the Service.
type leavingReports map[keyrange.Holder]time.Duration

func (l leavingReports) record(process keyrange.Holder, now time.Duration) { l[process] = now }

// recent returns the processes that stated it in the window before now, and forgets the others.
func (l leavingReports) recent(now, window time.Duration) []uint64 {
	var processes []keyrange.Holder
	for process, at := range l {
		if now-at > window {
			delete(l, process)
			continue
		}
		processes = append(processes, process)
	}
	slices.SortFunc(processes, func(a, b keyrange.Holder) int {
		return cmp.Or(cmp.Compare(l[b], l[a]), cmp.Compare(a.ID, b.ID))
	})
	hashes := make([]uint64, 0, min(len(processes), maxLeavingReported))
	for _, process := range processes[:cap(hashes)] {
		hashes = append(hashes, process.Hash())
	}
	return hashes
}

// RecordLeaving implements service.LeavingRecorder.
func (s *Service) RecordLeaving(process keyrange.Holder, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving.record(process, now)
}
