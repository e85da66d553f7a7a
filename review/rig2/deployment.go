package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pollenpier/pollenpier/platform/standin"
)

// The service and the route of the case: lookups, as in the site file sites/zieds-gw.toml.
const (
	serviceName  = "stock"
	routeHost    = "stock.example"
	routePrefix  = "/s/"
	healthPath   = "/healthz"
	timeBudget   = 2 * time.Second
	workTime     = 20 * time.Millisecond
	slots        = 2
	readyTimeout = 10 * time.Second
)

// deployment is the store, the backend servers and the instances of the case.
type deployment struct {
	record    *record
	dir       string
	store     *standin.Store
	endpoints []*endpoint
	instances []*instance
}

// newDeployment starts a deployment and waits until all instances are ready.
func newDeployment(r *record, instances, endpoints int, m machine) (*deployment, error) {
	dir, err := os.MkdirTemp("", "pollenpier-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, dir: dir}
	d.closeOnSignal()
	if err := d.start(instances, endpoints, m); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// closeOnSignal ends all processes if the rig itself is stopped.
func (d *deployment) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		d.close()
		os.Exit(exitNotRun)
	}()
}

func (d *deployment) start(instances, endpoints int, m machine) error {
	var err error
	if d.store, err = standin.NewStore("127.0.0.1"); err != nil {
		return err
	}
	if err := d.publishConfig(); err != nil {
		return err
	}
	for i := range endpoints {
		e, err := startEndpoint(d.record, d.store, fmt.Sprintf("i-%d", i))
		if err != nil {
			return err
		}
		d.endpoints = append(d.endpoints, e)
	}
	base, err := freeBase(instances)
	if err != nil {
		return err
	}
	for i := range instances {
		n, err := newInstance(d.record, d.dir, d.store.Address(), base, i, m)
		if err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
		d.instances = append(d.instances, n)
	}
	for _, n := range d.instances {
		if !n.awaitReady(readyTimeout) {
			return errors.New("an instance is not ready")
		}
	}
	time.Sleep(time.Second) // the instances have heard one another
	return nil
}

// publishConfig writes the operator's configuration.
func (d *deployment) publishConfig() error {
	raw, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "lookups", "host": routeHost, "pathPrefix": routePrefix, "kind": "safe", "timeoutS": 1,
			"targetLatencyS": 0.3, "priority": 2, "service": serviceName, "maxAttempts": 2,
		}},
		"services": []any{map[string]any{
			"name": serviceName, "healthCheckPath": healthPath, "maxConnections": 130, "warmupS": 3, "warmupPerS": 6.6, "sharded": true,
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"tenants": []any{},
	})
	if err != nil {
		return err
	}
	d.store.Put("keyed.op", "config", raw)
	return nil
}

// close ends all processes and stand-ins.
func (d *deployment) close() {
	for _, n := range d.instances {
		n.end()
		_ = n.log.Close() // the process has ended
	}
	for _, e := range d.endpoints {
		e.close()
	}
	if d.store != nil {
		d.store.Close()
	}
	_ = os.RemoveAll(d.dir) //nolint:gosec // a folder of the rig; the record has what matters
}
