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

// caller sends one request with a number, which selects service and key, and reports whether it was answered.
type caller func(ctx context.Context, n uint64) error

// errStatus means that a request was not answered with 200.
var errStatus = errors.New("unexpected status")

// result is what a load measured.
type result struct {
	latency *hdrhistogram.Histogram // microseconds
	failed  int
	took    time.Duration
	cpu     time.Duration // of the whole process
}

func (r result) throughput() float64 { return float64(r.latency.TotalCount()) / r.took.Seconds() }

// cpuPerRequest is the processor time of the process, which holds callers, stand-ins and instances, per answered request.
func (r result) cpuPerRequest() time.Duration {
	return r.cpu / time.Duration(max(1, r.latency.TotalCount()))
}

func (r result) at(quantile float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(quantile)) * time.Microsecond
}

// recorder collects latencies of concurrent requests.
type recorder struct {
	mu     sync.Mutex
	result result
	errors map[string]int // by text
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
	_ = r.result.latency.RecordValue(latency.Microseconds()) // a value out of range would exceed the client's timeout
}

// measured runs a load and adds its length and processor time.
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

// openLoop sends requests at random times with a fixed mean rate, whether or not earlier ones have been answered. The same
// seed gives the same times and keys.
func openLoop(ctx context.Context, rate float64, d time.Duration, call caller) result {
	rng := rand.New(rand.NewPCG(1, 2)) // #nosec G404 -- repeatable on purpose
	return measured(func(r *recorder) {
		var running sync.WaitGroup
		start := time.Now()
		for at := time.Duration(0); at < d && ctx.Err() == nil; {
			at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			n := rng.Uint64()
			time.Sleep(time.Until(start.Add(at)))
			running.Go(func() {
				// Counted from the planned time, so that a late sender does not hide latency.
				err := call(ctx, n)
				r.record(time.Since(start)-at, err)
			})
		}
		running.Wait()
	})
}

// closedLoop keeps a number of requests under way.
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

// processTime is the processor time of this process so far.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// get sends a request over kept connections and reads the whole answer.
func get(ctx context.Context, client *http.Client, address, path, key string) error {
	const timeout = 15 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrap(err, "make request")
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
