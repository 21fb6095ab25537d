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

// checker is the test oracle of a fleet: it knows what operators and the platform did and
// when, in true time, and compares what callers, engines and index nodes show from outside.
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
	runsByAttempt    map[string]map[string]int // request -> attempt -> 1
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
	var r uint64
	for _, a := range c.acknowledged {
		if c.fleet.World.now-a.at > bound {
			r = max(r, a.revision)
		}
	}
	return r
}

func (c *checker) requestAdmitted(request *callerRequest) {
	if r := c.inForce(planBoundUS); request.planRevision < r {
		c.fleet.World.Violation("old plan", "%s allowed %s/%s under revision %d, %d is in force", request.gateway.Name, request.group, request.id, request.planRevision, r)
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
	k := request.group + "/" + request.id
	if c.runsByAttempt[k] == nil {
		c.runsByAttempt[k] = map[string]int{}
	}
	c.runsByAttempt[k][run.action.AttemptID]++
	if onceKinds[request.kind] && len(c.runsByAttempt[k]) > 1 || c.runsByAttempt[k][run.action.AttemptID] > 1 {
		fleet.World.Violation("ran twice", "%s (%s): %v", k, request.kind, c.runsByAttempt[k])
	}
	c.checkKey(request, "began")
	if naming, old := c.oldestUnfollowed(run.action.Weights, weightUpdateBoundUS); old {
		fleet.World.Violation("old weights served", "%s ran %s under %s, %d us after %s was named", engine.Name, k, run.action.Weights, fleet.World.now-naming.acknowledgedAt, naming.name)
	}
	if at, ok := c.drainingSince[engine.Name]; ok {
		if fleet.World.now-at > drainBoundUS {
			fleet.World.Violation("leaving", "%s got work %d us after it showed as leaving", engine.Name, fleet.World.now-at)
		}
		fleet.Tally.SlowestDrainUS = max(fleet.Tally.SlowestDrainUS, fleet.World.now-at)
	}
	if request.ended {
		fleet.World.Violation("ran after its end", "%s attempt %s", k, run.action.AttemptID)
	}
}

func (c *checker) requestEnded(request *callerRequest, outcome attempt.Outcome, why string) {
	fleet := c.fleet
	k := request.group + "/" + request.id
	if c.onRequestEnded != nil {
		c.onRequestEnded(request, outcome)
	}
	switch outcome {
	case attempt.Done:
		fleet.Tally.Done++
		c.lastCompletion = fleet.World.now
		if request.pieces != piecesPerRun {
			fleet.World.Violation("looks whole", "%s was done with %d pieces", k, request.pieces)
		}
		if c.completions[k]++; onceKinds[request.kind] && c.completions[k] > 1 {
			fleet.World.Violation("done twice", "%s", k)
		}
	case attempt.Rejected:
		fleet.Tally.Rejected++
		if request.pieces > 0 {
			fleet.World.Violation("refused late", "%s was refused after a piece", k)
		}
		for _, a := range request.attempts {
			if c.runsByAttempt[k][a] > 0 {
				fleet.World.Violation("refused and ran", "%s (%s): attempt %s ran", k, why, a)
			}
		}
	default:
		fleet.Tally.Unknown++
	}
	if fleet.World.now > request.deadline+500_000 && request.gateway.up && !request.gateway.frozen && fleet.World.now > request.gateway.thawedAt+100_000 {
		fleet.World.Violation("late word", "%s was told %s %d us after its due", k, outcome, fleet.World.now-request.deadline)
	}
}

// checkInvariants checks what must be true at every instant.
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
		for _, d := range c.node.HeldRoles(c.Clock()) {
			if o := owner[d]; o != "" {
				fleet.World.Violation("two owners", "%s: %s and %s", d, o, c.Name)
			}
			owner[d] = c.Name
		}
	}
	if fleet.World.Events%256 == 0 {
		for _, engine := range fleet.Engines {
			c.checkEngineWeights(engine)
		}
	}
}
