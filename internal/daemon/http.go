package daemon

import (
	"encoding/json"
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 90 * time.Second
	maxHeaderBytes    = 32 << 10
)

// ErrorResponse is the body of an HTTP error response.
type ErrorResponse struct {
	Reason string `json:"reason"` // short name of the cause
	Remedy string `json:"remedy"` // what the caller can do
}

// newServer returns the HTTP server. Requests have no overall time-out, since the library's
// default of one second would cut off streams.
func newServer(addr string) *khttp.Server {
	pathNotFound := func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusNotFound, ErrorResponse{"no-such-path", "see the API documentation for the available paths"})
	}
	methodNotAllowed := func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusMethodNotAllowed, ErrorResponse{"no-such-method", "see the API documentation for the methods of this path"})
	}
	server := khttp.NewServer(khttp.Address(addr), khttp.Timeout(0),
		khttp.NotFoundHandler(http.HandlerFunc(pathNotFound)), khttp.MethodNotAllowedHandler(http.HandlerFunc(methodNotAllowed)))
	server.ReadHeaderTimeout = readHeaderTimeout
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = maxHeaderBytes
	return server
}

// Handle registers the handler of a path.
func (d *Daemon) Handle(path string, handler http.HandlerFunc) { d.server.HandleFunc(path, handler) }

// HandlePrefix registers the handler of all paths with a prefix.
func (d *Daemon) HandlePrefix(prefix string, handler http.HandlerFunc) {
	d.server.HandlePrefix(prefix, handler)
}

// registerStatusHandlers serves the health, readiness and metrics paths, which the platform and
// monitoring request.
func (d *Daemon) registerStatusHandlers() {
	d.Handle("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, map[string]string{"vitals": "ok"})
	})
	d.Handle("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := d.notReady.Load(); reason != nil {
			WriteJSON(w, http.StatusServiceUnavailable, ErrorResponse{"not-ready", *reason})
			return
		}
		WriteJSON(w, http.StatusOK, map[string]string{"ready": "yes"})
	})
	d.Handle("/metrics", promhttp.HandlerFor(d.Metrics, promhttp.HandlerOpts{}).ServeHTTP)
}

// WriteJSON writes a response with v as its JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte(`{"reason":"internal","remedy":"report this"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}
