package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/pollenpier/pollenpier/platform/standin"
)

// Settings of the deployments, like those of a small installation.
const (
	customerKey  = "key-of-a-customer"
	customerName = "customer-1"
	memoryMB     = 284
	descriptors  = 4100
	graceSeconds = 6
	restartDelay = time.Second
	readyTimeout = 20 * time.Second
)

// record writes what was sent, answered and run to the record of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f ", time.Since(r.began).Seconds()) // the record is checked by its reader
	_, _ = fmt.Fprintf(r.file, format+"\n", args...)
}

// instance is one machine and its processes, which follow one another.
type instance struct {
	site     *site
	ip, path string
	logs     *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   bool
}

// site is the store, the endpoints and the instances of a case.
type site struct {
	record    *record
	dir       string
	store     *standin.Store
	log       *runLog
	endpoints []*endpoint
	instances []*instance
	prefix    string // of the addresses of the instances
	storeAt   string // the address of the store in the settings
}

// smallSite starts three instances and three endpoints of the service "orders".
func smallSite(r *record) (*site, error) {
	s, err := newSite(r)
	if err != nil {
		return nil, err
	}
	err = s.configure(1, tenant{customerName, customerKey})
	for i := 0; i < 3 && err == nil; i++ {
		var e *endpoint
		if e, err = newEndpoint(fmt.Sprintf("orders-%d", i), s.store, s.log); err == nil {
			s.endpoints = append(s.endpoints, e)
		}
	}
	for i := 0; i < 3 && err == nil; i++ {
		err = s.addInstance("a")
	}
	if err == nil {
		err = s.awaitReady()
	}
	return s, err
}

// newSite starts a store.
func newSite(r *record) (*site, error) {
	dir, err := os.MkdirTemp("", "pollenpier-review-")
	if err != nil {
		return nil, err
	}
	store, err := standin.NewStore("127.0.0.1")
	if err != nil {
		return nil, err
	}
	prefix, err := freePrefix()
	if err != nil {
		return nil, err
	}
	return &site{record: r, dir: dir, store: store, log: &runLog{runs: map[string]execution{}}, prefix: prefix, storeAt: store.Address()}, nil
}

// freePrefix returns the first three numbers of loopback addresses at which nothing listens.
func freePrefix() (string, error) {
	for range 100 {
		prefix := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250)) //nolint:gosec // avoids addresses in use, guards nothing
		l, err := net.Listen("tcp4", prefix+".1:9464")                          //nolint:noctx // closed at once
		if err == nil {
			_ = l.Close()
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no range of loopback addresses is free")
}

// addInstance writes the settings of an instance and starts its process.
func (s *site) addInstance(zone string) error {
	i := len(s.instances) + 1
	n := &instance{site: s, ip: fmt.Sprintf("%s.%d", s.prefix, i), path: filepath.Join(s.dir, fmt.Sprintf("n%d.json", i))}
	settings, err := json.Marshal(map[string]any{
		"self": map[string]any{
			"nodeName": fmt.Sprintf("n%d", i), "role": "router", "machineClass": "front", "serves": []string{"front"}, "ip": n.ip, "zone": zone, "region": "r",
			"bootstrap": true, "limits": map[string]any{"cpuShare": 0.32, "cpuSpeed": 1, "memoryMb": memoryMB, "maxFds": descriptors},
		},
		"network": map[string]any{
			"listenAddresses": map[string]any{"front": n.ip + ":8388", "ready": n.ip + ":8384"}, "internalPortRange": []int{7560, 7575},
		},
		"platform": map[string]any{"heartbeatS": heartbeatS, "platform": map[string]any{"address": s.storeAt, "form": "log"}},
		"terms": map[string]any{"bounds": map[string]any{
			"holdMaxS": 10, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 64, "graceS": graceSeconds, "configApplyS": 2, "drainS": 2,
		}},
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.path, settings, 0o600); err != nil {
		return err
	}
	if n.logs, err = os.Create(filepath.Join(s.dir, fmt.Sprintf("n%d.log", i))); err != nil {
		return err
	}
	s.instances = append(s.instances, n)
	return n.start()
}

// start starts the next process of an instance, with the command of the deploy file.
func (n *instance) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended {
		return nil
	}
	command := exec.Command("target/pollenpier", "platform") //nolint:noctx // ended by close
	command.Env = []string{"POLLENPIER_BOOT=" + n.path}
	command.Stdout, command.Stderr = n.logs, n.logs
	if err := command.Start(); err != nil {
		return err
	}
	n.command = command
	go n.watch(command)
	return nil
}

// watch restarts a process after its end, as the platform does.
func (n *instance) watch(command *exec.Cmd) {
	err := command.Wait()
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	if ended {
		return
	}
	n.site.record.note("process at %s ended by itself: %v", n.ip, err)
	time.Sleep(restartDelay)
	if err := n.start(); err != nil {
		n.site.record.note("restart at %s: %v", n.ip, err)
	}
}

// front returns the address of the instance for callers.
func (n *instance) front() string { return n.ip + ":8388" }

// awaitReady waits until all instances are ready.
func (s *site) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	client := &http.Client{Timeout: time.Second}
	for _, n := range s.instances {
		for {
			response, err := client.Get("http://" + n.ip + ":8384/readyz") //nolint:noctx // has a timeout
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("the instance at %s is not ready", n.ip)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.record.note("%d instances are ready", len(s.instances))
	return nil
}

// route is a route of the configuration.
type route struct {
	name, host, kind, service string
	timeoutS, targetS         float64
}

// tenant is a customer of a configuration and its key.
type tenant struct{ name, key string }

// configure writes a configuration.
func (s *site) configure(version int, tenants ...tenant) error {
	customers := make([]map[string]any, 0, len(tenants))
	for _, t := range tenants {
		customers = append(customers, map[string]any{"name": t.name, "apiKeys": []string{t.key}, "ratePerS": 0, "burst": 0})
	}
	routes := []route{{"order", "order.example", "unsafe", "orders", 1.2, 0.4}}
	services := []map[string]any{
		{"name": "orders", "maxConnections": 130, "warmupS": 3, "warmupPerS": 50, "healthCheckPath": "/healthz"},
	}
	list := make([]map[string]any, 0, len(routes))
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": r.host, "pathPrefix": "/x/", "kind": r.kind, "timeoutS": r.timeoutS, "targetLatencyS": r.targetS, "priority": 1,
			"service": r.service, "maxAttempts": 2,
		})
	}
	raw, err := json.Marshal(map[string]any{
		"version": version, "routes": list, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"tenants": customers,
	})
	if err == nil {
		s.store.Put("keyed.op", "config", raw)
		s.record.note("version %d of the configuration is acknowledged: %s", version, raw)
	}
	return err
}

// close ends all processes of the case.
func (s *site) close() {
	for _, n := range s.instances {
		n.mu.Lock()
		n.ended = true
		if n.command != nil {
			_ = n.command.Process.Kill() // fails only if it has ended
		}
		n.mu.Unlock()
	}
	for _, e := range s.endpoints {
		e.close()
	}
	s.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir) // a temporary folder
	} else {
		s.record.note("logs: %s", s.dir)
	}
}
