package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"runtime/pprof"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// idleConnections is the largest number of idle connections kept to one address.
const idleConnections = 256

// warmUp is long enough for the ramp of a backend to reach all slots; each further slot requires ten answers.
const warmUp = 4 * time.Second

// measurePath compares requests that are routed by pollenpier with direct calls to the same backends.
func measurePath(ctx context.Context, o options) error {
	for _, d := range deployments {
		if err := measureDeployment(ctx, d, o); err != nil {
			return errors.Wrap(err, d.name)
		}
	}
	return nil
}

func measureDeployment(ctx context.Context, d deployment, o options) (err error) {
	s, err := startStandins(ctx, d)
	defer func() { err = errors.Join(err, s.stop()) }()
	if err != nil {
		return err
	}
	if err := s.startInstances(ctx); err != nil {
		return err
	}
	view, err := s.view(ctx)
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}
	defer client.CloseIdleConnections()
	direct, routed := s.direct(client, view), s.routed(client)
	fmt.Printf("%s: %d instances, %d backends with %d slots and service time %v, capacity %.0f requests/s\n",
		d.name, len(s.instances), len(s.backends), d.slots, work, d.capacity())
	s.setWork(work)
	closedLoop(ctx, d.totalSlots(), warmUp, routed) // opens connections and lets the ramps reach all slots
	closedLoop(ctx, d.totalSlots(), time.Second, direct)
	fmt.Printf("  %-34s %9s %9s %9s %9s %9s %7s\n", "load (milliseconds)", "p50", "p99", "p99.9", "req/s", "cpu/req", "failed")
	half := d.capacity() / 2
	before := openLoop(ctx, half, o.Duration, direct)
	if err := s.printCounters(ctx, client, "before the routed half load"); err != nil {
		return err
	}
	after, err := profiled(o.Profile, func() result { return openLoop(ctx, half, o.Duration, routed) })
	if err != nil {
		return err
	}
	compare(fmt.Sprintf("half load, %.0f/s", half), before, after)
	if err := s.printCounters(ctx, client, "after it"); err != nil {
		return err
	}
	full := 2 * d.totalSlots()
	compare(fmt.Sprintf("saturation, %d callers", full),
		closedLoop(ctx, full, o.Duration, direct), closedLoop(ctx, full, o.Duration, routed))
	s.setWork(0)
	for _, callers := range []int{1, 4} {
		compare(fmt.Sprintf("no work, %d callers", callers),
			closedLoop(ctx, callers, o.Duration/2, direct), closedLoop(ctx, callers, o.Duration/2, routed))
	}
	fmt.Printf("  load after: %s\n", loadAverage())
	return s.printCounters(ctx, client, "at the end")
}

// printCounters prints, summed over all instances, how often the ramp of a backend was reset to one slot, by cause, how many
// requests were retried, and how many heartbeats failed or were skipped. On a busy machine these explain queues.
func (s *site) printCounters(ctx context.Context, client *http.Client, when string) error {
	sums := map[string]int64{}
	for _, i := range s.instances {
		counters, err := readCounters(ctx, client, i.AdminAddress())
		if err != nil {
			return err
		}
		for name, value := range counters {
			if strings.HasPrefix(name, "dispatch.cold.") || name == "dispatch.retries" || name == "lease.heartbeats.failed" || name == "lease.heartbeats.skipped" {
				sums[name] += value.Count
			}
		}
	}
	fmt.Printf("  counters %s: %v\n", when, sums)
	return nil
}

type counter struct {
	Count int64 `json:"count"`
}

func readCounters(ctx context.Context, client *http.Client, address string) (map[string]counter, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	var counters map[string]counter
	if err := json.NewDecoder(resp.Body).Decode(&counters); err != nil {
		return nil, errors.Wrap(err, "decode metrics")
	}
	return counters, nil
}

// target returns the service and the key of request n.
func (s *site) target(n uint64) (service, key string) {
	b := int(n>>32) % len(s.backends) // services are used in proportion to the number of their backends
	for _, size := range s.deployment.services {
		if b < size.backends {
			return size.name, fmt.Sprint("key-", n)
		}
		b -= size.backends
	}
	return "", ""
}

// routed returns a caller that sends requests to the instances, selected by n.
func (s *site) routed(client *http.Client) caller {
	return func(ctx context.Context, n uint64) error {
		service, key := s.target(n)
		address := s.instances[n%uint64(len(s.instances))].CallersAddress()
		return get(ctx, client, address, "/"+service+"/items", key)
	}
}

// direct returns a caller that sends requests to the backends that own their keys.
func (s *site) direct(client *http.Client, view *ownership.View) caller {
	return func(ctx context.Context, n uint64) error {
		service, key := s.target(n)
		v := view.Services[entity.ServiceName(service)]
		owner := v.Owners[v.Locate(entity.HashKey(key))]
		return get(ctx, client, s.addresses[owner.Backend], "/items", key)
	}
}

// profiled runs a load and writes a CPU profile to path unless it is empty. The profile of a later deployment overwrites that
// of an earlier one.
func profiled(path string, load func() result) (result, error) {
	if path == "" {
		return load(), nil
	}
	file, err := os.Create(path) // #nosec G304 -- the path is an argument of the command
	if err != nil {
		return result{}, errors.Wrap(err, "create profile")
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return result{}, errors.Join(errors.Wrap(err, "start profile"), file.Close())
	}
	r := load()
	pprof.StopCPUProfile()
	return r, file.Close()
}

// hops is the number of instances that a request passes between caller and backend: ingress and primary.
const hops = 2

// compare prints the results of a direct and a routed load, the latency added per hop and the ratio of their throughputs.
func compare(name string, direct, routed result) {
	printResult(name+", direct", direct)
	printResult(name+", routed", routed)
	fmt.Printf("  %-34s", "  added per hop")
	for _, q := range quantiles {
		fmt.Printf(" %9.3f", milliseconds((routed.latencyAt(q)-direct.latencyAt(q))/hops))
	}
	fmt.Printf("   throughput ratio %.3f\n", routed.throughput()/direct.throughput())
}

var quantiles = []float64{50, 99, 99.9}

func printResult(name string, r result) {
	fmt.Printf("  %-34s", name)
	for _, q := range quantiles {
		fmt.Printf(" %9.3f", milliseconds(r.latencyAt(q)))
	}
	fmt.Printf(" %9.0f %9.3f %7d\n", r.throughput(), milliseconds(r.cpuPerRequest()), r.failed)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
