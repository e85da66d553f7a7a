package lease

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/lease"
	"github.com/pollenpier/pollenpier/internal/service"
)

// misplacedAfter is how long another instance must be the preferred holder of a lease before the lease counts as
// misplaced. It is longer than any short pause, so that an unstable instance does not receive leases that it will lose
// again.
const misplacedAfter = 5 * time.Second

// misplaced records since when leases of this instance should be held by another one.
type misplaced struct {
	since map[lease.Name]time.Duration
	// ready holds the names that have been misplaced for misplacedAfter.
	ready []service.LeaseName
}

// update checks which leases are misplaced. It is called once per heartbeat, with the holder of the current group.
func (m *misplaced) update(now time.Duration, holder *lease.Holder) {
	since := map[lease.Name]time.Duration{}
	m.ready = nil
	for _, name := range holder.Misplaced(now) {
		began, known := m.since[name]
		if !known {
			began = now
		}
		since[name] = began
		if now-began >= misplacedAfter {
			m.ready = append(m.ready, service.LeaseName(name))
		}
	}
	m.since = since
}
