package control

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/operator"
)

// configIndex is the current configuration, indexed by name.
type configIndex struct {
	version   uint64
	known     bool
	services  map[entity.ServiceName]*operator.Service
	backends  map[entity.BackendID]backendConfig
	zones     map[entity.Zone]operator.ZoneState
	customers []entity.CustomerID
	// longestCutoffHold is the longest cut-off hold of all services.
	longestCutoffHold time.Duration
}

type backendConfig struct {
	service entity.ServiceName
	operator.Backend
}

func newConfigIndex(m *service.ConfigChanged) *configIndex {
	c := &configIndex{
		services:          map[entity.ServiceName]*operator.Service{},
		backends:          map[entity.BackendID]backendConfig{},
		zones:             map[entity.Zone]operator.ZoneState{},
		longestCutoffHold: operator.DefaultCutoffHold,
	}
	if m == nil || m.Config == nil {
		return c
	}
	config := m.Config.WithDefaults()
	c.version, c.known = m.Version, true
	if len(config.Services) > 0 {
		c.longestCutoffHold = 0
	}
	for i := range config.Services {
		svc := &config.Services[i]
		c.services[entity.ServiceName(svc.Name)] = svc
		c.longestCutoffHold = max(c.longestCutoffHold, svc.CutoffHold)
		for _, b := range svc.Backends {
			c.backends[entity.BackendID(b.Name)] = backendConfig{service: entity.ServiceName(svc.Name), Backend: b}
		}
	}
	for _, z := range config.Zones {
		c.zones[entity.Zone(z.Name)] = z.State
	}
	for _, customer := range config.Customers {
		c.customers = append(c.customers, entity.CustomerID(customer.Name))
	}
	return c
}

// limits returns the cut-off hold and the longest run of a service. A service that is not configured has the default
// run and the longest cut-off hold of all services, at least the default.
func (c *configIndex) limits(name entity.ServiceName) (cutoffHold, maxRun time.Duration) {
	if svc, ok := c.services[name]; ok {
		return svc.CutoffHold, svc.MaxRun
	}
	return max(c.longestCutoffHold, operator.DefaultCutoffHold), operator.DefaultMaxRun
}
