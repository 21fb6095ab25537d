package dispatch

import "violetthread/cacheindex"

// Costs by which engines are compared, in microseconds of estimated delay until a run starts.
const (
	costPerActiveRun      = 3_000  // per run of this proxy at the engine
	costPerQueuedRun      = 2_000  // per run in the engine's queue
	costPerFailure        = 20_000 // per consecutive failure
	recomputeCostPerBlock = 4_000
	transferCostPerBlock  = 700
	transferCostFixed     = 2_000
	otherZoneCost         = 1_000
	// An engine that was tried before for the request is chosen again only if no other is
	// usable. It is not excluded, since the request would then block all requests queued behind
	// it.
	triedBeforeCost = 10_000_000
)

// noBlock is the block index that stands for no block.
const noBlock = -1

// fillCapacity assigns free capacity to queued requests in the order of the fair queue.
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
		request := d.requests[parseQueueID(item.ID)]
		if request == nil {
			d.queue.Remove(group, item.ID)
			continue
		}
		// Reserve the engine before requesting the claim, so that capacity is available when
		// the claim is granted.
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

// belowCeiling reports whether a group's ceiling allows one more run. Each group may have one run,
// however low its ceiling.
func (d *Dispatcher) belowCeiling(group string, running, capacity int) bool {
	ceiling := d.plan.Groups[group].CeilingPermille
	return ceiling == 0 || running*1000 < max(ceiling*capacity, 1000)
}

// usable reports whether a new run may be sent to an engine now.
func (d *Dispatcher) usable(now int64, engine *engineState) bool {
	fresh := now-engine.confirmedAt <= MaxGrantAge
	return !engine.Store && fresh && engine.active < engine.Capacity && now >= engine.backoffUntil
}

func (d *Dispatcher) anyUsable(now int64) bool {
	for _, engine := range d.engines {
		if d.usable(now, engine) {
			return true
		}
	}
	return false
}

// chooseEngine returns the usable engine with the lowest cost, nil if none is usable. Ties are
// broken by name, so that a replay makes the same decisions.
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

// startCost estimates the delay until a run would start at an engine, from the engine's load and
// the blocks of the prompt that have to be recomputed or transferred, plus penalties.
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

// localPrefix returns the index of the last block of the longest prefix that the engine is hinted
// to have cached itself, or noBlock.
func localPrefix(engine *engineState, request *trackedRequest) int {
	if engine.Weights != request.Weights {
		return noBlock
	}
	for _, hint := range request.Hints { // longest first
		if hint.Node == engine.NodeID {
			return hint.Block
		}
	}
	return noBlock
}

// transferSource returns the index of the last block of the longest prefix that the engine may
// fetch from another node, with that node and its address, or noBlock. The node must be known to
// this proxy, be a store or run the same weights, and have a usable transfer score if it has one.
func (d *Dispatcher) transferSource(engine *engineState, request *trackedRequest) (block int, node uint64, addr string) {
	if engine.Weights != request.Weights {
		return noBlock, 0, ""
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
	return noBlock, 0, ""
}
