package sim

import (
	"slices"

	"violetthread/internal/codec"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// pollVoterSet asks another machine for a voter set that contains this one with its current
// disk.
func (n *ControlNode) pollVoterSet(config quorum.Config) {
	if n.node != nil {
		return
	}
	other := pick(n.cluster.world, n.cluster.Nodes)
	Call(n.Host, other.Host, 0, 300_000, func(_ int, reply func(quorum.VoterSet)) {
		if other.node != nil {
			reply(other.node.VoterSet())
		}
	}, func(voterSet quorum.VoterSet) {
		if n.node == nil && n.isMemberOf(voterSet) {
			n.joinVoterSet(config, voterSet)
		}
	}, func() {})
}

func (n *ControlNode) joinVoterSet(config quorum.Config, voterSet quorum.VoterSet) {
	n.voterSet = voterSet
	n.node = quorum.New(config, voterSet, n.Clock(), nil)
	n.cluster.world.Notef("%s joins at voter set step %d", n.Name, voterSet.Step())
}

// requestAdmission asks all other machines to be admitted to their voter set, as the daemon
// does with an empty disk.
func (n *ControlNode) requestAdmission(config quorum.Config, startedAt int64) {
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
			if n.node == nil && n.isMemberOf(voterSet) {
				n.joinVoterSet(config, voterSet)
				n.cluster.Joins++
				n.awaitRecovery(startedAt)
			}
		}, func() {})
	}
}

// awaitRecovery measures the time from the start until all slots were recovered with the new
// voter.
func (n *ControlNode) awaitRecovery(startedAt int64) {
	if n.node != nil && !n.node.AllSlotsRecovered() {
		n.After(10_000, func() { n.awaitRecovery(startedAt) })
		return
	}
	n.cluster.SlowestJoinUS = max(n.cluster.SlowestJoinUS, n.cluster.world.now-startedAt)
}

// isMemberOf reports whether a voter set contains this machine with its current disk.
func (n *ControlNode) isMemberOf(voterSet quorum.VoterSet) bool {
	voter, ok := voterSet.Find(n.Name)
	return ok && voter.Incarnation == n.incarnation
}

// pollNewerVoterSets asks for newer voter sets while a voter is silent, as the daemon does.
func (n *ControlNode) pollNewerVoterSets() {
	if n.node == nil || n.Failure != nil || !n.hasSilentVoter() {
		return
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
}

// hasSilentVoter reports whether nothing was heard from some voter for a quarter of a second.
func (n *ControlNode) hasSilentVoter() bool {
	return slices.ContainsFunc(n.node.VoterSet().Voters, func(voter quorum.Voter) bool {
		return n.node.TimeSinceHeard(n.Clock(), voter.Name) >= 250_000
	})
}

// retire discards the state of a disk that a newer voter set no longer contains. If the power
// is lost meanwhile, the old state remains, and the node learns of the newer set again.
func (n *ControlNode) retire() {
	incarnation := n.cluster.newIncarnation()
	if err := n.log.Checkpoint([][]byte{codec.PackIdentity(&fb.VoterSetT{Incarnation: incarnation})}); err != nil {
		n.fail(err)
		return
	}
	n.cluster.world.Notef("%s was removed from the voter set; its new incarnation is %d", n.Name, incarnation)
	n.incarnation, n.voterSet = incarnation, quorum.VoterSet{}
	n.Kill()
	n.Start()
}
