package operator

import (
	"slices"
	"strings"
	"time"
)

// Defaults of a configuration.
const (
	DefaultPartitions        uint32 = 256
	DefaultMaxRun                   = 10 * time.Second
	DefaultCutoffHold               = 30 * time.Second
	DefaultIdempotencyWindow        = 10 * time.Minute
	DefaultMaxBody           int64  = 1 << 20 // bytes
	DefaultMaxConnections           = 130
	DefaultMethod                   = "GET"
)

// WithDefaults returns a copy of the configuration in which each omitted setting has its default. The copy shares no
// memory with the original.
func (c *Config) WithDefaults() *Config {
	d := &Config{
		Zones:     slices.Clone(c.Zones),
		Customers: slices.Clone(c.Customers),
		Services:  slices.Clone(c.Services),
	}
	for i := range d.Zones {
		setDefault(&d.Zones[i].State, ZoneActive)
	}
	for i := range d.Customers {
		d.Customers[i] = d.Customers[i].withDefaults()
	}
	for i := range d.Services {
		d.Services[i] = d.Services[i].withDefaults()
		d.Services[i].Backends = slices.Clone(c.Services[i].Backends)
		for j := range d.Services[i].Backends {
			d.Services[i].Backends[j] = d.Services[i].Backends[j].withDefaults()
		}
	}
	return d
}

func (c Customer) withDefaults() Customer {
	hashes := make([]string, len(c.KeyHashes))
	for i, h := range c.KeyHashes {
		hashes[i] = strings.ToLower(h)
	}
	c.KeyHashes = hashes
	return c
}

// withDefaults completes the settings of the service and its routes, but not those of its backends.
func (s Service) withDefaults() Service {
	setDefault(&s.Partitions, DefaultPartitions)
	setDefault(&s.MaxRun, DefaultMaxRun)
	setDefault(&s.CutoffHold, DefaultCutoffHold)
	setDefault(&s.IdempotencyWindow, DefaultIdempotencyWindow)
	s.Routes = slices.Clone(s.Routes)
	for i := range s.Routes {
		r := &s.Routes[i]
		setDefault(&r.MaxBody, DefaultMaxBody)
		if len(r.Methods) == 0 {
			r.Methods = []string{DefaultMethod}
			continue
		}
		r.Methods = slices.Clone(r.Methods)
	}
	return s
}

func (b Backend) withDefaults() Backend {
	setDefault(&b.MaxConnections, DefaultMaxConnections)
	setDefault(&b.State, BackendActive)
	return b
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
