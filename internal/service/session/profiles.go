package session

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/operator"
)

// profile is what the configuration says about a back end.
type profile struct {
	target       backend.Target
	service      entity.ServiceName
	checksTokens bool
	maxRun       time.Duration
	cutoffHold   time.Duration
	connections  int
}

// readProfiles returns the profiles of all configured back ends.
func readProfiles(c *operator.Config) map[entity.BackendID]profile {
	profiles := map[entity.BackendID]profile{}
	for _, s := range c.WithDefaults().Services {
		for _, b := range s.Backends {
			id := entity.BackendID(b.Name)
			profiles[id] = profile{
				target:       backend.Target{ID: id, Address: b.Address},
				service:      entity.ServiceName(s.Name),
				checksTokens: b.ChecksTokens,
				maxRun:       s.MaxRun,
				cutoffHold:   s.CutoffHold,
				connections:  b.MaxConnections,
			}
		}
	}
	return profiles
}

// connectionLimits returns the connection limits of all configured back ends.
func connectionLimits(profiles map[entity.BackendID]profile) map[entity.BackendID]int {
	limits := make(map[entity.BackendID]int, len(profiles))
	for id, p := range profiles {
		limits[id] = p.connections
	}
	return limits
}

// partitionSet is a set of assignments.
type partitionSet map[service.PartitionEpoch]struct{}

// assignment is what the log gives to one back end.
type assignment struct {
	owned  partitionSet // to be granted
	moving partitionSet // to be released
}

// readAssignment returns the assignment of a back end of a service. A nil view gives none.
func readAssignment(v *ownership.ServiceView, name entity.ServiceName, id entity.BackendID) assignment {
	a := assignment{owned: partitionSet{}, moving: partitionSet{}}
	if v == nil {
		return a
	}
	for p, owner := range v.Owners {
		if owner.Backend != id {
			continue
		}
		part := service.PartitionEpoch{Service: name, Partition: entity.Partition(p), Epoch: owner.Epoch}
		if owner.Moving() {
			a.moving[part] = struct{}{}
		} else {
			a.owned[part] = struct{}{}
		}
	}
	return a
}

// grantsOf returns partitions in the form that back ends take.
func grantsOf(parts []service.PartitionEpoch) []backend.Grant {
	grants := make([]backend.Grant, 0, len(parts))
	for _, p := range parts {
		grants = append(grants, backend.Grant(p))
	}
	return grants
}
