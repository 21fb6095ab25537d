package sim

import (
	"violetthread/attempt"
)

// Limits on the time from the acknowledgement of an operator's change until it is in force
// everywhere (docs/design.md), including an allowance for the checker's resolution.
const (
	planBoundUS         = 2_000_000
	revocationBoundUS   = 5_000_000
	drainBoundUS        = 3_000_000
	weightUpdateBoundUS = 25_000_000
)

// checker is the test oracle of a fleet. It records, in true time, what operators and the
// platform did and compares it with the externally visible behaviour of callers, engines and
// index nodes.
type checker struct {
	fleet *Fleet

	acknowledged  []acknowledgement // acknowledged plans
	revokedAt     map[string]int64  // by key digest: when the key's removal was acknowledged
	drainingSince map[string]int64  // by engine: when the platform listed it as leaving
	isolated      map[string][]span // by group: when it was isolated
	removed       map[string][]span // by group: when the plan had no such group

	weights          string // weights of the last acknowledged change
	weightsChangedAt int64
	weightsBeingSent string // weights of a plan that is not acknowledged yet
	weightsChanges   []weightsChange

	runsByAttempt  map[string]map[string]int // by request, then by attempt
	completions    map[string]int            // by request
	lastCompletion int64
	onRequestEnded func(*callerRequest, attempt.Outcome)
}

// acknowledgement is the acknowledgement of a plan, in true time.
type acknowledgement struct {
	at       int64
	revision uint64
}

func newChecker(fleet *Fleet) *checker {
	return &checker{
		fleet:         fleet,
		revokedAt:     map[string]int64{},
		drainingSince: map[string]int64{},
		isolated:      map[string][]span{},
		removed:       map[string][]span{},
		runsByAttempt: map[string]map[string]int{},
		completions:   map[string]int{},
	}
}

// onceKinds are the kinds of requests that may run and complete at most once.
var onceKinds = map[string]bool{"tag": true, "confirmation": true}

// inForce returns the newest revision that must be in force everywhere by now.
func (c *checker) inForce(bound int64) uint64 {
	var newest uint64
	for _, acknowledged := range c.acknowledged {
		if c.fleet.World.now-acknowledged.at > bound {
			newest = max(newest, acknowledged.revision)
		}
	}
	return newest
}

// requestAdmitted checks that a gateway does not admit a request by an outdated plan.
func (c *checker) requestAdmitted(request *callerRequest) {
	if inForce := c.inForce(planBoundUS); request.planRevision < inForce {
		c.fleet.World.Violation("outdated plan", "%s admitted %s/%s under revision %d, but %d is in force", request.gateway.Name, request.group, request.id, request.planRevision, inForce)
	}
	c.checkKey(request, "was admitted")
}

// checkKey checks that a request's key was not revoked longer ago than the bound allows.
func (c *checker) checkKey(request *callerRequest, event string) {
	revokedAt, ok := c.revokedAt[request.keyDigest]
	if !ok {
		return
	}
	age := c.fleet.World.now - revokedAt
	if age > revocationBoundUS {
		c.fleet.World.Violation("revoked key accepted", "%s/%s %s %d us after its key was revoked", request.group, request.id, event, age)
		return
	}
	c.fleet.Tally.SlowestRevocationUS = max(c.fleet.Tally.SlowestRevocationUS, age)
}

func (c *checker) pieceDelivered(request *callerRequest) { c.checkKey(request, "received a piece") }

// runStarted checks a run that an engine accepted.
func (c *checker) runStarted(engine *Engine, run *engineRun) {
	world, request, attemptID := c.fleet.World, run.request, run.action.AttemptID
	c.fleet.Tally.Runs++
	key := request.group + "/" + request.id
	if c.runsByAttempt[key] == nil {
		c.runsByAttempt[key] = map[string]int{}
	}
	runs := c.runsByAttempt[key]
	runs[attemptID]++
	if onceKinds[request.kind] && len(runs) > 1 || runs[attemptID] > 1 {
		world.Violation("ran twice", "%s (%s): %v", key, request.kind, runs)
	}
	c.checkKey(request, "began")
	if change, old := c.oldestUnfollowed(run.action.Weights, weightUpdateBoundUS); old {
		world.Violation("old weights served", "%s ran %s under %s, %d us after the change to %s was acknowledged", engine.Name, key, run.action.Weights, world.now-change.acknowledgedAt, change.name)
	}
	c.checkDraining(engine)
	if request.ended {
		world.Violation("ran after its outcome", "%s attempt %s", key, attemptID)
	}
}

// checkDraining checks that an engine does not accept runs longer after it was listed as
// leaving than the bound allows.
func (c *checker) checkDraining(engine *Engine) {
	since, ok := c.drainingSince[engine.Name]
	if !ok {
		return
	}
	age := c.fleet.World.now - since
	if age > drainBoundUS {
		c.fleet.World.Violation("leaving", "%s got a run %d us after it was listed as leaving", engine.Name, age)
	}
	c.fleet.Tally.SlowestDrainUS = max(c.fleet.Tally.SlowestDrainUS, age)
}

// requestEnded checks the final response to the caller.
func (c *checker) requestEnded(request *callerRequest, outcome attempt.Outcome, reason string) {
	if c.onRequestEnded != nil {
		c.onRequestEnded(request, outcome)
	}
	key := request.group + "/" + request.id
	switch outcome {
	case attempt.Done:
		c.requestDone(request, key)
	case attempt.Rejected:
		c.requestRejected(request, key, reason)
	default:
		c.fleet.Tally.Unknown++
	}
	world, gateway := c.fleet.World, request.gateway
	if world.now > request.deadline+500_000 && gateway.up && !gateway.frozen && world.now > gateway.thawedAt+100_000 {
		world.Violation("late response", "%s got the outcome %s %d us after its deadline", key, outcome, world.now-request.deadline)
	}
}

func (c *checker) requestDone(request *callerRequest, key string) {
	c.fleet.Tally.Done++
	c.lastCompletion = c.fleet.World.now
	if request.pieces != piecesPerRun {
		c.fleet.World.Violation("incomplete answer", "%s completed with %d pieces", key, request.pieces)
	}
	if c.completions[key]++; onceKinds[request.kind] && c.completions[key] > 1 {
		c.fleet.World.Violation("completed twice", "%s", key)
	}
}

// requestRejected checks that a rejected request had no effect.
func (c *checker) requestRejected(request *callerRequest, key, reason string) {
	c.fleet.Tally.Rejected++
	if request.pieces > 0 {
		c.fleet.World.Violation("rejected late", "%s was rejected after a piece", key)
	}
	for _, id := range request.attempts {
		if c.runsByAttempt[key][id] > 0 {
			c.fleet.World.Violation("rejected and ran", "%s (%s): attempt %s ran", key, reason, id)
		}
	}
}

// checkInvariants checks invariants that must hold at every instant, sampled at some of the
// events.
func (c *checker) checkInvariants() {
	if c.fleet.World.Events%32 != 0 {
		return
	}
	c.checkOneHolder()
	if c.fleet.World.Events%256 == 0 {
		for _, engine := range c.fleet.Engines {
			c.checkEngineWeights(engine)
		}
	}
}

// checkOneHolder checks that no two index nodes hold the lease of the same role.
func (c *checker) checkOneHolder() {
	holders := map[string]string{}
	for _, indexNode := range c.fleet.IndexNodes {
		if !indexNode.up {
			continue
		}
		for _, role := range indexNode.node.HeldRoles(indexNode.Clock()) {
			if other := holders[role]; other != "" {
				c.fleet.World.Violation("two lease holders", "%s: %s and %s", role, other, indexNode.Name)
			}
			holders[role] = indexNode.Name
		}
	}
}
