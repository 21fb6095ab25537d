package engine

import (
	"fmt"
	"net/http"

	"violetthread/internal/daemon"
)

// ObservedRun is one run as the engine recorded it, for tests that check a fleet from outside.
type ObservedRun struct {
	Group       string `json:"Group"`
	RequestID   string `json:"Ticket"`
	Kind        string `json:"Kind"`
	Attempt     string `json:"Attempt"`
	Weights     string `json:"Weights"`
	Completed   bool   `json:"Whole"`  // the last frame was sent
	Blocks      int    `json:"Parts"`  // blocks of the prompt
	Reused      int    `json:"Reused"` // blocks that were not recomputed, transferred ones included
	Transferred int    `json:"Taken"`  // blocks transferred from another engine or the store
}

// Observations is the response to GET /v1/seen.
type Observations struct {
	Name               string        `json:"name"`
	Runs               []ObservedRun `json:"runs"`
	InvalidReuse       []string      `json:"mixed"`  // blocks reused across cache domains or weights
	StaleTokenRequests []string      `json:"owners"` // requests with a lower fencing token than an earlier one
	Leaving            int64         `json:"leaving"`
}

func (e *engine) serveObservations(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	daemon.WriteJSON(w, http.StatusOK, e.observed)
}

// observeStaleToken records a request with a superseded fencing token. The caller holds e.mu.
func (e *engine) observeStaleToken(request string, fencingToken uint64) {
	e.observed.StaleTokenRequests = append(e.observed.StaleTokenRequests, fmt.Sprintf("%s: fencing token %d after %d", request, fencingToken, e.fencingToken))
}

// observeInvalidReuse records that an attempt reuses a block of another cache domain or of
// other weights than its own. The caller holds e.mu.
func (e *engine) observeInvalidReuse(attempt, action string, block, wanted cacheScope) {
	if block == wanted {
		return
	}
	e.observed.InvalidReuse = append(e.observed.InvalidReuse, fmt.Sprintf("%s: %sblock of %s/%s for %s/%s",
		attempt, action, block.domain, block.weights, wanted.domain, wanted.weights))
}
