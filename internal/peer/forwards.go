package peer

import (
	"context"
	"sync"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// forwards records the forwarded requests that a server has in progress, so that a planned stop closes no connection under one of
// them.
type forwards struct {
	mu         sync.Mutex
	inProgress int
	lastAt     time.Time // when a request last began or ended
	counting   bool      // refusals are counted
	closing    bool      // requests in progress may be cut
	report     StopReport
}

// StopReport counts the forwarded requests that a planned stop concerned.
type StopReport struct {
	// Refused is the number of requests that were answered "not run" since the stop began.
	Refused int
	// Cut is the number of requests whose connections were closed before their answer was sent completely.
	Cut int
}

func (f *forwards) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inProgress++
	f.lastAt = time.Now()
}

// end records the end of a request and whether all of its answer was sent.
func (f *forwards) end(complete bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inProgress--
	f.lastAt = time.Now()
	if f.closing && !complete {
		f.report.Cut++
	}
}

// dispatched records how the request was answered.
func (f *forwards) dispatched(resp service.Response) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counting && resp.Outcome.Kind == entity.OutcomeNotRun {
		f.report.Refused++
	}
}

// wait returns how long to wait before the next call, zero if none of the requests that began or ended in the last quiet period
// and none in progress is left. The server may then close its connections.
func (f *forwards) wait(since time.Time, quiet time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inProgress > 0 {
		return quiet
	}
	if f.lastAt.After(since) {
		since = f.lastAt
	}
	left := max(0, time.Until(since.Add(quiet)))
	f.closing = left == 0
	return left
}

// BeginStop starts to count the refusals of a planned stop.
func (s *Server) BeginStop() {
	s.forwards.mu.Lock()
	defer s.forwards.mu.Unlock()
	s.forwards.counting = true
}

// AwaitQuiet waits until no forwarded request has been in progress for the duration quiet. It returns false if ctx ends first.
func (s *Server) AwaitQuiet(ctx context.Context, quiet time.Duration) bool {
	began := time.Now()
	for {
		left := s.forwards.wait(began, quiet)
		if left == 0 {
			return true
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			s.forwards.mu.Lock()
			s.forwards.closing = true
			s.forwards.mu.Unlock()
			return false
		}
	}
}

// StopReport returns the counts of the planned stop.
func (s *Server) StopReport() StopReport {
	s.forwards.mu.Lock()
	defer s.forwards.mu.Unlock()
	return s.forwards.report
}
