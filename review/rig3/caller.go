package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollenpier/pollenpier/platform/standin"
)

// failurePause is the time before the next request after one without an answer.
const failurePause = 300 * time.Millisecond

// answer is what a caller got for a request.
type answer struct {
	id, method, host, front string
	sent                    time.Time
	status                  int // 0 if the connection ended without an answer
	err                     error
	kept                    bool // sent over a connection that had carried a request before
	header                  http.Header
	body                    string
}

// caller sends requests over kept connections and never sends one twice.
type caller struct {
	record *record
	key    string // the customer's key, none if empty
	client *http.Client
	next   atomic.Int64

	mu      sync.Mutex
	answers []answer
}

func newCaller(r *record) *caller {
	return &caller{record: r, key: customerKey, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50}}}
}

// send sends one request and records its answer.
func (c *caller) send(method, front, host string, key int, deadline time.Duration, body string) answer {
	a := answer{id: fmt.Sprintf("r%06d", c.next.Add(1)), method: method, host: host, front: front, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.kept = info.Reused }})
	request, err := http.NewRequestWithContext(ctx, method, "http://"+front+"/x/"+a.id, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.GetBody = nil // so that net/http does not send the request again
	request.Host = host
	request.Header.Set("Request-Id", a.id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if c.key != "" {
		request.Header.Set("Authorization", "Token "+c.key)
	}
	if key >= 0 {
		request.Header.Set("Shard-Key", fmt.Sprint(key))
	}
	response, err := c.client.Do(request)
	if err != nil {
		a.err = err
	} else {
		raw, err := io.ReadAll(response.Body)
		_ = response.Body.Close() // it was read to its end
		a.status, a.err, a.header, a.body = response.StatusCode, err, response.Header, string(raw)
	}
	c.record.note("%s %s %s at %s: status %d after %.3f s, kept connection %t %s", a.id, method, host, front, a.status, time.Since(a.sent).Seconds(), a.kept, errText(a.err))
	if a.status == 0 {
		time.Sleep(failurePause)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
	return a
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// countCutOff returns how many orders a backend ran whose kept connections were closed without an answer, by the address for callers.
// Lookups do not count, because net/http sends them again.
func (c *caller) countCutOff(runs []standin.Run) map[string]int {
	ran := map[string]bool{}
	for _, r := range runs {
		ran[r.Request] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cut := map[string]int{}
	for _, a := range c.answers {
		if a.method == http.MethodPost && a.status == 0 && a.kept && ran[a.id] && !errors.Is(a.err, context.DeadlineExceeded) {
			cut[a.front]++
		}
	}
	return cut
}
