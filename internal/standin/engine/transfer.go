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

// blockTransfer is the body of an export response and of a put request: a block sent to
// another engine or to the store.
type blockTransfer struct {
	Block   string `json:"Part"`
	Domain  string `json:"Domain"`
	Weights string `json:"Weights"`
}

// export requests a block from a peer, together with the blocks before it that are not cached
// yet; blocks is how many are transferred in all.
func (e *engine) export(ctx context.Context, from, block string, blocks int, waitUS int64) (exported blockTransfer, err error) {
	path := fmt.Sprintf("/v1/export?part=%s&parts=%d", block, blocks)
	err = e.client.Get(ctx, from, path, waitUS, &exported)
	return exported, err
}

// fetchBlocks transfers the blocks of a run from a peer and returns how many leading blocks
// are cached afterwards. If the transfer fails that is the number cached before, and the run
// recomputes the others.
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
	e.observeInvalidReuse(run.Attempt, "transferred ", cacheScope{exported.Domain, exported.Weights}, cacheScope{run.Domain, run.Weights})
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

// serveImport fetches a block from a peer before a run needs it. A block of other weights, or
// one requested with a superseded fencing token, is not cached.
func (e *engine) serveImport(w http.ResponseWriter, request *http.Request) {
	var body engineapi.ImportRequest
	if !decodeBody(w, request, &body) {
		return
	}
	exported, err := e.export(request.Context(), body.From, body.Block, 1, body.WaitUS)
	if err != nil {
		rejectNotFetched.write(w)
		return
	}
	e.mu.Lock()
	if exported.Weights == e.weights && body.FencingToken >= e.fencingToken {
		e.cache(exported.Block, exported.Domain, exported.Weights)
	}
	e.mu.Unlock()
	writeOK(w)
}

// servePut caches a block that an engine evicted.
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
