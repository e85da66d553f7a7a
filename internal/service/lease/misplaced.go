package lease

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/lease"
	"github.com/pollenpier/pollenpier/internal/service"
)

// settleTime is how long another instance must be the preferred holder of a lease before the lease counts as misplaced. It
// is longer than any short pause, so that an unsteady instance does not draw leases that it will lose again.
const settleTime = 5 * time.Second

// misplaced notes since when leases of this instance should be held by another one.
type misplaced struct {
	since map[lease.Name]time.Duration
	// ready are the names that have been misplaced for settleTime.
	ready []service.LeaseName
}

// update looks at the present holder once per heartbeat.
func (m *misplaced) update(now time.Duration, holder *lease.Holder) {
	since := map[lease.Name]time.Duration{}
	m.ready = nil
	for _, name := range holder.Misplaced(now) {
		began, known := m.since[name]
		if !known {
			began = now
		}
		since[name] = began
		if now-began >= settleTime {
			m.ready = append(m.ready, service.LeaseName(name))
		}
	}
	m.since = since
}
