package service

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
)

// Names of the services of a store-based instance, which connects to backends directly and keeps the ownership of key ranges
// in the platform's store.
const (
	// Store reads and writes documents in the platform's store.
	Store kernel.Name = "store"
	// Feed polls the operators' configuration and the backend records and sends them to the directory.
	Feed kernel.Name = "feed"
	// Directory owns the view of configuration, backends and zones.
	Directory kernel.Name = "directory"
	// Members exchanges heartbeats with peers.
	Members kernel.Name = "members"
	// Keys assigns key ranges to backends.
	Keys kernel.Name = "keys"
	// Loads tracks the load that this instance and its peers put on backends, and customers' rates.
	Loads kernel.Name = "loads"
	// Router validates and admits a call, chooses a backend, sends the call and records the result.
	Router kernel.Name = "router"
	// Endpoints sends requests and commands to backends.
	Endpoints kernel.Name = "endpoints"
	// Frontend accepts the callers' requests and encodes the replies.
	Frontend kernel.Name = "entry"
)

// InstanceConfig is what the platform configures for this process: its identity, its zone, and the time limits that apply.
type InstanceConfig struct {
	ID   entity.InstanceID
	Zone entity.Zone
	// PeerAddress is where peers send heartbeats, host:port.
	PeerAddress string
	// Cores is the processing capacity of the instance in CPU cores. Instances with more cores are preferred as coordinator.
	Cores float64
	// Heartbeat is the interval at which backends renew their records.
	Heartbeat time.Duration
	// MaxGrantTTL is the maximum grant TTL.
	MaxGrantTTL time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound the retries of requests over all instances.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ShutdownGrace is the time between the request to stop and the forced termination.
	ShutdownGrace time.Duration
	// ConfigApply is the time within which a configuration must be effective.
	ConfigApply time.Duration
	// ExposureShare is the largest fraction of a service's requests that a bad version may get in a rollout, 0 if the platform knows
	// no rollouts. ExposureSlack is the number of requests that it may get beside this share, over all instances.
	ExposureShare float64
	ExposureSlack float64
	// RollbackTime is how long after its 50th bad answer a version may still get requests.
	RollbackTime time.Duration
	// DrainTime is how long a leaving backend may still get new requests.
	DrainTime time.Duration
}
