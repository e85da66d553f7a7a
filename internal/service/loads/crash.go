package loads

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// maxReported bounds the crashes that heartbeats name.
const maxReported = 32

// Memory of answered requests.
const (
	// innocence is how long a request that was answered is not blamed for a crash. Many callers may send the same request, and
	// some of them are in flight whenever a back end ends for another reason.
	innocence = time.Minute
	// maxAnswered bounds the remembered requests.
	maxAnswered = 4096
)

// crashes remembers which requests are to blame for crashes of back ends, by what this and the other instances saw.
type crashes struct {
	quarantine *outcome.Quarantine
	evidence   map[entity.BackendID]*brokenAt
	reported   []uint64                             // fingerprints that this instance blamed, oldest first
	heard      map[entity.InstanceID]map[uint64]int // how often each other instance named a fingerprint
	answered   map[uint64]time.Duration             // when requests were last answered, by fingerprint
}

// brokenAt is the evidence against the requests that broke at one process.
type brokenAt struct {
	outcome.Evidence
	born int64
}

func newCrashes() crashes {
	return crashes{
		quarantine: outcome.NewQuarantine(),
		evidence:   map[entity.BackendID]*brokenAt{},
		heard:      map[entity.InstanceID]map[uint64]int{},
		answered:   map[uint64]time.Duration{},
	}
}

// Quarantined implements service.LoadTracker.
func (s *Service) Quarantined(fingerprint uint64, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.quarantine.Treat(outcome.Suspect{Fingerprint: fingerprint}, now) == outcome.TreatHeld
}

// ConnectionBroken implements service.LoadTracker.
func (s *Service) ConnectionBroken(fingerprint uint64, b *catalog.Backend, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.crashes.evidence[b.ID]
	if e == nil || e.born != b.Incarnation {
		e = &brokenAt{born: b.Incarnation}
		s.crashes.evidence[b.ID] = e
	}
	e.RecordBroken(outcome.Suspect{Fingerprint: fingerprint}, 0, now)
}

// BackendTerminated implements service.LoadTracker. It returns the request that is blamed, if there is one.
func (s *Service) BackendTerminated(id entity.BackendID, now time.Duration) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended(id, now)
}

func (s *Service) ended(id entity.BackendID, now time.Duration) (uint64, bool) {
	e := s.crashes.evidence[id]
	if e == nil {
		return 0, false
	}
	delete(s.crashes.evidence, id)
	blamed, ok := e.ProcessChanged(now)
	if !ok || s.crashes.innocent(blamed.Fingerprint, now) {
		return 0, false
	}
	s.crashes.quarantine.Blame(blamed, now)
	s.crashes.reported = append(s.crashes.reported, blamed.Fingerprint)
	if len(s.crashes.reported) > maxReported {
		s.crashes.reported = s.crashes.reported[1:]
	}
	return blamed.Fingerprint, true
}

// ReconcileBackends implements service.LoadTracker: back ends that are gone or run as another process have ended.
func (s *Service) ReconcileBackends(backends map[entity.BackendID]*catalog.Backend, now time.Duration) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var blamed []uint64
	for id, e := range s.crashes.evidence {
		if b := backends[id]; b != nil && b.Incarnation == e.born {
			continue
		}
		if fingerprint, ok := s.ended(id, now); ok {
			blamed = append(blamed, fingerprint)
		}
	}
	return blamed
}

// innocent reports whether a request was answered lately.
func (c *crashes) innocent(fingerprint uint64, now time.Duration) bool {
	at, ok := c.answered[fingerprint]
	return ok && now-at < innocence
}

// RequestAnswered implements service.LoadTracker.
func (s *Service) RequestAnswered(fingerprint uint64, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes.answered) >= maxAnswered {
		clear(s.crashes.answered)
	}
	s.crashes.answered[fingerprint] = now
	if !s.crashes.quarantine.Empty() {
		s.crashes.quarantine.Clear(outcome.Suspect{Fingerprint: fingerprint})
	}
}

// learnCrashes takes over what another instance blames. The caller holds the lock.
func (s *Service) learnCrashes(from entity.InstanceID, named []uint64, now time.Duration) {
	if len(named) == 0 {
		return
	}
	counts := map[uint64]int{}
	for _, f := range named {
		counts[f]++
	}
	known := s.crashes.heard[from]
	if known == nil {
		known = map[uint64]int{}
		s.crashes.heard[from] = known
	}
	for f, n := range counts {
		for ; known[f] < n; known[f]++ {
			if !s.crashes.innocent(f, now) {
				s.crashes.quarantine.Blame(outcome.Suspect{Fingerprint: f}, now)
			}
		}
	}
}
