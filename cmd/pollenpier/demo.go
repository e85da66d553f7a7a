package main

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/app"
	"github.com/pollenpier/pollenpier/internal/settings"
	"github.com/pollenpier/pollenpier/internal/standin/backend"
	platformstandin "github.com/pollenpier/pollenpier/internal/standin/platform"
	"github.com/pollenpier/pollenpier/internal/telemetry"
	"github.com/pollenpier/pollenpier/operator"
	"github.com/pollenpier/pollenpier/operator/publish"
)

// demoCommand runs a complete deployment on loopback in one process.
type demoCommand struct {
	Listen   string `long:"listen" value-name:"HOST:PORT" default:"127.0.0.1:8080" description:"Callers' listener of the first instance"`
	LogLevel string `long:"log-level" value-name:"LEVEL" default:"warn" description:"debug, info, warn or error"`
}

// Size, names and time limits of the demo deployment.
const (
	demoKey          = "demo-key-of-florist"
	demoInstances    = 2 // per zone
	demoBackends     = 2 // per zone and service
	demoReadyTimeout = 30 * time.Second
	demoStopTimeout  = 20 * time.Second
	loopback         = "127.0.0.1:0"
)

// demoZones and demoServices are the names of the zones and services.
var (
	demoZones    = []string{"riga-1", "riga-2"}
	demoServices = []string{"stock", "order"}
)

// demoDeployment holds the servers and instances that the demo has started.
type demoDeployment struct {
	platform  *platformstandin.Server
	backends  []*backend.Server
	instances []*app.Instance
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	signals := receiveTerminalSignals()
	log, err := telemetry.NewLogger(c.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	ctx := signals.stopContext(log)
	deployment := &demoDeployment{}
	err = deployment.start(ctx, c.Listen, log)
	if err == nil {
		deployment.describe()
		<-ctx.Done()
	}
	return errors.Join(err, deployment.stop())
}

// start starts the deployment and waits until it accepts requests. The first instance listens for callers on listen. On an
// error, what has been started keeps running until stop.
func (d *demoDeployment) start(ctx context.Context, listen string, log *zap.Logger) error {
	ctx, cancel := context.WithTimeout(ctx, demoReadyTimeout)
	defer cancel()
	var err error
	if d.platform, err = platformstandin.Start(loopback, platformstandin.Options{ListExpiry: 5 * time.Second}); err != nil {
		return errors.Wrap(err, "start simulated platform")
	}
	config, err := d.startBackends()
	if err != nil {
		return err
	}
	if err := d.publish(ctx, config); err != nil {
		return err
	}
	for _, zone := range demoZones {
		for range demoInstances {
			if err := d.startInstance(ctx, zone, listen, log); err != nil {
				return err
			}
			listen = loopback
		}
	}
	return d.waitServed(ctx)
}

// startBackends starts the simulated backends and returns a configuration that lists them.
func (d *demoDeployment) startBackends() (*operator.Config, error) {
	builder := operator.New().Zone(demoZones...).Customer("florist", 100, 50, operator.HashKey(demoKey))
	for _, name := range demoServices {
		service := operator.Service{
			Name: name, Partitions: 32,
			Routes: []operator.Route{
				{Path: "/items", Kind: operator.RouteIdempotent, Access: operator.AccessOpen},
				{Path: "/reserve", Methods: []string{"POST"}, Kind: operator.RouteAtMostOnce, Access: operator.AccessOpen},
			},
		}
		for _, zone := range demoZones {
			for n := range demoBackends {
				server, err := backend.Start(loopback, backend.Options{
					Slots: 2, Queue: 4, ChecksTokens: true, Work: 2 * time.Millisecond,
				})
				if err != nil {
					return nil, errors.Wrap(err, "start simulated backend")
				}
				d.backends = append(d.backends, server)
				service.Backends = append(service.Backends, operator.Backend{
					Name: fmt.Sprintf("%s-%s-%d", name, zone, n+1), Zone: zone, Address: server.Address(), Slots: 2,
					ChecksTokens: true,
				})
			}
		}
		builder.Service(service)
	}
	return builder.Build()
}

// publish publishes config as the first version.
func (d *demoDeployment) publish(ctx context.Context, config *operator.Config) error {
	client, err := publish.NewClient(d.platform.Address())
	if err != nil {
		return err
	}
	defer client.Close()
	result, err := client.Publish(ctx, 0, config, "demo")
	if err != nil {
		return errors.Wrap(err, "publish configuration")
	}
	if !result.Accepted {
		return errors.Wrap(errRefused, result.Reason)
	}
	return nil
}

// startInstance starts one instance in zone, with listen as the address for callers.
func (d *demoDeployment) startInstance(ctx context.Context, zone, listen string, log *zap.Logger) error {
	instance, err := app.New(&settings.Settings{
		Zone:             zone,
		Listen:           settings.Listen{Callers: listen, Internal: loopback, Peer: loopback, Admin: loopback},
		Platform:         settings.Platform{Addresses: []string{d.platform.Address()}},
		KeyStaleness:     settings.DefaultKeyStaleness,
		DrainTimeout:     settings.DefaultDrainTimeout,
		RegisterInstance: true,
	}, log)
	if err != nil {
		return err
	}
	if err := instance.Start(ctx); err != nil {
		return err
	}
	d.instances = append(d.instances, instance)
	return nil
}

// waitServed waits until every instance is ready and answers requests to every service, or returns an error when ctx ends.
func (d *demoDeployment) waitServed(ctx context.Context) error {
	const pollInterval = 50 * time.Millisecond
	for {
		if d.served(ctx) {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "deployment does not accept requests")
		}
	}
}

// served reports whether every instance is ready and answers a request to every service.
func (d *demoDeployment) served(ctx context.Context) bool {
	for _, i := range d.instances {
		for _, name := range demoServices {
			if !i.Ready() || !answers(ctx, "http://"+i.CallersAddress()+"/"+name+"/items") {
				return false
			}
		}
	}
	return true
}

// describe prints the addresses of the deployment and commands to try.
func (d *demoDeployment) describe() {
	fmt.Printf("simulated platform: %s\n", d.platform.Address())
	for _, i := range d.instances {
		fmt.Printf("instance %s: callers %s, admin %s\n", i.ID(), i.CallersAddress(), i.AdminAddress())
	}
	fmt.Printf("\nTry:\n  curl -i -H 'Pollenpier-Customer-Key: %s' -H 'Pollenpier-Key: rose-red' http://%s/stock/items\n",
		demoKey, d.instances[0].CallersAddress())
	fmt.Printf("  curl -i -X POST -H 'Pollenpier-Customer-Key: %s' -H 'Pollenpier-Key: rose-red' "+
		"-H 'Idempotency-Key: order-1' -d 'petals=200' http://%s/order/reserve\n", demoKey, d.instances[0].CallersAddress())
	fmt.Printf("  pollenpier status --admin %s\n\nStop with Ctrl-C.\n", d.instances[0].AdminAddress())
}

// stop stops everything that was started: first the instances, all at once, then the backends and the platform. It returns
// all errors.
func (d *demoDeployment) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), demoStopTimeout)
	defer cancel()
	results := make(chan error, len(d.instances))
	for _, i := range d.instances {
		go func() { results <- i.Stop(ctx) }()
	}
	var failed error
	for range d.instances {
		failed = errors.Join(failed, <-results)
	}
	for _, b := range d.backends {
		failed = errors.Join(failed, b.Close())
	}
	if d.platform != nil {
		failed = errors.Join(failed, d.platform.Close())
	}
	return failed
}
