package router

import (
	"context"
	"time"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/balance"
	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// Times for keys that are moving to another owner.
const (
	// moveWait is how long a request waits for the new owner of its key. A move is usually faster.
	moveWait = 400 * time.Millisecond
	// ownerRetry is the time after which a caller may retry if its key has no owner.
	ownerRetry = 300 * time.Millisecond
)

// candidates returns the backends that may be sent the request. For a partitioned service that is the owner of its key. If there
// are none, it returns nil and the outcome.
func (s *Service) candidates(ctx context.Context, c *request) ([]*catalog.Backend, entity.Outcome) {
	c.view = s.newerDirectory(c)
	if c.service.Partitioned {
		return s.owner(ctx, c)
	}
	usable := s.usable(c)
	if len(usable) == 0 {
		return nil, entity.NotRun(entity.ReasonNoOwner, "no backend accepts new requests")
	}
	return usable, entity.Outcome{}
}

// newerDirectory returns the current directory view, so that a retry is not sent to a backend that has left since the last
// attempt. The configuration stays the one that the call was checked against.
func (s *Service) newerDirectory(c *request) *service.DirectoryView {
	current := s.directory.Directory()
	if current.Config == c.view.Config {
		return current
	}
	view := *current
	view.Config = c.view.Config
	return &view
}

// owner returns the backend that owns the key. If the key is moving, or this instance has just started and has no table yet, it
// waits for the owner, at most for moveWait.
func (s *Service) owner(ctx context.Context, c *request) ([]*catalog.Backend, entity.Outcome) {
	waitUntil := s.kernel.Now() + moveWait
	for {
		view := s.keys.KeyView()
		r, ok := find(view, c)
		if !ok {
			if now := s.kernel.Now(); !s.starting() || now >= waitUntil || !wait(ctx, view.Changed, waitUntil-now) {
				return nil, entity.NotRun(entity.ReasonNoOwner, "the key has no owner")
			}
			c.view = s.newerDirectory(c)
			continue // an instance that has just started is still reading the table
		}
		c.version = view.Version
		granted := r.Granted || view.Granted[r.Fence]
		b := c.view.Backends[r.Owner.ID]
		if b != nil && b.Incarnation != r.Owner.Incarnation {
			b = nil
		}
		now := s.kernel.Now()
		switch {
		case granted && b == nil:
			return nil, entity.NotRun(entity.ReasonNoOwner, "the owner of the key is no longer listed")
		case granted && !s.mayUse(c, b, now):
			return nil, entity.NotRun(entity.ReasonNoOwner, "the owner of the key is leaving")
		case granted && !s.mayUseVersion(c, b):
			return nil, entity.NotRun(entity.ReasonShed, "the owner of the key runs a version that may get no more requests now")
		case granted:
			return []*catalog.Backend{b}, entity.Outcome{}
		case now >= waitUntil:
			return nil, entity.NotRun(entity.ReasonNoOwner, "the key is moving to another owner")
		}
		if !wait(ctx, view.Changed, waitUntil-now) {
			return nil, entity.NotRun(entity.ReasonNoOwner, "the key is moving to another owner")
		}
		c.view = s.newerDirectory(c)
	}
}

// Limits on the use of a leaving owner until its keys are moved.
const (
	// drainMargin is the end of a leaving backend's drain time in which it is sent no requests. It allows for the time that a
	// request is in flight and for an instance that runs slowly.
	drainMargin = 600 * time.Millisecond
	// evacuationGrace is how long after the evacuation of a zone the owners in that zone may still be sent requests.
	evacuationGrace = 2 * time.Second
)

// mayUse reports whether an owner may still be sent requests.
func (s *Service) mayUse(c *request, b *catalog.Backend, now time.Duration) bool {
	if b.Draining && now-b.LastActiveAt > s.instance.DrainTime-drainMargin {
		return false
	}
	since, evacuated := c.view.EvacuatedSince[b.Zone]
	return !evacuated || now-since <= evacuationGrace
}

func find(view *service.KeyView, c *request) (keyrange.Range, bool) {
	if view.State == nil {
		return keyrange.Range{}, false
	}
	table, ok := view.State.Table(c.service.Name)
	if !ok {
		return keyrange.Range{}, false
	}
	i, ok := table.Find(c.call.Key)
	if !ok {
		return keyrange.Range{}, false
	}
	return table.Ranges[i], true
}

// wait waits until the channel is closed or d has passed. It returns false if the caller has given up or the deadline has passed.
func wait(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return true // the caller of wait checks once more before it gives up
	case <-ctx.Done():
		return false
	}
}

// Waits for the answers to warm-up checks, which take a few milliseconds.
const (
	warmupCheckPause = 10 * time.Millisecond
	maxWarmupPauses  = 6
)

// choose selects one of the candidates to which a rollout of the service, if there is one, lets the request go.
func (s *Service) choose(ctx context.Context, c *request, candidates []*catalog.Backend) (service.Choice, service.Attempt) {
	if s.rollout == nil || c.service.Partitioned {
		return s.chooseOf(ctx, c, candidates)
	}
	wanted, others := s.rolloutCandidates(c, candidates)
	if len(wanted) == 0 {
		return s.chooseOf(ctx, c, candidates)
	}
	if len(others) > 0 {
		if choice, attempt := s.chooseNow(c, wanted); choice.Backend != nil {
			return choice, attempt
		}
		wanted = others
	}
	return s.chooseOf(ctx, c, wanted)
}

// chooseOf selects a backend and counts the request there. It waits for warm-up checks if there is no backend otherwise.
func (s *Service) chooseOf(ctx context.Context, c *request, candidates []*catalog.Backend) (service.Choice, service.Attempt) {
	for pauses := 0; ; pauses++ {
		choice, attempt := s.chooseNow(c, candidates)
		if !choice.AwaitsCheck || pauses == maxWarmupPauses || !pause(ctx, warmupCheckPause) {
			return choice, attempt
		}
	}
}

func (s *Service) chooseNow(c *request, candidates []*catalog.Backend) (service.Choice, service.Attempt) {
	now := s.kernel.Now()
	choice, attempt := s.loads.Choose(service.LoadQuery{
		Service: c.service, Route: c.route.Name, Candidates: candidates, Excluded: c.tried, Zone: s.instance.Zone,
		Members: s.members.MembersView(), Now: now,
		Goal: balance.LatencyGoal{
			Target: c.route.LatencyTarget, Remaining: c.deadline - now, Waited: now - c.call.Received, Priority: c.priority,
		},
	})
	for _, b := range choice.Checks {
		s.checkWarmup(b, c.service)
	}
	return choice, attempt
}
