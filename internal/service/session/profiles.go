package session

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/operator"
)

// profile is the part of a backend's configuration that this service uses.
type profile struct {
	target       backend.Target
	service      entity.ServiceName
	checksTokens bool
	maxRun       time.Duration
	cutoffHold   time.Duration
	connections  int
}

// readProfiles returns the profiles of all configured backends.
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

// connectionLimits returns the connection limits of all configured backends.
func connectionLimits(profiles map[entity.BackendID]profile) map[entity.BackendID]int {
	limits := make(map[entity.BackendID]int, len(profiles))
	for id, p := range profiles {
		limits[id] = p.connections
	}
	return limits
}

// partitionSet is a set of partitions with their epochs.
type partitionSet map[service.PartitionEpoch]struct{}

// assignment holds the partitions that the log assigns to one backend.
type assignment struct {
	owned  partitionSet // to be granted
	moving partitionSet // to be released
}

// readAssignment returns the assignment of a backend of a service. It is empty if the view is nil.
func readAssignment(v *ownership.ServiceView, name entity.ServiceName, id entity.BackendID) assignment {
	a := assignment{owned: partitionSet{}, moving: partitionSet{}}
	if v == nil {
		return a
	}
	for p, owner := range v.Owners {
		if owner.Backend != id {
			continue
		}
		partition := service.PartitionEpoch{Service: name, Partition: entity.Partition(p), Epoch: owner.Epoch}
		if owner.Moving() {
			a.moving[partition] = struct{}{}
		} else {
			a.owned[partition] = struct{}{}
		}
	}
	return a
}

// grantsOf converts partitions to the grants that backends accept.
func grantsOf(partitions []service.PartitionEpoch) []backend.Grant {
	grants := make([]backend.Grant, 0, len(partitions))
	for _, p := range partitions {
		grants = append(grants, backend.Grant(p))
	}
	return grants
}
