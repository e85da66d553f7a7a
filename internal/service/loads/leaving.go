package loads

import (
	"cmp"
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
)

// Limits of the backends that are reported as leaving.
const (
	// reportLeavingFor is how long after its last such answer a backend is reported. It covers two heartbeats at the longest
	// interval, in case one of them is lost.
	reportLeavingFor = publishWindow
	// maxLeavingReported bounds the backends in one report, which has to fit into a datagram. The latest are reported.
	maxLeavingReported = 256
)

// leavingReports contains the backend processes that have stated in an answer that they are leaving, and when they last did. It is
// guarded by the lock of the Service.
type leavingReports map[keyrange.Holder]time.Duration

func (l leavingReports) record(process keyrange.Holder, now time.Duration) { l[process] = now }

// recent returns the processes to report and forgets those that no longer are.
func (l leavingReports) recent(now time.Duration) []uint64 {
	var processes []keyrange.Holder
	for process, at := range l {
		if now-at > reportLeavingFor {
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
