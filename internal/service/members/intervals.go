package members

import (
	"cmp"
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/rendezvous"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// updateIntervals sets the heartbeat intervals by the number of peers.
func (s *Service) updateIntervals(now time.Duration) {
	inZone, remote := 0, 0
	for _, p := range s.peers {
		switch {
		case p.unresponsive || (p.at == 0 && !p.mayAdmit(now)):
		case p.zone == s.instance.Zone:
			inZone++
		default:
			remote++
		}
	}
	s.reachableInZone = inZone
	s.zoneInterval = uint64(1 + max(inZone-1, 0)/zonePeers)
	s.remoteInterval = remoteFactor * uint64(1+max(remote-1, 0)/remotePeers)
}

// staleness returns the maximum age of what peers report. Until the list of instances has been read, there may be many peers that
// were not heard yet, whose heartbeats are infrequent.
func (s *Service) staleness() time.Duration {
	age := time.Duration(max(s.zoneInterval, s.remoteInterval)) * interval
	if !s.listRead {
		return max(age, unlistedStaleness)
	}
	return age
}

// reportWindow returns the time that a traffic report covers. It is longer than two heartbeats at the longest interval, in case one of
// them is lost.
func (s *Service) reportWindow() time.Duration {
	return 2*max(s.staleness(), minReportWindow) + interval
}

// timeout returns how long after its last heartbeat a peer still counts as reachable.
func (s *Service) timeout() time.Duration { return max(peerTimeout, maxMissedHeartbeats*s.staleness()) }

// due reports whether a peer is sent a heartbeat in this interval.
func (s *Service) due(p *peer) bool {
	switch {
	case p.unresponsive || p.at == 0:
		return s.ticks%unresponsiveInterval == 0 || s.ticks < unresponsiveInterval
	case s.keys.Coordinator:
		return s.ticks%min(s.remoteInterval, coordinatorEvery) == 0
	case p.zone != s.instance.Zone:
		return s.ticks%s.remoteInterval == 0
	default:
		return s.ticks%s.zoneInterval == 0
	}
}

// zoneReader returns the instance that reads the store for its zone. Instances that temporarily disagree about it read the store
// themselves.
func (s *Service) zoneReader() entity.InstanceID {
	var candidates []entity.InstanceID
	if s.keys.StoreReachable && !s.leaving {
		candidates = append(candidates, s.instance.ID)
	}
	for id, p := range s.peers {
		if p.zone == s.instance.Zone && p.at > 0 && !p.unresponsive && !p.leaving && p.storeReachable {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		return s.instance.ID
	}
	order := rendezvous.Order("reader", candidates)
	return slices.MaxFunc(order, func(a, b entity.InstanceID) int { return cmp.Compare(s.cores(a), s.cores(b)) })
}

// cores returns the number of CPU cores of an instance. The instance with the most cores is the zone reader, since its peers wait
// for the updates that it sends.
func (s *Service) cores(id entity.InstanceID) float64 {
	if p := s.peers[id]; p != nil {
		return p.cores
	}
	return s.instance.Cores
}
