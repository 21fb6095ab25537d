// Package backend is a stand-in for the small application behind the plain
// entries: it counts what it is asked, so that an observer sees a double call.
package backend

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"violetthread/internal/daemon"
)

// Settings of the stand-in back end.
type Settings struct{ daemon.NodeSettings }

// Defaults of the settings.
func Defaults() Settings { return Settings{daemon.NodeSettings{}} }

// Run runs the stand-in until it is told to stop.
func Run(s Settings) error {
	d, err := NewDaemon(s)
	if err != nil {
		return err
	}
	return d.Run()
}

// New makes one, ready to Run.
func NewDaemon(s Settings) (*daemon.Daemon, error) {
	d := daemon.New("backend", s.Name, s.HTTPAddr, s.DrainUS)
	var mu sync.Mutex
	calls := map[string]int{}
	d.Handle("/seen", func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		daemon.WriteJSON(w, 200, calls)
	})
	d.HandlePrefix("/", func(w http.ResponseWriter, q *http.Request) {
		b, _ := io.ReadAll(io.LimitReader(q.Body, 1<<20))
		mu.Lock()
		calls[fmt.Sprintf("%s %s %s", q.Method, q.URL.Path, q.Header.Get("X-Ticket-Id"))]++
		mu.Unlock()
		if strings.HasSuffix(q.URL.Path, "/breaks") {
			panic(http.ErrAbortHandler) // a back end that struggles: it breaks off
		}
		daemon.WriteJSON(w, 200, map[string]any{"method": q.Method, "path": q.URL.Path, "bytes": len(b)})
	})
	d.SetReady("")
	return d, nil
}
