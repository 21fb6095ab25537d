package sim

// span is when something surely held: from the acknowledgement of the plan that
// began it to the sending of the one that ended it.
type span struct{ from, to int64 }

const forever = 1 << 60

// heldBetween reports whether a span lies between the computing of a block and its use, with
// the time that a plan has to come into force.
func (c *checker) heldBetween(spans []span, origin blockOrigin) bool {
	for _, held := range spans {
		if held.from > 0 && origin.computedAt < held.to && c.fleet.World.now > held.from+planBoundUS {
			return true
		}
	}
	return false
}

// wasIsolated reports whether a group was certainly isolated at a time, for so long.
func (c *checker) wasIsolated(group string, at, forUS int64) bool {
	for _, isolated := range c.isolated[group] {
		if isolated.from > 0 && isolated.from+forUS <= at && at < isolated.to {
			return true
		}
	}
	return false
}

// blockReused checks a run that goes on from a cached block, by who computed it and by what
// has been isolated, removed or named since, in true time.
func (c *checker) blockReused(origin blockOrigin, run *engineRun) {
	world, group := c.fleet.World, run.request.group
	switch {
	case origin.weights != run.action.Weights:
		world.Violation("older weights' cache", "%s/%s ran under %s on cache made under %s", group, run.request.id, run.action.Weights, origin.weights)
	case len(c.weightsChanges) > 0 && c.weights == origin.weights && origin.computedAt < c.weightsChanges[len(c.weightsChanges)-1].sentAt && world.now > c.weightsChangedAt+planBoundUS:
		world.Violation("older weights' cache", "%s/%s ran on cache of %d, %s was named again at %d", group, run.request.id, origin.computedAt, origin.weights, c.weightsChanges[len(c.weightsChanges)-1].sentAt)
	case origin.group != group && (c.heldBetween(c.isolated[origin.group], origin) || c.heldBetween(c.isolated[group], origin)):
		world.Violation("wall crossed", "%s/%s ran on cache that %s made at %d; walls since: %v %v", group, run.request.id, origin.group, origin.computedAt, c.isolated[origin.group], c.isolated[group])
	case origin.group == group && c.heldBetween(c.removed[group], origin) && (c.wasIsolated(group, origin.computedAt, 0) || c.wasIsolated(group, world.now, planBoundUS)):
		world.Violation("wall crossed", "%s/%s ran on cache that another group of that name made at %d", group, run.request.id, origin.computedAt)
	}
}
