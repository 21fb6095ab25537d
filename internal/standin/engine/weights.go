package engine

import (
	"context"
	"net/http"

	"violetthread/internal/engineapi"
	"violetthread/internal/taskgroup"
)

// idlePollUS is the interval at which a load of weights checks whether all runs have ended.
const idlePollUS = 5_000

// serveWeights starts a change to other weights and responds before the change is done. From
// then on new runs are rejected; active runs finish with the weights they began with, and
// then the new weights are used and the cache is emptied.
func (e *engine) serveWeights(w http.ResponseWriter, request *http.Request) {
	var body engineapi.WeightsRequest
	if !decodeBody(w, request, &body) {
		return
	}
	if body.Weights == "" {
		rejectMalformed.write(w)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if body.FencingToken < e.fencingToken {
		e.observeStaleToken("weights by "+body.Owner, body.FencingToken)
		rejectOldToken.write(w)
		return
	}
	e.fencingToken = body.FencingToken
	loading := e.nextWeights != ""
	if body.Weights == e.weights && !loading || body.Weights == e.nextWeights {
		writeOK(w)
		return
	}
	e.nextWeights = body.Weights
	if !loading {
		e.daemon.Group.Go("load_weights", e.loadWeights)
	}
	writeOK(w)
}

// loadWeights loads the requested weights. If others are requested meanwhile it loads those
// next, until the weights requested last are in use.
func (e *engine) loadWeights(ctx context.Context) {
	for {
		e.mu.Lock()
		requested := e.nextWeights
		e.mu.Unlock()
		if !taskgroup.Sleep(ctx, e.settings.WeightsLoadUS) || !e.lockWhenIdle(ctx) {
			return
		}
		changed := e.changeWeights(requested)
		e.mu.Unlock()
		if changed {
			e.daemon.Log.Info("weights_changed", "weights", requested)
			return
		}
	}
}

// lockWhenIdle waits until no run is active, and returns true with e.mu locked. It returns
// false with e.mu unlocked if ctx ends first.
func (e *engine) lockWhenIdle(ctx context.Context) bool {
	for {
		e.mu.Lock()
		if e.running == 0 {
			return true
		}
		e.mu.Unlock()
		if !taskgroup.Sleep(ctx, idlePollUS) {
			return false
		}
	}
}

// changeWeights puts loaded weights into use, unless others have been requested meanwhile. The
// caller holds e.mu.
func (e *engine) changeWeights(loaded string) bool {
	if e.nextWeights != loaded {
		return false
	}
	e.weights, e.nextWeights = loaded, ""
	e.evictAll()
	return true
}
