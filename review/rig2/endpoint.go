package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pollenpier/pollenpier/platform/standin"
)

// heartbeat is the interval at which backend servers write their entries.
const heartbeat = 300 * time.Millisecond

// queueFactor is how many requests per slot a backend server runs and queues before it refuses further ones.
const queueFactor = 4

// endpoint is a sound backend server of the service that the cases use.
type endpoint struct {
	id, address string
	born        int64
	slots       int
	work        time.Duration
	answer      []byte
	store       *standin.Store
	record      *record
	server      *http.Server
	stop        chan struct{}
	free        chan struct{} // holds a value for each free slot

	mu   sync.Mutex
	held int // requests that run or wait
}

// startEndpoint starts a backend server on a free port.
func startEndpoint(r *record, store *standin.Store, id string, slots int, work time.Duration, answerBytes int) (*endpoint, error) {
	socket, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		id: id, address: socket.Addr().String(), born: time.Now().UnixMilli(), slots: slots, work: work,
		answer: bytes.Repeat([]byte("x"), answerBytes), store: store, record: r, stop: make(chan struct{}), free: make(chan struct{}, slots),
	}
	for range slots {
		e.free <- struct{}{}
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(socket) }() // returns when the server is closed
	if err := e.writeEntry(); err != nil {
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
	for {
		select {
		case <-ticker.C:
			_ = e.writeEntry() // the first one has shown that it can be encoded
		case <-e.stop:
			return
		}
	}
}

func (e *endpoint) writeEntry() error {
	raw, err := json.Marshal(map[string]any{
		"address": e.address, "born": e.born,
		"info":   map[string]any{"service": serviceName, "version": "v1", "zone": "a", "slots": e.slots},
		"status": map[string]any{"phase": "ready", "sequence": time.Since(time.UnixMilli(e.born)).Milliseconds(), "warmupLeftS": 0},
	})
	if err != nil {
		return err
	}
	e.store.Put("keyed.servers", e.id, raw)
	return nil
}

// serve answers a status check, or runs a request.
func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		w.Header().Set("Instance-Id", e.id)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != e.id {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	running, ok := e.enter()
	if !ok {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer e.leave()
	select {
	case <-e.free:
	case <-r.Context().Done():
		return // the caller has closed the connection
	}
	began := time.Now()
	time.Sleep(e.work)
	e.free <- struct{}{}
	e.record.printf("%s ran %s in %.3f s", e.id, id, time.Since(began).Seconds())
	w.Header().Set("Response-Signature", e.id+"."+id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d,100", min(running, e.slots), max(running-e.slots, 0), e.slots))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", fmt.Sprint(len(e.answer)))
	_, _ = w.Write(e.answer) // fails only if the caller has left
}

// enter counts a request and returns how many there are. It reports false if the server is full.
func (e *endpoint) enter() (int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held >= queueFactor*e.slots {
		return e.held, false
	}
	e.held++
	return e.held, true
}

func (e *endpoint) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held--
}

// refuse answers a request that has not run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}
