package sim

import (
	"encoding/json"
	"fmt"

	"violetthread/plan"
	"violetthread/quorum"
)

// simGroups are the groups of a simulated deployment; the isolated one shares no cache.
var simGroups = []string{"desk", "east", "west", "walled"}

// simKey is the digest of a group's key of a number.
func simKey(group string, number int) string {
	return plan.KeyDigest(fmt.Sprintf("%s-%d", group, number))
}

// FleetOperator is what operators and the platform do on a day. One plan is under way at a
// time; what is asked for meanwhile is left out.
type FleetOperator struct {
	fleet      *Fleet
	host       *Host
	keyNumbers map[string]int  // by group: number of its present key
	open       map[string]bool // groups that share their cache
	removed    map[string]bool // groups that are not in the plan
	weights    int             // number of those that were named last
	revision   uint64          // of the plan that was acknowledged last
	busy       bool            // a plan is under way
	plansMade  int
}

// NewFleetOperator adds an operator; its first plan is put by PutPlan.
func NewFleetOperator(fleet *Fleet) *FleetOperator {
	operator := &FleetOperator{
		fleet:      fleet,
		keyNumbers: map[string]int{},
		open:       map[string]bool{"desk": true, "east": true, "west": true},
		removed:    map[string]bool{},
		weights:    1,
	}
	fleet.checker.isolated["walled"] = []span{{1, forever}}
	operator.host = fleet.World.NewHost("operator", "north", func() {})
	operator.host.Start()
	return operator
}

// nextPlan is the plan as the operator now wants it.
func (o *FleetOperator) nextPlan() []byte {
	o.plansMade++
	next := plan.Plan{
		Weights: fmt.Sprint("w", o.weights),
		Groups:  map[string]plan.Group{},
		Kinds: map[string]plan.Kind{
			"check":        {DueUS: 8_000_000, TypicalUS: 300_000},
			"confirmation": {DueUS: 6_000_000, TypicalUS: 300_000, Once: true},
			"tag":          {DueUS: 5_000_000, TypicalUS: 250_000, Once: true},
		},
		Notes: map[string]any{"n": o.plansMade},
	}
	for i, group := range simGroups {
		if !o.removed[group] {
			next.Groups[group] = plan.Group{Share: float64(4 - i), Isolated: !o.open[group], Keys: []string{simKey(group, o.keyNumbers[group])}}
		}
	}
	data, _ := json.Marshal(next)
	if _, findings := plan.Parse(data); len(findings) > 0 {
		o.fleet.World.Violation("plan", "%v", findings)
	}
	return data
}

// PutPlan sends a plan until it is acknowledged, tells the checker when, and calls then,
// unless that is nil.
func (o *FleetOperator) PutPlan(then func()) {
	if o.busy {
		return
	}
	o.busy = true
	o.tryPlan(o.nextPlan(), o.fleet.World.Rng.Intn(4), then)
}

// tryPlan replaces the present plan at one control node, and goes on to the next one if
// that fails.
func (o *FleetOperator) tryPlan(text []byte, number int, then func()) {
	retry := func() {
		o.host.After(50_000, func() { o.tryPlan(text, number+1, then) })
	}
	read := quorum.Operation{Type: quorum.OpGet, Key: planKey}
	o.propose(number, read, retry, func(current quorum.Result) {
		value, err := plan.Encode(current.Value, text, current.Revision+1)
		if err != nil {
			o.fleet.World.Violation("plan", "%v", err)
			return
		}
		put := quorum.Operation{Type: quorum.OpPut, Key: planKey, Value: value, ExpectedRevision: current.Revision}
		o.propose(number, put, retry, func(result quorum.Result) {
			o.planAcknowledged(result.Revision)
			if then != nil {
				then()
			}
		})
	})
}

func (o *FleetOperator) planAcknowledged(revision uint64) {
	o.busy = false
	fleet := o.fleet
	fleet.checker.acknowledged = append(fleet.checker.acknowledged, acknowledgement{fleet.World.now, revision})
	fleet.Tally.PlansAcknowledged++
	if revision <= o.revision {
		fleet.World.Violation("lost plan", "revision %d was given after %d", revision, o.revision)
	}
	o.revision = revision
}

// propose carries an operation to a control node: the operator tries all that ever were.
func (o *FleetOperator) propose(number int, op quorum.Operation, failed func(), done func(quorum.Result)) {
	node := o.fleet.Cluster.Nodes[number%len(o.fleet.Cluster.Nodes)]
	Call(o.host, node.Host, op, 1_500_000, node.serve, func(result quorum.Result) {
		if result.Status == quorum.StatusDone {
			done(result)
		} else {
			failed()
		}
	}, failed)
}

// RevokeKey replaces a group's key; the old one must stop working.
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

// ToggleIsolation isolates a group's cache, or shares it again.
func (o *FleetOperator) ToggleIsolation(group string) {
	if o.busy || o.removed[group] {
		return
	}
	o.open[group] = !o.open[group]
	o.putChange(o.fleet.checker.isolated, group, !o.open[group])
}

// ToggleGroup takes a group out of the plan, or puts one of that name in again.
func (o *FleetOperator) ToggleGroup(group string) {
	if o.busy || group == "desk" { // one group stays
		return
	}
	o.removed[group] = !o.removed[group]
	o.putChange(o.fleet.checker.removed, group, o.removed[group])
}

// putChange puts the plan in force and tells the checker what began or ended with it.
func (o *FleetOperator) putChange(spans map[string][]span, group string, begins bool) {
	world := o.fleet.World
	if n := len(spans[group]); !begins && n > 0 {
		spans[group][n-1].to = world.now
	}
	if begins {
		spans[group] = append(spans[group], span{0, forever}) // from its acknowledgement on
	}
	o.PutPlan(func() {
		if n := len(spans[group]); begins {
			spans[group][n-1].from = world.now
		}
		o.fleet.Tally.IsolationChanges++
		world.Notef("walls moved: %s, open %v, gone %v", group, o.open[group], o.removed[group])
	})
}

// ChangeWeights names new weights, and now and then those of before.
func (o *FleetOperator) ChangeWeights() {
	if o.busy {
		return
	}
	world, checker := o.fleet.World, o.fleet.checker
	if o.weights > 1 && world.Rng.Intn(3) == 0 {
		o.weights--
	} else {
		o.weights++
	}
	name, sentAt := fmt.Sprint("w", o.weights), world.now
	checker.weightsBeingSent = name
	o.PutPlan(func() {
		checker.weightsChanges = append(checker.weightsChanges, weightsChange{name, sentAt, world.now})
		checker.weights, checker.weightsChangedAt = name, world.now
		o.fleet.Tally.WeightsChanged++
		world.Notef("weights %s named", name)
	})
}

// DrainEngine has the platform list an engine as leaving, for so many microseconds.
func (o *FleetOperator) DrainEngine(name string, durationUS int64) {
	world, drainingSince := o.fleet.World, o.fleet.checker.drainingSince
	if drainingSince[name] != 0 {
		return
	}
	o.fleet.setLeaving(name, true)
	drainingSince[name] = world.now
	o.fleet.Tally.EnginesDrained++
	world.Notef("%s leaving", name)
	world.At(world.now+durationUS, func() {
		o.fleet.setLeaving(name, false)
		delete(drainingSince, name)
	})
}

func (f *Fleet) setLeaving(engine string, leaving bool) {
	for i := range f.listing {
		if f.listing[i].Name == engine {
			f.listing[i].Leaving = leaving
		}
	}
}
