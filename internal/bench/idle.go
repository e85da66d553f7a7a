package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/freeport"
)

// usage contains the resources that a process has used since its start.
type usage struct {
	cpu      time.Duration
	resident int64 // bytes
	read     int64 // bytes returned by read calls, almost all of them on sockets
	written  int64 // bytes passed to write calls, almost all of them on sockets
}

// errExited means that an instance exited during the measurement.
var errExited = errors.New("process has exited")

// ticksPerSecond is the unit of CPU time in /proc, which is fixed on Linux.
const ticksPerSecond = 100

// measureIdle measures the control cost of instances without requests, which run as separate processes, for each of
// idleSizes. The last size is measured for d, the others for half of it.
func measureIdle(ctx context.Context, d time.Duration) error {
	dir, err := os.MkdirTemp("", "pollenpier-bench")
	if err != nil {
		return errors.Wrap(err, "create temporary directory")
	}
	defer func() { _ = os.RemoveAll(dir) }() // a leftover directory does no harm
	binary := filepath.Join(dir, "pollenpier")
	if out, err := exec.CommandContext(ctx, "go", "build", "-o", binary, "./cmd/pollenpier").CombinedOutput(); err != nil { // #nosec G204 -- the path is created above
		return errors.Wrapf(err, "build: %s", out)
	}
	fmt.Printf("  %-44s %9s %9s %9s %9s\n", "deployment (per instance; mean, largest)", "% core", "MB", "B/s read", "B/s write")
	for i, size := range idleSizes {
		length := d / 2
		if i == len(idleSizes)-1 {
			length = d
		}
		if err := measureIdleSite(ctx, binary, dir, size, length); err != nil {
			return err
		}
	}
	return nil
}

// idleSize is the size of a deployment without requests.
type idleSize struct {
	instancesPerZone int
	backends         int
}

// idleSizes ends with the size of the users' deployments. Each of the other sizes differs from it in one number.
var idleSizes = []idleSize{{4, 0}, {4, 12}, {2, 41}, {4, 41}}

func measureIdleSite(ctx context.Context, binary, dir string, size idleSize, d time.Duration) (err error) {
	s, err := startStandins(ctx, deployment{"idle", 2, []serviceSize{{"stock", size.backends}}})
	defer func() { err = errors.Join(err, s.stop()) }()
	if err != nil {
		return err
	}
	var children []*exec.Cmd
	defer func() { stopChildren(children) }()
	addresses, err := freeAddresses(len(s.zones) * size.instancesPerZone * len(listeners))
	if err != nil {
		return err
	}
	for i := range len(s.zones) * size.instancesPerZone {
		own := addresses[i*len(listeners) : (i+1)*len(listeners)]
		child, err := startChild(ctx, binary, dir, s, s.zones[i%len(s.zones)], own)
		if err != nil {
			return err
		}
		children = append(children, child)
	}
	if err := s.awaitIdle(ctx, size); err != nil {
		return err
	}
	before, err := readUsages(children)
	if err != nil {
		return err
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "idle instances")
	}
	after, err := readUsages(children)
	if err != nil {
		return err
	}
	printIdle(fmt.Sprintf("%d instances, %d backends", len(children), size.backends), before, after, d)
	return nil
}

// awaitIdle waits until the assignments of the deployment are stable.
func (s *site) awaitIdle(ctx context.Context, size idleSize) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if size.backends > 0 {
		return s.awaitAssigned(ctx)
	}
	s.deployment.services = nil
	return s.awaitAssigned(ctx)
}

// startChild starts an instance as a child process.
func startChild(ctx context.Context, binary, dir string, s *site, zone string, addresses []string) (*exec.Cmd, error) {
	text := fmt.Sprintf("zone: %s\nplatform:\n  addresses: [%q]\nregister_instance: true\nlog_level: error\nlisten:\n",
		zone, s.platform.Address())
	for i, name := range listeners {
		text += fmt.Sprintf("  %s: %s\n", name, addresses[i])
	}
	file, err := os.CreateTemp(dir, "instance-*.yaml")
	if err != nil {
		return nil, errors.Wrap(err, "create settings file")
	}
	_, err = file.WriteString(text)
	if err = errors.Join(err, file.Close()); err != nil {
		return nil, errors.Wrap(err, "write settings file")
	}
	path := file.Name()
	cmd := exec.CommandContext(ctx, binary, "serve", "--settings", path) // #nosec G204 -- the program was built here
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start instance")
	}
	return cmd, nil
}

// listeners are the names of the listeners of an instance in its settings.
var listeners = []string{"callers", "internal", "peer", "admin"}

// freeAddresses returns loopback addresses that are reserved for the caller.
func freeAddresses(count int) ([]string, error) {
	addresses := make([]string, count)
	for i := range addresses {
		var err error
		if addresses[i], err = freeport.Reserve(); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}

// stopChildren kills the instances, which need no graceful stop here.
func stopChildren(children []*exec.Cmd) {
	for _, c := range children {
		_ = c.Process.Signal(syscall.SIGKILL) // an error means that it has exited
	}
	for _, c := range children {
		_ = c.Wait() // the exit status is that of the kill
	}
}

func readUsages(children []*exec.Cmd) ([]usage, error) {
	list := make([]usage, 0, len(children))
	for _, c := range children {
		u, err := readUsage(c.Process.Pid)
		if err != nil {
			return nil, errors.Wrapf(err, "read usage of process %d", c.Process.Pid)
		}
		list = append(list, u)
	}
	return list, nil
}

// readUsage reads the files stat, status and io of a process in /proc. It fails with errExited if the process has exited.
func readUsage(pid int) (usage, error) {
	dir := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(dir + "stat") // #nosec G304 -- a child's own file
	if err != nil {
		return usage{}, err
	}
	const utime, stime = 11, 12 // indexes after the name in parentheses, which is followed by the third field
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	ticks := parseNumber(fields[utime]) + parseNumber(fields[stime])
	status, err := readFields(dir + "status")
	if err != nil {
		return usage{}, err
	}
	if status["VmRSS"] == 0 {
		return usage{}, errExited
	}
	io, err := readFields(dir + "io")
	if err != nil {
		return usage{}, err
	}
	const kilobyte = 1024
	return usage{
		cpu: time.Duration(ticks) * time.Second / ticksPerSecond, resident: status["VmRSS"] * kilobyte,
		read: io["rchar"], written: io["wchar"],
	}, nil
}

// readFields reads lines of the form "name: number".
func readFields(path string) (map[string]int64, error) {
	data, err := os.ReadFile(path) // #nosec G304 -- a child's own file
	if err != nil {
		return nil, err
	}
	fields := map[string]int64{}
	for line := range strings.Lines(string(data)) {
		name, value, ok := strings.Cut(line, ":")
		if words := strings.Fields(value); ok && len(words) > 0 {
			fields[name] = parseNumber(words[0])
		}
	}
	return fields, nil
}

// parseNumber returns zero for text that is not a number, which occurs in fields that are not used here.
func parseNumber(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func printIdle(name string, before, after []usage, d time.Duration) {
	var sum, largest [4]float64
	for i := range after {
		values := [4]float64{
			100 * (after[i].cpu - before[i].cpu).Seconds() / d.Seconds(),
			float64(after[i].resident) / 1e6,
			float64(after[i].read-before[i].read) / d.Seconds(),
			float64(after[i].written-before[i].written) / d.Seconds(),
		}
		for j, v := range values {
			sum[j] += v
			largest[j] = max(largest[j], v)
		}
	}
	n := float64(len(after))
	fmt.Printf("  %-44s %9.2f %9.1f %9.0f %9.0f\n", name+", mean", sum[0]/n, sum[1]/n, sum[2]/n, sum[3]/n)
	fmt.Printf("  %-44s %9.2f %9.1f %9.0f %9.0f   load %s\n", name+", largest", largest[0], largest[1], largest[2], largest[3], loadAverage())
}
