package sim

// span is a period in which a setting was certainly in force: from the acknowledgement of the
// plan that set it until the plan that unset it was sent.
type span struct{ from, to int64 }

const forever = 1 << 60

// heldBetween reports whether one of the spans lies between the computation of a block and its
// use now, after the time that a plan takes to come into force.
func (c *checker) heldBetween(spans []span, origin blockOrigin) bool {
	for _, held := range spans {
		if held.from > 0 && origin.computedAt < held.to && c.fleet.World.now > held.from+planBoundUS {
			return true
		}
	}
	return false
}

// wasIsolated reports whether a group was certainly isolated at a given time and had been for
// at least forUS.
func (c *checker) wasIsolated(group string, at, forUS int64) bool {
	for _, isolated := range c.isolated[group] {
		if isolated.from > 0 && isolated.from+forUS <= at && at < isolated.to {
			return true
		}
	}
	return false
}

// blockReused checks a run that reuses a cached block, by the run that computed the block and
// by what was isolated, removed or changed since, in true time.
func (c *checker) blockReused(origin blockOrigin, run *engineRun) {
	world, group := c.fleet.World, run.request.group
	switch {
	case origin.weights != run.action.Weights:
		world.Violation("cache of older weights", "%s/%s ran under %s on cache computed under %s", group, run.request.id, run.action.Weights, origin.weights)
	case len(c.weightsChanges) > 0 && c.weights == origin.weights && origin.computedAt < c.weightsChanges[len(c.weightsChanges)-1].sentAt && world.now > c.weightsChangedAt+planBoundUS:
		world.Violation("cache of older weights", "%s/%s ran on cache computed at %d, but %s was set again at %d", group, run.request.id, origin.computedAt, origin.weights, c.weightsChanges[len(c.weightsChanges)-1].sentAt)
	case origin.group != group && (c.heldBetween(c.isolated[origin.group], origin) || c.heldBetween(c.isolated[group], origin)):
		world.Violation("isolation violated", "%s/%s ran on cache that %s computed at %d; isolated: %v %v", group, run.request.id, origin.group, origin.computedAt, c.isolated[origin.group], c.isolated[group])
	case origin.group == group && c.heldBetween(c.removed[group], origin) && (c.wasIsolated(group, origin.computedAt, 0) || c.wasIsolated(group, world.now, planBoundUS)):
		world.Violation("isolation violated", "%s/%s ran on cache that an earlier group of the same name computed at %d", group, run.request.id, origin.computedAt)
	}
}
