package keyrange_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
)

// simShare is the canaries' share of the load.
const simShare = 0.08

// isNew reports whether a simulated backend runs the new version.
func isNew(h keyrange.Holder) bool {
	n, err := strconv.Atoi(string(h.ID[1:]))
	return err == nil && n%2 == 1
}

// request adds n requests to the load, half of them for a few neighbouring keys.
func (s *simulation) request(n int) {
	s.keyLoad = keyrange.KeyLoad{}
	hot := s.random.Uint32N(catalog.KeySpace - 300)
	for i := range n {
		key := s.random.Uint32N(catalog.KeySpace)
		if i%2 == 0 {
			key = hot + s.random.Uint32N(300)
		}
		s.keyLoad[key]++
	}
}

// share returns the part of the requests for keys whose owner runs the new version.
func (s *simulation) share() float64 {
	fresh, total := 0, 0
	for key, n := range s.keyLoad {
		i, _ := s.state.Tables[0].Find(key)
		total += n
		if isNew(s.state.Tables[0].Ranges[i].Owner) {
			fresh += n
		}
	}
	return float64(fresh) / float64(max(total, 1))
}

// Guards against two backends with a valid grant for the same key in a rollout, whose stages move many ranges while backends, commands and
// coordinators fail.
func TestNoKeyHasTwoOwnersInARollout(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			s := newSimulation(t, seed, 8)
			s.latencies = seed%2 == 1
			end := keyrange.StageReplace
			if seed%4 < 2 {
				end = keyrange.StageReject
			}
			for s.now < 90*time.Second {
				switch {
				case s.now > 40*time.Second:
					s.stage = end
				case s.now > 20*time.Second:
					s.stage = keyrange.StageCompare
				}
				if s.now%time.Second == 0 {
					s.request(400)
				}
				s.step()
			}
		})
	}
}

// newCalmSimulation returns a simulation without faults in which the old backends own all keys.
func newCalmSimulation(t *testing.T, seed uint64, n int) *simulation {
	s := newSimulation(t, seed, n)
	s.faultless = true
	s.stage = keyrange.StageReject
	s.calm(3 * time.Second)
	require.InDelta(t, 1, s.owned(), 0.0001)
	return s
}

func (s *simulation) calm(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.calmStep()
	}
}

// Guards against a new version that gets more of the requests for keys than its share, or too few to be compared, for many keys and for
// few hot ones; against ranges that stay with it when their load grows; and against keys without an owner.
func TestCanariesGetTheirShareOfTheKeys(t *testing.T) {
	worst, least := 0.0, 1.0
	for seed := range uint64(30) {
		s := newCalmSimulation(t, seed, 8+int(seed%3)*8)
		s.request(300 + int(seed)*50)
		require.Zero(t, s.share())
		s.stage = keyrange.StageCompare
		s.calm(3 * time.Second)
		worst, least = max(worst, s.share()), min(least, s.share())
		for key := range s.keyLoad { // the canaries' keys become three times as hot
			i, _ := s.state.Tables[0].Find(key)
			if isNew(s.state.Tables[0].Ranges[i].Owner) {
				s.keyLoad[key] *= 3
			}
		}
		s.calm(3 * time.Second)
		worst = max(worst, s.share())
		require.InDelta(t, 1, s.owned(), 0.0001, "seed %d", seed)
	}
	t.Logf("share of the requests: %.4f to %.4f", least, worst)
	require.LessOrEqual(t, worst, simShare*1.25+0.01)
	require.GreaterOrEqual(t, least, simShare/2)
}

// Guards against canaries that get keys without a measured load, of which no share can be told.
func TestCanariesGetNoKeysWithoutLoad(t *testing.T) {
	s := newCalmSimulation(t, 1, 8)
	s.stage = keyrange.StageCompare
	s.calm(2 * time.Second)
	for _, r := range s.state.Tables[0].Ranges {
		require.False(t, isNew(r.Owner))
	}
}

// Guards against keys that stay with the old version after the switch or with the new one after a rollback.
func TestAllKeysFollowTheVerdict(t *testing.T) {
	for _, stage := range []keyrange.Stage{keyrange.StageReplace, keyrange.StageReject} {
		s := newCalmSimulation(t, 3, 12)
		s.request(600)
		s.stage = keyrange.StageCompare
		s.calm(2 * time.Second)
		require.Positive(t, s.share())
		s.stage = stage
		started := s.now
		for moved := false; !moved; moved = s.allGranted(stage == keyrange.StageReplace) {
			s.calmStep()
			require.Less(t, s.now, started+3*time.Second)
		}
		t.Logf("stage %d: all keys moved after %v", stage, s.now-started)
		require.InDelta(t, 1, s.owned(), 0.0001)
	}
}

func (s *simulation) allGranted(fresh bool) bool {
	for _, r := range s.executor.GrantedState(s.state).Tables[0].Ranges {
		if !r.Granted || isNew(r.Owner) != fresh {
			return false
		}
	}
	return true
}

// Guards against a service whose keys have no owner because a rollout forbids the only usable backends, and against limited backends that
// get keys although others are usable, or lose theirs.
func TestRestrictionsLeaveAnOwner(t *testing.T) {
	fresh := keyrange.Candidate{Holder: keyrange.Holder{ID: "fresh", Incarnation: 1}, Capacity: 1, Usable: true, New: true}
	old := keyrange.Candidate{Holder: keyrange.Holder{ID: "old", Incarnation: 1}, Capacity: 1, Usable: true}
	for _, stage := range []keyrange.Stage{keyrange.StageCompare, keyrange.StageReplace, keyrange.StageReject} {
		for _, only := range []keyrange.Candidate{fresh, old} {
			list := []keyrange.Candidate{only}
			keyrange.Restrict(list, stage)
			require.True(t, list[0].Usable)
		}
		list := []keyrange.Candidate{fresh, old}
		keyrange.Restrict(list, stage)
		require.Equal(t, stage == keyrange.StageReplace, list[0].Usable)
		require.Equal(t, stage != keyrange.StageReplace, list[1].Usable)
	}
	never := keyrange.Evidence{
		Terminated: func(h keyrange.Holder) bool { return h == keyrange.Holder{} },
		Lapsed:     func(*keyrange.Range) bool { return false }, PreviousFree: func(*keyrange.Range) bool { return false },
	}
	limited := fresh
	limited.Limited = true
	fence := uint64(0)
	table := keyrange.Plan(&keyrange.Table{}, []keyrange.Candidate{limited, old}, nil, never, &fence)
	for i := range table.Ranges {
		require.Equal(t, old.Holder, table.Ranges[i].Owner)
		table.Ranges[i].Owner, table.Ranges[i].Granted = limited.Holder, true
	}
	require.Nil(t, keyrange.Plan(table, []keyrange.Candidate{limited, old}, keyrange.KeyLoad{1: 1}, never, &fence))
	require.NotNil(t, keyrange.Plan(&keyrange.Table{}, []keyrange.Candidate{limited}, nil, never, &fence))
}
