package sim

import (
	"violetthread/quorum"
)

// replacement is a change of the voter set that an operator retries until it is accepted.
type replacement struct {
	cluster *Cluster
	host    *Host // host of the operator
	old     *ControlNode
	new     *ControlNode
}

// replaceVoter removes a machine and its disk for good and has an operator add an empty one in
// its place.
func (c *Cluster) replaceVoter() {
	world := c.world
	voterSet, members := c.currentVoters()
	if c.replacing || len(members) < 4 {
		return
	}
	c.replacing = true
	old := pick(world, members)
	old.Kill()
	old.Disk.Wipe()
	old.removed = true
	successor := c.newNode()
	successor.Start()
	world.Notef("%s is to replace %s after voter set step %d", successor.Name, old.Name, voterSet.Step())
	host := world.NewHost("roster-operator-"+successor.Name, "north", func() {})
	host.Start()
	r := &replacement{cluster: c, host: host, old: old, new: successor}
	r.try()
}

// try proposes the change at a randomly chosen voter, and retries until it is in force.
func (r *replacement) try() {
	c := r.cluster
	voterSet, members := c.currentVoters()
	if r.new.isMemberOf(voterSet) {
		c.replacing = false
		c.Replacements++
		return
	}
	next, err := voterSet.Next(r.old.Name, &quorum.Voter{Name: r.new.Name, Incarnation: r.new.incarnation})
	if err != nil {
		c.world.Violation("roster", "%v", err)
		return
	}
	r.propose(pick(c.world, members), next)
	r.host.After(300_000, r.try)
}

func (r *replacement) propose(node *ControlNode, next quorum.VoterSet) {
	read := quorum.Operation{Type: quorum.OpGet, Key: quorum.VoterSetKey}
	Call(r.host, node.Host, read, 900_000, node.serve, func(result quorum.Result) {
		if result.Status != quorum.StatusDone {
			return
		}
		put := quorum.Operation{Type: quorum.OpPut, Key: quorum.VoterSetKey, Value: next.Bytes(), ExpectedRevision: result.Revision}
		Call(r.host, node.Host, put, 900_000, node.serve, func(quorum.Result) {}, func() {})
	}, func() {})
}

// disruptOneMachine disrupts one machine, once all have recovered from earlier disruptions.
// The machine loses its disk or its power, or is removed and replaced by a new one; or a removed
// machine returns with its old disk. In one of six cases all machines lose their power instead.
func (c *Cluster) disruptOneMachine() {
	world := c.world
	voterSet, members := c.currentVoters()
	for _, node := range c.Nodes {
		if !node.removed && (!node.up || node.node == nil || node.node.VoterSet().Revision != voterSet.Revision || !node.node.AllSlotsRecovered()) {
			return
		}
	}
	if len(members) < 3 {
		return
	}
	node := pick(world, members)
	soon := world.now + 50_000 + world.Rng.Int63n(2_500_000)
	switch world.Rng.Intn(6) {
	case 0, 1:
		world.Notef("%s loses its disk", node.Name)
		node.loseDisk()
		world.At(soon, node.restart)
	case 2:
		world.Notef("%s is removed, and a new machine is added", node.Name)
		node.Kill()
		node.removed = true
		newNode := c.newNode()
		world.At(soon, newNode.Start)
	case 3:
		for _, other := range c.Nodes {
			if other.removed {
				world.Notef("%s returns with its old disk", other.Name)
				other.removed = false
				other.Start()
				return
			}
		}
		fallthrough
	case 4:
		node.LosePower()
		world.At(soon, node.restart)
	case 5:
		for _, other := range c.Nodes {
			other.LosePower()
			world.At(world.now+50_000+world.Rng.Int63n(300_000), other.restart)
		}
	}
}
