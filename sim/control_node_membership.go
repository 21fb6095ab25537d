package sim

import (
	"violetthread/internal/codec"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// join asks another machine for a roster that holds this disk.
func (n *ControlNode) pollVoterSet(config quorum.Config) {
	if n.node != nil {
		return
	}
	other := n.cluster.Nodes[n.cluster.world.Rng.Intn(len(n.cluster.Nodes))]
	Call(n.Host, other.Host, 0, 300_000, func(_ int, reply func(quorum.VoterSet)) {
		if other.node != nil {
			reply(other.node.VoterSet())
		}
	}, func(voterSet quorum.VoterSet) {
		if voter, ok := voterSet.Find(n.Name); ok && voter.Incarnation == n.incarnation && n.node == nil {
			n.voterSet = voterSet
			n.node = quorum.New(config, voterSet, n.Clock(), nil)
			n.cluster.world.Notef("%s joins at step %d", n.Name, voterSet.Step())
		}
	}, func() {})
}

// beLetIn asks all other machines for a place in their roster, as the daemon of a blank
// disk does.
func (n *ControlNode) requestAdmission(config quorum.Config, at int64) {
	if n.node != nil {
		return
	}
	self := quorum.Voter{Name: n.Name, Addr: n.Name, Incarnation: n.incarnation}
	for _, other := range n.cluster.Nodes {
		if other == n {
			continue
		}
		Call(n.Host, other.Host, 0, 500_000, func(_ int, reply func(quorum.VoterSet)) {
			if other.node != nil && other.Failure == nil {
				voterSet := other.node.VoterSet()
				other.handle(other.node.AdmitVoter(other.Clock(), self))
				reply(voterSet)
			}
		}, func(voterSet quorum.VoterSet) {
			if n.node != nil || !n.isMemberOf(voterSet) {
				return
			}
			n.voterSet = voterSet
			n.node = quorum.New(config, voterSet, n.Clock(), nil)
			n.cluster.world.Notef("%s joins at step %d", n.Name, voterSet.Step())
			n.cluster.Joins++
			var firm func()
			firm = func() {
				if n.node != nil && !n.node.AllSlotsRecovered() {
					n.After(10_000, firm)
					return
				}
				n.cluster.SlowestJoinUS = max(n.cluster.SlowestJoinUS, n.cluster.world.now-at)
			}
			firm()
		}, func() {})
	}
}

func (n *ControlNode) isMemberOf(voterSet quorum.VoterSet) bool {
	voter, ok := voterSet.Find(n.Name)
	return ok && voter.Incarnation == n.incarnation
}

// probe asks for newer rosters while voters are silent, as the daemon does.
func (n *ControlNode) pollNewerVoterSets() {
	if n.node == nil || n.Failure != nil {
		return
	}
	for _, voter := range n.node.VoterSet().Voters {
		if n.node.Silence(n.Clock(), voter.Name) < 250_000 {
			continue
		}
		for _, other := range n.cluster.Nodes {
			if other == n {
				continue
			}
			Call(n.Host, other.Host, 0, 500_000, func(_ int, reply func(quorum.VoterSet)) {
				if other.node != nil && other.Failure == nil {
					reply(other.node.VoterSet())
				}
			}, func(voterSet quorum.VoterSet) {
				if n.node != nil && n.Failure == nil {
					n.handle(n.node.ObserveVoterSet(n.Clock(), voterSet))
				}
			}, func() {})
		}
		return
	}
}

// retire drops the state of a disk that a newer roster does not hold. The power may go
// in the midst of it: then the old state stands, and it is told again.
func (n *ControlNode) retire() {
	inc := n.cluster.newIncarnation()
	if err := n.log.Checkpoint([][]byte{codec.PackIdentity(&fb.VoterSetT{Incarnation: inc})}); err != nil {
		n.fail(err)
		return
	}
	n.cluster.world.Notef("%s is retired, and is %d from now on", n.Name, inc)
	n.incarnation, n.voterSet = inc, quorum.VoterSet{}
	n.Kill()
	n.Start()
}
