package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// keySpace is the number of keys of a partitioned service.
const keySpace = 65536

// endpoint is a backend that speaks the platform's protocol. It enforces grants and fences, and runs a request only for keys that it
// holds.
type endpoint struct {
	id, service, zone string
	sharded           bool
	slots             int
	work              func(r *http.Request) time.Duration
	address           string
	born              int64
	record            *record
	listener          net.Listener
	mu                sync.Mutex
	changed           *sync.Cond
	holds             []hold
	fences            []hold
	history           []tenure
	runs              []run
	running           map[int]int // requests at work by key
	atWork            int
	draining          bool
	released          []command       // the releases that the endpoint was told to make
	begun             map[string]bool // IDs of the requests that have begun
	conns             map[net.Conn]bool
	closed            bool
	// repeating makes the endpoint send some answers to releases once more if the next request on the connection is a release, too, where
	// its answer is expected. It counts its answers and those that it has repeated.
	repeating         bool
	answers, repeated int
}

// hold is a range of keys with its fence, and the end of the lease.
type hold struct {
	from, to int
	fence    uint64
	until    time.Time
}

// tenure is a time for which the endpoint held a range of keys.
type tenure struct {
	from, to   int
	fence      uint64
	begin, end time.Time
}

// run is the work on one request.
type run struct {
	request    string
	key        int
	begin, end time.Time
	heldUntil  time.Time // end of the lease of the key when the work began
}

// command is the body of a grant or release.
type command struct {
	From  int     `json:"from"`
	To    int     `json:"to"`
	Fence uint64  `json:"fence"`
	HoldS float64 `json:"holdS"`
}

// answer is an answer that has not been written yet.
type answer struct {
	status int
	header map[string]string
	body   string
}

// echo adds the ID of the request.
func (a *answer) echo(id string) {
	if a.header == nil {
		a.header = map[string]string{}
	}
	a.header["Request-Id"] = id
}

func (a answer) encode() string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	for name, value := range a.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(a.body), a.body)
	return b.String()
}

// start opens the listener and serves connections.
func (e *endpoint) start(ip string) error {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0")) //nolint:noctx // open for the whole run
	if err != nil {
		return err
	}
	e.listener, e.address, e.born = l, l.Addr().String(), time.Now().UnixMilli()
	e.changed = sync.NewCond(&e.mu)
	e.running, e.begun, e.conns = map[int]int{}, map[string]bool{}, map[net.Conn]bool{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // closed
			}
			go e.serve(c)
		}
	}()
	return nil
}

// stop ends the endpoint at once.
func (e *endpoint) stop() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed, e.holds = true, nil
	for i := range e.history {
		e.history[i].end = earliest(e.history[i].end, time.Now())
	}
	for c := range e.conns {
		_ = c.Close()
	}
}

func (e *endpoint) stopped() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closed
}

// entry returns what the endpoint says of itself in the store.
func (e *endpoint) entry() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	phase := "ready"
	if e.draining {
		phase = "draining"
	}
	raw, err := json.Marshal(map[string]any{
		"address": e.address, "born": e.born,
		"info":   map[string]any{"service": e.service, "version": "v1", "zone": e.zone, "slots": e.slots},
		"status": map[string]any{"phase": phase, "sequence": time.Now().UnixMilli() - e.born, "warmupLeftS": 0},
	})
	if err != nil {
		panic(err) // only values of this package are encoded
	}
	return raw
}

// serve answers the requests of one connection in their order.
func (e *endpoint) serve(c net.Conn) {
	e.mu.Lock()
	e.conns[c] = true
	e.mu.Unlock()
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	lastRelease := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		release := r.URL.Path == "/release"
		if release && lastRelease != "" && e.repeatsNow() {
			e.record.line("endpoint %s repeats its answer to an earlier release on the connection", e.id)
			_, _ = io.WriteString(c, lastRelease) // a caller that has left is noticed at the next read
		}
		a := e.handle(r)
		if id := r.Header.Get("Request-Id"); id != "" {
			a.echo(id)
		}
		raw := a.encode()
		lastRelease = ""
		if release && a.status == http.StatusOK {
			lastRelease = raw
		}
		if _, err := io.WriteString(c, raw); err != nil {
			return
		}
	}
}

// setRepeating begins or ends a time in which the endpoint repeats some answers to releases.
func (e *endpoint) setRepeating(repeating bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if repeating {
		e.answers, e.repeated = 0, 0
	}
	e.repeating = repeating
}

// repeatsNow reports whether the endpoint repeats an answer, and counts it.
func (e *endpoint) repeatsNow() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.repeating || float64(e.repeated+1) > repeatedShare*float64(e.answers) {
		return false
	}
	e.repeated++
	return true
}

func (e *endpoint) handle(r *http.Request) answer {
	e.mu.Lock()
	e.answers++
	e.mu.Unlock()
	target := r.Header.Get("Target-Instance")
	if target != "" && target != e.id {
		return answer{status: http.StatusMisdirectedRequest, header: map[string]string{"Instance-Id": e.id, "Not-Executed": "1"}}
	}
	switch r.URL.Path {
	case "/grant":
		return e.grant(r)
	case "/release":
		return e.release(r)
	case "/healthz":
		return answer{status: http.StatusOK, header: map[string]string{"Instance-Id": e.id, "Server-Load": e.load()}}
	default:
		return e.run(r)
	}
}

func decodeCommand(r *http.Request) (command, bool) {
	var c command
	err := json.NewDecoder(r.Body).Decode(&c)
	return c, err == nil && c.From >= 0 && c.To < keySpace && c.From <= c.To && c.HoldS <= 10
}

func (e *endpoint) grant(r *http.Request) answer {
	c, ok := decodeCommand(r)
	if !ok {
		return answer{status: http.StatusBadRequest}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, f := range e.fences {
		if f.from <= c.To && c.From <= f.to && f.fence > c.Fence {
			e.record.line("endpoint %s refuses grant %d-%d fence %d", e.id, c.From, c.To, c.Fence)
			return answer{status: http.StatusConflict}
		}
	}
	now := time.Now()
	until := now.Add(time.Duration(c.HoldS * float64(time.Second)))
	for _, h := range e.holds { // a shorter renewal does not end a longer one
		if h.from <= c.From && c.To <= h.to && h.fence == c.Fence && h.until.After(until) {
			until = h.until
		}
	}
	fresh := !e.holdsRange(c, now)
	e.drop(c.From, c.To, now)
	e.raise(c)
	e.holds = append(e.holds, hold{c.From, c.To, c.Fence, until})
	e.history = append(e.history, tenure{c.From, c.To, c.Fence, now, until})
	if fresh {
		e.record.line("endpoint %s is granted %d-%d fence %d for %.3f s", e.id, c.From, c.To, c.Fence, c.HoldS)
	}
	return answer{status: http.StatusOK}
}

// holdsRange reports whether the endpoint holds all of the range under its fence. The caller holds the lock.
func (e *endpoint) holdsRange(c command, now time.Time) bool {
	for _, h := range e.holds {
		if h.from <= c.From && c.To <= h.to && h.fence == c.Fence && now.Before(h.until) {
			return true
		}
	}
	return false
}

// raise records the highest fence that was seen on a range. The caller holds the lock.
func (e *endpoint) raise(c command) {
	kept := e.fences[:0]
	for _, f := range e.fences {
		if f.from < c.From || f.to > c.To || f.fence > c.Fence {
			kept = append(kept, f)
		}
	}
	kept = append(kept, hold{from: c.From, to: c.To, fence: c.Fence})
	e.fences = kept
}

// drop ends the holds of a range. The caller holds the lock.
func (e *endpoint) drop(from, to int, now time.Time) {
	var kept []hold
	for _, h := range e.holds {
		if h.to < from || to < h.from {
			kept = append(kept, h)
			continue
		}
		if h.from < from {
			kept = append(kept, hold{h.from, from - 1, h.fence, h.until})
		}
		if h.to > to {
			kept = append(kept, hold{to + 1, h.to, h.fence, h.until})
		}
	}
	e.holds = kept
	var more []tenure
	for i := range e.history {
		t := &e.history[i]
		if t.to < from || to < t.from || !t.end.After(now) {
			continue
		}
		if t.from < from {
			more = append(more, tenure{t.from, from - 1, t.fence, t.begin, t.end})
		}
		if t.to > to {
			more = append(more, tenure{to + 1, t.to, t.fence, t.begin, t.end})
		}
		t.from, t.to, t.end = max(t.from, from), min(t.to, to), now
	}
	e.history = append(e.history, more...)
}

// release stops new work on a range and answers when the work on its keys has ended.
func (e *endpoint) release(r *http.Request) answer {
	c, ok := decodeCommand(r)
	if !ok {
		return answer{status: http.StatusBadRequest}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.holds
	for _, h := range kept {
		if h.from <= c.To && c.From <= h.to && h.fence <= c.Fence {
			e.drop(max(h.from, c.From), min(h.to, c.To), time.Now())
		}
	}
	e.raise(c)
	e.released = append(e.released, c)
	e.record.line("endpoint %s is told to release %d-%d fence %d", e.id, c.From, c.To, c.Fence)
	for !e.closed && e.busy(c) {
		e.changed.Wait()
	}
	e.record.line("endpoint %s has released %d-%d fence %d", e.id, c.From, c.To, c.Fence)
	return answer{status: http.StatusOK, header: map[string]string{"Handover": fmt.Sprintf("%s-%d", e.id, c.Fence)}}
}

// busy reports whether a request for a key of the range is at work. The caller holds the lock.
func (e *endpoint) busy(c command) bool {
	for key, n := range e.running {
		if n > 0 && c.From <= key && key <= c.To {
			return true
		}
	}
	return false
}

func (e *endpoint) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", min(e.atWork, e.slots), max(e.atWork-e.slots, 0), e.slots)
}

// queue is the number of requests that an endpoint keeps beside those at work.
const queue = 8

// run executes a request, or refuses it.
func (e *endpoint) run(r *http.Request) answer {
	id := r.Header.Get("Request-Id")
	header := map[string]string{"Request-Id": id}
	if id == "" {
		return answer{status: http.StatusBadRequest, header: map[string]string{"Not-Executed": "1"}}
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return answer{status: http.StatusBadRequest, header: header}
	}
	key, _ := strconv.Atoi(r.Header.Get("Shard-Key")) // a service without keys ignores it
	e.mu.Lock()
	refusal := 0
	switch {
	case e.sharded && !e.holdsRange(command{From: key, To: key, Fence: e.fenceOf(key)}, time.Now()):
		refusal = http.StatusMisdirectedRequest
	case e.atWork >= e.slots+queue:
		refusal = http.StatusServiceUnavailable
	}
	if refusal != 0 {
		e.mu.Unlock()
		header["Not-Executed"] = "1"
		return answer{status: refusal, header: header}
	}
	e.atWork++
	e.running[key]++
	e.begun[id] = true
	begin, heldUntil, work := time.Now(), e.heldUntil(key), e.work
	e.mu.Unlock()
	time.Sleep(work(r))
	e.mu.Lock()
	e.atWork--
	e.running[key]--
	e.runs = append(e.runs, run{id, key, begin, time.Now(), heldUntil})
	e.changed.Broadcast()
	e.mu.Unlock()
	header["Response-Signature"], header["Server-Load"] = e.id+"."+id, e.load()
	return answer{status: http.StatusOK, header: header, body: fmt.Sprintf("%s ran %s with %d bytes", e.id, id, size)}
}

// fenceOf returns the fence under which the endpoint holds a key. The caller holds the lock.
func (e *endpoint) fenceOf(key int) uint64 {
	for _, h := range e.holds {
		if h.from <= key && key <= h.to {
			return h.fence
		}
	}
	return 0
}

// heldUntil returns the end of the lease of a key. The caller holds the lock.
func (e *endpoint) heldUntil(key int) time.Time {
	for _, h := range e.holds {
		if h.from <= key && key <= h.to {
			return h.until
		}
	}
	return time.Time{}
}

// hasBegun reports whether the endpoint has begun to work on a request.
func (e *endpoint) hasBegun(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begun[id]
}

// releasedRanges returns the releases that the endpoint was told to make.
func (e *endpoint) releasedRanges() []command {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]command(nil), e.released...)
}

// holdsKey reports whether the endpoint holds a key now.
func (e *endpoint) holdsKey(key int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.heldUntil(key))
}

// widest returns the widest range that the endpoint holds now.
func (e *endpoint) widest() (from, to int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	from, to = 0, -1
	for _, h := range e.holds {
		if time.Now().Before(h.until) && h.to-h.from > to-from {
			from, to = h.from, h.to
		}
	}
	return from, to
}
