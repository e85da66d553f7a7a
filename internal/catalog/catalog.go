// Package catalog defines what operators configure for store-based instances: customers with their keys and rates,
// services, routes and the limits for callers. It also defines the backends that the platform lists. A Config is immutable
// once built, so that traffic goroutines share it without a lock.
package catalog

import (
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// KeySpace is the number of routed keys of a partitioned service. Keys are the numbers from 0 to KeySpace-1.
const KeySpace = 1 << 16

// Errors of New, by the rule that a configuration violates.
var (
	ErrUnknownService = errors.New("route names a service that is not configured")
	ErrBadPrefix      = errors.New("path prefix must begin and end with a slash")
	ErrNoHost         = errors.New("route has no host")
	ErrBadDuration    = errors.New("route needs a positive time limit")
	ErrSharedKey      = errors.New("key belongs to more than one customer")
	ErrDuplicateName  = errors.New("name is used twice")
	ErrNegative       = errors.New("value must not be negative")
	ErrNoTarget       = errors.New("route has neither a service nor weights above zero")
)

// Target is one of the services among which the requests of a route are distributed.
type Target struct {
	Service entity.ServiceName
	Weight  float64 // fraction of the route's requests, relative to the sum of the weights
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Targets    []Target
	// Idempotent reports whether requests may run more than once.
	Idempotent bool
	// Timeout is the maximum time until the caller gets an answer.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer has its full value, zero if not configured.
	LatencyTarget time.Duration
	Priority      int // 0 is the highest priority
	// MaxAttempts is the maximum number of backends to which one request may be sent, at least 1.
	MaxAttempts int
	// Public reports whether requests need no customer's key.
	Public bool
}

// Service is a group of backends that serve the same requests.
type Service struct {
	Name       entity.ServiceName
	HealthPath string
	// MaxConnections is the number of connections that a backend accepts from all instances together, 0 if not
	// configured.
	MaxConnections int
	// Warmup is how long a backend is cold after its start. WarmupRate is the number of requests per second that a cold
	// backend accepts from all instances together.
	Warmup     time.Duration
	WarmupRate float64
	// Partitioned reports whether a request may run only on the backend that owns the request's key.
	Partitioned bool
	// KeyWarmup is how long keys stay slow on a backend that got them without a handover.
	KeyWarmup time.Duration
}

// Customer is a tenant with its keys and its request rate.
type Customer struct {
	ID   entity.CustomerID
	Keys []string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	Rate        float64 // requests per second over all instances; 0 means unlimited
	Burst       float64 // requests accepted in excess of the rate
}

// Access says whose requests may use the routes that are not public. The zero value admits nobody.
type Access struct {
	// Open is true if the operators' configuration has no list of customers at all: requests then need no key. A list without
	// customers does not make a configuration open.
	Open      bool
	Customers []*Customer
}

// CallerLimits limit the size of a caller's request and the time that the caller may take to send it.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the configuration. It is safe for concurrent use, because it must not be changed after New.
type Config struct {
	Version   uint64
	Routes    []*Route
	Services  map[entity.ServiceName]*Service
	Customers map[entity.CustomerID]*Customer
	Limits    CallerLimits

	open   bool // see Access
	byHost map[string][]*Route
	byKey  map[string]*Customer
}

// New validates a configuration and builds its indexes. The caller must not change the arguments afterwards.
func New(version uint64, routes []*Route, services []*Service, access Access, limits CallerLimits) (*Config, error) {
	c := &Config{
		Version:   version,
		Routes:    routes,
		Services:  make(map[entity.ServiceName]*Service, len(services)),
		Customers: make(map[entity.CustomerID]*Customer, len(access.Customers)),
		Limits:    limits,
		open:      access.Open,
		byHost:    map[string][]*Route{},
		byKey:     map[string]*Customer{},
	}
	for _, s := range services {
		if _, ok := c.Services[s.Name]; ok {
			return nil, errors.Wrapf(ErrDuplicateName, "service %q", s.Name)
		}
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		if err := c.addRoute(r); err != nil {
			return nil, errors.Wrapf(err, "route %q", r.Name)
		}
	}
	for _, customer := range access.Customers {
		if err := c.addCustomer(customer); err != nil {
			return nil, errors.Wrapf(err, "customer %q", customer.ID)
		}
	}
	return c, nil
}

func (c *Config) addRoute(r *Route) error {
	switch {
	case r.Host == "":
		return ErrNoHost
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return errors.Wrapf(ErrBadPrefix, "%q", r.PathPrefix)
	case r.Timeout <= 0:
		return ErrBadDuration
	}
	sum := 0.0
	for _, t := range r.Targets {
		if t.Weight < 0 {
			return ErrNegative
		}
		if _, ok := c.Services[t.Service]; !ok {
			return errors.Wrapf(ErrUnknownService, "%q", t.Service)
		}
		sum += t.Weight
	}
	if sum <= 0 {
		return ErrNoTarget
	}
	c.byHost[r.Host] = append(c.byHost[r.Host], r)
	return nil
}

func (c *Config) addCustomer(customer *Customer) error {
	if customer.Rate < 0 || customer.Burst < 0 {
		return ErrNegative
	}
	if _, ok := c.Customers[customer.ID]; ok {
		return ErrDuplicateName
	}
	c.Customers[customer.ID] = customer
	for _, key := range customer.Keys {
		if other, ok := c.byKey[key]; ok && other != customer {
			return ErrSharedKey
		}
		c.byKey[key] = customer
	}
	return nil
}

// Route returns the route for a host and path: the one with the longest matching prefix among the routes of the host.
func (c *Config) Route(host, path string) (*Route, bool) {
	var best *Route
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best, best != nil
}

// Customer returns the customer to which a key belongs. An empty key belongs to nobody, also if a customer's list contains it, because
// requests without a key have an empty one.
func (c *Config) Customer(key string) (*Customer, bool) {
	if key == "" {
		return nil, false
	}
	customer, ok := c.byKey[key]
	return customer, ok
}

// KeysRequired reports whether requests on routes that are not public require a customer's key.
func (c *Config) KeysRequired() bool { return !c.open }

// Backend is one process of a service, as listed by the platform.
type Backend struct {
	ID      entity.BackendID
	Service entity.ServiceName
	Address string // host:port
	Zone    entity.Zone
	// Version is the version of the backend's software.
	Version string
	// Incarnation distinguishes the successive processes under one id. A larger value is a newer process.
	Incarnation int64
	// Slots is the number of requests that the backend processes concurrently.
	Slots int
	// Draining reports whether the backend is leaving and gets no new work.
	Draining bool
	// LastActiveAt is a time, on the clock of this instance, at which the backend had not yet reported that it is
	// leaving.
	LastActiveAt time.Duration
	// HeldBackUntil is the time, on the clock of this instance, until which the backend gets requests only if no other backend of its
	// service can: it runs a version that this instance has just seen for the first time. It is zero if the backend is not held back.
	HeldBackUntil time.Duration
	// WarmUntil is the time, on the clock of this instance, until which the backend is cold. It is zero or in the past if
	// the backend is warm.
	WarmUntil time.Duration
}

// SameProcess reports whether two backend records describe the same process at the same address. A process does not change its version.
func (b *Backend) SameProcess(o *Backend) bool {
	return o != nil && b.ID == o.ID && b.Incarnation == o.Incarnation && b.Address == o.Address && b.Service == o.Service && b.Version == o.Version
}
