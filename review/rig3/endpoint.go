package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pollenpier/pollenpier/platform/standin"
)

const (
	heartbeatS        = 0.87
	heartbeatInterval = 870 * time.Millisecond
	slots             = 8                      // of each endpoint
	runTime           = 200 * time.Millisecond // of an order at an endpoint
)

// execution is an order that an endpoint began to work on.
type execution struct{ endpoint, customer string }

// runLog is what the endpoints of a case ran.
type runLog struct {
	mu   sync.Mutex
	runs map[string]execution // by Request-Id
}

func (l *runLog) add(id string, r execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = r
}

func (l *runLog) find(id string) (execution, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.runs[id]
	return r, ok
}

// endpoint is a sound server of the service "orders", which has no keys.
type endpoint struct {
	id     string
	store  *standin.Store
	log    *runLog
	born   int64
	slots  chan struct{}
	server *http.Server
	stop   chan struct{}
}

// newEndpoint starts an endpoint on a free port, which writes its entry to the store.
func newEndpoint(id string, store *standin.Store, log *runLog) (*endpoint, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // closed with its server
	if err != nil {
		return nil, err
	}
	e := &endpoint{id: id, store: store, log: log, born: time.Now().UnixMilli(), slots: make(chan struct{}, slots), stop: make(chan struct{})}
	e.server = &http.Server{Handler: http.HandlerFunc(e.handle), ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(l) }() // returns when the server is closed
	go e.writeEntries(l.Addr().String())
	return e, nil
}

func (e *endpoint) close() {
	close(e.stop)
	_ = e.server.Close() // the case is over
}

// writeEntries writes the endpoint's entry at each heartbeat.
func (e *endpoint) writeEntries(address string) {
	for sequence := 1; ; sequence++ {
		raw, err := json.Marshal(map[string]any{
			"address": address, "born": e.born, "info": map[string]any{"service": "orders", "version": "v1", "zone": "a", "slots": slots},
			"status": map[string]any{"phase": "ready", "sequence": sequence, "warmupLeftS": 0},
		})
		if err != nil {
			return
		}
		e.store.Put("keyed.servers", e.id, raw)
		select {
		case <-time.After(heartbeatInterval):
		case <-e.stop:
			return
		}
	}
}

// handle answers a status check or runs an order.
func (e *endpoint) handle(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", len(e.slots), slots))
	if r.Method == http.MethodGet && r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", e.id)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if r.Header.Get("Target-Instance") != e.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	e.log.add(id, execution{e.id, r.Header.Get("Tenant")})
	time.Sleep(runTime)
	w.Header().Set("Response-Signature", e.id+"."+id)
	_, _ = io.WriteString(w, e.id+" ran "+id) //nolint:gosec // read by the case alone
}
