// Package e2e tests the built program end to end: simulated platform, simulated backends and log-based instances run as
// separate processes on loopback. It contains tests only.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/configlog"
	"github.com/pollenpier/pollenpier/internal/freeport"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/standin/backend"
	"github.com/pollenpier/pollenpier/operator"
)

// binary is the built program.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "pollenpier-e2e")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "pollenpier")
	build := exec.Command("go", "build", "-race", "-o", binary, "../../cmd/pollenpier")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

const (
	// waitTimeout limits every wait for a condition that must come true. Requirements on time are checked separately.
	waitTimeout = 30 * time.Second
	// customerKey is the key of the customer in the tests.
	customerKey = "key-of-florist-0123456789"
)

// site is a running deployment.
type site struct {
	t         *testing.T
	platform  string
	backends  map[string]*process
	instances []*instance
	config    *operator.Config
	version   uint64
}

// process is a child process of the test that runs the built program.
type process struct {
	cmd     *exec.Cmd
	address string
	log     *lockedBuffer
	exited  chan struct{}
}

// instance is a process that runs pollenpier serve.
type instance struct {
	*process
	zone, callers, admin string
}

// lockedBuffer collects output from the goroutine that copies it.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// newSite starts a platform and the given backends, whose names are listed by zone, and publishes a configuration for them.
func newSite(t *testing.T, zones map[string][]string, checksTokens bool, extra ...string) *site {
	t.Helper()
	s := &site{t: t, backends: map[string]*process{}, platform: freeAddress(t)}
	s.start(s.platform, "standin", "platform", "--listen", s.platform)
	service := operator.Service{
		Name: "order", Partitions: 64, MaxRun: 5 * time.Second, CutoffHold: 5 * time.Second,
		Routes: []operator.Route{
			{Path: "/look", Kind: operator.RouteIdempotent, Access: operator.AccessOpen},
			{Path: "/book", Methods: []string{"POST"}, Kind: operator.RouteAtMostOnce, Access: operator.AccessOpen},
		},
	}
	builder := operator.New().Customer("florist", 10000, 10000, operator.HashKey(customerKey))
	for zone, names := range zones {
		builder.Zone(zone)
		for _, name := range names {
			address := freeAddress(t)
			args := append([]string{"standin", "backend", "--listen", address, "--slots", "4", "--queue", "64"}, extra...)
			if checksTokens {
				args = append(args, "--checks-tokens")
			}
			s.backends[name] = s.start(address, args...)
			service.Backends = append(service.Backends, operator.Backend{
				Name: name, Zone: zone, Address: address, Slots: 4, ChecksTokens: checksTokens,
			})
		}
	}
	config, err := builder.Service(service).Build()
	require.NoError(t, err)
	s.publish(config)
	return s
}

// publish publishes a configuration based on the current version.
func (s *site) publish(config *operator.Config) {
	s.t.Helper()
	client, err := platformapi.NewHTTPClient(platformapi.ClientSettings{Addresses: []string{s.platform}})
	require.NoError(s.t, err)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	result, err := configlog.Publish(ctx, client, s.version, config, "test")
	require.NoError(s.t, err)
	require.True(s.t, result.Accepted, result.Reason)
	s.config, s.version = config, result.Version
}

// addInstance starts an instance in a zone and waits until its admin port accepts connections.
func (s *site) addInstance(zone string) *instance {
	s.t.Helper()
	i, path := s.newInstance(zone)
	i.process = s.start(i.admin, "serve", "--settings", path)
	return i
}

// newInstance adds an instance in a zone and writes its settings, whose path it returns. It starts no process.
func (s *site) newInstance(zone string) (*instance, string) {
	s.t.Helper()
	i := &instance{zone: zone, callers: freeAddress(s.t), admin: freeAddress(s.t)}
	peer := freeAddress(s.t)
	settings := fmt.Sprintf("zone: %s\nlisten:\n  callers: %s\n  internal: %s\n  peer: %s\n  admin: %s\n"+
		"platform:\n  addresses: [%s]\nregister_instance: true\nlog_level: info\n",
		zone, i.callers, freeAddress(s.t), peer, i.admin, s.platform)
	path := filepath.Join(s.t.TempDir(), "instance.yaml")
	require.NoError(s.t, os.WriteFile(path, []byte(settings), 0o600))
	s.instances = append(s.instances, i)
	return i, path
}

// start runs the program and waits until it listens on the address.
func (s *site) start(address string, args ...string) *process {
	s.t.Helper()
	p := s.run(address, args...)
	s.waitListening(p)
	return p
}

// run runs the program and does not wait.
func (s *site) run(address string, args ...string) *process {
	s.t.Helper()
	return s.runWithOutput(nil, address, args...)
}

// runWithOutput is run for a process that writes its output to the given writer, or to its own buffer if that is nil.
func (s *site) runWithOutput(output io.Writer, address string, args ...string) *process {
	s.t.Helper()
	p := &process{cmd: exec.Command(binary, args...), address: address, log: &lockedBuffer{}, exited: make(chan struct{})}
	if output == nil {
		output = p.log
	}
	p.cmd.Stdout, p.cmd.Stderr = output, output
	require.NoError(s.t, p.cmd.Start())
	go func() {
		defer close(p.exited)
		_ = p.cmd.Wait()
	}()
	s.t.Cleanup(func() {
		p.kill()
		if s.t.Failed() {
			s.t.Logf("output of %v:\n%s", args, tail(p.log.String()))
		}
	})
	return p
}

// waitListening waits until a process listens on its address.
func (s *site) waitListening(p *process) {
	s.t.Helper()
	s.eventually(func() bool {
		conn, err := net.DialTimeout("tcp", p.address, time.Second)
		if err != nil {
			return false
		}
		return conn.Close() == nil
	}, "process %v did not start to listen", p.cmd.Args)
}

// kill terminates the process immediately and waits until it has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// tail returns the end of an output.
func tail(text string) string {
	const maxBytes = 6000
	return text[max(0, len(text)-maxBytes):]
}

// eventually polls a condition and fails the test if it is not true within waitTimeout.
func (s *site) eventually(condition func() bool, format string, args ...any) {
	s.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	s.t.Fatalf(format, args...)
}

// result is the response to a request as its caller received it.
type result struct {
	status          int
	outcome, reason string
	body            string
	err             error
}

// call sends a request to an instance.
func call(address, method, path, key string, header map[string]string) result {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return result{err: err}
	}
	req.Header.Set("Pollenpier-Customer-Key", customerKey)
	req.Header.Set("Pollenpier-Key", key)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return result{
		status: resp.StatusCode, outcome: resp.Header.Get("Pollenpier-Outcome"),
		reason: resp.Header.Get("Pollenpier-Reason"), body: string(body), err: err,
	}
}

// look sends an idempotent request.
func look(address, key string) result { return call(address, http.MethodGet, "/order/look", key, nil) }

// book sends a request that runs at most once.
func book(address, key, idempotencyKey string) result {
	return call(address, http.MethodPost, "/order/book", key, map[string]string{"Idempotency-Key": idempotencyKey})
}

// bookNew is like book, and declares that the request is sent for the first time. Instances that have been running for less
// than the idempotency window need this to know that the request has not run before.
func bookNew(address, key, idempotencyKey string) result {
	return call(address, http.MethodPost, "/order/book", key, map[string]string{
		"Idempotency-Key": idempotencyKey, "Pollenpier-Age-Ms": "0",
	})
}

// waitServed waits until every instance has answered a request for each key.
func (s *site) waitServed(keys []string) {
	s.t.Helper()
	for _, i := range s.instances {
		for _, key := range keys {
			var last result
			s.eventually(func() bool {
				last = look(i.callers, key)
				return last.outcome == "answered"
			}, "key %s is not served by the instance in zone %s: %+v", key, i.zone, &last)
		}
	}
}

// executions returns the executions of a backend.
func (s *site) executions(name string) []backend.Execution {
	s.t.Helper()
	resp, err := http.Get("http://" + s.backends[name].address + backend.PathExecutions)
	require.NoError(s.t, err)
	defer resp.Body.Close()
	var list backend.Executions
	require.NoError(s.t, json.NewDecoder(resp.Body).Decode(&list))
	return list.Executions
}

// setFaults replaces the faults of a backend.
func (s *site) setFaults(name string, faults backend.Faults) {
	s.t.Helper()
	s.put("http://"+s.backends[name].address+backend.PathFaults, faults)
}

// put sends a JSON body and requires a successful response.
func (s *site) put(url string, body any) {
	s.t.Helper()
	data, err := json.Marshal(body)
	require.NoError(s.t, err)
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
	require.NoError(s.t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(s.t, err)
	defer resp.Body.Close()
	require.Less(s.t, resp.StatusCode, 300)
}

// freeAddress returns a loopback address that is reserved for the caller.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := freeport.Reserve()
	require.NoError(t, err)
	return address
}

// manyKeys returns n different keys.
func manyKeys(n int) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = fmt.Sprintf("key-%d", i)
	}
	return keys
}
