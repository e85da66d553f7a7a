// Package operator is the library with which operators write pollenpier's configuration: they build it in code, validate
// it, print it as YAML and publish it as changes to the version in force.
package operator

import "time"

// Config is a whole configuration. Names are unique within their kind; back end names are unique in the whole configuration.
type Config struct {
	Zones     []Zone     `yaml:"zones" json:"zones"`
	Customers []Customer `yaml:"customers" json:"customers"`
	Services  []Service  `yaml:"services" json:"services"`
}

// ZoneState says whether a zone takes work.
type ZoneState string

// Zone states.
const (
	// ZoneActive is the default: the zone takes work.
	ZoneActive ZoneState = "active"
	// ZoneOut means that the zone gets no new work and its partitions move to other zones.
	ZoneOut ZoneState = "out"
	// ZoneLost means that the operator confirms that the zone's instances and back ends are stopped. Its partitions are
	// given to other zones without waiting for the zone.
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
	// KeyHashes are the SHA-256 hashes of the customer's keys, 64 hexadecimal digits each. Removing one withdraws the key.
	KeyHashes []string `yaml:"key_hashes" json:"key_hashes"`
	// Rate is the sustained rate over all instances, in requests per second. No default.
	Rate float64 `yaml:"rate" json:"rate"`
	// Burst is the number of requests that may come at once after idleness, over all instances. No default.
	Burst int `yaml:"burst" json:"burst"`
}

// Service is a service behind the router, whose back ends own its partitions.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// Partitions is the number of partitions of the key space, a power of two. Default 256. It cannot change later.
	Partitions uint32 `yaml:"partitions,omitempty" json:"partitions,omitempty"`
	// MaxRun caps the time that a request may run on a back end. Default 10s.
	MaxRun time.Duration `yaml:"max_run,omitempty" json:"max_run,omitempty"`
	// CutoffHold is how long a zone that is cut off from the log and from most zones keeps serving its keys, and how long
	// others wait before they take them over. Default 30s.
	CutoffHold time.Duration `yaml:"cutoff_hold,omitempty" json:"cutoff_hold,omitempty"`
	// IdempotencyWindow is how long an idempotency key is remembered. Default 10m.
	IdempotencyWindow time.Duration `yaml:"idempotency_window,omitempty" json:"idempotency_window,omitempty"`
	Routes            []Route       `yaml:"routes" json:"routes"`
	Backends          []Backend     `yaml:"backends" json:"backends"`
}

// RouteKind says whether a request may run more than once.
type RouteKind string

// Route kinds.
const (
	// RouteIdempotent requests may be repeated by the router.
	RouteIdempotent RouteKind = "idempotent"
	// RouteAtMostOnce requests are sent at most once and must carry an idempotency key.
	RouteAtMostOnce RouteKind = "at-most-once"
)

// RouteAccess says who may call a route.
type RouteAccess string

// Route accesses.
const (
	// AccessOpen routes are open to all callers that present a customer's key.
	AccessOpen RouteAccess = "open"
	// AccessInternal routes are reachable on the internal listener only and need no customer's key.
	AccessInternal RouteAccess = "internal"
)

// Route is one kind of request of a service.
type Route struct {
	// Path is a path prefix inside the service, which starts with a slash and matches whole segments.
	Path string `yaml:"path" json:"path"`
	// Methods are the HTTP methods in capitals. Default GET.
	Methods []string    `yaml:"methods,omitempty" json:"methods,omitempty"`
	Kind    RouteKind   `yaml:"kind" json:"kind"`
	Access  RouteAccess `yaml:"access" json:"access"`
	// MaxBody is the largest request body in bytes. Default 1048576.
	MaxBody int64 `yaml:"max_body,omitempty" json:"max_body,omitempty"`
}

// BackendState says whether a back end takes work.
type BackendState string

// Back end states.
const (
	// BackendActive is the default: the back end takes work.
	BackendActive BackendState = "active"
	// BackendDrain means that the back end gets no new partitions and its own move away.
	BackendDrain BackendState = "drain"
)

// Backend is a server (endpoint) of a service.
type Backend struct {
	Name string `yaml:"name" json:"name"`
	Zone string `yaml:"zone" json:"zone"`
	// Address is an IP address and port.
	Address string `yaml:"address" json:"address"`
	// Slots is the number of requests that the back end runs at once when warm. No default.
	Slots int `yaml:"slots" json:"slots"`
	// MaxConnections is the number of connections that the back end accepts. Default 130.
	MaxConnections int `yaml:"max_connections,omitempty" json:"max_connections,omitempty"`
	// ChecksTokens says whether the back end refuses requests with an outdated fencing token. Default false.
	ChecksTokens bool         `yaml:"checks_tokens,omitempty" json:"checks_tokens,omitempty"`
	State        BackendState `yaml:"state,omitempty" json:"state,omitempty"` // default active
}
