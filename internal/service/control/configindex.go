package control

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/operator"
)

// configIndex is the configuration in force, by name.
type configIndex struct {
	version   uint64
	known     bool
	services  map[entity.ServiceName]*operator.Service
	backends  map[entity.BackendID]backendConfig
	zones     map[entity.Zone]operator.ZoneState
	customers []entity.CustomerID
	// longestHold is the longest cut-off hold of all services.
	longestHold time.Duration
}

type backendConfig struct {
	service entity.ServiceName
	operator.Backend
}

func newConfigIndex(m *service.ConfigChanged) *configIndex {
	c := &configIndex{
		services:    map[entity.ServiceName]*operator.Service{},
		backends:    map[entity.BackendID]backendConfig{},
		zones:       map[entity.Zone]operator.ZoneState{},
		longestHold: operator.DefaultCutoffHold,
	}
	if m == nil || m.Config == nil {
		return c
	}
	config := m.Config.WithDefaults()
	c.version, c.known = m.Version, true
	if len(config.Services) > 0 {
		c.longestHold = 0
	}
	for i := range config.Services {
		svc := &config.Services[i]
		c.services[entity.ServiceName(svc.Name)] = svc
		c.longestHold = max(c.longestHold, svc.CutoffHold)
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

// holds returns the cut-off hold and the longest run of a service, with the defaults for one that is not configured.
func (c *configIndex) holds(name entity.ServiceName) (hold, maxRun time.Duration) {
	if svc, ok := c.services[name]; ok {
		return svc.CutoffHold, svc.MaxRun
	}
	return max(c.longestHold, operator.DefaultCutoffHold), operator.DefaultMaxRun
}
