package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// readList starts a read of the platform's instance list.
func (s *Service) readList(turn *kernel.Turn) {
	s.roster.list.reading = true
	list := s.list
	turn.Go(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		instances, err := list.Instances(ctx)
		return listDone{instances: instances, err: err}
	})
}

// instanceList is the platform's instance list as last read.
type instanceList struct {
	live    map[string]bool
	at      time.Duration
	reading bool
	// terminatedSince is when a member was first found to be terminated (see isTerminated) after a read of the list.
	terminatedSince map[entity.InstanceID]time.Duration
}

// listMaxAge is how long a read of the list is valid.
const listMaxAge = 5 * time.Second

func (l *instanceList) fresh(now time.Duration) bool { return l.live != nil && now-l.at < listMaxAge }

// Intervals between reads of the list: while a member of the own group is unresponsive, and otherwise for the
// coordinators of the roster, which check for groups without any live member.
const (
	listIntervalUnresponsive = time.Second
	listIntervalIdle         = 4 * time.Second
)

func (r *roster) listReadDue(s *situation) bool {
	self, member := s.member()
	if !member || r.list.reading {
		return false
	}
	interval := time.Duration(0)
	if rank, ok := s.ranks.rank(rosterTask); ok && rank <= 1 {
		interval = listIntervalIdle
	}
	for _, m := range s.view.Group(ownership.GroupKey{Zone: self.Zone, Group: self.Group}) {
		if r.unresponsiveFor(s, m) >= memberTimeout {
			interval = listIntervalUnresponsive
		}
	}
	return interval > 0 && (r.list.at == 0 || s.now-r.list.at >= interval)
}

type listDone struct {
	instances []platformapi.Instance
	err       error
}

func (r *roster) finishList(s *situation, m listDone) {
	r.list.reading = false
	r.list.at = s.now
	if m.err != nil {
		r.list.live = nil
		telemetry.EventControlListFailed.Log(r.logger, zap.Error(m.err))
		return
	}
	r.list.live = make(map[string]bool, len(m.instances))
	for _, i := range m.instances {
		if i.State == platformapi.InstanceLive {
			r.list.live[i.Address] = true
		}
	}
	for _, member := range s.view.Members {
		if !r.isTerminated(s, member) {
			delete(r.list.terminatedSince, member.ID)
			continue
		}
		if _, known := r.list.terminatedSince[member.ID]; !known {
			r.list.terminatedSince[member.ID] = s.now
		}
	}
}
