// Package zones tests complete deployments of log-based instances in one process, connected by a network that the tests can
// partition. It contains tests only.
package zones

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/app"
	"github.com/pollenpier/pollenpier/internal/configlog"
	"github.com/pollenpier/pollenpier/internal/e2e/check"
	"github.com/pollenpier/pollenpier/internal/freeport"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/settings"
	"github.com/pollenpier/pollenpier/internal/standin/backend"
	platformstandin "github.com/pollenpier/pollenpier/internal/standin/platform"
	"github.com/pollenpier/pollenpier/operator"
)

const (
	// waitTimeout limits every wait for a condition that must come true. Requirements on time are checked separately.
	waitTimeout = 30 * time.Second
	// cutoffHold and maxRun are short, so that tests can wait for them.
	cutoffHold = 3 * time.Second
	maxRun     = 2 * time.Second
	// stopSlack is added to cutoffHold for the authority and the freshness that were valid when a network partition began,
	// and for delays of the machine.
	stopSlack = 1500 * time.Millisecond
	// configChangeBound is the required time within which a configuration change takes effect.
	configChangeBound = 3 * time.Second
	customerKey       = "key-of-florist-0123456789"
	platformNode      = "platform"
	loopback          = "127.0.0.1:0"
)

// site is a running deployment.
type site struct {
	t         *testing.T
	net       *testNetwork
	platform  *platformstandin.Server
	backends  map[string]*backend.Server
	instances []*node
	config    *operator.Config
	version   uint64
	keys      []string
	staleness time.Duration
}

// node is an instance with its network endpoint.
type node struct {
	*app.Instance

	endpoint endpoint
	internal string
}

// layout defines the size and the options of a deployment.
type layout struct {
	instances map[string]int // by zone
	backends  map[string]int // by zone
	options   backend.Options
	staleness time.Duration
}

// threeZones returns a layout with two instances and one backend in each of three zones.
func threeZones() layout {
	return layout{
		instances: map[string]int{"a": 2, "b": 2, "c": 2},
		backends:  map[string]int{"a": 1, "b": 1, "c": 1},
		options:   backend.Options{Slots: 4, Queue: 64, ChecksTokens: true, Work: 2 * time.Millisecond},
		staleness: settings.DefaultKeyStaleness,
	}
}

// newSite starts a deployment and waits until all its instances serve all keys.
func newSite(t *testing.T, l layout) *site {
	t.Helper()
	s := &site{t: t, net: newTestNetwork(), backends: map[string]*backend.Server{}, staleness: l.staleness}
	for n := range 24 {
		s.keys = append(s.keys, fmt.Sprintf("key-%d", n))
	}
	var err error
	s.platform, err = platformstandin.Start(loopback, platformstandin.Options{ListExpiry: 10 * time.Second})
	require.NoError(t, err)
	t.Cleanup(s.stop)
	s.net.add(s.platform.Address(), endpoint{node: platformNode})
	s.mustPublish(s.startBackends(l))
	for _, zone := range []string{"a", "b", "c"} {
		for range l.instances[zone] {
			s.addInstance(zone)
		}
	}
	s.waitServed(s.instances, s.keys)
	return s
}

// startBackends starts the backends and returns the configuration that lists them.
func (s *site) startBackends(l layout) *operator.Config {
	s.t.Helper()
	service := operator.Service{
		Name: "order", Partitions: 32, MaxRun: maxRun, CutoffHold: cutoffHold,
		Routes: []operator.Route{
			{Path: "/look", Kind: operator.RouteIdempotent, Access: operator.AccessOpen},
			{Path: "/book", Methods: []string{"POST"}, Kind: operator.RouteAtMostOnce, Access: operator.AccessOpen},
			{Path: "/inside", Kind: operator.RouteIdempotent, Access: operator.AccessInternal},
		},
	}
	builder := operator.New().Customer("florist", 10000, 10000, operator.HashKey(customerKey))
	l.options.Secrets = []string{customerKey}
	for zone, count := range l.backends {
		builder.Zone(zone)
		for n := range count {
			server, err := backend.Start(loopback, l.options)
			require.NoError(s.t, err)
			name := fmt.Sprintf("%s%d", zone, n+1)
			s.backends[name] = server
			s.net.add(server.Address(), endpoint{node: name, zone: zone})
			service.Backends = append(service.Backends, operator.Backend{
				Name: name, Zone: zone, Address: server.Address(), Slots: l.options.Slots, ChecksTokens: l.options.ChecksTokens,
			})
		}
	}
	config, err := builder.Service(service).Build()
	require.NoError(s.t, err)
	return config
}

// publish publishes a configuration that is based on version base.
func (s *site) publish(base uint64, config *operator.Config, author string) (configlog.Result, error) {
	client, err := platformapi.NewHTTPClient(platformapi.ClientSettings{Addresses: []string{s.platform.Address()}})
	if err != nil {
		return configlog.Result{}, err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return configlog.Publish(ctx, client, base, config, author)
}

// mustPublish publishes a configuration based on the current version and requires that it is accepted.
func (s *site) mustPublish(config *operator.Config) {
	s.t.Helper()
	result, err := s.publish(s.version, config, "test")
	require.NoError(s.t, err)
	require.True(s.t, result.Accepted, result.Reason)
	s.config, s.version = config, result.Version
}

// addInstance starts an instance in a zone. The addresses in peers become its configured peers.
func (s *site) addInstance(zone string, peers ...string) *node {
	s.t.Helper()
	i := &node{endpoint: endpoint{node: fmt.Sprintf("%s-%d", zone, len(s.instances)), zone: zone}, internal: freeAddress(s.t)}
	var err error
	i.Instance, err = app.New(&settings.Settings{
		Zone:             zone,
		Listen:           settings.Listen{Callers: loopback, Internal: i.internal, Peer: loopback, Admin: loopback},
		Platform:         settings.Platform{Addresses: []string{s.platform.Address()}},
		Peers:            peers,
		KeyStaleness:     s.staleness,
		DrainTimeout:     time.Second,
		RegisterInstance: true,
	}, zap.NewNop(), app.WithDial(s.net.dialFrom(i.endpoint)))
	require.NoError(s.t, err)
	s.net.add(i.PeerAddress(), i.endpoint)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	require.NoError(s.t, i.Start(ctx))
	s.instances = append(s.instances, i)
	return i
}

// stop stops the deployment. A failed stop of an instance, for example one that can no longer leave the deployment, is only
// logged.
func (s *site) stop() {
	s.net.heal()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	stopped := make(chan error)
	for _, i := range s.instances {
		go func() { stopped <- i.Stop(ctx) }()
	}
	for range s.instances {
		if err := <-stopped; err != nil {
			s.t.Logf("stop: %v", err)
		}
	}
	for _, b := range s.backends {
		_ = b.Close()
	}
	_ = s.platform.Close()
	s.net.close()
}

// in returns the instances in the given zones.
func (s *site) in(zones ...string) []*node {
	var list []*node
	for _, i := range s.instances {
		for _, zone := range zones {
			if i.endpoint.zone == zone {
				list = append(list, i)
			}
		}
	}
	return list
}

// waitServed waits until each of the instances has answered a request for each of the keys.
func (s *site) waitServed(instances []*node, keys []string) {
	s.t.Helper()
	for _, i := range instances {
		for _, key := range keys {
			var last answer
			s.eventually(func() bool {
				last = look(i, key)
				return last.outcome == answered
			}, "key %s is not served by instance %s: %+v", key, i.endpoint.node, &last)
		}
	}
}

// keysOn returns the keys whose last execution was on a backend.
func (s *site) keysOn(name string) []string {
	s.t.Helper()
	var keys []string
	for key, list := range s.history() {
		if list[len(list)-1].On == name {
			keys = append(keys, key)
		}
	}
	require.NotEmpty(s.t, keys, "backend %s owns none of the test's keys", name)
	return keys
}

// history returns all executions of the deployment.
func (s *site) history() check.History {
	s.t.Helper()
	executions := map[string][]backend.Execution{}
	for name, b := range s.backends {
		executions[name] = b.Executions().Executions
	}
	return check.NewHistory(s.t, executions)
}

// finish stops the load and checks the invariants on all executions.
func (s *site) finish(l *load) {
	s.t.Helper()
	l.end()
	s.t.Logf("answers: %v", l.counts())
	s.t.Logf("not answered, by second: %v", l.timeline())
	history := s.history()
	history.Invariants(s.t)
	history.NotRun(s.t, l.refusals())
}

// status contains the fields of an instance's status that the tests use.
type status struct {
	ConfigVersion uint64 `json:"config_version"`
	Leases        []struct {
		Name string `json:"name"`
	} `json:"leases"`
}

// status reads an instance's status.
func (i *node) status() (status, error) {
	var st status
	resp, err := http.Get("http://" + i.AdminAddress() + "/status")
	if err != nil {
		return st, err
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(resp.Body).Decode(&st)
}

// holds reports whether an instance holds a lease.
func (s *site) holds(i *node, name string) bool {
	s.t.Helper()
	st, err := i.status()
	require.NoError(s.t, err)
	for _, l := range st.Leases {
		if l.Name == name {
			return true
		}
	}
	return false
}

// eventually polls a condition and fails the test if it is not true within waitTimeout.
func (s *site) eventually(condition func() bool, format string, args ...any) {
	s.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	s.t.Fatalf(format, args...)
}

// freeAddress returns a loopback address that is reserved for the caller.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := freeport.Reserve()
	require.NoError(t, err)
	return address
}
