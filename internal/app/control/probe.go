package control

import (
	"context"

	"github.com/samber/lo"

	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/quorum"
)

// Microseconds.
const (
	probeInterval = 150_000 // between two checks for silent voters
	silentAfter   = 250_000 // a voter not heard from for this long is probed
)

// contact says which other voters are silent, and whether the remaining ones are a majority.
type contact struct {
	silent   []quorum.Voter
	majority bool
}

// probeSilentVoters sends a probe to each voter that is silent. Without contact with a majority
// this node may have missed newer voter sets, and also probes all other known control nodes. A
// probed node that has become blank learns this node's address from the probe.
func (n *Node) probeSilentVoters(ctx context.Context) {
	result := make(chan contact, 1)
	if !taskgroup.Send(ctx, n.commands, func(now int64) { result <- n.contact(now) }) {
		return
	}
	current, ok := taskgroup.Receive(ctx, result)
	if !ok || len(current.silent) == 0 {
		return
	}
	addrs := lo.Map(current.silent, func(voter quorum.Voter, _ int) string { return voter.Addr })
	if !current.majority {
		addrs = append(addrs, n.candidateAddrs()...)
	}
	for _, addr := range lo.Without(lo.Uniq(addrs), n.settings.TransportAddr) {
		n.voterGroup.Go("probe.ask", func(ctx context.Context) { n.probe(ctx, addr) })
	}
}

// contact determines which voters are silent. Called only from the voter's loop.
func (n *Node) contact(now int64) contact {
	var current contact
	set := n.voter.VoterSet()
	for _, voter := range set.Voters {
		if voter.Name != n.settings.Name && n.voter.Silence(now, voter.Name) > silentAfter {
			current.silent = append(current.silent, voter)
		}
	}
	current.majority = len(set.Voters)-len(current.silent) >= set.Majority()
	return current
}

// probe asks one control node for its voter set and passes it to the voter.
func (n *Node) probe(ctx context.Context, addr string) {
	response := n.requestJoin(ctx, addr, false)
	if response == nil || response.VoterSet == nil || response.VoterSet.Revision == 0 {
		return
	}
	set := codec.UnpackVoterSet(response.VoterSet)
	taskgroup.Send(ctx, n.commands, func(now int64) { n.processReady(n.voter.ObserveVoterSet(now, set)) })
}
