// Package operator is the library with which operators write the configuration of log-based instances: they build it in
// code, validate it, print it as YAML and publish it as a change to the current version (package publish).
package operator

import "time"

// Config is a complete configuration. Names are unique within their kind. Names of backends are unique in the complete
// configuration, across services.
type Config struct {
	Zones     []Zone     `yaml:"zones" json:"zones"`
	Customers []Customer `yaml:"customers" json:"customers"`
	Services  []Service  `yaml:"services" json:"services"`
}

// ZoneState is whether a zone accepts work.
type ZoneState string

// States of a zone.
const (
	// ZoneActive is the default: the zone accepts work.
	ZoneActive ZoneState = "active"
	// ZoneOut means that the zone gets no new work and that its partitions move to other zones.
	ZoneOut ZoneState = "out"
	// ZoneLost means that the operator confirms that the zone's instances and backends are stopped. Its partitions are
	// assigned to other zones without waiting for the zone.
	ZoneLost ZoneState = "lost"
)

// Zone is an availability zone.
type Zone struct {
	Name  string    `yaml:"name" json:"name"`
	State ZoneState `yaml:"state,omitempty" json:"state,omitempty"` // default active
}

// Customer is a tenant with its keys and rate.
type Customer struct {
	Name string `yaml:"name" json:"name"`
	// KeyHashes are the SHA-256 hashes of the customer's keys, with 64 hexadecimal digits each. Removing a hash withdraws
	// the key.
	KeyHashes []string `yaml:"key_hashes" json:"key_hashes"`
	// Rate is the sustained rate over all instances, in requests per second. It has no default.
	Rate float64 `yaml:"rate" json:"rate"`
	// Burst is the number of requests over all instances that are accepted at once after a period without requests. It
	// has no default.
	Burst int `yaml:"burst" json:"burst"`
}

// Service is a service behind the router. Its backends own its partitions.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// Partitions is the number of partitions of the key space, a power of two. Default 256. It cannot be changed later.
	Partitions uint32 `yaml:"partitions,omitempty" json:"partitions,omitempty"`
	// MaxRun is the maximum time that a request may run on a backend. Default 10s.
	MaxRun time.Duration `yaml:"max_run,omitempty" json:"max_run,omitempty"`
	// CutoffHold is how long a zone that is partitioned from the log and from most zones keeps serving its keys. It is
	// also how long other zones wait before they take the keys over. Default 30s.
	CutoffHold time.Duration `yaml:"cutoff_hold,omitempty" json:"cutoff_hold,omitempty"`
	// IdempotencyWindow is how long an idempotency key stays recorded. Default 10m.
	IdempotencyWindow time.Duration `yaml:"idempotency_window,omitempty" json:"idempotency_window,omitempty"`
	Routes            []Route       `yaml:"routes" json:"routes"`
	Backends          []Backend     `yaml:"backends" json:"backends"`
}

// RouteKind is whether a request may run more than once.
type RouteKind string

// Kinds of a route.
const (
	// RouteIdempotent means that the router may retry requests.
	RouteIdempotent RouteKind = "idempotent"
	// RouteAtMostOnce means that a request is sent at most once and must carry an idempotency key.
	RouteAtMostOnce RouteKind = "at-most-once"
)

// RouteAccess is who may call a route.
type RouteAccess string

// Values of RouteAccess.
const (
	// AccessOpen means that the route is open to all callers that present a customer's key.
	AccessOpen RouteAccess = "open"
	// AccessInternal means that the route is reachable on the internal listener only and needs no customer's key.
	AccessInternal RouteAccess = "internal"
)

// Route describes one kind of request of a service.
type Route struct {
	// Path is a path prefix within the service. It starts with a slash and matches complete path segments.
	Path string `yaml:"path" json:"path"`
	// Methods are the HTTP methods in upper case. Default GET.
	Methods []string    `yaml:"methods,omitempty" json:"methods,omitempty"`
	Kind    RouteKind   `yaml:"kind" json:"kind"`
	Access  RouteAccess `yaml:"access" json:"access"`
	// MaxBody is the maximum size of a request body in bytes. Default 1048576.
	MaxBody int64 `yaml:"max_body,omitempty" json:"max_body,omitempty"`
}

// BackendState is whether a backend accepts work.
type BackendState string

// States of a backend.
const (
	// BackendActive is the default: the backend accepts work.
	BackendActive BackendState = "active"
	// BackendDrain means that the backend gets no new partitions and that its partitions move to other backends.
	BackendDrain BackendState = "drain"
)

// Backend is a server (endpoint) of a service.
type Backend struct {
	Name string `yaml:"name" json:"name"`
	Zone string `yaml:"zone" json:"zone"`
	// Address is the server's IP address and port.
	Address string `yaml:"address" json:"address"`
	// Slots is the number of requests that a warm backend runs concurrently. It has no default.
	Slots int `yaml:"slots" json:"slots"`
	// MaxConnections is the maximum number of connections that the backend accepts. Default 130.
	MaxConnections int `yaml:"max_connections,omitempty" json:"max_connections,omitempty"`
	// ChecksTokens reports whether the backend refuses requests with an outdated fencing token. Default false.
	ChecksTokens bool         `yaml:"checks_tokens,omitempty" json:"checks_tokens,omitempty"`
	State        BackendState `yaml:"state,omitempty" json:"state,omitempty"` // default active
}
