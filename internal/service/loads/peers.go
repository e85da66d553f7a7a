package loads

import (
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// Report implements service.TrafficExchange.
func (s *Service) Report(now, window time.Duration, full bool) service.TrafficReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateGauges(now)
	r := service.TrafficReport{InFlight: map[uint32]uint32{}, ColdSent: map[uint32]uint32{}, Admitted: map[uint32]uint64{}, Refused: map[uint32]uint64{}}
	for _, e := range s.endpoints {
		if n := e.InFlight(); n > 0 {
			r.InFlight[e.hash] = uint32(n)
		}
		if n := e.warmup.OwnCount(now); n > 0 && e.peerWarmup.Reportable(now) {
			r.ColdSent[e.hash] = uint32(n)
		}
	}
	for _, c := range s.customers {
		demand := c.admitted + c.refused
		if c.rate > 0 && (full || (demand > 0 && now-c.lastRequestAt <= window)) {
			r.Admitted[c.hash], r.Refused[c.hash] = c.admitted, c.refused
			c.reported = c.admitted
			c.bucket.AddReportedDemand(float64(demand-min(c.published, demand)), now)
			c.published = demand
		}
	}
	r.Keys, s.keys = s.keys, nil
	r.Measured = s.takeMeasurements()
	r.Crashing = slices.Clone(s.crashes.reported)
	r.Leaving = s.leaving.recent(now, window)
	return r
}

// ApplyPeerReport implements service.TrafficExchange.
func (s *Service) ApplyPeerReport(p service.PeerTraffic, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyPeerInFlight(p.Instance, p.InFlight)
	for hash, n := range p.ColdSent {
		if e := s.endpointsByHash[hash]; e != nil {
			e.warmup.SetPeerCount(string(p.Instance), int(n), now)
			e.peerWarmup.PeerReported(now)
		}
	}
	s.applyPeerAdmissions(p, now)
	s.applyPeerCrashes(p.Instance, p.Crashing, now)
}

// applyPeerInFlight replaces the numbers of requests that a peer has in flight, by short hash of the backend. It visits only the
// backends in the peer's last two reports, since there are hundreds of peers and backends. The caller holds the lock.
func (s *Service) applyPeerInFlight(peer entity.InstanceID, reported map[uint32]uint32) {
	for hash := range s.peerInFlight[peer] {
		if e := s.endpointsByHash[hash]; e != nil && reported[hash] == 0 {
			e.SetPeerInFlight(peer, 0)
		}
	}
	for hash, n := range reported {
		if e := s.endpointsByHash[hash]; e != nil {
			e.SetPeerInFlight(peer, int(n))
		}
	}
	if len(reported) == 0 {
		delete(s.peerInFlight, peer)
		return
	}
	s.peerInFlight[peer] = reported
}

// peerUsage is what a peer has reported about a customer: admitted requests, and all requests.
type peerUsage struct{ admitted, demand uint64 }

// applyPeerAdmissions charges what a peer has admitted since its last heartbeat to the customers' buckets, and records the demand
// at that peer. The first heartbeat of a peer only sets the base. The caller holds the lock.
func (s *Service) applyPeerAdmissions(p service.PeerTraffic, now time.Duration) {
	usages := s.peerUsages[p.Instance]
	first := usages == nil
	if first {
		usages = map[uint32]peerUsage{}
		s.peerUsages[p.Instance] = usages
	}
	for hash, n := range p.Admitted {
		before, known := usages[hash]
		current := peerUsage{admitted: n, demand: n + p.Refused[hash]}
		usages[hash] = current
		c := s.customersByHash[hash]
		if c == nil || (first && !known) {
			continue
		}
		if current.admitted > before.admitted {
			c.bucket.ChargePeer(float64(current.admitted - before.admitted))
		}
		if current.demand > before.demand {
			c.bucket.AddPeerDemand(float64(current.demand-before.demand), now)
		}
	}
}

// ForgetPeer implements service.TrafficExchange.
func (s *Service) ForgetPeer(id entity.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peerUsages, id)
	delete(s.crashes.peerReports, id)
	s.applyPeerInFlight(id, nil)
}
