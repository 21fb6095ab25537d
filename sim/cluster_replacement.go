package sim

import (
	"violetthread/quorum"
)

// replaceVoter takes a machine away for good, disk and all, and has an operator put an empty
// one in its place, again and again until the voter set is changed.
func (c *Cluster) replaceVoter() {
	world := c.world
	voterSet, members := c.currentVoters()
	if c.replacing || len(members) < 4 {
		return
	}
	c.replacing = true
	old := members[world.Rng.Intn(len(members))]
	old.Kill()
	old.Disk.Wipe()
	old.removed = true
	newNode := c.newNode()
	newNode.Start()
	world.Notef("%s is to replace %s after step %d", newNode.Name, old.Name, voterSet.Step())
	host := world.NewHost("roster-operator-"+newNode.Name, "north", func() {})
	host.Start()
	var try func()
	try = func() {
		voterSet, members := c.currentVoters()
		if voter, ok := voterSet.Find(newNode.Name); ok && voter.Incarnation == newNode.incarnation {
			c.replacing = false
			c.Replacements++
			return
		}
		next, err := voterSet.Next(old.Name, &quorum.Voter{Name: newNode.Name, Incarnation: newNode.incarnation})
		if err != nil {
			world.Violation("roster", "%v", err)
			return
		}
		node := members[world.Rng.Intn(len(members))]
		Call(host, node.Host, quorum.Operation{Type: quorum.OpGet, Key: quorum.VoterSetKey}, 900_000, node.serve,
			func(result quorum.Result) {
				if result.Status != quorum.StatusDone {
					return
				}
				Call(host, node.Host, quorum.Operation{Type: quorum.OpPut, Key: quorum.VoterSetKey, Value: next.Bytes(), ExpectedRevision: result.Revision}, 900_000,
					node.serve, func(quorum.Result) {}, func() {})
			}, func() {})
		host.After(300_000, try)
	}
	try()
}

// strikeOneMachine strikes one machine, once the last one struck has recovered: it loses its
// disk, or its power, or goes and another comes; one that went may return, with its old disk.
func (c *Cluster) strikeOneMachine() {
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
	node := members[world.Rng.Intn(len(members))]
	soon := world.now + 50_000 + world.Rng.Int63n(2_500_000)
	switch world.Rng.Intn(6) {
	case 0, 1:
		world.Notef("%s loses its disk", node.Name)
		node.loseDisk()
		world.At(soon, node.restart)
	case 2:
		world.Notef("%s goes, and another comes", node.Name)
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
