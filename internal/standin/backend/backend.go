// Package backend is a stand-in for the small application behind the plain entries. It
// answers every path, and counts the requests by method, path and request id, so that a judge
// outside the fleet sees a request that was sent twice.
//
// NewDaemon may be called from any goroutine; handlers run concurrently.
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
	maxBodyBytes    = 1 << 20 // read of a request; what is beyond is left unread
	requestIDHeader = "X-Ticket-Id"
	breaksSuffix    = "/breaks" // of paths whose connection breaks off
)

// Settings of the stand-in back end.
type Settings struct{ daemon.NodeSettings }

// Defaults are the settings of a back end that stops at once.
func Defaults() Settings { return Settings{daemon.NodeSettings{}} }

type backend struct {
	mu       sync.Mutex
	requests map[string]int // method, path and request id
}

// NewDaemon makes a stand-in that serves once it is run. The error is always nil.
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
	if strings.HasSuffix(request.URL.Path, breaksSuffix) {
		panic(http.ErrAbortHandler) // net/http closes the connection and logs nothing
	}
	daemon.WriteJSON(w, http.StatusOK, map[string]any{"method": request.Method, "path": request.URL.Path, "bytes": len(body)})
}
