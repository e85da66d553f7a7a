package operator

import (
	"cmp"
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
		d.Zones[i].State = cmp.Or(d.Zones[i].State, ZoneActive)
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
	s.Partitions = cmp.Or(s.Partitions, DefaultPartitions)
	s.MaxRun = cmp.Or(s.MaxRun, DefaultMaxRun)
	s.CutoffHold = cmp.Or(s.CutoffHold, DefaultCutoffHold)
	s.IdempotencyWindow = cmp.Or(s.IdempotencyWindow, DefaultIdempotencyWindow)
	s.Routes = slices.Clone(s.Routes)
	for i := range s.Routes {
		r := &s.Routes[i]
		r.MaxBody = cmp.Or(r.MaxBody, DefaultMaxBody)
		if len(r.Methods) == 0 {
			r.Methods = []string{DefaultMethod}
			continue
		}
		r.Methods = slices.Clone(r.Methods)
	}
	return s
}

func (b Backend) withDefaults() Backend {
	b.MaxConnections = cmp.Or(b.MaxConnections, DefaultMaxConnections)
	b.State = cmp.Or(b.State, BackendActive)
	return b
}
