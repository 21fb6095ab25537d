package sim

import (
	"encoding/json"
	"fmt"

	"violetthread/plan"
	"violetthread/quorum"
)

// simGroups are the groups of a simulated deployment. "walled" starts isolated: it shares no
// cache.
var simGroups = []string{"desk", "east", "west", "walled"}

// simKey returns the digest of a group's key with the given number.
func simKey(group string, number int) string {
	return plan.KeyDigest(fmt.Sprintf("%s-%d", group, number))
}

// FleetOperator makes the changes of operators and the platform. Only one plan is under way at
// a time; changes requested meanwhile are ignored.
type FleetOperator struct {
	fleet      *Fleet
	host       *Host
	keyNumbers map[string]int  // by group: number of the current key
	open       map[string]bool // groups that share their cache
	removed    map[string]bool // groups that are not in the plan
	weights    int             // number of the current weights
	revision   uint64          // revision of the last acknowledged plan
	busy       bool            // a plan is under way
	plansMade  int
}

// NewFleetOperator adds an operator. PutPlan sends its first plan.
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

// nextPlan encodes the plan that the operator currently wants.
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

// PutPlan sends a plan until it is acknowledged, records the time of the acknowledgement in
// the checker, and then calls then, if it is not nil.
func (o *FleetOperator) PutPlan(then func()) {
	if o.busy {
		return
	}
	o.busy = true
	o.tryPlan(o.nextPlan(), o.fleet.World.Rng.Intn(4), then)
}

// tryPlan replaces the current plan through one control node, and tries the next one if that
// fails.
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
		fleet.World.Violation("lost plan", "revision %d was assigned after %d", revision, o.revision)
	}
	o.revision = revision
}

// propose sends an operation to a control node. Nodes that were removed are tried as well.
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

// RevokeKey replaces a group's key. The old one must stop working.
func (o *FleetOperator) RevokeKey(group string) {
	if o.busy {
		return
	}
	old := simKey(group, o.keyNumbers[group])
	o.keyNumbers[group]++
	o.PutPlan(func() {
		o.fleet.checker.revokedAt[old] = o.fleet.World.now
		o.fleet.Tally.KeysRevoked++
		o.fleet.World.Notef("key of %s revoked", group)
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

// ToggleGroup removes a group from the plan, or adds one of the same name again.
func (o *FleetOperator) ToggleGroup(group string) {
	if o.busy || group == "desk" { // one group always remains
		return
	}
	o.removed[group] = !o.removed[group]
	o.putChange(o.fleet.checker.removed, group, o.removed[group])
}

// putChange sends the plan and records in the checker which span it begins or ends.
func (o *FleetOperator) putChange(spans map[string][]span, group string, begins bool) {
	world := o.fleet.World
	if n := len(spans[group]); !begins && n > 0 {
		spans[group][n-1].to = world.now
	}
	if begins {
		spans[group] = append(spans[group], span{0, forever}) // its beginning is set at the acknowledgement
	}
	o.PutPlan(func() {
		if n := len(spans[group]); begins {
			spans[group][n-1].from = world.now
		}
		o.fleet.Tally.IsolationChanges++
		world.Notef("isolation of %s changed: shared %v, removed %v", group, o.open[group], o.removed[group])
	})
}

// ChangeWeights sets new weights, or at times the previous ones again.
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
		world.Notef("weights changed to %s", name)
	})
}

// DrainEngine makes the platform list an engine as leaving for the given duration.
func (o *FleetOperator) DrainEngine(name string, durationUS int64) {
	world, drainingSince := o.fleet.World, o.fleet.checker.drainingSince
	if drainingSince[name] != 0 {
		return
	}
	o.fleet.setLeaving(name, true)
	drainingSince[name] = world.now
	o.fleet.Tally.EnginesDrained++
	world.Notef("%s is leaving", name)
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
