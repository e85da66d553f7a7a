package control

import (
	"maps"
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/operator"
)

// shares divides the rates of customers evenly over the zones that are not lost.
type shares struct {
	// pendingSince is when a move of shares was first seen here.
	pendingSince map[entity.CustomerID]pendingShares
	desiredSince time.Duration
}

type pendingShares struct {
	version entity.Offset
	at      time.Duration
}

func newShares() *shares {
	return &shares{pendingSince: map[entity.CustomerID]pendingShares{}, desiredSince: -1}
}

func (h *shares) next(s *situation) ownership.Record {
	delay, ok := s.ranks.delay(sharesTask)
	if !ok || !s.config.known {
		return nil
	}
	record := h.desiredShares(s)
	h.desiredSince = since(h.desiredSince, record != nil, s.now)
	if record == nil || s.now-h.desiredSince < delay {
		return nil
	}
	h.desiredSince = -1
	return record
}

func (h *shares) desiredShares(s *situation) ownership.Record {
	if record := h.completePending(s); record != nil {
		return record
	}
	all, serving := configuredZones(s)
	if len(serving) == 0 {
		return nil
	}
	even, target := ownership.EvenShares(all), ownership.EvenShares(serving)
	known := make(map[entity.CustomerID]bool, len(s.config.customers))
	for _, customer := range s.config.customers {
		known[customer] = true
		if _, pending := s.view.PendingShares[customer]; pending {
			continue
		}
		current, recorded := s.view.ZoneShares[customer]
		if !recorded && len(all) == len(serving) || recorded && sameShares(current, target) {
			continue
		}
		return ownership.Shares{
			Customer: customer, Version: s.view.ShareVersions[customer], Current: even, Next: target,
		}
	}
	for _, customer := range slices.Sorted(maps.Keys(s.view.ZoneShares)) {
		if !known[customer] {
			return ownership.Shares{Customer: customer, Version: s.view.ShareVersions[customer]}
		}
	}
	return nil
}

// completePending returns a record that grants the receiving zones their shares once every giving zone must have
// stopped using them: an instance that has not received the move is isolated from the log and admits no request after
// the cut-off hold and its leases.
func (h *shares) completePending(s *situation) ownership.Record {
	wait := withDrift(s.config.longestCutoffHold + DefaultLeaseTTL + DefaultSessionTTL)
	for _, customer := range slices.Sorted(maps.Keys(s.view.PendingShares)) {
		version := s.view.ShareVersions[customer]
		if h.pendingSince[customer].version != version {
			h.pendingSince[customer] = pendingShares{version: version, at: s.now}
		}
		if s.now-h.pendingSince[customer].at >= wait {
			return ownership.SharesSettled{Customer: customer, Version: version}
		}
	}
	maps.DeleteFunc(h.pendingSince, func(customer entity.CustomerID, _ pendingShares) bool {
		_, pending := s.view.PendingShares[customer]
		return !pending
	})
	return nil
}

// configuredZones returns all zones of the configuration, and those that are not lost.
func configuredZones(s *situation) (all, serving []entity.Zone) {
	for _, zone := range slices.Sorted(maps.Keys(s.config.zones)) {
		all = append(all, zone)
		if _, lost := s.view.LostZones[zone]; !lost && s.config.zones[zone] != operator.ZoneLost {
			serving = append(serving, zone)
		}
	}
	return all, serving
}

func sameShares(current map[entity.Zone]uint32, target []ownership.ZoneShare) bool {
	for _, z := range target {
		if current[z.Zone] != z.Share {
			return false
		}
	}
	return true
}
