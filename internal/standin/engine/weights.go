package engine

import (
	"context"
	"net/http"

	"violetthread/internal/engineapi"
	"violetthread/internal/taskgroup"
)

// idleCheckUS is how often a load of weights looks whether the last run has ended.
const idleCheckUS = 5_000

// serveWeights orders other weights: nothing new begins, what runs ends under the weights it
// began with, and then everything cached is dropped. It answers before that is done.
func (e *engine) serveWeights(w http.ResponseWriter, request *http.Request) {
	var order engineapi.WeightsRequest
	if !decodeBody(w, request, &order) {
		return
	}
	if order.Weights == "" {
		rejectMalformed.write(w)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.FencingToken < e.fencingToken {
		e.observeStaleOwner("weights by "+order.Owner, order.FencingToken)
		rejectOldToken.write(w)
		return
	}
	e.fencingToken = order.FencingToken
	loading := e.nextWeights != ""
	if order.Weights == e.weights && !loading || order.Weights == e.nextWeights {
		writeOK(w)
		return
	}
	e.nextWeights = order.Weights
	if !loading {
		e.daemon.Group.Go("load_weights", e.loadWeights)
	}
	writeOK(w)
}

// loadWeights loads weights until the last ordered ones are loaded.
func (e *engine) loadWeights(ctx context.Context) {
	for {
		e.mu.Lock()
		ordered := e.nextWeights
		e.mu.Unlock()
		if !taskgroup.Sleep(ctx, e.settings.WeightsLoadUS) || !e.lockWhenIdle(ctx) {
			return
		}
		changed := e.changeWeights(ordered)
		e.mu.Unlock()
		if changed {
			e.daemon.Log.Info("weights_changed", "weights", ordered)
			return
		}
	}
}

// lockWhenIdle takes the lock once nothing runs; it is false, without the lock, when ctx ends
// before.
func (e *engine) lockWhenIdle(ctx context.Context) bool {
	for {
		e.mu.Lock()
		if e.running == 0 {
			return true
		}
		e.mu.Unlock()
		if !taskgroup.Sleep(ctx, idleCheckUS) {
			return false
		}
	}
}

// changeWeights puts loaded weights into use, unless others have been ordered meanwhile. The
// caller holds the lock.
func (e *engine) changeWeights(loaded string) bool {
	if e.nextWeights != loaded {
		return false
	}
	e.weights, e.nextWeights = loaded, ""
	e.dropAll()
	return true
}
