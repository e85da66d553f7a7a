package main

import (
	"context"
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
)

// program is the program of the deploy file, from the root of the repository, in which the scripts start the rig.
const program = "target/pollenpier"

// Ports of each instance. Instances have addresses of their own. The port of the metrics is that of the deploy file.
const (
	frontPort   = "8388"
	readyPort   = "8384"
	metricsPort = "9464"
)

// machine is what the settings say of the machine of an instance.
type machine struct {
	memoryMB    int
	descriptors int
	cores       float64
	linkMbps    float64
}

// instance is one instance of the program. Its processes follow one another.
type instance struct {
	name, ip, settings string
	log                *os.File
	record             *record

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{} // closed when the process has ended
}

// freeBase returns the third number of loopback addresses whose ports are free.
func freeBase(instances int) (int, error) {
	const lowest, count = 20, 200
	for i := range count {
		base := lowest + (os.Getpid()+i)%count
		if areFree(base, instances) {
			return base, nil
		}
	}
	return 0, errors.New("no range of loopback addresses is free")
}

func areFree(base, instances int) bool {
	for i := range instances {
		for _, port := range []string{frontPort, readyPort, metricsPort} {
			l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", net.JoinHostPort(addressOf(base, i), port))
			if err != nil {
				return false
			}
			_ = l.Close() // it was only a test of the port
		}
	}
	return true
}

func addressOf(base, index int) string { return fmt.Sprintf("127.0.%d.%d", base, index+1) }

// newInstance writes the settings of an instance. It starts no process.
func newInstance(r *record, dir, store string, base, index int, m machine) (*instance, error) {
	n := &instance{name: fmt.Sprintf("n%d", index), ip: addressOf(base, index), record: r}
	n.settings = filepath.Join(dir, n.name+".json")
	raw, err := json.Marshal(map[string]any{
		"self": map[string]any{
			"nodeName": n.name, "role": "router", "machineClass": "front", "serves": []string{"front"}, "ip": n.ip, "zone": "a", "region": "r",
			"limits": map[string]any{"cpuShare": m.cores, "cpuSpeed": 1, "memoryMb": m.memoryMB, "maxFds": m.descriptors, "linkMbps": m.linkMbps},
		},
		"network": map[string]any{
			"listenAddresses":   map[string]any{"front": net.JoinHostPort(n.ip, frontPort), "ready": net.JoinHostPort(n.ip, readyPort)},
			"internalPortRange": []int{7560, 7575}, "zones": map[string]any{"a": "r"},
		},
		"platform": map[string]any{"heartbeatS": heartbeat.Seconds(), "platform": map[string]any{"address": store, "form": "log"}},
		"terms": map[string]any{"bounds": map[string]any{
			"holdMaxS": 10, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 64, "graceS": 6, "configApplyS": 2,
			"drainS": 2, "contactS": 3, "lossSlackS": 0.2,
		}},
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(n.settings, raw, 0o600); err != nil {
		return nil, err
	}
	n.log, err = os.Create(filepath.Join(dir, n.name+".log")) //nolint:gosec // a folder of the rig
	return n, err
}

// start starts the next process. GOMAXPROCS shows it one processor, as the platform does.
func (n *instance) start() error {
	command := exec.Command(program, "platform") //nolint:noctx // kill and stop end it
	command.Env = []string{"POLLENPIER_BOOT=" + n.settings, "GOMAXPROCS=1"}
	command.Stdout, command.Stderr = n.log, n.log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.command, n.exited = command, exited
	n.mu.Unlock()
	n.record.printf("%s: process %d started", n.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		n.record.printf("%s: process %d has ended: %v", n.name, command.Process.Pid, err)
		close(exited)
	}()
	return nil
}

// process returns the current process and a channel that is closed at its end.
func (n *instance) process() (*os.Process, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.command.Process, n.exited
}

// signal sends a signal to the current process, unless that has ended.
func (n *instance) signal(s syscall.Signal) {
	p, exited := n.process()
	select {
	case <-exited:
	default:
		_ = p.Signal(s) // the process may end at this moment
	}
}

// end kills the current process and waits for its end.
func (n *instance) end() {
	n.signal(syscall.SIGKILL)
	_, exited := n.process()
	<-exited
}

// awaitReady waits until the instance says that it is ready.
func (n *instance) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.isReady() {
			return true
		}
	}
	return false
}

func (n *instance) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := "http://" + net.JoinHostPort(n.ip, readyPort) + "/readyz"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody) //nolint:gosec // an address of the rig
	if err != nil {
		return false
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request) //nolint:gosec // an address of the rig
	if err != nil {
		return false
	}
	_ = response.Body.Close() // the platform does not read the body
	return response.StatusCode == http.StatusOK
}
