package backpressure

import (
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

const (
	// stragglerFactor marks a back end whose median is this many times the median of its peers.
	stragglerFactor = 2.0
	// recoveredFactor clears the mark. The gap to stragglerFactor keeps a borderline back end from alternating.
	recoveredFactor = 1.3
	// stragglerWindows is the number of windows in a row that it takes to set or clear the mark.
	stragglerWindows = 3
	// minPeers is the number of peers with a measurement below which their median says nothing.
	minPeers = 2
)

// Stragglers compares the back ends of one service with each other over several windows.
type Stragglers struct {
	state map[entity.BackendID]*stragglerState
}

type stragglerState struct {
	marked bool
	streak int // windows in a row that speak against marked
}

// NewStragglers returns a comparison without any mark.
func NewStragglers() *Stragglers {
	return &Stragglers{state: map[entity.BackendID]*stragglerState{}}
}

// Observe takes the medians of one window. Back ends without a measurement keep their mark. Back ends that are absent
// from known are forgotten.
func (s *Stragglers) Observe(medians map[entity.BackendID]time.Duration, known []entity.BackendID) {
	for id := range s.state {
		if !slices.Contains(known, id) {
			delete(s.state, id)
		}
	}
	for id, own := range medians {
		peers, ok := medianOfPeers(medians, id)
		if !ok {
			continue
		}
		s.observe(id, float64(own)/float64(peers))
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

// Straggling reports whether the back end is marked.
func (s *Stragglers) Straggling(id entity.BackendID) bool {
	st := s.state[id]
	return st != nil && st.marked
}

// medianOfPeers returns the median over all measured back ends but one.
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
