package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
)

// caller sends one request, whose service and key are selected by n. It returns an error if the request was not answered with
// status 200.
type caller func(ctx context.Context, n uint64) error

// errStatus means that a request was answered with a status other than 200.
var errStatus = errors.New("unexpected status")

// result contains the measurements of one load.
type result struct {
	latency *hdrhistogram.Histogram // microseconds
	failed  int
	took    time.Duration
	cpu     time.Duration // of the complete process
}

func (r result) throughput() float64 { return float64(r.latency.TotalCount()) / r.took.Seconds() }

// cpuPerRequest returns the CPU time per answered request of the process, which runs callers, simulated backends and platform,
// and instances.
func (r result) cpuPerRequest() time.Duration {
	return r.cpu / time.Duration(max(1, r.latency.TotalCount()))
}

func (r result) latencyAt(quantile float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(quantile)) * time.Microsecond
}

// recorder collects latencies of concurrent requests.
type recorder struct {
	mu     sync.Mutex
	result result
	errors map[string]int // count by error text
}

func newRecorder() *recorder {
	const lowest, highest, digits = 1, 60_000_000, 3 // microseconds
	return &recorder{result: result{latency: hdrhistogram.New(lowest, highest, digits)}, errors: map[string]int{}}
}

func (r *recorder) record(latency time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.result.failed++
		r.errors[err.Error()]++
		return
	}
	_ = r.result.latency.RecordValue(latency.Microseconds()) // values out of range cannot occur, since they exceed the client's timeout
}

// measured runs a load and returns its result with its duration and CPU time.
func measured(load func(r *recorder)) result {
	r := newRecorder()
	cpu, start := processTime(), time.Now()
	load(r)
	r.result.took, r.result.cpu = time.Since(start), processTime()-cpu
	if r.result.failed > 0 {
		fmt.Printf("  %d failed: %v\n", r.result.failed, r.errors)
	}
	return r.result
}

// openLoop sends requests at random times with a fixed mean rate per second, independent of the answers to earlier requests.
// The seed is fixed, so every run uses the same times and keys.
func openLoop(ctx context.Context, rate float64, d time.Duration, call caller) result {
	rng := rand.New(rand.NewPCG(1, 2)) // #nosec G404 -- repeatable on purpose
	return measured(func(r *recorder) {
		var running sync.WaitGroup
		start := time.Now()
		for planned := time.Duration(0); planned < d && ctx.Err() == nil; {
			planned += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			n := rng.Uint64()
			time.Sleep(time.Until(start.Add(planned)))
			running.Go(func() {
				// Latency is measured from the planned time, so that a delayed sender does not hide it.
				err := call(ctx, n)
				r.record(time.Since(start)-planned, err)
			})
		}
		running.Wait()
	})
}

// closedLoop keeps a fixed number of requests in flight.
func closedLoop(ctx context.Context, concurrency int, d time.Duration, call caller) result {
	return measured(func(r *recorder) {
		var running sync.WaitGroup
		start := time.Now()
		for i := range concurrency {
			rng := rand.New(rand.NewPCG(3, uint64(i))) // #nosec G404 -- repeatable on purpose
			running.Go(func() {
				for time.Since(start) < d && ctx.Err() == nil {
					sent := time.Now()
					err := call(ctx, rng.Uint64())
					r.record(time.Since(sent), err)
				}
			})
		}
		running.Wait()
	})
}

// processTime returns the CPU time that this process has used since its start, or zero if it cannot be read.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// get sends a request over a pooled connection and reads the complete answer.
func get(ctx context.Context, client *http.Client, address, path, key string) error {
	const timeout = 15 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	req.Header.Set("Pollenpier-Customer-Key", customerKey)
	req.Header.Set("Pollenpier-Key", key)
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return errors.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(errStatus, "%d %s", resp.StatusCode, resp.Header.Get("Pollenpier-Reason"))
	}
	return nil
}
