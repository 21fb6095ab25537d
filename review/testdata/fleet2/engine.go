package main

import (
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

const modelName = "m0"

// arrival is a request as an engine got it.
type arrival struct {
	at      time.Duration
	engine  string
	attempt string
	version int // that it ran on; 0 if it was turned away
}

// engine is one life of a stand-in engine.
type engine struct {
	fleet   *fleet
	id      string
	addr    string
	server  *http.Server
	fails   bool          // answers each request with a 500 of its own
	load    time.Duration // how long new weights take
	mu      sync.Mutex
	version int
	loading bool
	orders  int
	fence   int
	arrived []arrival
}

// startEngine starts an engine and puts it on the platform's list.
func (f *fleet) startEngine(id string, machine, version int, fails bool) (*engine, error) {
	e := &engine{fleet: f, id: id, addr: f.address(machine, f.enginePort), version: version, fails: fails, load: 1900 * time.Millisecond}
	listener, err := net.Listen("tcp", e.addr)
	if err != nil {
		return nil, err
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	f.mu.Lock()
	f.engines[id] = e
	f.mu.Unlock()
	f.note("engine %s starts at %s with version %d", id, e.addr, version)
	return e, nil
}

// crash ends an engine. It stays on the list for a second more.
func (e *engine) crash() {
	_ = e.server.Close()
	e.fleet.note("engine %s crashed", e.id)
	time.AfterFunc(time.Second, func() {
		e.fleet.mu.Lock()
		defer e.fleet.mu.Unlock()
		delete(e.fleet.engines, e.id)
	})
}

func (e *engine) models() []map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return []map[string]any{{"name": modelName, "version": e.version, "adapters": []string{}}}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		w.Header().Set("X-Violetthread-Instance-Id", e.id)
	case "/report":
		e.mu.Lock()
		loading, orders := e.loading, e.orders
		e.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{"phase": "combined", "models": e.models(), "saturated": loading, "sequence": orders,
			"queued": 0, "active": 0, "cache-used": 0, "cache-total": 200000, "cache-handles": 0})
	case "/kv-events":
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		select {
		case <-time.After(time.Duration(min(wait, 1000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		writeJSON(w, http.StatusOK, map[string]any{"boot-epoch": 1, "next-page-token": 0, "missing": false, "events": []any{}})
	case "/order":
		e.order(w, r)
	default:
		e.serve(w, r)
	}
}

// order takes an order to load other weights.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Operation, Model, Method, Holder string
		Version                          int
		Fence                            int `json:"fencing-token"`
	}
	err := json.NewDecoder(r.Body).Decode(&body)
	status := http.StatusAccepted
	e.mu.Lock()
	switch {
	case err != nil || body.Operation != "version" || body.Holder == "" || body.Fence == 0:
		status = http.StatusBadRequest
	case r.Header.Get("X-Violetthread-Target-Instance") != "" && r.Header.Get("X-Violetthread-Target-Instance") != e.id:
		status = http.StatusMisdirectedRequest
	case body.Fence < e.fence:
		status = http.StatusPreconditionFailed
	case e.version == body.Version:
		status = http.StatusOK
	case e.loading:
		status = http.StatusConflict
	default:
		e.loading, e.fence = true, body.Fence
		e.orders++
		time.AfterFunc(e.load, func() {
			e.mu.Lock()
			e.version, e.loading = body.Version, false
			e.mu.Unlock()
			e.fleet.note("engine %s has version %d", e.id, body.Version)
		})
	}
	e.mu.Unlock()
	e.fleet.note("engine %s: order for version %d by %s, fence %d: %d", e.id, body.Version, body.Holder, body.Fence, status)
	w.WriteHeader(status)
}

// serve takes a client's request, and runs it unless it has to be turned away.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	attempt := r.Header.Get("X-Violetthread-Attempt-Id")
	w.Header().Set("X-Violetthread-Attempt-Id", attempt)
	e.mu.Lock()
	status, run := 0, e.version
	switch {
	case r.Header.Get("X-Violetthread-Target-Instance") != "" && r.Header.Get("X-Violetthread-Target-Instance") != e.id:
		status = http.StatusMisdirectedRequest
	case r.Header.Get("X-Violetthread-Expected-Version") != "" && r.Header.Get("X-Violetthread-Expected-Version") != strconv.Itoa(e.version):
		status = http.StatusMisdirectedRequest
	case e.loading:
		status = http.StatusServiceUnavailable
	}
	if status != 0 {
		run = 0
	}
	e.arrived = append(e.arrived, arrival{e.fleet.since(), e.id, attempt, run})
	e.mu.Unlock()
	if status != 0 {
		w.Header().Set("X-Violetthread-Request-Skipped", "1")
		w.WriteHeader(status)
		return
	}
	w.Header().Set("X-Violetthread-Response-Seal", "seal."+e.id+"."+attempt)
	w.Header().Set("X-Violetthread-Weight-Versions", strconv.Itoa(run))
	time.Sleep(20 * time.Millisecond)
	if e.fails {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "the run failed\n")
		return
	}
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		_, _ = io.WriteString(w, "answer to "+attempt+"\n")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for i := 1; i <= 3; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		w.(http.Flusher).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

// arrivals lists what the engine got so far.
func (e *engine) arrivals() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.arrived...)
}
