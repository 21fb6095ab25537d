package engine

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"violetthread/internal/daemon"
	"violetthread/internal/engineapi"
	"violetthread/internal/taskgroup"
)

// blockTransfer is a block on its way from one engine to another, or to the store.
type blockTransfer struct {
	Block   string `json:"Part"`
	Domain  string `json:"Domain"`
	Weights string `json:"Weights"`
}

// export asks a peer for a block, which the blocks before it come along with.
func (e *engine) export(ctx context.Context, from, block string, blocks int, waitUS int64) (exported blockTransfer, err error) {
	path := fmt.Sprintf("/v1/export?part=%s&parts=%d", block, blocks)
	err = e.client.Get(ctx, from, path, waitUS, &exported)
	return exported, err
}

// fetchBlocks fetches the blocks of a run from a peer and returns how many leading ones are
// cached then: as many as before if anything goes wrong, and the run recomputes the others.
func (e *engine) fetchBlocks(ctx context.Context, run engineapi.RunRequest, cached int) int {
	e.mu.Lock()
	failed := e.random.chance(e.settings.FailedTransferPermille)
	e.mu.Unlock()
	if failed {
		return cached
	}
	count := run.Transfer.Block + 1
	exported, err := e.export(ctx, run.Transfer.From, run.Blocks[run.Transfer.Block], count-cached, run.Transfer.WaitUS)
	if err != nil {
		return cached
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observeMixed(run.Attempt, "took ", provenance{exported.Domain, exported.Weights}, provenance{run.Domain, run.Weights})
	for _, name := range run.Blocks[:count] {
		e.cache(name, run.Domain, run.Weights)
	}
	return count
}

func (e *engine) serveExport(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	e.mu.Lock()
	block := e.blocks[query.Get("part")]
	e.mu.Unlock()
	if block == nil {
		rejectNotCached.write(w)
		return
	}
	count, _ := strconv.ParseInt(query.Get("parts"), 10, 64)
	if !taskgroup.Sleep(request.Context(), count*e.settings.TransferUS) {
		return
	}
	daemon.WriteJSON(w, http.StatusOK, block.transfer())
}

// serveImport fetches a block ahead of need. One of other weights, or ordered under a
// superseded fencing token, is not cached.
func (e *engine) serveImport(w http.ResponseWriter, request *http.Request) {
	var order engineapi.ImportRequest
	if !decodeBody(w, request, &order) {
		return
	}
	exported, err := e.export(request.Context(), order.From, order.Block, 1, order.WaitUS)
	if err != nil {
		rejectNotFetched.write(w)
		return
	}
	e.mu.Lock()
	if exported.Weights == e.weights && order.FencingToken >= e.fencingToken {
		e.cache(exported.Block, exported.Domain, exported.Weights)
	}
	e.mu.Unlock()
	writeOK(w)
}

// servePut takes in a block that an engine evicted.
func (e *engine) servePut(w http.ResponseWriter, request *http.Request) {
	var evicted blockTransfer
	if !decodeBody(w, request, &evicted) {
		return
	}
	e.mu.Lock()
	e.cache(evicted.Block, evicted.Domain, evicted.Weights)
	e.mu.Unlock()
	writeOK(w)
}
