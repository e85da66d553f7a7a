package directory

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
)

// rememberDropped is how long a backend process that was removed from the view is remembered. The store returns from copies that
// are seconds old, so a record of such a process cannot come back later.
const rememberDropped = time.Minute

// droppedProcesses contains the times at which backend processes were removed from the view, by processHash. When the store returns
// from an older copy, their records may be back without having been written again.
type droppedProcesses map[uint64]time.Duration

func (d droppedProcesses) add(b *catalog.Backend, now time.Duration) {
	for process, at := range d {
		if now-at > rememberDropped {
			delete(d, process)
		}
	}
	d[processHash(b)] = now
}

func (d droppedProcesses) contains(b *catalog.Backend) bool {
	_, ok := d[processHash(b)]
	return ok
}

// keepMissing keeps the backends whose records are missing in the first read of a new era as long as after an outage of the store.
func (s *Service) keepMissing(t *kernel.Turn, m service.BackendsRead) {
	s.graceUntil, s.recoveryReadAt = t.Now()+recoveryGrace, m.At
}
