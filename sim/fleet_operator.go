package sim

import (
	"encoding/json"
	"fmt"

	"violetthread/plan"
	"violetthread/quorum"
)

// simGroups are the groups of a simulated deployment; the isolated one shares no cache.
var simGroups = []string{"desk", "east", "west", "walled"}

func simKey(group string, number int) string {
	return plan.KeyDigest(fmt.Sprintf("%s-%d", group, number))
}

// FleetOperator is what operators and the platform do on a day.
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

// NewFleetOperator adds an operator; its first plan is put by PutPlan.
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
	if _, findings := plan.Parse(data); len(findings) > 0 {
		o.fleet.World.Violation("plan", "%v", findings)
	}
	return data
}

// PutPlan sends a plan until it is acknowledged, and tells the checker when.
func (o *FleetOperator) PutPlan(then func()) {
	if o.busy {
		return
	}
	o.busy = true
	data := o.nextPlan()
	var try func(number int)
	again := func(number int) { o.host.After(50_000, func() { try(number + 1) }) }
	try = func(number int) {
		o.propose(number, quorum.Operation{Type: quorum.OpGet, Key: planKey}, again, func(current quorum.Result) {
			v, err := plan.Encode(current.Value, data, current.Revision+1)
			if err != nil {
				o.fleet.World.Violation("plan", "%v", err)
				return
			}
			o.propose(number, quorum.Operation{Type: quorum.OpPut, Key: planKey, Value: v, ExpectedRevision: current.Revision}, again, func(result quorum.Result) {
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

// propose carries an operator's operation to a control node.
func (o *FleetOperator) propose(number int, op quorum.Operation, retry func(int), done func(quorum.Result)) {
	node := o.fleet.Cluster.Nodes[number%len(o.fleet.Cluster.Nodes)] // an operator tries all that ever were
	Call(o.host, node.Host, op, 1_500_000, node.serve,
		func(result quorum.Result) {
			if result.Status != quorum.StatusDone {
				retry(number)
				return
			}
			done(result)
		}, func() { retry(number) })
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
	if n := len(spans[group]); !begins && n > 0 {
		spans[group][n-1].to = o.fleet.World.now
	}
	if begins {
		spans[group] = append(spans[group], span{0, forever}) // from its acknowledgement on
	}
	o.PutPlan(func() {
		if n := len(spans[group]); begins {
			spans[group][n-1].from = o.fleet.World.now
		}
		o.fleet.Tally.IsolationChanges++
		o.fleet.World.Notef("walls moved: %s, open %v, gone %v", group, o.open[group], o.removed[group])
	})
}

// NameWeights names new weights, and now and then those of before.
func (o *FleetOperator) NameWeights() {
	if o.busy {
		return
	}
	if o.weights > 1 && o.fleet.World.Rng.Intn(3) == 0 {
		o.weights--
	} else {
		o.weights++
	}
	name, sentAt := fmt.Sprint("w", o.weights), o.fleet.World.now
	o.fleet.checker.weightsBeingSent = name
	o.PutPlan(func() {
		o.fleet.checker.namings = append(o.fleet.checker.namings, naming{name, sentAt, o.fleet.World.now})
		o.fleet.checker.weights, o.fleet.checker.weightsNamedAt = name, o.fleet.World.now
		o.fleet.Tally.WeightsNamed++
		o.fleet.World.Notef("weights %s named", name)
	})
}

// DrainEngine marks an engine as leaving, and lists it again later.
func (o *FleetOperator) DrainEngine(name string, durationUS int64) {
	fleet := o.fleet
	setLeaving := func(leaving bool) {
		for i := range fleet.listing {
			if fleet.listing[i].Name == name {
				fleet.listing[i].Leaving = leaving
			}
		}
	}
	if fleet.checker.drainingSince[name] != 0 {
		return
	}
	setLeaving(true)
	fleet.checker.drainingSince[name] = fleet.World.now
	fleet.Tally.EnginesDrained++
	fleet.World.Notef("%s leaving", name)
	fleet.World.At(fleet.World.now+durationUS, func() {
		setLeaving(false)
		delete(fleet.checker.drainingSince, name)
	})
}
