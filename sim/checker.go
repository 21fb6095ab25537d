package sim

import (
	"violetthread/attempt"
)

// The bounds of the brief, with what the judge allows for its own resolution.
const (
	planBoundUS         = 2_000_000
	revocationBoundUS   = 5_000_000
	drainBoundUS        = 3_000_000
	weightUpdateBoundUS = 25_000_000
)

// judge knows what operators and the platform did and when, in true time, and
// compares what callers, engines and keepers show from the outside.
type checker struct {
	fleet            *Fleet
	acknowledged     []acknowledgement
	revokedAt        map[string]int64 // digest -> when its removal was acknowledged
	drainingSince    map[string]int64 // engine -> when it showed as leaving
	weights          string
	weightsNamedAt   int64
	namings          []naming
	weightsBeingSent string                    // weights that a plan on its way names
	isolated         map[string][]span         // group -> when it was walled off
	removed          map[string][]span         // group -> when there was none of that name
	runsByAttempt    map[string]map[string]int // ticket -> attempt -> 1
	completions      map[string]int
	lastCompletion   int64
	onRequestEnded   func(*callerRequest, attempt.Outcome)
}

type acknowledgement struct {
	at       int64
	revision uint64
}

func newChecker(fleet *Fleet) *checker {
	return &checker{fleet: fleet, revokedAt: map[string]int64{}, drainingSince: map[string]int64{}, isolated: map[string][]span{}, removed: map[string][]span{}, runsByAttempt: map[string]map[string]int{}, completions: map[string]int{}}
}

var onceKinds = map[string]bool{"tag": true, "confirmation": true}

// inForce is the newest revision that must be in force everywhere by now.
func (c *checker) inForce(bound int64) uint64 {
	var newest uint64
	for _, acknowledged := range c.acknowledged {
		if c.fleet.World.now-acknowledged.at > bound {
			newest = max(newest, acknowledged.revision)
		}
	}
	return newest
}

func (c *checker) requestAdmitted(request *callerRequest) {
	if inForce := c.inForce(planBoundUS); request.planRevision < inForce {
		c.fleet.World.Violation("old plan", "%s allowed %s/%s under revision %d, %d is in force", request.gateway.Name, request.group, request.id, request.planRevision, inForce)
	}
	c.checkKey(request, "was allowed")
}

func (c *checker) checkKey(request *callerRequest, what string) {
	if at, ok := c.revokedAt[request.keyDigest]; ok && c.fleet.World.now-at > revocationBoundUS {
		c.fleet.World.Violation("key works", "%s/%s %s %d us after its key was taken away", request.group, request.id, what, c.fleet.World.now-at)
	} else if ok {
		c.fleet.Tally.SlowestRevocationUS = max(c.fleet.Tally.SlowestRevocationUS, c.fleet.World.now-at)
	}
}

func (c *checker) pieceDelivered(request *callerRequest) { c.checkKey(request, "got a piece") }

func (c *checker) runStarted(engine *Engine, run *engineRun) {
	fleet := c.fleet
	fleet.Tally.Runs++
	request := run.request
	key := request.group + "/" + request.id
	if c.runsByAttempt[key] == nil {
		c.runsByAttempt[key] = map[string]int{}
	}
	c.runsByAttempt[key][run.action.AttemptID]++
	if onceKinds[request.kind] && len(c.runsByAttempt[key]) > 1 || c.runsByAttempt[key][run.action.AttemptID] > 1 {
		fleet.World.Violation("ran twice", "%s (%s): %v", key, request.kind, c.runsByAttempt[key])
	}
	c.checkKey(request, "began")
	if naming, old := c.oldestUnfollowed(run.action.Weights, weightUpdateBoundUS); old {
		fleet.World.Violation("old weights served", "%s ran %s under %s, %d us after %s was named", engine.Name, key, run.action.Weights, fleet.World.now-naming.acknowledgedAt, naming.name)
	}
	if at, ok := c.drainingSince[engine.Name]; ok {
		if fleet.World.now-at > drainBoundUS {
			fleet.World.Violation("leaving", "%s got work %d us after it showed as leaving", engine.Name, fleet.World.now-at)
		}
		fleet.Tally.SlowestDrainUS = max(fleet.Tally.SlowestDrainUS, fleet.World.now-at)
	}
	if request.ended {
		fleet.World.Violation("ran after its end", "%s attempt %s", key, run.action.AttemptID)
	}
}

func (c *checker) requestEnded(request *callerRequest, outcome attempt.Outcome, reason string) {
	fleet := c.fleet
	key := request.group + "/" + request.id
	if c.onRequestEnded != nil {
		c.onRequestEnded(request, outcome)
	}
	switch outcome {
	case attempt.Done:
		fleet.Tally.Done++
		c.lastCompletion = fleet.World.now
		if request.pieces != piecesPerRun {
			fleet.World.Violation("looks whole", "%s was done with %d pieces", key, request.pieces)
		}
		if c.completions[key]++; onceKinds[request.kind] && c.completions[key] > 1 {
			fleet.World.Violation("done twice", "%s", key)
		}
	case attempt.Rejected:
		fleet.Tally.Rejected++
		if request.pieces > 0 {
			fleet.World.Violation("refused late", "%s was refused after a piece", key)
		}
		for _, id := range request.attempts {
			if c.runsByAttempt[key][id] > 0 {
				fleet.World.Violation("refused and ran", "%s (%s): attempt %s ran", key, reason, id)
			}
		}
	default:
		fleet.Tally.Unknown++
	}
	if fleet.World.now > request.deadline+500_000 && request.gateway.up && !request.gateway.frozen && fleet.World.now > request.gateway.thawedAt+100_000 {
		fleet.World.Violation("late word", "%s was told %s %d us after its due", key, outcome, fleet.World.now-request.deadline)
	}
}

// step holds what must be true at every instant.
func (c *checker) checkInvariants() {
	fleet := c.fleet
	if fleet.World.Events%32 != 0 {
		return
	}
	owner := map[string]string{}
	for _, c := range fleet.IndexNodes {
		if !c.up {
			continue
		}
		for _, role := range c.node.HeldRoles(c.Clock()) {
			if other := owner[role]; other != "" {
				fleet.World.Violation("two owners", "%s: %s and %s", role, other, c.Name)
			}
			owner[role] = c.Name
		}
	}
	if fleet.World.Events%256 == 0 {
		for _, engine := range fleet.Engines {
			c.checkEngineWeights(engine)
		}
	}
}
