package sim

import (
	"slices"
)

// weightsChange is a change of the weights in the plan, with the times at which the plan was
// sent and acknowledged.
type weightsChange struct {
	name                   string
	sentAt, acknowledgedAt int64
}

// oldestUnfollowed finds the oldest weights change, acknowledged longer ago than the bound,
// that an engine running the given weights has not followed: neither that change nor any later
// one set these weights.
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

// checkEngineWeights checks an engine against each weights change, starting from the time when
// the engine could last be reached: up, not frozen, listed and not leaving. An engine that
// ignores the update is no violation here; runStarted checks that it gets no more runs.
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
			fleet.World.Violation("old weights", "%s runs %s %d us after the change to %s was acknowledged", engine.Name, engine.weights, fleet.World.now-candidate.acknowledgedAt, candidate.name)
		}
		return
	}
}
