package members

import (
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// expirePeer marks a peer as unresponsive after the timeout and removes it after forgetAfter, or earlier if it was leaving.
func (s *Service) expirePeer(id entity.InstanceID, p *peer, now time.Duration) {
	last := max(p.at, p.listedAt)
	switch {
	case now-last > forgetAfter || (p.leaving && now-last > s.timeout()):
		s.removePeer(id)
	case p.at > 0 && !p.unresponsive && now-p.at > s.timeout():
		p.unresponsive = true
		s.traffic.ApplyPeerReport(service.PeerTraffic{Instance: id}, now)
		telemetry.EventMemberUnresponsive.Log(s.log, zap.String("peer", string(id)), zap.String("zone", string(p.zone)))
	}
}

// mayAdmit reports whether a peer may be admitting requests, whether or not it is reachable.
func (p *peer) mayAdmit(now time.Duration) bool {
	if p.at == 0 {
		return now-p.listedAt <= listedTTL
	}
	return !p.leaving && now-p.at <= partitionedTTL
}

// maySend reports whether a peer may be sending requests, whether or not it is reachable. A leaving peer still serves its open
// connections, and a listed one may have been partitioned from this instance since before this instance started.
func (p *peer) maySend(now time.Duration) bool {
	return p.leaving || now-max(p.at, p.listedAt) <= partitionedTTL
}

// unresponsiveZones returns the zones from which no heartbeat was received for a heartbeat interval plus zoneTimeout. The
// isolation of a zone can be detected sooner than the failure of a single instance, whose heartbeats may just have been lost.
func (s *Service) unresponsiveZones(now time.Duration) map[entity.Zone]bool {
	newest, known := map[entity.Zone]time.Duration{}, map[entity.Zone]int{}
	for _, p := range s.peers {
		if p.at > 0 && p.mayAdmit(now) {
			newest[p.zone] = max(newest[p.zone], p.at)
			known[p.zone]++
		}
	}
	unresponsive := map[entity.Zone]bool{}
	for zone, n := range known {
		unresponsive[zone] = n >= minZonePeers && now-newest[zone] > s.staleness()+zoneTimeout
	}
	return unresponsive
}

func (s *Service) publish(now time.Duration) {
	reachable, known, unconfirmed := 1, 1, 0 // unconfirmed peers are listed and may just have started
	instances := append(make([]entity.InstanceID, 0, len(s.peers)+1), s.instance.ID)
	unresponsive := s.unresponsiveZones(now)
	for _, p := range s.peers {
		if p.maySend(now) {
			instances = append(instances, p.id)
		}
		if !p.mayAdmit(now) {
			continue
		}
		known++
		switch {
		case p.at == 0:
			unconfirmed++
		case now-p.at <= s.timeout() && !unresponsive[p.zone]:
			reachable++
		}
	}
	if !s.listRead {
		known = max(known, assumedInstances)
		unconfirmed = known - reachable
	}
	s.reachable.Update(int64(reachable))
	senders := len(instances)
	if !s.listRead {
		senders = max(senders, assumedInstances)
	}
	s.view.Publish(&service.MembersView{ReachableShare: float64(reachable) / float64(known), ReachableCount: reachable + unconfirmed, Staleness: s.staleness(),
		Instances: instances, KnownCount: senders})
}
