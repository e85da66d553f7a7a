package operator

import (
	"reflect"
	"slices"

	"github.com/go-faster/errors"
)

// Change is the difference between two configurations, by entity. An entity in a Set field replaces the entity of the
// same name or is added. All its settings are complete.
type Change struct {
	SetZones        []Zone          `json:"set_zones,omitempty"`
	RemoveZones     []string        `json:"remove_zones,omitempty"`
	SetCustomers    []Customer      `json:"set_customers,omitempty"`
	RemoveCustomers []string        `json:"remove_customers,omitempty"`
	SetServices     []ServiceChange `json:"set_services,omitempty"`
	RemoveServices  []string        `json:"remove_services,omitempty"`
	SetBackends     []BackendChange `json:"set_backends,omitempty"`
	RemoveBackends  []string        `json:"remove_backends,omitempty"`
}

// ServiceChange contains the settings of a service without its backends, which are changed one by one.
type ServiceChange struct {
	Service
	// Backends is always nil. It hides the backends of the embedded service from the encoding.
	Backends *struct{} `json:"backends,omitempty"`
}

// BackendChange is a backend and the service to which it belongs.
type BackendChange struct {
	Service string  `json:"service"`
	Backend Backend `json:"backend"`
}

// Empty reports whether the change contains no difference.
func (c *Change) Empty() bool {
	sets := len(c.SetZones) + len(c.SetCustomers) + len(c.SetServices) + len(c.SetBackends)
	removals := len(c.RemoveZones) + len(c.RemoveCustomers) + len(c.RemoveServices) + len(c.RemoveBackends)
	return sets+removals == 0
}

// Diff returns the change from the old configuration to the updated one. Both are completed with the defaults first. The
// order of entities is not compared.
func Diff(old, updated *Config) Change {
	o, u := old.WithDefaults(), updated.WithDefaults()
	var c Change
	c.SetZones, c.RemoveZones = diffList(o.Zones, u.Zones, Zone.key)
	c.SetCustomers, c.RemoveCustomers = diffList(o.Customers, u.Customers, Customer.key)
	c.SetServices, c.RemoveServices = diffList(serviceSettings(o), serviceSettings(u), ServiceChange.key)
	c.SetBackends, c.RemoveBackends = diffList(allBackends(o), allBackends(u), BackendChange.key)
	return c
}

// Equal reports whether two configurations are equal apart from omitted defaults and the order of entities.
func Equal(a, b *Config) bool {
	c := Diff(a, b)
	return c.Empty()
}

func (z Zone) key() string          { return z.Name }
func (c Customer) key() string      { return c.Name }
func (s ServiceChange) key() string { return s.Name }
func (b BackendChange) key() string { return b.Backend.Name }

// diffList returns the entities that are new or different, and the names of the removed ones.
func diffList[T any](old, updated []T, key func(T) string) (set []T, removed []string) {
	before := make(map[string]T, len(old))
	for _, e := range old {
		before[key(e)] = e
	}
	for _, e := range updated {
		previous, ok := before[key(e)]
		if !ok || !reflect.DeepEqual(previous, e) {
			set = append(set, e)
		}
		delete(before, key(e))
	}
	for _, e := range old {
		if _, ok := before[key(e)]; ok {
			removed = append(removed, key(e))
		}
	}
	return set, removed
}

func serviceSettings(c *Config) []ServiceChange {
	settings := make([]ServiceChange, len(c.Services))
	for i, s := range c.Services {
		s.Backends = nil
		settings[i] = ServiceChange{Service: s}
	}
	return settings
}

func allBackends(c *Config) []BackendChange {
	var all []BackendChange
	for _, s := range c.Services {
		for _, b := range s.Backends {
			all = append(all, BackendChange{Service: s.Name, Backend: b})
		}
	}
	return all
}

// Apply returns the configuration that results from a change, completed with the defaults and validated completely. The
// old configuration is not modified. The error is ErrChange if the change does not apply to the old configuration, or
// ErrInvalid if the result violates a rule.
//
// A change must not alter the partitions of a service, or the service, zone or address of a backend. Otherwise two
// servers could own the same key for a moment, because the owner of a key is derived from the partitions, and the name of
// a backend identifies one server with its session. A server that moves must get a new name.
func Apply(old *Config, change Change) (*Config, error) {
	c := old.WithDefaults()
	if err := checkFixedSettings(c, &change); err != nil {
		return nil, err
	}
	var err error
	if c.Zones, err = applyList(c.Zones, change.SetZones, change.RemoveZones, Zone.key); err != nil {
		return nil, errors.Wrap(err, "zones")
	}
	c.Customers, err = applyList(c.Customers, change.SetCustomers, change.RemoveCustomers, Customer.key)
	if err != nil {
		return nil, errors.Wrap(err, "customers")
	}
	services, err := applyList(serviceSettings(c), change.SetServices, change.RemoveServices, ServiceChange.key)
	if err != nil {
		return nil, errors.Wrap(err, "services")
	}
	backends, err := applyList(allBackends(c), change.SetBackends, change.RemoveBackends, BackendChange.key)
	if err != nil {
		return nil, errors.Wrap(err, "backends")
	}
	if c.Services, err = joinServices(services, backends); err != nil {
		return nil, err
	}
	c = c.WithDefaults()
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return c, nil
}

// ApplyTrusted is Apply for an old configuration that is already complete and valid, as returned by Apply, Decode or
// Build. If the change affects customers only, the result shares everything else with the old configuration and does not
// validate it again.
func ApplyTrusted(old *Config, change Change) (*Config, error) {
	customers := Change{SetCustomers: change.SetCustomers, RemoveCustomers: change.RemoveCustomers}
	if !reflect.DeepEqual(change, customers) {
		return Apply(old, change)
	}
	c := *old
	set := make([]Customer, len(change.SetCustomers))
	for i, customer := range change.SetCustomers {
		set[i] = customer.withDefaults()
	}
	var err error
	if c.Customers, err = applyList(old.Customers, set, change.RemoveCustomers, Customer.key); err != nil {
		return nil, errors.Wrap(err, "customers")
	}
	v := newValidation(&c)
	v.checkCustomers(c.Customers)
	if err := v.result(); err != nil {
		return nil, err
	}
	return &c, nil
}

// checkFixedSettings returns ErrChange if a change alters a setting that must not change.
func checkFixedSettings(old *Config, change *Change) error {
	services := make(map[string]uint32, len(change.SetServices))
	for _, s := range change.SetServices {
		services[s.Name] = s.withDefaults().Partitions
	}
	backends := make(map[string]BackendChange, len(change.SetBackends))
	for _, b := range change.SetBackends {
		backends[b.Backend.Name] = b
	}
	for _, s := range old.Services {
		if count, ok := services[s.Name]; ok && count != s.Partitions {
			return errors.Wrapf(ErrChange, "service %q: the number of partitions cannot be changed from %d", s.Name, s.Partitions)
		}
		for i := range s.Backends {
			b, ok := backends[s.Backends[i].Name]
			if ok && !b.sameServer(s.Name, &s.Backends[i]) {
				return errors.Wrapf(ErrChange, "backend %q: service, zone and address cannot be changed; "+
					"add the server under a new name", b.Backend.Name)
			}
		}
	}
	return nil
}

// sameServer reports whether the changed backend is still the same server of the same service.
func (b BackendChange) sameServer(service string, previous *Backend) bool {
	return b.Service == service && b.Backend.Zone == previous.Zone && b.Backend.Address == previous.Address
}

// applyList replaces, adds and removes entities. The others keep their order.
func applyList[T any](old, set []T, removed []string, key func(T) string) ([]T, error) {
	list := slices.Clone(old)
	index := make(map[string]int, len(list))
	for i, e := range list {
		index[key(e)] = i
	}
	touched := make(map[string]bool, len(set)+len(removed))
	toRemove := make(map[string]bool, len(removed))
	for _, name := range removed {
		if _, ok := index[name]; !ok || touched[name] {
			return nil, errors.Wrapf(ErrChange, "%q cannot be removed: it does not exist or is changed twice", name)
		}
		touched[name], toRemove[name] = true, true
	}
	for _, e := range set {
		if touched[key(e)] {
			return nil, errors.Wrapf(ErrChange, "%q is changed twice", key(e))
		}
		touched[key(e)] = true
		if i, ok := index[key(e)]; ok {
			list[i] = e
			continue
		}
		list = append(list, e)
	}
	return slices.DeleteFunc(list, func(e T) bool { return toRemove[key(e)] }), nil
}

// joinServices returns the services with their backends.
func joinServices(settings []ServiceChange, backends []BackendChange) ([]Service, error) {
	services := make([]Service, len(settings))
	index := make(map[string]int, len(settings))
	for i, s := range settings {
		services[i] = s.Service
		services[i].Backends = nil
		index[s.Name] = i
	}
	for _, b := range backends {
		i, ok := index[b.Service]
		if !ok {
			return nil, errors.Wrapf(ErrChange, "backend %q: service %q does not exist", b.Backend.Name, b.Service)
		}
		services[i].Backends = append(services[i].Backends, b.Backend)
	}
	return services, nil
}
