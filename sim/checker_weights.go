package sim

import (
	"slices"
)

// naming is one naming of weights: when its plan was sent, and acknowledged.
type weightsChange struct {
	name                   string
	sentAt, acknowledgedAt int64
}

// oldestUnfollowed finds the oldest naming that an engine running these weights has not
// followed for so long: neither it nor any later one names them.
func (c *checker) oldestUnfollowed(weights string, bound int64) (weightsChange, bool) {
	for i, candidate := range c.weightsChanges {
		if c.fleet.World.now-candidate.acknowledgedAt <= bound {
			break
		}
		if !slices.ContainsFunc(c.weightsChanges[i:], func(later weightsChange) bool { return later.name == weights }) && c.weightsBeingSent != weights {
			return candidate, true
		}
	}
	return weightsChange{}, false
}

// checkEngineWeights checks each engine against each naming by itself, from when the engine
// could last be told: up, not frozen, listed and not leaving. One that ignores the update is
// nobody's fault; that it serves nothing any more is checked at every run.
func (c *checker) checkEngineWeights(engine *Engine) {
	fleet := c.fleet
	if engine.store {
		return
	}
	if !engine.up || engine.frozen || engine.ignoresWeights || c.drainingSince[engine.Name] != 0 || fleet.World.hasCutLink(engine.Host) {
		engine.unreachableUntil = fleet.World.now
		return
	}
	for i, candidate := range c.weightsChanges {
		if slices.ContainsFunc(c.weightsChanges[i:], func(later weightsChange) bool { return later.name == engine.weights }) || c.weightsBeingSent == engine.weights {
			continue
		}
		took := fleet.World.now - max(candidate.acknowledgedAt, engine.unreachableUntil)
		fleet.Tally.SlowestWeightUpdateUS = max(fleet.Tally.SlowestWeightUpdateUS, took)
		if took > weightUpdateBoundUS {
			fleet.World.Violation("old weights", "%s runs %s %d us after %s was named", engine.Name, engine.weights, fleet.World.now-candidate.acknowledgedAt, candidate.name)
		}
		return
	}
}
