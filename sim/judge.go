package sim

import (
	"encoding/json"
	"fmt"
	"slices"

	"violetthread/attempt"
	"violetthread/plan"
	"violetthread/quorum"
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

// naming is one naming of weights: when its plan was sent, and acknowledged.
type naming struct {
	name                   string
	sentAt, acknowledgedAt int64
}

type acknowledgement struct {
	at       int64
	revision uint64
}

func newChecker(fleet *Fleet) *checker {
	return &checker{fleet: fleet, revokedAt: map[string]int64{}, drainingSince: map[string]int64{}, isolated: map[string][]span{}, removed: map[string][]span{}, runsByAttempt: map[string]map[string]int{}, completions: map[string]int{}}
}

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

var onceKinds = map[string]bool{"tag": true, "confirmation": true}

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

// span is when something surely held: from the acknowledgement of the plan that
// began it to the sending of the one that ended it.
type span struct{ from, to int64 }

const forever = 1 << 60

// between reports whether a span lies between the making of a part and its use,
// with the time that a plan has to come into force.
func (c *checker) heldBetween(ss []span, origin blockOrigin) bool {
	for _, interval := range ss {
		if interval.from > 0 && origin.madeAt < interval.to && c.fleet.World.now > interval.from+planBoundUS {
			return true
		}
	}
	return false
}

// behind reports whether a group was surely walled off at a time.
func (c *checker) wasIsolated(group string, at, since int64) bool {
	for _, interval := range c.isolated[group] {
		if interval.from > 0 && interval.from+since <= at && at < interval.to {
			return true
		}
	}
	return false
}

// reused judges a run that goes on from a kept part, by who made it and by what
// has been walled off, removed or named since, in true time.
func (c *checker) blockReused(origin blockOrigin, run *engineRun) {
	world, group := c.fleet.World, run.request.group
	switch {
	case origin.weights != run.action.Weights:
		world.Violation("older weights' cache", "%s/%s ran under %s on cache made under %s", group, run.request.id, run.action.Weights, origin.weights)
	case len(c.namings) > 0 && c.weights == origin.weights && origin.madeAt < c.namings[len(c.namings)-1].sentAt && world.now > c.weightsNamedAt+planBoundUS:
		world.Violation("older weights' cache", "%s/%s ran on cache of %d, %s was named again at %d", group, run.request.id, origin.madeAt, origin.weights, c.namings[len(c.namings)-1].sentAt)
	case origin.group != group && (c.heldBetween(c.isolated[origin.group], origin) || c.heldBetween(c.isolated[group], origin)):
		world.Violation("wall crossed", "%s/%s ran on cache that %s made at %d; walls since: %v %v", group, run.request.id, origin.group, origin.madeAt, c.isolated[origin.group], c.isolated[group])
	case origin.group == group && c.heldBetween(c.removed[group], origin) && (c.wasIsolated(group, origin.madeAt, 0) || c.wasIsolated(group, world.now, planBoundUS)):
		world.Violation("wall crossed", "%s/%s ran on cache that another group of that name made at %d", group, run.request.id, origin.madeAt)
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

// unheeded finds the oldest naming that an engine running these weights has not
// followed for so long: neither it nor any later one names them.
func (c *checker) oldestUnfollowed(weights string, bound int64) (naming, bool) {
	for i, n := range c.namings {
		if c.fleet.World.now-n.acknowledgedAt <= bound {
			break
		}
		if !slices.ContainsFunc(c.namings[i:], func(m naming) bool { return m.name == weights }) && c.weightsBeingSent != weights {
			return n, true
		}
	}
	return naming{}, false
}

// turned holds each engine to each naming by itself, from when the engine could
// last be told: up, not frozen, listed and not leaving. One that refuses to turn is
// out of our hands; that it serves nothing any more is judged at every run.
func (c *checker) checkEngineWeights(engine *Engine) {
	fleet := c.fleet
	if engine.store {
		return
	}
	if !engine.up || engine.frozen || engine.ignoresWeights || c.drainingSince[engine.Name] != 0 || fleet.World.hasCutLink(engine.Host) {
		engine.unreachableUntil = fleet.World.now
		return
	}
	for i, n := range c.namings {
		if slices.ContainsFunc(c.namings[i:], func(m naming) bool { return m.name == engine.weights }) || c.weightsBeingSent == engine.weights {
			continue
		}
		took := fleet.World.now - max(n.acknowledgedAt, engine.unreachableUntil)
		fleet.Tally.SlowestWeightUpdateUS = max(fleet.Tally.SlowestWeightUpdateUS, took)
		if took > weightUpdateBoundUS {
			fleet.World.Violation("old weights", "%s runs %s %d us after %s was named", engine.Name, engine.weights, fleet.World.now-n.acknowledgedAt, n.name)
		}
		return
	}
}

// Groups of a simulated deployment; the walled ones share nothing.
var simGroups = []string{"desk", "east", "west", "walled"}

func simKey(group string, n int) string { return plan.KeyDigest(fmt.Sprintf("%s-%d", group, n)) }

// Script is what operators and the platform do on a day.
type FleetOperator struct {
	fleet      *Fleet
	host       *Host
	keyNumbers map[string]int // group -> number of its present key
	open       map[string]bool
	removed    map[string]bool
	weights    int
	revision   uint64
	busy       bool
	plansMade  int
}

// NewScript puts a first plan in force and keeps operators at work.
func NewFleetOperator(fleet *Fleet) *FleetOperator {
	operator := &FleetOperator{fleet: fleet, keyNumbers: map[string]int{}, open: map[string]bool{"desk": true, "east": true, "west": true}, removed: map[string]bool{}, weights: 1}
	fleet.checker.isolated["walled"] = []span{{1, forever}}
	operator.host = fleet.World.NewHost("operator", "north", func() {})
	operator.host.Start()
	return operator
}

func (o *FleetOperator) nextPlan() []byte {
	o.plansMade++
	p := plan.Plan{Weights: fmt.Sprint("w", o.weights), Groups: map[string]plan.Group{}, Kinds: map[string]plan.Kind{
		"check":        {DueUS: 8_000_000, TypicalUS: 300_000},
		"confirmation": {DueUS: 6_000_000, TypicalUS: 300_000, Once: true},
		"tag":          {DueUS: 5_000_000, TypicalUS: 250_000, Once: true},
	}, Notes: map[string]any{"n": o.plansMade}}
	for i, group := range simGroups {
		if o.removed[group] {
			continue
		}
		p.Groups[group] = plan.Group{Share: float64(4 - i), Isolated: !o.open[group], Keys: []string{simKey(group, o.keyNumbers[group])}}
	}
	data, _ := json.Marshal(p)
	if _, fs := plan.Parse(data); len(fs) > 0 {
		o.fleet.World.Violation("plan", "%v", fs)
	}
	return data
}

// Put sends a plan and tells the judge when it was acknowledged.
func (o *FleetOperator) PutPlan(then func()) {
	if o.busy {
		return
	}
	o.busy = true
	data := o.nextPlan()
	var try func(i int)
	again := func(i int) { o.host.After(50_000, func() { try(i + 1) }) }
	try = func(i int) {
		o.propose(i, quorum.Operation{Type: quorum.OpGet, Key: planKey}, again, func(current quorum.Result) {
			v, err := plan.Encode(current.Value, data, current.Revision+1)
			if err != nil {
				o.fleet.World.Violation("plan", "%v", err)
				return
			}
			o.propose(i, quorum.Operation{Type: quorum.OpPut, Key: planKey, Value: v, ExpectedRevision: current.Revision}, again, func(result quorum.Result) {
				o.busy = false
				o.fleet.checker.acknowledged = append(o.fleet.checker.acknowledged, acknowledgement{o.fleet.World.now, result.Revision})
				o.fleet.Tally.PlansAcknowledged++
				if result.Revision <= o.revision {
					o.fleet.World.Violation("lost plan", "revision %d was given after %d", result.Revision, o.revision)
				}
				o.revision = result.Revision
				if then != nil {
					then()
				}
			})
		})
	}
	try(o.fleet.World.Rng.Intn(4))
}

// ask carries an operator's operation to a control node.
func (o *FleetOperator) propose(i int, op quorum.Operation, no func(int), yes func(quorum.Result)) {
	node := o.fleet.Cluster.Nodes[i%len(o.fleet.Cluster.Nodes)] // an operator tries all that ever were
	Call(o.host, node.Host, op, 1_500_000, func(operation quorum.Operation, reply func(quorum.Result)) { node.Forward(operation, 0, reply) },
		func(result quorum.Result) {
			if result.Status != quorum.StatusDone {
				no(i)
				return
			}
			yes(result)
		}, func() { no(i) })
}

// TakeKey replaces a group's key; the old one must stop working.
func (o *FleetOperator) RevokeKey(group string) {
	if o.busy {
		return
	}
	old := simKey(group, o.keyNumbers[group])
	o.keyNumbers[group]++
	o.PutPlan(func() {
		o.fleet.checker.revokedAt[old] = o.fleet.World.now
		o.fleet.Tally.KeysRevoked++
		o.fleet.World.Notef("key of %s taken", group)
	})
}

// Wall walls a group off, or opens it.
func (o *FleetOperator) ToggleIsolation(group string) {
	if o.busy || o.removed[group] {
		return
	}
	o.open[group] = !o.open[group]
	o.putChange(o.fleet.checker.isolated, group, !o.open[group])
}

// Remove takes a group out of the plan, or puts one of that name in again.
func (o *FleetOperator) ToggleGroup(group string) {
	if o.busy || group == "desk" { // one group stays
		return
	}
	o.removed[group] = !o.removed[group]
	o.putChange(o.fleet.checker.removed, group, o.removed[group])
}

// spell puts the plan in force and tells the judge what began or ended with it.
func (o *FleetOperator) putChange(m map[string][]span, group string, begins bool) {
	if n := len(m[group]); !begins && n > 0 {
		m[group][n-1].to = o.fleet.World.now
	}
	if begins {
		m[group] = append(m[group], span{0, forever}) // from its acknowledgement on
	}
	o.PutPlan(func() {
		if n := len(m[group]); begins {
			m[group][n-1].from = o.fleet.World.now
		}
		o.fleet.Tally.IsolationChanges++
		o.fleet.World.Notef("walls moved: %s, open %v, gone %v", group, o.open[group], o.removed[group])
	})
}

// Name names new weights, and now and then those of before.
func (o *FleetOperator) NameWeights() {
	if o.busy {
		return
	}
	if o.weights > 1 && o.fleet.World.Rng.Intn(3) == 0 {
		o.weights--
	} else {
		o.weights++
	}
	n, sent := fmt.Sprint("w", o.weights), o.fleet.World.now
	o.fleet.checker.weightsBeingSent = n
	o.PutPlan(func() {
		o.fleet.checker.namings = append(o.fleet.checker.namings, naming{n, sent, o.fleet.World.now})
		o.fleet.checker.weights, o.fleet.checker.weightsNamedAt = n, o.fleet.World.now
		o.fleet.Tally.WeightsNamed++
		o.fleet.World.Notef("weights %s named", n)
	})
}

// Leave marks an engine as leaving, and lists it again later.
func (o *FleetOperator) DrainEngine(n string, back int64) {
	fleet := o.fleet
	mark := func(v bool) {
		for i := range fleet.listing {
			if fleet.listing[i].Name == n {
				fleet.listing[i].Leaving = v
			}
		}
	}
	if fleet.checker.drainingSince[n] != 0 {
		return
	}
	mark(true)
	fleet.checker.drainingSince[n] = fleet.World.now
	fleet.Tally.EnginesDrained++
	fleet.World.Notef("%s leaving", n)
	fleet.World.At(fleet.World.now+back, func() {
		mark(false)
		delete(fleet.checker.drainingSince, n)
	})
}
