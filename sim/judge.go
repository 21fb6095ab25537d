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

func newChecker(f *Fleet) *checker {
	return &checker{fleet: f, revokedAt: map[string]int64{}, drainingSince: map[string]int64{}, isolated: map[string][]span{}, removed: map[string][]span{}, runsByAttempt: map[string]map[string]int{}, completions: map[string]int{}}
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

func (c *checker) requestAdmitted(s *callerRequest) {
	if r := c.inForce(planBoundUS); s.planRevision < r {
		c.fleet.World.Violation("old plan", "%s allowed %s/%s under revision %d, %d is in force", s.gateway.Name, s.group, s.id, s.planRevision, r)
	}
	c.checkKey(s, "was allowed")
}

func (c *checker) checkKey(s *callerRequest, what string) {
	if at, ok := c.revokedAt[s.keyDigest]; ok && c.fleet.World.now-at > revocationBoundUS {
		c.fleet.World.Violation("key works", "%s/%s %s %d us after its key was taken away", s.group, s.id, what, c.fleet.World.now-at)
	} else if ok {
		c.fleet.Tally.SlowestRevocationUS = max(c.fleet.Tally.SlowestRevocationUS, c.fleet.World.now-at)
	}
}

func (c *checker) pieceDelivered(s *callerRequest) { c.checkKey(s, "got a piece") }

var onceKinds = map[string]bool{"tag": true, "confirmation": true}

func (c *checker) runStarted(e *Engine, r *engineRun) {
	f := c.fleet
	f.Tally.Runs++
	s := r.request
	k := s.group + "/" + s.id
	if c.runsByAttempt[k] == nil {
		c.runsByAttempt[k] = map[string]int{}
	}
	c.runsByAttempt[k][r.action.AttemptID]++
	if onceKinds[s.kind] && len(c.runsByAttempt[k]) > 1 || c.runsByAttempt[k][r.action.AttemptID] > 1 {
		f.World.Violation("ran twice", "%s (%s): %v", k, s.kind, c.runsByAttempt[k])
	}
	c.checkKey(s, "began")
	if n, old := c.oldestUnfollowed(r.action.Weights, weightUpdateBoundUS); old {
		f.World.Violation("old weights served", "%s ran %s under %s, %d us after %s was named", e.Name, k, r.action.Weights, f.World.now-n.acknowledgedAt, n.name)
	}
	if at, ok := c.drainingSince[e.Name]; ok {
		if f.World.now-at > drainBoundUS {
			f.World.Violation("leaving", "%s got work %d us after it showed as leaving", e.Name, f.World.now-at)
		}
		f.Tally.SlowestDrainUS = max(f.Tally.SlowestDrainUS, f.World.now-at)
	}
	if s.ended {
		f.World.Violation("ran after its end", "%s attempt %s", k, r.action.AttemptID)
	}
}

// span is when something surely held: from the acknowledgement of the plan that
// began it to the sending of the one that ended it.
type span struct{ from, to int64 }

const forever = 1 << 60

// between reports whether a span lies between the making of a part and its use,
// with the time that a plan has to come into force.
func (c *checker) heldBetween(ss []span, m blockOrigin) bool {
	for _, x := range ss {
		if x.from > 0 && m.madeAt < x.to && c.fleet.World.now > x.from+planBoundUS {
			return true
		}
	}
	return false
}

// behind reports whether a group was surely walled off at a time.
func (c *checker) wasIsolated(g string, at, since int64) bool {
	for _, x := range c.isolated[g] {
		if x.from > 0 && x.from+since <= at && at < x.to {
			return true
		}
	}
	return false
}

// reused judges a run that goes on from a kept part, by who made it and by what
// has been walled off, removed or named since, in true time.
func (c *checker) blockReused(m blockOrigin, r *engineRun) {
	world, g := c.fleet.World, r.request.group
	switch {
	case m.weights != r.action.Weights:
		world.Violation("older weights' cache", "%s/%s ran under %s on cache made under %s", g, r.request.id, r.action.Weights, m.weights)
	case len(c.namings) > 0 && c.weights == m.weights && m.madeAt < c.namings[len(c.namings)-1].sentAt && world.now > c.weightsNamedAt+planBoundUS:
		world.Violation("older weights' cache", "%s/%s ran on cache of %d, %s was named again at %d", g, r.request.id, m.madeAt, m.weights, c.namings[len(c.namings)-1].sentAt)
	case m.group != g && (c.heldBetween(c.isolated[m.group], m) || c.heldBetween(c.isolated[g], m)):
		world.Violation("wall crossed", "%s/%s ran on cache that %s made at %d; walls since: %v %v", g, r.request.id, m.group, m.madeAt, c.isolated[m.group], c.isolated[g])
	case m.group == g && c.heldBetween(c.removed[g], m) && (c.wasIsolated(g, m.madeAt, 0) || c.wasIsolated(g, world.now, planBoundUS)):
		world.Violation("wall crossed", "%s/%s ran on cache that another group of that name made at %d", g, r.request.id, m.madeAt)
	}
}

func (c *checker) requestEnded(s *callerRequest, o attempt.Outcome, why string) {
	f := c.fleet
	k := s.group + "/" + s.id
	if c.onRequestEnded != nil {
		c.onRequestEnded(s, o)
	}
	switch o {
	case attempt.Done:
		f.Tally.Done++
		c.lastCompletion = f.World.now
		if s.pieces != piecesPerRun {
			f.World.Violation("looks whole", "%s was done with %d pieces", k, s.pieces)
		}
		if c.completions[k]++; onceKinds[s.kind] && c.completions[k] > 1 {
			f.World.Violation("done twice", "%s", k)
		}
	case attempt.Rejected:
		f.Tally.Rejected++
		if s.pieces > 0 {
			f.World.Violation("refused late", "%s was refused after a piece", k)
		}
		for _, a := range s.attempts {
			if c.runsByAttempt[k][a] > 0 {
				f.World.Violation("refused and ran", "%s (%s): attempt %s ran", k, why, a)
			}
		}
	default:
		f.Tally.Unknown++
	}
	if f.World.now > s.deadline+500_000 && s.gateway.up && !s.gateway.frozen && f.World.now > s.gateway.thawedAt+100_000 {
		f.World.Violation("late word", "%s was told %s %d us after its due", k, o, f.World.now-s.deadline)
	}
}

// step holds what must be true at every instant.
func (c *checker) checkInvariants() {
	f := c.fleet
	if f.World.Events%32 != 0 {
		return
	}
	owner := map[string]string{}
	for _, c := range f.IndexNodes {
		if !c.up {
			continue
		}
		for _, d := range c.node.HeldRoles(c.Clock()) {
			if o := owner[d]; o != "" {
				f.World.Violation("two owners", "%s: %s and %s", d, o, c.Name)
			}
			owner[d] = c.Name
		}
	}
	if f.World.Events%256 == 0 {
		for _, e := range f.Engines {
			c.checkEngineWeights(e)
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
func (c *checker) checkEngineWeights(e *Engine) {
	f := c.fleet
	if e.store {
		return
	}
	if !e.up || e.frozen || e.ignoresWeights || c.drainingSince[e.Name] != 0 || f.World.hasCutLink(e.Host) {
		e.unreachableUntil = f.World.now
		return
	}
	for i, n := range c.namings {
		if slices.ContainsFunc(c.namings[i:], func(m naming) bool { return m.name == e.weights }) || c.weightsBeingSent == e.weights {
			continue
		}
		took := f.World.now - max(n.acknowledgedAt, e.unreachableUntil)
		f.Tally.SlowestWeightUpdateUS = max(f.Tally.SlowestWeightUpdateUS, took)
		if took > weightUpdateBoundUS {
			f.World.Violation("old weights", "%s runs %s %d us after %s was named", e.Name, e.weights, f.World.now-n.acknowledgedAt, n.name)
		}
		return
	}
}

// Groups of a simulated deployment; the walled ones share nothing.
var simGroups = []string{"desk", "east", "west", "walled"}

func simKey(g string, n int) string { return plan.KeyDigest(fmt.Sprintf("%s-%d", g, n)) }

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
func NewFleetOperator(f *Fleet) *FleetOperator {
	s := &FleetOperator{fleet: f, keyNumbers: map[string]int{}, open: map[string]bool{"desk": true, "east": true, "west": true}, removed: map[string]bool{}, weights: 1}
	f.checker.isolated["walled"] = []span{{1, forever}}
	s.host = f.World.NewHost("operator", "north", func() {})
	s.host.Start()
	return s
}

func (o *FleetOperator) nextPlan() []byte {
	o.plansMade++
	p := plan.Plan{Weights: fmt.Sprint("w", o.weights), Groups: map[string]plan.Group{}, Kinds: map[string]plan.Kind{
		"check":        {DueUS: 8_000_000, TypicalUS: 300_000},
		"confirmation": {DueUS: 6_000_000, TypicalUS: 300_000, Once: true},
		"tag":          {DueUS: 5_000_000, TypicalUS: 250_000, Once: true},
	}, Notes: map[string]any{"n": o.plansMade}}
	for i, g := range simGroups {
		if o.removed[g] {
			continue
		}
		p.Groups[g] = plan.Group{Share: float64(4 - i), Isolated: !o.open[g], Keys: []string{simKey(g, o.keyNumbers[g])}}
	}
	b, _ := json.Marshal(p)
	if _, fs := plan.Parse(b); len(fs) > 0 {
		o.fleet.World.Violation("plan", "%v", fs)
	}
	return b
}

// Put sends a plan and tells the judge when it was acknowledged.
func (o *FleetOperator) PutPlan(then func()) {
	if o.busy {
		return
	}
	o.busy = true
	b := o.nextPlan()
	var try func(i int)
	again := func(i int) { o.host.After(50_000, func() { try(i + 1) }) }
	try = func(i int) {
		o.propose(i, quorum.Operation{Type: quorum.OpGet, Key: planKey}, again, func(at quorum.Result) {
			v, err := plan.Encode(at.Value, b, at.Revision+1)
			if err != nil {
				o.fleet.World.Violation("plan", "%v", err)
				return
			}
			o.propose(i, quorum.Operation{Type: quorum.OpPut, Key: planKey, Value: v, ExpectedRevision: at.Revision}, again, func(a quorum.Result) {
				o.busy = false
				o.fleet.checker.acknowledged = append(o.fleet.checker.acknowledged, acknowledgement{o.fleet.World.now, a.Revision})
				o.fleet.Tally.PlansAcknowledged++
				if a.Revision <= o.revision {
					o.fleet.World.Violation("lost plan", "revision %d was given after %d", a.Revision, o.revision)
				}
				o.revision = a.Revision
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
	r := o.fleet.Cluster.Nodes[i%len(o.fleet.Cluster.Nodes)] // an operator tries all that ever were
	Call(o.host, r.Host, op, 1_500_000, func(q quorum.Operation, rep func(quorum.Result)) { r.Forward(q, 0, rep) },
		func(a quorum.Result) {
			if a.Status != quorum.StatusDone {
				no(i)
				return
			}
			yes(a)
		}, func() { no(i) })
}

// TakeKey replaces a group's key; the old one must stop working.
func (o *FleetOperator) RevokeKey(g string) {
	if o.busy {
		return
	}
	old := simKey(g, o.keyNumbers[g])
	o.keyNumbers[g]++
	o.PutPlan(func() {
		o.fleet.checker.revokedAt[old] = o.fleet.World.now
		o.fleet.Tally.KeysRevoked++
		o.fleet.World.Notef("key of %s taken", g)
	})
}

// Wall walls a group off, or opens it.
func (o *FleetOperator) ToggleIsolation(g string) {
	if o.busy || o.removed[g] {
		return
	}
	o.open[g] = !o.open[g]
	o.putChange(o.fleet.checker.isolated, g, !o.open[g])
}

// Remove takes a group out of the plan, or puts one of that name in again.
func (o *FleetOperator) ToggleGroup(g string) {
	if o.busy || g == "desk" { // one group stays
		return
	}
	o.removed[g] = !o.removed[g]
	o.putChange(o.fleet.checker.removed, g, o.removed[g])
}

// spell puts the plan in force and tells the judge what began or ended with it.
func (o *FleetOperator) putChange(m map[string][]span, g string, begins bool) {
	if n := len(m[g]); !begins && n > 0 {
		m[g][n-1].to = o.fleet.World.now
	}
	if begins {
		m[g] = append(m[g], span{0, forever}) // from its acknowledgement on
	}
	o.PutPlan(func() {
		if n := len(m[g]); begins {
			m[g][n-1].from = o.fleet.World.now
		}
		o.fleet.Tally.IsolationChanges++
		o.fleet.World.Notef("walls moved: %s, open %v, gone %v", g, o.open[g], o.removed[g])
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
	f := o.fleet
	mark := func(v bool) {
		for i := range f.listing {
			if f.listing[i].Name == n {
				f.listing[i].Leaving = v
			}
		}
	}
	if f.checker.drainingSince[n] != 0 {
		return
	}
	mark(true)
	f.checker.drainingSince[n] = f.World.now
	f.Tally.EnginesDrained++
	f.World.Notef("%s leaving", n)
	f.World.At(f.World.now+back, func() {
		mark(false)
		delete(f.checker.drainingSince, n)
	})
}
