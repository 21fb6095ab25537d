package dispatch

import "violetthread/cacheindex"

// Costs by which engines are compared, in microseconds until a run gets going.
const (
	costPerActiveRun      = 3_000  // of this proxy's own
	costPerQueuedRun      = 2_000  // at the engine
	costPerFailure        = 20_000 // in a row
	recomputeCostPerBlock = 4_000
	transferCostPerBlock  = 700
	transferCostFixed     = 2_000
	otherZoneCost         = 1_000
	// An engine that this request was sent to before is chosen only when there is no
	// other, rather than hold up all that wait behind it.
	triedBeforeCost = 10_000_000
)

// none is the index of a block that there is not.
const none = -1

// fillCapacity gives free capacity to queued requests, group by group.
func (d *Dispatcher) fillCapacity(now int64) []Action {
	var actions []Action
	if d.plan == nil || d.PlanAge(now) > MaxPlanAge {
		return nil
	}
	capacity := d.Capacity(now)
	for d.queue.Len() > 0 && d.anyUsable(now) {
		group, item, found := d.queue.Next(func(group string, running int) bool {
			return d.belowCeiling(group, running, capacity)
		})
		if !found {
			break
		}
		request := d.requests[refOf(item.ID)]
		if request == nil {
			d.queue.Remove(group, item.ID)
			continue
		}
		// The engine is reserved while the claim is asked for, so that a granted claim
		// finds its capacity.
		engine := d.chooseEngine(now, request)
		if engine == nil {
			break
		}
		request.engine = engine
		engine.active++
		d.queue.Dequeue(group, item.ID)
		request.queued, request.holdsSlot = false, true
		actions = append(actions, d.advance(now, request)...)
	}
	return actions
}

// belowCeiling reports whether a group with so many runs may have one more. Each group may
// have one, however low its ceiling.
func (d *Dispatcher) belowCeiling(group string, running, capacity int) bool {
	ceiling := d.plan.Groups[group].CeilingPermille
	return ceiling == 0 || running*1000 < max(ceiling*capacity, 1000)
}

func (d *Dispatcher) usable(now int64, engine *engineState) bool {
	fresh := now-engine.confirmedAt <= MaxGrantAge
	return !engine.Store && fresh && engine.active < engine.Capacity && now >= engine.pausedUntil
}

func (d *Dispatcher) anyUsable(now int64) bool {
	for _, engine := range d.engines {
		if d.usable(now, engine) {
			return true
		}
	}
	return false
}

// chooseEngine picks the usable engine with the lowest cost, nil if none is usable. Equal
// costs go by name, so that a replay decides alike.
func (d *Dispatcher) chooseEngine(now int64, request *trackedRequest) *engineState {
	var best *engineState
	var lowest int64
	for _, engine := range d.engines {
		if !d.usable(now, engine) {
			continue
		}
		cost := d.startCost(engine, request)
		if best == nil || cost < lowest || cost == lowest && engine.Engine < best.Engine {
			best, lowest = engine, cost
		}
	}
	return best
}

// startCost estimates when a run would get going at an engine: what lies before it there,
// and what must be recomputed or transferred of its prompt.
func (d *Dispatcher) startCost(engine *engineState, request *trackedRequest) int64 {
	cost := int64(engine.active)*costPerActiveRun + int64(engine.QueueLength)*costPerQueuedRun +
		engine.SlowUS/4 + int64(engine.failuresInRow)*costPerFailure
	local := localPrefix(engine, request)
	transferable, _, _ := d.transferSource(engine, request)
	cost += int64(len(request.PrefixKeys)-max(local, transferable)-1) * recomputeCostPerBlock
	if transferable > local {
		cost += transferCostFixed + int64(transferable-local)*transferCostPerBlock
	}
	if engine.Zone != d.zone {
		cost += otherZoneCost
	}
	if request.triedEngines[engine.Engine] {
		cost += triedBeforeCost
	}
	return cost
}

// localPrefix is the last block of the longest prefix that the engine is hinted to have
// cached itself, or none.
func localPrefix(engine *engineState, request *trackedRequest) int {
	if engine.Weights != request.Weights {
		return none
	}
	for _, hint := range request.Hints { // longest first
		if hint.Node == engine.NodeID {
			return hint.Block
		}
	}
	return none
}

// transferSource is the last block of the longest prefix that the engine may fetch from
// another node, with that node and its address, or none. The node must be known here, run
// the same weights, and its link to the engine must be worth a try.
func (d *Dispatcher) transferSource(engine *engineState, request *trackedRequest) (block int, node uint64, addr string) {
	if engine.Weights != request.Weights {
		return none, 0, ""
	}
	for _, hint := range request.Hints { // longest first
		peer := d.engineByNode[hint.Node]
		if hint.Node == engine.NodeID || peer == nil || !peer.Store && peer.Weights != request.Weights {
			continue
		}
		if score, known := engine.TransferScores[hint.Node]; known && !cacheindex.UsableScore(score) {
			continue
		}
		return hint.Block, hint.Node, peer.Addr
	}
	return none, 0, ""
}
