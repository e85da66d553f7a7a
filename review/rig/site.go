package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pollenpier/pollenpier/platform/standin"
)

// Ports and limits of the instances, as in the settings that the platform shows as an example.
const (
	frontPort    = 8388
	readyPort    = 8384
	peerPort     = 7560
	lastPeerPort = 7575
	memoryMB     = 284
	maxBodyBytes = 64 << 20
	graceS       = 6.0
	heartbeat    = 870 * time.Millisecond
)

// Names in the configuration.
const (
	host          = "orders.example"
	stockPath     = "/stock/"
	orderPath     = "/orders/"
	stockService  = "stock"
	orderService  = "orders"
	topicServers  = "keyed.servers"
	topicOperator = "keyed.op"
)

// customers are the tenants of the configuration.
var customers = []string{"south", "north"}

// keyOf returns the key of a customer.
func keyOf(customer string) string { return "key-of-" + customer }

// Reasons why a case cannot run.
var (
	errNotReady = errors.New("not all instances are ready")
	errNoMove   = errors.New("no keys were moved")
)

// site is a small deployment: the store, the endpoints and the instances.
type site struct {
	record    *record
	binary    string
	dir       string
	base      int // third number of the instances' addresses
	reserved  net.Listener
	store     *standin.Store
	endpoints []*endpoint
	instances []*instance
	version   int // of the configuration
	stopped   chan struct{}
	loops     sync.WaitGroup
}

// instance is one machine of the system.
type instance struct {
	ip, zone, settings, logs string
	mu                       sync.Mutex
	command                  *exec.Cmd
	exited                   chan struct{}
	killed                   bool // the last end was caused by the rig
	ends                     int  // processes that ended although the rig has not stopped them
}

// newSite starts the store. Every address is a loopback address.
func newSite(rec *record, binary, dir string) (*site, error) {
	store, err := standin.NewStore("127.0.0.1")
	if err != nil {
		return nil, err
	}
	s := &site{record: rec, binary: binary, dir: dir, store: store, stopped: make(chan struct{})}
	const lowest, count = 10, 200
	for i := range count {
		base := lowest + (os.Getpid()+i)%count
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.%d.254:%d", base, frontPort)) //nolint:noctx // open for the whole run
		if err == nil {
			s.base, s.reserved = base, l
			return s, nil
		}
	}
	return nil, errors.New("no range of loopback addresses is free")
}

// Rates in requests per second and bursts in requests of the customers.
const (
	largeRate  = 1000
	usualRate  = 30
	usualBurst = 30
)

// configure writes a new version of the operator's configuration, in which the second customer has the given burst.
func (s *site) configure(burst int) {
	s.version += 3
	service := func(name string, sharded bool) map[string]any {
		return map[string]any{
			"name": name, "healthCheckPath": "/healthz", "maxConnections": 130, "protocol": "h1", "tls": false, "warmupS": 3, "warmupPerS": 6.6,
			"sharded": sharded, "warmS": 3,
		}
	}
	tenants := make([]map[string]any, 0, len(customers))
	for _, c := range customers {
		tenants = append(tenants, map[string]any{"name": c, "apiKeys": []string{keyOf(c)}, "ratePerS": largeRate, "burst": largeRate})
	}
	tenants[1]["ratePerS"], tenants[1]["burst"] = usualRate, burst
	raw, err := json.Marshal(map[string]any{
		"version": s.version,
		"routes": []map[string]any{
			{"name": "stock", "host": host, "pathPrefix": stockPath, "kind": "safe", "timeoutS": 1, "targetLatencyS": 0.3, "priority": 2,
				"service": stockService, "maxAttempts": 2},
			{"name": "orders", "host": host, "pathPrefix": orderPath, "kind": "unsafe", "timeoutS": 3, "targetLatencyS": 1, "priority": 1,
				"service": orderService, "maxAttempts": 2},
		},
		"services": []map[string]any{service(stockService, true), service(orderService, false)},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"tenants":  tenants,
	})
	if err != nil {
		panic(err) // only values of this package are encoded
	}
	s.store.Put(topicOperator, "config", raw)
}

// addEndpoint starts an endpoint, which writes its entry once in a heartbeat.
func (s *site) addEndpoint(e *endpoint) error {
	e.record = s.record
	if err := e.start("127.0.0.1"); err != nil {
		return err
	}
	s.endpoints = append(s.endpoints, e)
	s.record.line("endpoint %s of service %s listens on %s", e.id, e.service, e.address)
	s.store.Put(topicServers, e.id, e.entry())
	s.loops.Go(func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				if !e.stopped() {
					s.store.Put(topicServers, e.id, e.entry())
				}
			case <-s.stopped:
				return
			}
		}
	})
	return nil
}

// silentHeartbeats is the number of heartbeats after which the entry of a silent endpoint is removed.
const silentHeartbeats = 3

// crash ends an endpoint for good. Its entry is removed later.
func (s *site) crash(e *endpoint) {
	s.record.line("endpoint %s crashes and does not come back", e.id)
	e.stop()
	s.loops.Go(func() {
		select {
		case <-time.After(silentHeartbeats * heartbeat):
			s.store.Put(topicServers, e.id, nil)
		case <-s.stopped:
		}
	})
}

// addInstance starts an instance in a zone. A process that ends is started again after a short delay.
func (s *site) addInstance(zone string) error {
	n := &instance{ip: fmt.Sprintf("127.0.%d.%d", s.base, len(s.instances)+1), zone: zone}
	n.settings = filepath.Join(s.dir, fmt.Sprintf("settings-%d.json", len(s.instances)))
	n.logs = filepath.Join(s.dir, fmt.Sprintf("instance-%d.log", len(s.instances)))
	raw, err := json.Marshal(map[string]any{
		"self": map[string]any{
			"nodeName": fmt.Sprintf("front-%s-%d", zone, len(s.instances)), "role": "router", "machineClass": "front", "serves": []string{"front"},
			"ip": n.ip, "zone": zone, "region": "r", "bootstrap": true,
			"limits": map[string]any{"cpuShare": 0.32, "cpuSpeed": 1, "memoryMb": memoryMB, "maxFds": 4100, "linkMbps": 1000.0},
		},
		"network": map[string]any{
			"listenAddresses": map[string]any{
				"front": fmt.Sprintf("%s:%d", n.ip, frontPort), "ready": fmt.Sprintf("%s:%d", n.ip, readyPort),
			},
			"internalPortRange": []int{peerPort, lastPeerPort}, "zones": map[string]any{"a": "r", "b": "r", "c": "r"},
		},
		"platform": map[string]any{
			"heartbeatS": heartbeat.Seconds(), "platform": map[string]any{"address": s.store.Address(), "form": "log"},
		},
		"terms": map[string]any{"bounds": map[string]any{
			"holdMaxS": 10, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 64, "graceS": graceS, "configApplyS": 2, "drainS": 2,
		}},
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.settings, raw, 0o600); err != nil {
		return err
	}
	s.instances = append(s.instances, n)
	if err := s.startProcess(n); err != nil {
		return err
	}
	s.loops.Go(func() { s.keepRunning(n) })
	return nil
}

// startProcess starts the program with the command of the deploy file.
func (s *site) startProcess(n *instance) error {
	logs, err := os.OpenFile(n.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(s.binary, "platform") //nolint:gosec,noctx // the program under test, ended by close
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "POLLENPIER_BOOT=" + n.settings}
	command.Stdout, command.Stderr = logs, logs
	if err := command.Start(); err != nil {
		return errors.Join(err, logs.Close())
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.command, n.exited, n.killed = command, exited, false
	n.mu.Unlock()
	go func() {
		_ = command.Wait() // how it ended is in the record
		_ = logs.Close()
		close(exited)
	}()
	return nil
}

// restartDelay is the time after which the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

func (s *site) keepRunning(n *instance) {
	for {
		n.mu.Lock()
		exited, command := n.exited, n.command
		n.mu.Unlock()
		select {
		case <-s.stopped:
			return
		case <-exited:
		}
		s.record.line("process %d of instance %s has ended: %s", command.Process.Pid, n.ip, command.ProcessState)
		n.mu.Lock()
		if !n.killed {
			n.ends++
		}
		n.mu.Unlock()
		select {
		case <-s.stopped:
			return
		case <-time.After(restartDelay):
		}
		if err := s.startProcess(n); err != nil {
			s.record.line("instance %s cannot be started: %v", n.ip, err)
			return
		}
	}
}

// pid returns the process ID of the instance's process.
func (n *instance) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.command.Process.Pid
}

// signal sends a signal to the instance's process, which the rig has started.
func (n *instance) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.command.Process.Signal(sig) // fails only if it has ended
}

// ready reports whether the instance answers the balancer's probe with 200.
func (n *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", n.ip, readyPort)) //nolint:gosec,noctx // an address of the rig; the client has a timeout
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all instances are ready and the endpoints of partitioned services hold all keys.
func (s *site) awaitReady() error {
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all, keys, partitioned := true, 0, false
		for _, n := range s.instances {
			all = all && n.ready()
		}
		for _, e := range s.endpoints {
			partitioned = partitioned || e.sharded
			keys += e.keys()
		}
		if all && (!partitioned || keys == keySpace) {
			return nil
		}
	}
	return errNotReady
}

// keys returns the number of keys that the endpoint holds.
func (e *endpoint) keys() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, h := range e.holds {
		if time.Now().Before(h.until) {
			n += h.to - h.from + 1
		}
	}
	return n
}

// close ends all processes and servers that the site has started.
func (s *site) close() {
	close(s.stopped)
	s.loops.Wait()
	for _, n := range s.instances {
		n.signal(syscall.SIGKILL)
		<-n.exited
	}
	for _, e := range s.endpoints {
		e.stop()
	}
	s.store.Close()
	_ = s.reserved.Close()
}
