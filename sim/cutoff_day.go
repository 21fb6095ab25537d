package sim

import (
	"slices"

	"violetthread/route"
)

const (
	cutDurationUS = 20_000_000
	// recoveryBoundOfCutUS limits the time from the end of a cut until everything is back in
	// service.
	recoveryBoundOfCutUS = 4_000_000
	// leaderBoundUS limits the time without a leader for a register while a majority is
	// connected.
	leaderBoundUS = 2_000_000
	// insideReadIntervalUS is the interval of reads on the side that is cut off.
	insideReadIntervalUS = 60_000
	// pauseBetweenCutsUS is the pause before the next cut, once everything has recovered.
	pauseBetweenCutsUS = 1_500_000
)

// CutoffDay is a day on which control nodes are repeatedly cut off for 20 s, with proxies and
// an operator on their side, while configurations, keys and weights change.
type CutoffDay struct {
	*ConfigWorld
	inside        *ConfigOperator // on the side that is cut off
	reader        *ConfigReader   // on the side that is cut off; it reads only there during a cut
	proxiesInside []*ConfigProxy
}

// CutoffResult is the result of a cut-off day.
type CutoffResult struct {
	Acknowledged, Rejected, Reads, WeightsVersions, Cuts int
	// OldestConfigUS is the longest time for which a proxy served by a configuration after a
	// newer one was acknowledged.
	OldestConfigUS int64
	// LongestGapUS is the longest time without an acknowledgement while a majority was
	// connected.
	LongestGapUS int64
	// LongestWithoutLeaderUS is the longest time without a leader for the configuration.
	LongestWithoutLeaderUS int64
	// SlowestRecoveryUS is the longest time from the end of a cut until all proxies serve, all
	// control nodes that were cut off answer, and all operators got a definite answer.
	SlowestRecoveryUS int64
	Violations        []string
	Notes             []string
}

// RunCutoff runs a day with one cut of each given kind.
func RunCutoff(seed int64, nodes int, cuts []Partition, format ConfigFormat) CutoffResult {
	d := newCutoffDay(seed, nodes, format)
	d.Start()
	var r CutoffResult
	world := d.World
	if _, ok := d.Until(5_000_000, func() bool { return d.Config.Acknowledged > 3 && d.Weights.Acknowledged > 0 }); !ok {
		world.Violation("not started", "no configuration was acknowledged after %d us", world.now)
	}
	for _, partition := range cuts {
		if len(world.violations) > 0 {
			break
		}
		d.cut(partition, &r)
	}
	d.Config.Close()
	r.Acknowledged, r.Rejected, r.Reads, r.WeightsVersions = d.Config.Acknowledged, d.Config.Rejected, d.Config.Reads, d.Weights.Acknowledged
	r.OldestConfigUS, r.Violations, r.Notes = d.Serve.OldestConfigUS, world.violations, world.notes
	return r
}

func newCutoffDay(seed int64, nodes int, format ConfigFormat) *CutoffDay {
	d := &CutoffDay{ConfigWorld: NewConfigWorld(seed, nodes, format)}
	d.AddOperators(4)
	d.AddWeightsOperator()
	d.AddReaders(2, 200_000)
	d.AddProxies(4)
	for _, o := range d.Operators {
		o.Pause = 400_000
	}
	d.AddReaders(1, insideReadIntervalUS)
	d.reader = d.Readers[2]
	d.inside = d.Operators[0]
	d.proxiesInside = d.Proxies[:2]
	return d
}

// cut cuts off between one machine and as many as may be lost, for 20 s, and waits until
// everything is back in service.
func (d *CutoffDay) cut(partition Partition, result *CutoffResult) {
	world := d.World
	machines := d.chooseMachines(result.Cuts%2 == 0)
	inside := []*Host{d.inside.Host, d.reader.Host}
	for _, proxy := range d.proxiesInside {
		inside = append(inside, proxy.Host)
	}
	for _, machine := range machines {
		inside = append(inside, machine.Host)
	}
	world.CutOff(partition, inside)
	if partition == PartitionRestart {
		d.restartOutside(machines)
	}
	d.reader.Only = machines
	d.watchAvailability(world.now+cutDurationUS, result)
	world.Rejoin(inside)
	d.reader.Only = nil
	world.Notef("healed")
	result.Cuts++
	missing := d.notInService(machines)
	took, ok := d.Until(recoveryBoundOfCutUS, func() bool { return missing() == "" })
	result.SlowestRecoveryUS = max(result.SlowestRecoveryUS, took)
	if !ok {
		world.Violation("not back", "%s was not in service %d us after a cut of kind %s", missing(), recoveryBoundOfCutUS, partition)
	}
	world.Run(world.now + pauseBetweenCutsUS)
}

// restartOutside kills the control nodes on the other side. They restart at once, without
// their record of the leases that they granted.
func (d *CutoffDay) restartOutside(machines []*ControlNode) {
	world := d.World
	for _, node := range d.Cluster.Nodes {
		if !slices.Contains(machines, node) {
			node.Kill()
			world.At(world.now+1_000+world.Rng.Int63n(30_000), node.restart)
		}
	}
}

// chooseMachines picks the machines to cut off, including the configuration's leader if
// withLeader is set.
func (d *CutoffDay) chooseMachines(withLeader bool) []*ControlNode {
	world := d.World
	n := 1 + world.Rng.Intn(tolerates(len(d.Cluster.Nodes)))
	nodes := d.Cluster.Nodes
	first := world.Rng.Intn(len(nodes))
	if other := d.Cluster.LeaderOf(route.ConfigKey); other != nil && withLeader {
		first = slices.Index(nodes, other)
	}
	var out []*ControlNode
	for i := range n {
		out = append(out, nodes[(first+i)%len(nodes)])
	}
	return out
}

// watchAvailability runs until a given time and checks that the majority keeps a leader and
// keeps acknowledging changes.
func (d *CutoffDay) watchAvailability(until int64, result *CutoffResult) {
	world := d.World
	acknowledged, at, ledAt := d.Config.Acknowledged, world.now, world.now
	for world.now < until && len(world.violations) == 0 {
		world.Run(world.now + checkIntervalUS)
		if d.Config.Acknowledged > acknowledged {
			acknowledged, at = d.Config.Acknowledged, world.now
		}
		if d.HasConfigLeader() {
			ledAt = world.now
		}
		result.LongestWithoutLeaderUS = max(result.LongestWithoutLeaderUS, world.now-ledAt)
		if world.now-ledAt > leaderBoundUS {
			world.Violation("no leader", "for the configuration for %d us, with a majority connected", world.now-ledAt)
		}
		result.LongestGapUS = max(result.LongestGapUS, world.now-at)
		if world.now-at > acknowledgementBoundUS {
			world.Violation("no change acknowledged", "for %d us, with a majority connected", world.now-at)
		}
	}
}

// notInService returns a function that names something not yet in service after a cut: a proxy
// that does not serve, a machine that was cut off and does not answer for the configuration,
// or an operator without a definite answer. It returns "" once everything is back.
func (d *CutoffDay) notInService(machines []*ControlNode) func() string {
	answered := map[*ControlNode]bool{}
	for _, machine := range machines {
		d.probe(machine, answered)
	}
	finished := map[*ConfigOperator]bool{}
	for _, o := range d.Operators {
		o.OnFinished = func() { finished[o] = true }
	}
	return func() string {
		for _, proxy := range d.Proxies {
			if !proxy.Serves() {
				return proxy.Name
			}
		}
		for _, machine := range machines {
			if !answered[machine] {
				return machine.Name
			}
		}
		for _, o := range d.Operators {
			if !finished[o] {
				return o.Name
			}
		}
		return ""
	}
}

// probe reads the configuration at a node until the node answers.
func (d *CutoffDay) probe(machine *ControlNode, answered map[*ControlNode]bool) {
	r := d.Readers[0]
	r.readAt(machine, func(ok bool) {
		if ok {
			answered[machine] = true
			return
		}
		r.After(20_000, func() { d.probe(machine, answered) })
	})
}
