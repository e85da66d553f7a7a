package keys

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// A record in the store is no proof that a process runs or has terminated: any writer may leave one. If several records name one
// address, or a later process under the ID of an owner, the address itself is asked which backend answers there.

const (
	// firstCheckPause is the pause after a check of an address. It doubles with each check that is not answered, up to maxCheckPause.
	firstCheckPause = commandRetryDelay
	maxCheckPause   = 4 * time.Second
	// resumeInterval is the least time between two status checks whose answers make a backend usable that left commands unanswered.
	resumeInterval = 30 * time.Second
)

// addressCheck is which backend has answered at an address.
type addressCheck struct {
	running bool
	next    time.Duration // earliest time of the next check
	pause   time.Duration // after the next failure
	sentAt  time.Duration // when the last check that was answered was sent
	id      entity.BackendID
}

// addressChecked is the result of a check of an address.
type addressChecked struct {
	address string
	id      entity.BackendID
	sentAt  time.Duration
	err     error
}

// errNoStatusPath means that no service of the processes at an address has a status path.
var errNoStatusPath = errors.New("no status path is configured")

// checkSharedAddresses asks the addresses that several processes claim, and those of later processes under the IDs of owners, which
// backend answers there.
func (s *Service) checkSharedAddresses(t *kernel.Turn) {
	if s.state == nil {
		return
	}
	for address, claimants := range s.tableRoles().at {
		if len(claimants) > 1 && s.anyTakesGrants(claimants) {
			s.checkAddress(t, address, claimants)
		}
	}
	for h := range s.tableRoles().owners {
		if next, ok := s.listedLater(h); ok {
			s.checkAddress(t, s.address(next).Address, []keyrange.Holder{next})
		}
	}
}

// checkLostBackends asks backends that have left commands unanswered whether they are reachable again. A backend that has lost its keys is
// sent no command that could show it.
func (s *Service) checkLostBackends(t *kernel.Turn) {
	for h, k := range s.coordinator.contacts {
		b := s.directory.Backends[h.ID]
		if b == nil || holderOf(b) != h || !k.isUnreachable(t.Now()) {
			continue
		}
		if c := s.check(b.Address); !c.running && t.Now() >= c.next {
			s.startCheck(t, c, b.Address, []keyrange.Holder{h})
		}
	}
}

// recordIdentity records that a backend has stated its ID at an address. That makes it usable again if it has left commands unanswered, but
// not one that answers status checks and no commands.
func (s *Service) recordIdentity(now time.Duration, id entity.BackendID, address string) {
	b := s.directory.Backends[id]
	if b == nil || b.Address != address {
		return
	}
	k := s.coordinator.contact(holderOf(b))
	if k.isUnreachable(now) && (k.resumedAt == 0 || now-k.resumedAt > resumeInterval) {
		k.resumedAt = now
		k.recordAnswer(now)
	}
}

// check returns the state of the checks of an address.
func (s *Service) check(address string) *addressCheck {
	c := s.coordinator.checks[address]
	if c == nil {
		c = &addressCheck{pause: firstCheckPause}
		s.coordinator.checks[address] = c
	}
	return c
}

// checkAddress asks an address which backend answers there, unless it has answered since the last of the claimants was listed: a
// process that has written a record runs already.
func (s *Service) checkAddress(t *kernel.Turn, address string, claimants []keyrange.Holder) {
	c := s.check(address)
	if !c.running && t.Now() >= c.next && !s.hasAnsweredSince(c, claimants) {
		s.startCheck(t, c, address, claimants)
	}
}

func (s *Service) startCheck(t *kernel.Turn, c *addressCheck, address string, claimants []keyrange.Holder) {
	paths := s.statusPaths(claimants)
	c.running = true
	sentAt := t.Now()
	t.Go(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		id, err := s.identify(ctx, address, paths)
		return addressChecked{address: address, id: id, sentAt: sentAt, err: err}
	})
}

func (s *Service) hasAnsweredSince(c *addressCheck, claimants []keyrange.Holder) bool {
	for _, h := range claimants {
		if c.id == "" || c.sentAt < s.processes[h].listedAt {
			return false
		}
	}
	return true
}

// statusPaths returns the status paths of the services of processes, each once.
func (s *Service) statusPaths(claimants []keyrange.Holder) []string {
	var paths []string
	seen := map[string]bool{}
	for _, h := range claimants {
		if path := s.statusPath(s.address(h)); path != "" && !seen[path] {
			seen[path] = true
			paths = append(paths, path)
		}
	}
	return paths
}

// statusPath returns the status path of a backend's service. It is empty if none is configured.
func (s *Service) statusPath(b *catalog.Backend) string {
	if svc := s.configured(b); svc != nil {
		return svc.HealthPath
	}
	return ""
}

func (s *Service) configured(b *catalog.Backend) *catalog.Service {
	if b == nil || s.directory.Config == nil {
		return nil
	}
	return s.directory.Config.Services[b.Service]
}

// identify returns the ID of the backend that answers at an address. It tries the paths in turn, because a backend does not know the
// status path of another service. It runs on a worker goroutine.
func (s *Service) identify(ctx context.Context, address string, paths []string) (entity.BackendID, error) {
	err := errNoStatusPath
	for _, path := range paths {
		var id entity.BackendID
		if id, err = s.identities.Identify(ctx, address, path); err == nil {
			return id, nil
		}
	}
	return "", err
}

func (s *Service) addressChecked(t *kernel.Turn, m addressChecked) {
	if s.coordinator == nil {
		return
	}
	c := s.coordinator.checks[m.address]
	if c == nil {
		return // asked by an earlier term of this instance
	}
	c.running = false
	if m.err != nil {
		c.next, c.pause = t.Now()+c.pause, min(2*c.pause, maxCheckPause)
		telemetry.EventAddressUnanswered.Log(s.log, zap.String("address", m.address), zap.Error(m.err))
		return
	}
	c.id, c.sentAt, c.pause = m.id, m.sentAt, firstCheckPause
	c.next = t.Now() + firstCheckPause
	s.recordIdentity(t.Now(), m.id, m.address)
	telemetry.EventAddressAnswered.Log(s.log, zap.String("address", m.address), zap.String("backend", string(m.id)))
	s.fenceSuccessors(t)
	s.sendDue(t)
}

// isBeingChecked reports whether a check of an address is in flight. Commands wait for its answer.
func (s *Service) isBeingChecked(address string) bool {
	c := s.coordinator.checks[address]
	return c != nil && c.running
}

// answeredAt returns the ID of the backend that has answered at the address of a process since the process was listed. It is empty if
// none has.
func (s *Service) answeredAt(h keyrange.Holder) entity.BackendID {
	p := s.processes[h]
	if p.backend == nil {
		return ""
	}
	c := s.coordinator.checks[p.backend.Address]
	if c == nil || c.sentAt < p.listedAt {
		return ""
	}
	return c.id
}

// isUnconfirmed reports whether a process must not be granted its first keys yet: others claim its address, and it has not answered
// there with its ID. Without a status path nothing can confirm it.
func (s *Service) isUnconfirmed(b *catalog.Backend) bool {
	h := holderOf(b)
	return len(s.tableRoles().at[b.Address]) > 1 && s.statusPath(b) != "" && !s.mayHold(h) && s.answeredAt(h) != b.ID
}

// terminated reports whether a process is confirmed terminated.
func (s *Service) terminated(h keyrange.Holder) bool {
	if h == (keyrange.Holder{}) {
		return true
	}
	evidence := s.terminationEvidence(h)
	if k := s.coordinator.contact(h); evidence != "" && !k.terminated {
		k.terminated = true
		telemetry.EventBackendTerminated.Log(s.log, zap.String("backend", string(h.ID)), zap.Int64("born", h.Incarnation),
			zap.String("evidence", evidence))
	}
	return evidence != ""
}

// terminationEvidence returns what shows that a process has terminated: an answer of its successor. It is empty if nothing does. A
// successor that takes grants must have dropped those that were meant for the process first.
func (s *Service) terminationEvidence(h keyrange.Holder) string {
	if s.coordinator.contact(h).replaced {
		return "another process answered a command at its address"
	}
	next, ok := s.successor(h)
	if !ok || (s.takesGrants(next) && !s.coordinator.contact(next).fenced) {
		return ""
	}
	if next.ID == h.ID {
		return "a later process answers under its id"
	}
	return "another backend answers at its address"
}

// successor returns the process that has answered in place of another one: a later one under its ID, or one of another ID at its address.
func (s *Service) successor(h keyrange.Holder) (keyrange.Holder, bool) {
	if next, ok := s.listedLater(h); ok && (s.answeredAt(next) == h.ID || s.statusPath(s.address(next)) == "") {
		return next, true
	}
	id := s.answeredAt(h)
	if id == "" || id == h.ID {
		return keyrange.Holder{}, false
	}
	b := s.directory.Backends[id]
	if b == nil || b.Address != s.address(h).Address {
		return keyrange.Holder{}, false // not known well enough to make it drop the keys
	}
	return holderOf(b), true
}

// listedLater returns the process that is listed under the ID of a process and has started later. A process without a birth time has
// none, since any record of the same process would look later.
func (s *Service) listedLater(h keyrange.Holder) (keyrange.Holder, bool) {
	b := s.directory.Backends[h.ID]
	if h.Incarnation == 0 || b == nil || b.Incarnation <= h.Incarnation {
		return keyrange.Holder{}, false
	}
	return holderOf(b), true
}

// takesGrants reports whether a process belongs to a service whose backends own keys, or to one that is not configured any more.
func (s *Service) takesGrants(h keyrange.Holder) bool {
	svc := s.configured(s.address(h))
	return svc == nil || svc.Partitioned
}

func (s *Service) anyTakesGrants(processes []keyrange.Holder) bool {
	for _, h := range processes {
		if s.takesGrants(h) {
			return true
		}
	}
	return false
}
