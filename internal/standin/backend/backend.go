// Package backend simulates the application behind a plan's routes (paths that a proxy
// forwards to an HTTP server instead of an engine). It answers every path, and counts the
// requests by method, path and request id, so that a test outside the fleet can detect a
// request that was forwarded twice.
//
// NewDaemon is safe for concurrent use, and so are the handlers.
package backend

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"violetthread/internal/daemon"
)

const (
	maxBodyBytes      = 1 << 20 // bytes read of a request's body; the rest is left unread
	requestIDHeader   = "X-Ticket-Id"
	abortedPathSuffix = "/breaks" // a request for a path with this suffix has its connection closed without a response
)

// Settings of the simulated back end.
type Settings struct{ daemon.NodeSettings }

// Defaults returns settings with a drain time of 0: the back end stops without waiting for
// requests in progress.
func Defaults() Settings { return Settings{daemon.NodeSettings{}} }

type backend struct {
	mu       sync.Mutex
	requests map[string]int // number of requests by "METHOD PATH ID"
}

// NewDaemon creates a back end that starts serving when its Run is called. The error is
// always nil.
func NewDaemon(settings Settings) (*daemon.Daemon, error) {
	d := daemon.New("backend", settings.Name, settings.HTTPAddr, settings.DrainUS)
	b := &backend{requests: map[string]int{}}
	d.Handle("/seen", b.serveCounts)
	d.HandlePrefix("/", b.serve)
	d.SetReady("")
	return d, nil
}

func (b *backend) serveCounts(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	daemon.WriteJSON(w, http.StatusOK, b.requests)
}

func (b *backend) serve(w http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes))
	b.mu.Lock()
	b.requests[fmt.Sprintf("%s %s %s", request.Method, request.URL.Path, request.Header.Get(requestIDHeader))]++
	b.mu.Unlock()
	if strings.HasSuffix(request.URL.Path, abortedPathSuffix) {
		panic(http.ErrAbortHandler) // makes net/http close the connection without logging a panic
	}
	daemon.WriteJSON(w, http.StatusOK, map[string]any{"method": request.Method, "path": request.URL.Path, "bytes": len(body)})
}
