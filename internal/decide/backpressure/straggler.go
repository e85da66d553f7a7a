package backpressure

import (
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

const (
	// stragglerFactor is the ratio of a backend's median to the median of its peers at which it is marked.
	stragglerFactor = 2.0
	// recoveredFactor is the ratio at which the mark is removed. The gap to stragglerFactor keeps a borderline backend from
	// alternating.
	recoveredFactor = 1.3
	// stragglerWindows is the number of consecutive windows that are required to set or remove the mark.
	stragglerWindows = 3
	// minPeers is the number of measured peers below which their median is not meaningful.
	minPeers = 2
)

// Stragglers compares the backends of one service with each other over several windows. It is not safe for concurrent use.
type Stragglers struct {
	state map[entity.BackendID]*stragglerState
}

type stragglerState struct {
	marked bool
	streak int // consecutive windows that contradict marked
}

// NewStragglers returns a comparison without any marks.
func NewStragglers() *Stragglers {
	return &Stragglers{state: map[entity.BackendID]*stragglerState{}}
}

// Observe applies the medians of one window. Backends without a measurement keep their mark. Backends that are not in known are
// forgotten.
func (s *Stragglers) Observe(medians map[entity.BackendID]time.Duration, known []entity.BackendID) {
	for id := range s.state {
		if !slices.Contains(known, id) {
			delete(s.state, id)
		}
	}
	for id, median := range medians {
		peers, ok := medianOfPeers(medians, id)
		if !ok {
			continue
		}
		s.observe(id, float64(median)/float64(peers))
	}
}

func (s *Stragglers) observe(id entity.BackendID, ratio float64) {
	st := s.state[id]
	if st == nil {
		st = &stragglerState{}
		s.state[id] = st
	}
	against := ratio >= stragglerFactor
	if st.marked {
		against = ratio <= recoveredFactor
	}
	if !against {
		st.streak = 0
		return
	}
	st.streak++
	if st.streak >= stragglerWindows {
		st.marked = !st.marked
		st.streak = 0
	}
}

// IsStraggler reports whether the backend is marked.
func (s *Stragglers) IsStraggler(id entity.BackendID) bool {
	st := s.state[id]
	return st != nil && st.marked
}

// medianOfPeers returns the median of all measured backends except one. It reports false if there are fewer than minPeers.
func medianOfPeers(medians map[entity.BackendID]time.Duration, without entity.BackendID) (time.Duration, bool) {
	peers := make([]time.Duration, 0, len(medians))
	for id, m := range medians {
		if id != without && m > 0 {
			peers = append(peers, m)
		}
	}
	if len(peers) < minPeers {
		return 0, false
	}
	slices.Sort(peers)
	return peers[len(peers)/2], true
}
