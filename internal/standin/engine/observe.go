package engine

import (
	"fmt"
	"net/http"

	"violetthread/internal/daemon"
)

// ObservedRun is one run as the engine counts it, for a judge outside the fleet.
type ObservedRun struct {
	Group       string `json:"Group"`
	RequestID   string `json:"Ticket"`
	Kind        string `json:"Kind"`
	Attempt     string `json:"Attempt"`
	Weights     string `json:"Weights"`
	Completed   bool   `json:"Whole"`  // the last frame was sent
	Blocks      int    `json:"Parts"`  // of the prompt
	Reused      int    `json:"Reused"` // blocks that were not recomputed, transferred ones included
	Transferred int    `json:"Taken"`  // blocks fetched from a peer
}

// Observations is the answer to GET /v1/seen.
type Observations struct {
	Name        string        `json:"name"`
	Runs        []ObservedRun `json:"runs"`
	MixedBlocks []string      `json:"mixed"`  // blocks reused across a wall or across weights
	StaleOwners []string      `json:"owners"` // orders under a lower fencing token than before
	Leaving     int64         `json:"leaving"`
}

func (e *engine) serveObservations(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	daemon.WriteJSON(w, http.StatusOK, e.observed)
}

// observeStaleOwner notes an order under a superseded fencing token. The caller holds the lock.
func (e *engine) observeStaleOwner(order string, fencingToken uint64) {
	e.observed.StaleOwners = append(e.observed.StaleOwners, fmt.Sprintf("%s epoch %d after %d", order, fencingToken, e.fencingToken))
}

// observeMixed notes a block that an attempt reuses though it belongs to another domain or
// other weights. The caller holds the lock.
func (e *engine) observeMixed(attempt, action string, block, wanted provenance) {
	if block == wanted {
		return
	}
	e.observed.MixedBlocks = append(e.observed.MixedBlocks, fmt.Sprintf("%s: %spart of %s/%s for %s/%s",
		attempt, action, block.domain, block.weights, wanted.domain, wanted.weights))
}
