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

// Times of keys that change hands.
const (
	// settleWait is how long a request waits for the new owner of its key. A move usually takes less.
	settleWait = 400 * time.Millisecond
	// ownerRetry is when a caller may try again if its key has no owner.
	ownerRetry = 300 * time.Millisecond
)

// candidates returns the back ends that may get the request. For a partitioned service that is the owner of its key.
func (s *Service) candidates(ctx context.Context, c *request) ([]*catalog.Backend, entity.Outcome) {
	c.fleet = s.newerFleet(c)
	if c.service.Partitioned {
		return s.owner(ctx, c)
	}
	list := c.fleet.Services[c.service.Name]
	open := make([]*catalog.Backend, 0, len(list))
	for _, b := range list {
		if !b.Draining && !c.fleet.Evacuated[b.Zone] {
			open = append(open, b)
		}
	}
	if len(open) == 0 {
		return nil, entity.NotRun(entity.ReasonNoOwner, "no back end takes new work")
	}
	return open, entity.Outcome{}
}

// newerFleet returns the view in force, so that a repeat does not go to a back end that has left meanwhile. The configuration
// stays that of the check.
func (s *Service) newerFleet(c *request) *service.DirectoryView {
	now := s.directory.Directory()
	if now.Config == c.fleet.Config {
		return now
	}
	view := *now
	view.Config = c.fleet.Config
	return &view
}

// owner returns the back end that holds the key, waiting for a move that is under way.
func (s *Service) owner(ctx context.Context, c *request) ([]*catalog.Backend, entity.Outcome) {
	giveUp := s.kernel.Now() + settleWait
	for {
		view := s.keys.KeyView()
		r, ok := find(view, c)
		if !ok {
			if now := s.kernel.Now(); !s.starting() || now >= giveUp || !wait(ctx, view.Changed, giveUp-now) {
				return nil, entity.NotRun(entity.ReasonNoOwner, "the key has no owner")
			}
			continue // an instance that has just started reads the table
		}
		c.version = view.Version
		settled := r.Granted || view.Held[r.Fence]
		b := c.fleet.Backends[r.Owner.ID]
		if b != nil && b.Incarnation != r.Owner.Incarnation {
			b = nil
		}
		now := s.kernel.Now()
		switch {
		case settled && b == nil:
			return nil, entity.NotRun(entity.ReasonNoOwner, "the owner of the key is gone")
		case settled && !s.mayUse(c, b, now):
			return nil, entity.NotRun(entity.ReasonNoOwner, "the owner of the key is leaving")
		case settled:
			return []*catalog.Backend{b}, entity.Outcome{}
		case now >= giveUp:
			return nil, entity.NotRun(entity.ReasonNoOwner, "the key changes hands")
		}
		if !wait(ctx, view.Changed, giveUp-now) {
			return nil, entity.NotRun(entity.ReasonNoOwner, "the key changes hands")
		}
		c.fleet = s.newerFleet(c)
	}
}

// Limits of use of an owner that is leaving, until its keys are moved.
const (
	// drainMargin is the part of the time within which a leaving back end may still get work that is left for the way of a
	// request and for an instance that runs slowly.
	drainMargin = 600 * time.Millisecond
	// evacuationUse is the same for the back ends of an evacuated zone.
	evacuationUse = 2 * time.Second
)

// mayUse reports whether an owner may still get requests.
func (s *Service) mayUse(c *request, b *catalog.Backend, now time.Duration) bool {
	if b.Draining && now-b.LastActiveAt > s.site.DrainTime-drainMargin {
		return false
	}
	since, evacuated := c.fleet.EvacuatedSince[b.Zone]
	return !evacuated || now-since <= evacuationUse
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

// wait waits for the channel to be closed. It reports false if the time is up or nobody waits for the request any more.
func wait(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return true // decides once more and gives up
	case <-ctx.Done():
		return false
	}
}

// choose picks a back end and counts the request there.
func (s *Service) choose(c *request, candidates []*catalog.Backend) (service.Choice, service.Attempt) {
	now := s.kernel.Now()
	return s.loads.Choose(service.LoadQuery{
		Service: c.service, Candidates: candidates, Excluded: c.tried, Zone: s.site.Zone,
		Instances: s.members.MembersView().ReachableCount, Now: now,
		Goal: balance.LatencyGoal{
			Target: c.route.LatencyTarget, Remaining: c.deadline - now, Waited: now - c.call.Received, Priority: c.priority,
		},
	})
}
