package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pollenpier/pollenpier/platform/standin"
)

// heartbeat is the interval at which backend servers write their entries, that of the site file.
const heartbeat = 870 * time.Millisecond

// queueFactor is how many requests per slot a backend server runs and queues before it refuses further ones.
const queueFactor = 4

// keySpace is the number of keys.
const keySpace = 1 << 16

// endpoint is a sound backend server of a service that is divided by key.
type endpoint struct {
	id, address string
	born        int64
	store       *standin.Store
	record      *record
	server      *http.Server
	stop        chan struct{}
	free        chan struct{} // holds a value for each free slot

	mu      sync.Mutex
	held    int                 // requests that run or wait
	fences  [keySpace]uint64    // the highest generation number seen
	until   [keySpace]time.Time // when the grant of a key ends
	running map[int]int         // requests at work by key
}

// startEndpoint starts a backend server on a free port.
func startEndpoint(r *record, store *standin.Store, id string) (*endpoint, error) {
	socket, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		id: id, address: socket.Addr().String(), born: time.Now().UnixMilli(), store: store, record: r, stop: make(chan struct{}),
		free: make(chan struct{}, slots), running: map[int]int{},
	}
	for range slots {
		e.free <- struct{}{}
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(socket) }() // returns when the server is closed
	if err := e.writeEntry(1); err != nil {
		return nil, err
	}
	go e.writeEntries()
	return e, nil
}

func (e *endpoint) close() {
	close(e.stop)
	_ = e.server.Close() // the case is over
}

func (e *endpoint) writeEntries() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for i := 2; ; i++ {
		select {
		case <-ticker.C:
			_ = e.writeEntry(i) // the first one has shown that it can be encoded
		case <-e.stop:
			return
		}
	}
}

func (e *endpoint) writeEntry(sequence int) error {
	raw, err := encodeEntry(e.address, e.born, sequence)
	if err == nil {
		e.store.Put(topicServers, e.id, raw)
	}
	return err
}

// topicServers is the topic of the backend servers' entries.
const topicServers = "keyed.servers"

func encodeEntry(address string, born int64, sequence int) ([]byte, error) {
	return json.Marshal(map[string]any{
		"address": address, "born": born,
		"info":   map[string]any{"service": serviceName, "version": "v1", "zone": "a", "slots": slots},
		"status": map[string]any{"phase": "ready", "sequence": sequence, "warmupLeftS": 0},
	})
}

// serve answers a status check, carries out a command, or runs a request.
func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d,100", slots-len(e.free), slots))
	if r.URL.Path == healthPath {
		w.Header().Set("Instance-Id", e.id)
		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != e.id {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/grant", "/release":
		e.carryOut(w, r.URL.Path, body)
	default:
		e.run(w, r)
	}
}

// command is the body of a grant or a release.
type command struct {
	From, To int
	Fence    uint64
	HoldS    float64
}

func (e *endpoint) carryOut(w http.ResponseWriter, path string, body []byte) {
	arrived := time.Now()
	var c command
	if json.NewDecoder(bytes.NewReader(body)).Decode(&c) != nil || c.From < 0 || c.To >= keySpace || c.From > c.To {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if path == "/grant" {
		if !e.grant(c, arrived) {
			w.WriteHeader(http.StatusConflict)
		}
		return
	}
	e.release(c)
	for e.isAtWork(c) {
		time.Sleep(time.Millisecond)
	}
	w.Header().Set("Handover", fmt.Sprintf("%x", c.Fence))
}

// grant reports false if a higher generation number was seen on one of the keys.
func (e *endpoint) grant(c command, arrived time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key := c.From; key <= c.To; key++ {
		if e.fences[key] > c.Fence {
			return false
		}
	}
	for key := c.From; key <= c.To; key++ {
		e.fences[key], e.until[key] = c.Fence, arrived.Add(time.Duration(c.HoldS*float64(time.Second)))
	}
	return true
}

func (e *endpoint) release(c command) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key := c.From; key <= c.To; key++ {
		e.fences[key], e.until[key] = max(e.fences[key], c.Fence), time.Time{}
	}
}

func (e *endpoint) isAtWork(c command) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key := range e.running {
		if c.From <= key && key <= c.To {
			return true
		}
	}
	return false
}

func (e *endpoint) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	key, err := strconv.Atoi(r.Header.Get("Shard-Key"))
	if err != nil || key < 0 || key >= keySpace {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if status := e.enter(key); status != 0 {
		refuse(w, status)
		return
	}
	defer e.leave(key)
	select {
	case <-e.free:
	case <-r.Context().Done():
		return // the caller has closed the connection
	}
	time.Sleep(workTime)
	e.free <- struct{}{}
	e.record.printf("%s ran %s, key %d", e.id, id, key)
	w.Header().Set("Response-Signature", e.id+"."+id)
	_, _ = io.WriteString(w, "ran "+id) //nolint:gosec // plain text for the rig; fails only if the caller has left
}

// enter counts a request, or returns the status with which it is refused.
func (e *endpoint) enter(key int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !time.Now().Before(e.until[key]):
		return http.StatusMisdirectedRequest
	case e.held >= queueFactor*slots:
		return http.StatusServiceUnavailable
	}
	e.held++
	e.running[key]++
	return 0
}

func (e *endpoint) leave(key int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held--
	if e.running[key]--; e.running[key] == 0 {
		delete(e.running, key)
	}
}

// refuse answers a request that has not run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}
