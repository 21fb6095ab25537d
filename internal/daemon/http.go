package daemon

import (
	"encoding/json"
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"violetthread/internal/limits"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 90 * time.Second
	maxHeaderBytes    = 32 << 10

	// portHTTP names the HTTP port in logs and metrics.
	portHTTP = "http"

	// overloadRetryAfter is what a caller is told when the HTTP port is at its bounds, in seconds.
	overloadRetryAfter = "0.300"

	scrapeBytes = 512 << 10 // that a request for metrics takes
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
	server.ConnContext = limits.WithConn
	server.ConnState = limits.TrackState
	server.Handler = limits.Handler(server.Handler, http.HandlerFunc(RejectOverloaded))
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
	scrape := promhttp.HandlerFor(d.Metrics, promhttp.HandlerOpts{})
	d.Handle("/metrics", func(w http.ResponseWriter, r *http.Request) {
		if !limits.ConnOf(r.Context()).Reserve(scrapeBytes) {
			RejectOverloaded(w, r)
			return
		}
		scrape.ServeHTTP(w, r)
	})
}

// RejectOverloaded responds that a request was not handled, since the process can't hold more.
func RejectOverloaded(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", overloadRetryAfter)
	WriteJSON(w, http.StatusServiceUnavailable, ErrorResponse{"overloaded", "come back shortly; this process holds as much as its memory allows"})
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
