package operator

// Builder builds a configuration in code. Its methods can be chained. Build returns all problems of the configuration. A
// Builder is not safe for concurrent use.
type Builder struct{ config Config }

// New returns a builder for an empty configuration.
func New() *Builder { return &Builder{} }

// From returns a builder that starts with a copy of a configuration, in order to publish a change to it.
func From(c *Config) *Builder { return &Builder{config: *c.WithDefaults()} }

// Zone adds zones that accept work, or sets existing zones of the same name back to this state.
func (b *Builder) Zone(names ...string) *Builder {
	for _, name := range names {
		b.ZoneState(name, ZoneActive)
	}
	return b
}

// ZoneState sets the state of a zone. It adds the zone if it does not exist.
func (b *Builder) ZoneState(name string, state ZoneState) *Builder {
	b.config.Zones = put(b.config.Zones, Zone{Name: name, State: state}, Zone.key)
	return b
}

// Customer adds or replaces a customer with its rate in requests per second, its burst in requests and the hashes of its
// keys (see HashKey).
func (b *Builder) Customer(name string, rate float64, burst int, keyHashes ...string) *Builder {
	c := Customer{Name: name, Rate: rate, Burst: burst, KeyHashes: keyHashes}
	b.config.Customers = put(b.config.Customers, c, Customer.key)
	return b
}

// Service adds or replaces a service with its routes and backends.
func (b *Builder) Service(s Service) *Builder {
	b.config.Services = put(b.config.Services, s, func(s Service) string { return s.Name })
	return b
}

// Build returns the configuration completed with the defaults. If it is invalid, the error is an *InvalidError.
func (b *Builder) Build() (*Config, error) {
	c := b.config.WithDefaults()
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return c, nil
}

// put replaces the entity with the same key, or appends e if there is none.
func put[T any](list []T, e T, key func(T) string) []T {
	for i := range list {
		if key(list[i]) == key(e) {
			list[i] = e
			return list
		}
	}
	return append(list, e)
}
