package operator

import (
	"fmt"
	"math"
	"math/bits"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Limits of a configuration.
const (
	// MaxPartitions is the maximum number of partitions of a service. With 10,000 backends, each has about six
	// partitions.
	MaxPartitions uint32 = 1 << 16
	// MaxRate is the maximum rate of a customer in requests per second.
	MaxRate = 1e9
	// MaxBurst is the maximum burst of a customer in requests.
	MaxBurst = 1_000_000_000
	// MaxSlots is the maximum number of requests that one backend runs concurrently, and the maximum number of its
	// connections.
	MaxSlots = 100_000
	// MaxKeys is the maximum number of keys of one customer.
	MaxKeys = 64
	// MaxBodyLimit is the largest limit in bytes that a route may set for its request bodies.
	MaxBodyLimit int64 = 1 << 30
	// maxName is the maximum length of a name in bytes.
	maxName = 63
	// hashLength is the length of a SHA-256 hash in hexadecimal.
	hashLength = 64
)

// Limits of durations. A cut-off hold below one second would expire during an ordinary failover, which takes about 1 s.
const (
	minMaxRun, maxMaxRun                       = time.Millisecond, time.Hour
	minCutoffHold, maxCutoffHold               = time.Second, time.Hour
	minIdempotencyWindow, maxIdempotencyWindow = time.Second, 24 * time.Hour
)

var knownMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// Validate checks a configuration that WithDefaults has completed. The error is an *InvalidError with all problems.
func (c *Config) Validate() error {
	v := newValidation(c)
	v.checkZones(c.Zones)
	v.checkCustomers(c.Customers)
	v.checkServices(c.Services)
	return v.result()
}

func newValidation(c *Config) *validation {
	return &validation{
		zones:     make(map[string]bool, len(c.Zones)),
		hashes:    make(map[string]bool, len(c.Customers)),
		backends:  map[string]bool{},
		addresses: map[netip.AddrPort]bool{},
	}
}

// result returns the problems as an error, or nil if there are none.
func (v *validation) result() error {
	if len(v.problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: v.problems}
}

// validation collects the problems of a configuration and the names that have been checked.
type validation struct {
	problems  []Problem
	zones     map[string]bool
	hashes    map[string]bool
	backends  map[string]bool
	addresses map[netip.AddrPort]bool
}

// field is the path of an entity or a list. It is formatted only if a problem is found.
type field struct {
	parent *field
	name   string
	index  int // -1 if the field is not an element of a list
}

func element(parent *field, name string, index int) *field {
	return &field{parent: parent, name: name, index: index}
}

func (f *field) String() string {
	s := f.name
	if f.index >= 0 {
		s = fmt.Sprintf("%s[%d]", f.name, f.index)
	}
	if f.parent == nil {
		return s
	}
	return f.parent.String() + "." + s
}

func (v *validation) addProblem(at *field, name, format string, args ...any) {
	path := at.String()
	if name != "" {
		path += "." + name
	}
	v.problems = append(v.problems, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

// checkName checks the form of a name and that it is unique among the names of its kind.
func (v *validation) checkName(at *field, kind, name string, seen map[string]bool) {
	switch {
	case name == "":
		v.addProblem(at, "name", "is missing")
	case !ValidName(name):
		v.addProblem(at, "name", "must be 1 to 63 letters, digits, dots, dashes or underscores and begin with a letter or digit")
	case seen[name]:
		v.addProblem(at, "name", "%s %q is defined twice", kind, name)
	}
	seen[name] = true
}

// ValidName reports whether a name can be used as a path segment, in the names of leases and in logs.
func ValidName(name string) bool {
	if name == "" || len(name) > maxName {
		return false
	}
	for i, r := range []byte(name) {
		alphanumeric := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !alphanumeric && (i == 0 || !strings.ContainsRune("._-", rune(r))) {
			return false
		}
	}
	return true
}

// validHash reports whether the text is a hash in the form that HashKey returns. WithDefaults has converted upper case.
func validHash(h string) bool {
	if len(h) != hashLength {
		return false
	}
	for _, r := range []byte(h) {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') {
			return false
		}
	}
	return true
}

func (v *validation) checkDuration(at *field, name string, value, low, high time.Duration) {
	if value < low || value > high {
		v.addProblem(at, name, "must be between %s and %s, is %s", low, high, value)
	}
}

func (v *validation) checkCount(at *field, name string, value, high int64) {
	if value < 1 || value > high {
		v.addProblem(at, name, "must be between 1 and %d, is %d", high, value)
	}
}

func (v *validation) checkZones(zones []Zone) {
	for i, z := range zones {
		at := element(nil, "zones", i)
		v.checkName(at, "zone", z.Name, v.zones)
		if !slices.Contains([]ZoneState{ZoneActive, ZoneOut, ZoneLost}, z.State) {
			v.addProblem(at, "state", "must be %s, %s or %s", ZoneActive, ZoneOut, ZoneLost)
		}
	}
}

func (v *validation) checkCustomers(customers []Customer) {
	seen := make(map[string]bool, len(customers))
	for i := range customers {
		c := &customers[i]
		at := element(nil, "customers", i)
		v.checkName(at, "customer", c.Name, seen)
		if math.IsNaN(c.Rate) || c.Rate <= 0 || c.Rate > MaxRate {
			v.addProblem(at, "rate", "must be above 0 and at most %g requests per second, is %g", MaxRate, c.Rate)
		}
		v.checkCount(at, "burst", int64(c.Burst), MaxBurst)
		v.checkHashes(at, c.KeyHashes)
	}
}

// checkHashes checks the hashes of a customer's keys. Its problems never contain a value, because a malformed hash may be
// the key itself, entered by mistake.
func (v *validation) checkHashes(at *field, hashes []string) {
	if len(hashes) > MaxKeys {
		v.addProblem(at, "key_hashes", "at most %d keys are allowed, but there are %d", MaxKeys, len(hashes))
	}
	for i, h := range hashes {
		item := element(at, "key_hashes", i)
		switch {
		case !validHash(h):
			v.addProblem(item, "", "must be a SHA-256 hash of 64 hexadecimal digits")
		case v.hashes[h]:
			v.addProblem(item, "", "the same key is listed twice")
		}
		v.hashes[h] = true
	}
}

func (v *validation) checkServices(services []Service) {
	seen := make(map[string]bool, len(services))
	for i := range services {
		s := &services[i]
		at := element(nil, "services", i)
		v.checkName(at, "service", s.Name, seen)
		v.checkService(at, s)
		v.checkRoutes(at, s.Routes)
		for j := range s.Backends {
			v.checkBackend(element(at, "backends", j), &s.Backends[j])
		}
	}
}

func (v *validation) checkService(at *field, s *Service) {
	if bits.OnesCount32(s.Partitions) != 1 || s.Partitions > MaxPartitions {
		v.addProblem(at, "partitions", "must be a power of two of at most %d, is %d", MaxPartitions, s.Partitions)
	}
	v.checkDuration(at, "max_run", s.MaxRun, minMaxRun, maxMaxRun)
	v.checkDuration(at, "cutoff_hold", s.CutoffHold, minCutoffHold, maxCutoffHold)
	v.checkDuration(at, "idempotency_window", s.IdempotencyWindow, minIdempotencyWindow, maxIdempotencyWindow)
	if s.IdempotencyWindow < s.MaxRun {
		v.addProblem(at, "idempotency_window", "must be at least max_run, which is %s", s.MaxRun)
	}
}

func (v *validation) checkRoutes(service *field, routes []Route) {
	if len(routes) == 0 {
		v.addProblem(service, "routes", "at least one route is required")
	}
	seen := map[string]bool{}
	for i := range routes {
		r := &routes[i]
		at := element(service, "routes", i)
		if !cleanPath(r.Path) {
			v.addProblem(at, "path", "must begin with a slash and have no empty, . or .. segment, query or trailing slash")
		}
		for j, m := range r.Methods {
			if !slices.Contains(knownMethods, m) {
				v.addProblem(element(at, "methods", j), "", "must be one of %s", strings.Join(knownMethods, ", "))
			}
			if seen[m+" "+r.Path] {
				v.addProblem(element(at, "methods", j), "", "%s %s has more than one route", m, r.Path)
			}
			seen[m+" "+r.Path] = true
		}
		if r.Kind != RouteIdempotent && r.Kind != RouteAtMostOnce {
			v.addProblem(at, "kind", "must be %s or %s", RouteIdempotent, RouteAtMostOnce)
		}
		if r.Access != AccessOpen && r.Access != AccessInternal {
			v.addProblem(at, "access", "must be %s or %s", AccessOpen, AccessInternal)
		}
		v.checkCount(at, "max_body", r.MaxBody, MaxBodyLimit)
	}
}

// cleanPath reports whether a route's path is the root or consists of complete, literal segments.
func cleanPath(path string) bool {
	if path == "/" {
		return true
	}
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "?#%\\ \t\r\n") {
		return false
	}
	for segment := range strings.SplitSeq(path[1:], "/") {
		if segment == "" || segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

func (v *validation) checkBackend(at *field, b *Backend) {
	v.checkName(at, "backend", b.Name, v.backends)
	if !v.zones[b.Zone] {
		v.addProblem(at, "zone", "zone %q is not defined", b.Zone)
	}
	address, err := netip.ParseAddrPort(b.Address)
	switch {
	case err != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		v.addProblem(at, "address", "must be an IP address and port of a server, such as 192.0.2.7:8080")
	case v.addresses[address]:
		v.addProblem(at, "address", "%s belongs to another backend", address)
	}
	v.addresses[address] = true
	v.checkCount(at, "slots", int64(b.Slots), MaxSlots)
	v.checkCount(at, "max_connections", int64(b.MaxConnections), MaxSlots)
	if b.State != BackendActive && b.State != BackendDrain {
		v.addProblem(at, "state", "must be %s or %s", BackendActive, BackendDrain)
	}
}
