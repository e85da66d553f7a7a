package keys

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// Bounds of commands to backends.
const (
	// commandTimeout bounds a grant, which a backend answers immediately.
	commandTimeout = 800 * time.Millisecond
	// releaseTimeout bounds a release, which is answered when the running requests have finished.
	releaseTimeout = 2500 * time.Millisecond
	// parallelReleases bounds the concurrent releases at one backend.
	parallelReleases = 8
	// maxProcesses bounds the recorded processes.
	maxProcesses = 8192
)

// directoryChanged applies a new view of the backends.
func (s *Service) directoryChanged(t *kernel.Turn, view *service.DirectoryView) {
	s.directory = view
	if len(s.processes) > maxProcesses {
		s.processes = map[keyrange.Holder]process{}
	}
	for _, b := range view.Backends {
		h := holderOf(b)
		known, ok := s.processes[h]
		if !ok {
			known.listedAt = t.Now()
		}
		known.backend = b
		s.processes[h] = known
	}
}

func holderOf(b *catalog.Backend) keyrange.Holder {
	return keyrange.Holder{ID: b.ID, Incarnation: b.Incarnation}
}

// address returns the backend record of a process: the listed one, or the last known one. It returns nil if there is none.
func (s *Service) address(h keyrange.Holder) *catalog.Backend {
	return s.processes[h].backend
}

func (c *backendContact) recordAnswer(now time.Duration) { c.answered, c.failing = now, 0 }

// isUnreachable reports whether the process has left commands unanswered for so long that it is assigned no more keys.
func (c *backendContact) isUnreachable(now time.Duration) bool {
	return c.failing > 0 && now-c.failing > unreachableAfter
}

func (c *backendContact) recordFailure(now time.Duration) {
	if c.failing == 0 {
		c.failing = now
	}
}

// sendBatch sends commands to one backend on a worker goroutine.
func (s *Service) sendBatch(t *kernel.Turn, target keyrange.Holder, commands []keyrange.Command) {
	k := s.coordinator.contact(target)
	k.busy = true
	b := s.address(target)
	term, planned := s.coordinator.term, t.Now()
	t.Go(func(ctx context.Context) kernel.Message {
		return commandsDone{term: term, target: target, results: s.sendCommands(ctx, b, commands, planned)}
	})
}

// sendCommands sends the releases concurrently, since each waits for running requests, and then the grants in sequence. After a
// command without an answer the remaining grants are not sent. It runs on a worker goroutine.
func (s *Service) sendCommands(
	ctx context.Context, b *catalog.Backend, commands []keyrange.Command, planned time.Duration,
) []timedResult {
	results := make([]timedResult, len(commands))
	var releases sync.WaitGroup
	slots := make(chan struct{}, parallelReleases)
	for i, command := range commands {
		if command.Kind != keyrange.KindRelease {
			continue
		}
		releases.Go(func() {
			slots <- struct{}{}
			results[i] = s.sendCommand(ctx, b, command, planned, releaseTimeout)
			<-slots
		})
	}
	releases.Wait()
	unresponsive := false
	for i, command := range commands {
		switch {
		case command.Kind == keyrange.KindRelease:
			unresponsive = unresponsive || results[i].Outcome == keyrange.NoAnswer
		case unresponsive:
			results[i] = timedResult{Result: keyrange.Result{Command: command, Outcome: keyrange.NotSent}}
		default:
			results[i] = s.sendCommand(ctx, b, command, planned, commandTimeout)
			unresponsive = results[i].Outcome != keyrange.Done && results[i].Outcome != keyrange.Refused
		}
	}
	return results
}

func (s *Service) sendCommand(
	ctx context.Context, b *catalog.Backend, command keyrange.Command, planned time.Duration, timeout time.Duration,
) timedResult {
	sent := s.kernel.Now()
	if command.Kind == keyrange.KindGrant {
		command.TTL -= sent - planned
	}
	if b == nil || (command.Kind == keyrange.KindGrant && command.TTL <= 0) {
		return timedResult{Result: keyrange.Result{Command: command, Outcome: keyrange.NotSent}, sent: sent, done: sent}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result := s.commands.SendCommand(ctx, b, command)
	return timedResult{Result: result, sent: sent, done: s.kernel.Now()}
}

// commandsDone applies the results of a batch.
func (s *Service) commandsDone(t *kernel.Turn, m commandsDone) {
	c := s.coordinator
	if c == nil || c.term != m.term {
		return
	}
	k := c.contact(m.target)
	k.busy = false
	grantedBefore := len(s.grantedFences)
	for _, r := range m.results {
		s.countResult(r)
		if r.Leaving {
			s.leaving.RecordLeaving(m.target, t.Now())
		}
		switch r.Outcome {
		case keyrange.Done, keyrange.Refused:
			k.recordAnswer(r.done)
		case keyrange.OtherProcess:
			k.replaced = true
		case keyrange.NoAnswer, keyrange.NotSent:
			k.recordFailure(t.Now())
		}
		if r.Outcome != keyrange.Done {
			telemetry.EventCommandFailed.Log(s.log, zap.String("backend", string(m.target.ID)), zap.Uint8("kind", uint8(r.Kind)),
				zap.Uint32("from", r.From), zap.Uint32("to", r.To), zap.Uint64("fence", r.Fence), zap.Uint8("outcome", uint8(r.Outcome)))
		}
		if c.executor.HandleResult(r.Result, r.sent, t.Now()) {
			s.grantedFences[r.Fence] = true
			telemetry.EventRangeGranted.Log(s.log, zap.String("backend", string(m.target.ID)), zap.Uint32("from", r.From),
				zap.Uint32("to", r.To), zap.Uint64("fence", r.Fence), zap.Duration("ttl", r.TTL), zap.Stringer("basis", r.Basis),
				zap.Duration("previous_expired_ago", r.sent-r.PreviousUntil))
		}
	}
	if c.executor.Fenced() {
		s.nextRead = t.Now()
		s.era.refused = true
	}
	if len(s.grantedFences) != grantedBefore {
		s.publish(t)
		s.announceSoon(t)
	}
	s.sendDue(t)
}

func (s *Service) countResult(r timedResult) {
	switch {
	case r.Outcome != keyrange.Done:
		s.counters.commandFailures.Inc(1)
	case r.Kind == keyrange.KindGrant:
		s.counters.grants.Inc(1)
	default:
		s.counters.releases.Inc(1)
	}
}
