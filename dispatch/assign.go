package dispatch

import (
	"strconv"

	"violetthread/cacheindex"
)

// pump gives free room to waiting tickets, group by group.
func (d *Dispatcher) fillCapacity(now int64) []Action {
	var acts []Action
	if d.plan == nil || d.PlanAge(now) > MaxPlanAge {
		return nil
	}
	room := d.Capacity(now)
	for d.queue.Len() > 0 {
		if !d.anyUsable(now) {
			break
		}
		g, it, ok := d.queue.Next(func(g string, busy int) bool {
			c := d.plan.Groups[g].CeilingPermille
			return c == 0 || busy*1000 < max(c*room, 1000)
		})
		if !ok {
			break
		}
		ref, _ := strconv.ParseUint(it.ID, 10, 64)
		w := d.requests[ref]
		if w == nil {
			d.queue.Remove(g, it.ID)
			continue
		}
		// The lane is held while the claim is asked for, so that a granted
		// claim finds its room.
		l := d.chooseEngine(now, w)
		if l == nil {
			break
		}
		w.engine = l
		l.active++
		d.queue.Dequeue(g, it.ID)
		w.queued, w.holdsSlot = false, true
		acts = append(acts, d.advance(now, w)...)
	}
	return acts
}

func (d *Dispatcher) usable(now int64, l *engineState) bool {
	return !l.Store && now-l.confirmedAt <= MaxGrantAge && l.active < l.Capacity && now >= l.pausedUntil
}

func (d *Dispatcher) anyUsable(now int64) bool {
	for _, l := range d.engines {
		if d.usable(now, l) {
			return true
		}
	}
	return false
}

// pick compares the usable engines by when a run would get going: what lies
// before it there, plus what must be recomputed or taken of its prompt.
func (d *Dispatcher) chooseEngine(now int64, w *trackedRequest) *engineState {
	var best *engineState
	var bc int64
	for _, l := range d.engines {
		if !d.usable(now, l) {
			continue
		}
		take, _, _ := d.transferSource(l, w)
		c := int64(l.active)*3_000 + int64(l.QueueLength)*2_000 + l.SlowUS/4 + int64(l.failuresInRow)*20_000
		own := d.localPrefix(l, w)
		c += int64(len(w.Chain)-max(own, take)-1) * recomputeCostPerBlock
		if take > own {
			c += transferCostFixed + int64(take-own)*transferCostPerBlock
		}
		if l.Zone != d.site {
			c += otherZoneCost
		}
		if w.triedEngines[l.Engine] {
			c += triedBeforeCost // rather than hold up all that wait behind it
		}
		if best == nil || c < bc || c == bc && l.Engine < best.Engine {
			best, bc = l, c
		}
	}
	return best
}

// own is the longest part hinted to be at the lane's engine itself, or -1.
func (d *Dispatcher) localPrefix(l *engineState, w *trackedRequest) int {
	if l.Weights != w.Weights {
		return -1
	}
	for _, h := range w.Hints { // longest first
		if h.Node == l.NodeID {
			return h.Block
		}
	}
	return -1
}

// source is the longest part that the lane's engine may take from elsewhere:
// its holder must be known under current orders, and the link worth trying.
func (d *Dispatcher) transferSource(l *engineState, w *trackedRequest) (part int, node uint64, at string) {
	if l.Weights != w.Weights {
		return -1, 0, ""
	}
	for _, h := range w.Hints {
		p := d.engineByNode[h.Node]
		if h.Node == l.NodeID || p == nil || !p.Store && p.Weights != w.Weights {
			continue
		}
		g, ok := l.TransferScores[h.Node]
		if ok && !cacheindex.UsableScore(g) {
			continue
		}
		return h.Block, h.Node, p.Addr
	}
	return -1, 0, ""
}
