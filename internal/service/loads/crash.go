package loads

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// maxReported bounds the crashes that are listed in heartbeats.
const maxReported = 32

// Limits of the record of answered requests.
const (
	// exemptTime is how long a request is exempt from blame after it was answered. Many callers may send the same request, so
	// some of them are in flight whenever a backend terminates for another reason.
	exemptTime = time.Minute
	// maxAnswered bounds the recorded requests.
	maxAnswered = 4096
)

// crashes records which requests are blamed for crashes of backends, from observations of this instance and reports of its peers.
// It is guarded by the lock of the Service.
type crashes struct {
	quarantine  *outcome.Quarantine
	evidence    map[entity.BackendID]*crashEvidence
	reported    []uint64                             // fingerprints that this instance blamed, oldest first
	peerReports map[entity.InstanceID]map[uint64]int // how often each peer reported a fingerprint
	answered    map[uint64]time.Duration             // when requests were last answered, by fingerprint
}

// crashEvidence is the evidence against the requests whose connections to one backend process were lost.
type crashEvidence struct {
	outcome.Evidence
	incarnation int64
}

func newCrashes() crashes {
	return crashes{
		quarantine:  outcome.NewQuarantine(),
		evidence:    map[entity.BackendID]*crashEvidence{},
		peerReports: map[entity.InstanceID]map[uint64]int{},
		answered:    map[uint64]time.Duration{},
	}
}

// Quarantined implements service.LoadTracker.
func (s *Service) Quarantined(fingerprint uint64, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.quarantine.Treat(outcome.Suspect{Fingerprint: fingerprint}, now) == outcome.TreatQuarantined
}

// ConnectionLost implements service.LoadTracker.
func (s *Service) ConnectionLost(fingerprint uint64, b *catalog.Backend, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.crashes.evidence[b.ID]
	if e == nil || e.incarnation != b.Incarnation {
		e = &crashEvidence{incarnation: b.Incarnation}
		s.crashes.evidence[b.ID] = e
	}
	e.RecordBroken(outcome.Suspect{Fingerprint: fingerprint}, 0, now)
}

// BackendTerminated implements service.LoadTracker. It returns the fingerprint of the blamed request, if there is one.
func (s *Service) BackendTerminated(id entity.BackendID, now time.Duration) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.terminated(id, now)
}

func (s *Service) terminated(id entity.BackendID, now time.Duration) (uint64, bool) {
	e := s.crashes.evidence[id]
	if e == nil {
		return 0, false
	}
	delete(s.crashes.evidence, id)
	blamed, ok := e.ProcessChanged(now)
	if !ok || s.crashes.answeredRecently(blamed.Fingerprint, now) {
		return 0, false
	}
	s.crashes.quarantine.Blame(blamed, now)
	s.crashes.reported = append(s.crashes.reported, blamed.Fingerprint)
	if len(s.crashes.reported) > maxReported {
		s.crashes.reported = s.crashes.reported[1:]
	}
	return blamed.Fingerprint, true
}

// ReconcileBackends implements service.LoadTracker. Backends that are no longer listed or run as another process count as
// terminated.
func (s *Service) ReconcileBackends(backends map[entity.BackendID]*catalog.Backend, now time.Duration) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var blamed []uint64
	for id, e := range s.crashes.evidence {
		if b := backends[id]; b != nil && b.Incarnation == e.incarnation {
			continue
		}
		if fingerprint, ok := s.terminated(id, now); ok {
			blamed = append(blamed, fingerprint)
		}
	}
	return blamed
}

// answeredRecently reports whether a request was answered within exemptTime.
func (c *crashes) answeredRecently(fingerprint uint64, now time.Duration) bool {
	at, ok := c.answered[fingerprint]
	return ok && now-at < exemptTime
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

// applyPeerCrashes applies the requests that a peer blames. Repeated reports of the same crash are counted once. The caller holds
// the lock.
func (s *Service) applyPeerCrashes(from entity.InstanceID, named []uint64, now time.Duration) {
	if len(named) == 0 {
		return
	}
	counts := map[uint64]int{}
	for _, f := range named {
		counts[f]++
	}
	reports := s.crashes.peerReports[from]
	if reports == nil {
		reports = map[uint64]int{}
		s.crashes.peerReports[from] = reports
	}
	for f, n := range counts {
		for ; reports[f] < n; reports[f]++ {
			if !s.crashes.answeredRecently(f, now) {
				s.crashes.quarantine.Blame(outcome.Suspect{Fingerprint: f}, now)
			}
		}
	}
}
