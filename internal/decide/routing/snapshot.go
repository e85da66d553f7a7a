// Package routing builds the immutable snapshot that request handling uses to find the owner of a key and its primary. The
// routing service of a log-based instance publishes it.
package routing

import (
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/operator"
)

// Snapshot is the immutable view that request handling uses to find the customer of a credential, the route of a request and
// the owner of its key. It is safe for concurrent use, and its lookups do not allocate.
type Snapshot struct {
	version   uint64
	offset    entity.Offset
	customers map[[32]byte]entity.CustomerID
	services  map[string]*serviceTable
	backends  map[entity.BackendID]*Backend
}

// Backend is what request handling needs to know about a backend.
type Backend struct {
	ID      entity.BackendID
	Address string // host:port
	Zone    entity.Zone
	// ChecksTokens is whether the backend refuses requests with an outdated fencing token.
	ChecksTokens bool
	// Slots is the number of requests that the backend runs at once when it is warm.
	Slots          int
	MaxConnections int
	// Candidates are the members of the lease group that serves the backend, in the order in which to ask them whether they are
	// its primary. The slice must not be changed.
	Candidates []ownership.Member
}

// Target is the owner of a key.
type Target struct {
	Partition entity.Partition
	Epoch     entity.Epoch
	// Backend is the owner. It is nil unless the outcome of Locate is answered.
	Backend *Backend
}

// Route is a route of a service with the settings of the service that apply to its requests.
type Route struct {
	Service entity.ServiceName
	// Path is the route's path prefix inside the service.
	Path string
	// Idempotent requests may be retried by the router; others are sent at most once.
	Idempotent bool
	// Internal routes are reachable only on the internal listener and require no customer credential.
	Internal bool
	MaxBody  int64 // bytes
	// MaxRun limits how long a request may run on a backend.
	MaxRun            time.Duration
	CutoffHold        time.Duration
	IdempotencyWindow time.Duration
}

// serviceTable is one service of the snapshot.
type serviceTable struct {
	// routes maps path prefixes to the route of each method.
	routes map[string]map[string]*Route
	// depth is the largest number of segments in a route's path. It bounds the lookups for a request.
	depth int
	// view is nil until the service's partitions are assigned.
	view *ownership.ServiceView
}

// Build returns the snapshot of a configuration, which must be complete with its defaults, and an ownership view. Either may be
// nil while it is not known yet.
func Build(cfg *operator.Config, cfgVersion uint64, view *ownership.View) *Snapshot {
	return (&Builder{}).Build(cfg, cfgVersion, view)
}

// Builder builds successive snapshots, which share what has not changed. It is not safe for concurrent use; the snapshots are.
type Builder struct {
	order   candidateOrder
	config  *operator.Config
	members []ownership.Member
	last    *Snapshot
}

// Build is like the function Build. Neither argument may be changed afterwards.
func (b *Builder) Build(cfg *operator.Config, cfgVersion uint64, view *ownership.View) *Snapshot {
	if cfg == nil {
		cfg = &operator.Config{}
	}
	if view == nil {
		view = &ownership.View{}
	}
	s := &Snapshot{version: cfgVersion, offset: view.Offset, services: make(map[string]*serviceTable, len(cfg.Services))}
	for i := range cfg.Services {
		svc := &cfg.Services[i]
		s.services[svc.Name] = newServiceTable(svc, view.Services[entity.ServiceName(svc.Name)])
	}
	s.customers = b.customers(cfg)
	s.backends = b.backends(cfg, view)
	b.config, b.members, b.last = cfg, view.Members, s
	return s
}

// customers returns the customers by the hashes of their credentials.
func (b *Builder) customers(cfg *operator.Config) map[[32]byte]entity.CustomerID {
	if b.last != nil && sameList(b.config.Customers, cfg.Customers) {
		return b.last.customers
	}
	customers := make(map[[32]byte]entity.CustomerID, len(cfg.Customers))
	for _, c := range cfg.Customers {
		for _, text := range c.KeyHashes {
			// A validated configuration has well-formed hashes.
			if hash, err := operator.DecodeHash(text); err == nil {
				customers[hash] = entity.CustomerID(c.Name)
			}
		}
	}
	return customers
}

// backends returns the backends by id, each with the instances to ask for its primary.
func (b *Builder) backends(cfg *operator.Config, view *ownership.View) map[entity.BackendID]*Backend {
	if b.last != nil && sameList(b.config.Services, cfg.Services) && slices.Equal(b.members, view.Members) {
		return b.last.backends
	}
	b.order.begin(view)
	backends := make(map[entity.BackendID]*Backend, len(b.order.previousChoices))
	for i := range cfg.Services {
		for j := range cfg.Services[i].Backends {
			backend := newBackend(&cfg.Services[i].Backends[j], &b.order)
			backends[backend.ID] = backend
		}
	}
	return backends
}

// sameList reports whether two lists share their memory. That is the case if one configuration was created from the other by a
// change to something else.
func sameList[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Version returns the version of the configuration from which the snapshot was built.
func (s *Snapshot) Version() uint64 { return s.version }

// Offset returns the offset of the ownership view from which the snapshot was built.
func (s *Snapshot) Offset() entity.Offset { return s.offset }

func newBackend(b *operator.Backend, order *candidateOrder) *Backend {
	id := entity.BackendID(b.Name)
	return &Backend{
		ID:             id,
		Address:        b.Address,
		Zone:           entity.Zone(b.Zone),
		ChecksTokens:   b.ChecksTokens,
		Slots:          b.Slots,
		MaxConnections: b.MaxConnections,
		Candidates:     order.candidates(id, entity.Zone(b.Zone)),
	}
}

// Customer returns the customer whose credential has the given SHA-256 hash.
func (s *Snapshot) Customer(hash [32]byte) (entity.CustomerID, bool) {
	id, ok := s.customers[hash]
	return id, ok
}

// Backend returns a backend of the configuration.
func (s *Snapshot) Backend(id entity.BackendID) (*Backend, bool) {
	b, ok := s.backends[id]
	return b, ok
}

// Refusals of Locate. They are the same for all requests, so that refusing a request does not allocate.
var (
	outcomeUnknownService = entity.NotRun(entity.ReasonUnknownService, "")
	outcomeUnassigned     = entity.NotRun(entity.ReasonNoOwner, "partition has no owner yet")
	outcomeMoving         = entity.NotRun(entity.ReasonNoOwner, "partition is moving to another owner")
	outcomeRemoved        = entity.NotRun(entity.ReasonNoOwner, "owner is not in the configuration")
	outcomeNoInstance     = entity.NotRun(entity.ReasonNoOwner, "no instance serves the owner's zone")
)

// Locate returns the owner of a key. The outcome is answered if the request can be sent to the target, and not run otherwise.
func (s *Snapshot) Locate(service entity.ServiceName, key string) (Target, entity.Outcome) {
	table, ok := s.services[string(service)]
	if !ok {
		return Target{}, outcomeUnknownService
	}
	if table.view == nil {
		return Target{}, outcomeUnassigned
	}
	p := table.view.Locate(entity.HashKey(key))
	target := Target{Partition: p}
	if int(p) >= len(table.view.Owners) {
		return target, outcomeUnassigned
	}
	owner := &table.view.Owners[p]
	target.Epoch = owner.Epoch
	if owner.Moving() {
		return target, outcomeMoving
	}
	if owner.Backend == "" {
		return target, outcomeUnassigned
	}
	backend, ok := s.backends[owner.Backend]
	if !ok {
		return target, outcomeRemoved
	}
	if len(backend.Candidates) == 0 {
		return target, outcomeNoInstance
	}
	target.Backend = backend
	return target, entity.Answered()
}
