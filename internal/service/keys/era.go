package keys

import (
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// fenceGap is the number of fences that are left out when the table is first written in an era of the store. Fences that were
// assigned in lost tables must not be assigned again. One plan assigns at most a few thousand fences and there are at most 2.5
// plans a second, so the copy would have to be more than half an hour old.
const fenceGap = 1 << 24

// recordsWritten is the time after a new era was seen by which all live backends have written their records again. The directory keeps
// missing records as long.
const recordsWritten = 2200 * time.Millisecond

// unheardTTL is how long after its last heartbeat a peer counts as one that may have become coordinator without being heard.
const unheardTTL = 30 * time.Second

// eraState is what this instance knows of returns of the store from an older copy.
type eraState struct {
	seen   uint64        // highest era that the store has stated
	seenAt time.Duration // when it was first seen
	// outdated means that the table in the store is of an earlier era: tables that replaced it may have been lost.
	outdated bool
	// heard is the highest version that a peer has reported in the era of the current version.
	heard service.Version
	// lastFence is the largest fence in the tables of the store that were not applied.
	lastFence uint64
	// doubtUntil is when the grants of a coordinator that may have replaced this one in the lost time have expired; zero if there can be
	// none.
	doubtUntil time.Duration
	refused    bool // a backend has refused a grant since the table was last read or written in the current era
	// replaced is the table that this instance had when it claimed the role with an empty one.
	replaced *keyrange.State
}

func (s *Service) storeEraChanged(t *kernel.Turn, era uint64) {
	if era <= s.era.seen {
		return
	}
	s.era.seen, s.era.seenAt, s.nextRead = era, t.Now(), t.Now()
	telemetry.EventStoreEra.Log(s.log, zap.Uint64("era", era), zap.Uint64("version", uint64(s.version)))
}

// keepTable applies the first read of the table in an era in which it has not been written yet. The table in the store is applied
// only if this instance has no newer one. Whichever is kept can be replaced at the version that was read. A coordinator whose table
// is not known to be the newest resigns, and claims the role again like any other instance.
func (s *Service) keepTable(t *kernel.Turn, d service.Document) {
	stored := &keyrange.State{}
	if d.Value != nil {
		var err error
		if stored, err = decodeState(d.Value); err != nil {
			telemetry.EventTableUnreadable.Log(s.log, zap.Uint64("version", uint64(d.Version)), zap.Error(err))
			stored = &keyrange.State{}
		}
	}
	newer := s.state == nil || s.state.OlderThan(stored)
	lost := newer || s.era.heard > s.version || (s.coordinator != nil && !s.coordinator.executor.IsConfirmed(t.Now()))
	s.version, s.seen = d.Version, max(s.seen, d.Version)
	s.era.outdated, s.era.heard, s.era.lastFence = true, 0, max(s.era.lastFence, stored.LastFence)
	telemetry.EventTableKept.Log(s.log, zap.Uint64("version", uint64(d.Version)), zap.Uint64("stored_fence", stored.LastFence),
		zap.Bool("applied", newer))
	if lost && s.coordinator != nil {
		s.resign("a newer table of an earlier era of the store is not known here")
	}
	if s.coordinator != nil {
		s.coordinator.nextPlan = t.Now() + planInterval // a newer coordinator is heard in this time
		s.era.doubtUntil = 0
		if s.mayHaveBeenReplaced(t.Now()) {
			s.era.doubtUntil = t.Now() + keyrange.PredecessorTTL
		}
	}
	if newer {
		s.install(t, stored)
		return
	}
	s.publish(t)
}

// mayHaveBeenReplaced reports whether a peer that is no longer heard may have become coordinator in the lost time.
func (s *Service) mayHaveBeenReplaced(now time.Duration) bool {
	for _, p := range s.peers {
		if silent := now - p.at; !p.leaving && silent > coordinatorTimeout && silent < unheardTTL {
			return true
		}
	}
	return false
}

// inDoubt reports whether the table must not be written again yet, because a coordinator that replaced this one in the lost time may
// have moved ranges and granted them: a successor would rely on the table. The former owners of such ranges refuse renewals. If one
// has done so, the coordinator resigns when those grants have expired, and all keys are assigned again.
func (s *Service) inDoubt(now time.Duration) bool {
	if s.era.doubtUntil == 0 || now < s.era.doubtUntil {
		return s.era.doubtUntil > 0
	}
	if s.era.refused {
		s.resign("ranges were moved by a table that the store has lost")
	}
	return s.era.refused
}

// restoreTable writes the coordinator's own table again. Its next fences are above all that any instance can have assigned.
func (s *Service) restoreTable(t *kernel.Turn) {
	c := s.coordinator
	c.nextPlan = t.Now() + planInterval
	next := c.executor.GrantedState(s.state)
	next.LastFence = max(next.LastFence, c.lastFence, s.era.lastFence) + fenceGap
	c.lastFence = next.LastFence
	s.writeTable(t, next)
}

// recoveredState returns the first table of a coordinator that claims the role before its predecessor has written the table again. It
// assigns no keys: nothing in the store shows which fences have been assigned and which backends have grants.
func (s *Service) recoveredState(known *keyrange.State) *keyrange.State {
	s.era.replaced = known
	return &keyrange.State{Term: known.Term, LastFence: max(known.LastFence, s.era.lastFence) + fenceGap}
}

// tableRestored records that the table was written, and logs it if this was the first time in an era.
func (s *Service) tableRestored(state *keyrange.State) {
	s.era.refused = false
	if !s.era.outdated {
		return
	}
	s.era.outdated, s.era.doubtUntil = false, 0
	if len(state.Tables) == 0 {
		telemetry.EventTableRecovered.Log(s.log, zap.Uint64("term", state.Term), zap.Uint64("last_fence", state.LastFence))
		return
	}
	telemetry.EventTableRestored.Log(s.log, zap.Uint64("version", uint64(s.version)), zap.Uint64("last_fence", state.LastFence))
}

// earlierGrantsFenced reports whether keys without an owner can be assigned. In a later era of the store than the first, backends may
// have grants that no table shows. They have dropped them once the fence has been raised at every backend that may have some; those
// that do not answer are waited for until their grants have expired.
func (s *Service) earlierGrantsFenced(t *kernel.Turn) bool {
	c := s.coordinator
	if c.fenced || s.version.Era() == 0 || !s.hasUnassigned() {
		return true
	}
	missing := 0
	for h := range s.possibleHolders() {
		if s.terminated(h) || c.contact(h).fenced {
			continue
		}
		missing++
		if s.address(h) != nil {
			s.fenceProcess(t, h)
		}
	}
	// This instance may not have read the record of a backend that has grants, if it was lost.
	complete := missing == 0 && t.Now()-s.era.seenAt >= recordsWritten
	if !complete && t.Now() < c.fenceUntil {
		return false
	}
	c.fenced = true
	telemetry.EventBackendsFenced.Log(s.log, zap.Uint64("term", c.term), zap.Int("unanswered", missing))
	return true
}

// hasUnassigned reports whether the table lacks the keys of a partitioned service.
func (s *Service) hasUnassigned() bool {
	for _, svc := range s.directory.Config.Services {
		if !svc.Partitioned {
			continue
		}
		if table, ok := s.state.Table(svc.Name); !ok || len(table.Ranges) == 0 {
			return true
		}
	}
	return false
}

// possibleHolders returns the listed processes of partitioned services and the owners by the table that the claim has replaced.
func (s *Service) possibleHolders() map[keyrange.Holder]bool {
	holders := map[keyrange.Holder]bool{}
	for _, svc := range s.directory.Config.Services {
		if !svc.Partitioned {
			continue
		}
		for _, b := range s.directory.Services[svc.Name] {
			holders[holderOf(b)] = true
		}
	}
	if s.coordinator.previous == nil {
		return holders
	}
	for i := range s.coordinator.previous.Tables {
		for _, r := range s.coordinator.previous.Tables[i].Ranges {
			holders[r.Owner] = true
		}
	}
	return holders
}

// appendTable appends the table of a service that has none. If this instance knew one before it claimed the role, the owners stay
// the same under new fences, since their keys are warm, and it returns true.
func (s *Service) appendTable(next *keyrange.State, name entity.ServiceName) bool {
	if s.coordinator.previous != nil {
		if known, ok := s.coordinator.previous.Table(name); ok && len(known.Ranges) > 0 {
			next.Tables = append(next.Tables, known.AssignAgain(&next.LastFence))
			return true
		}
	}
	next.Tables = append(next.Tables, keyrange.Table{Service: name})
	return false
}
