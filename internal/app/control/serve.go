package control

import (
	"context"

	"github.com/samber/lo"

	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/plan"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

const (
	maxHops        = 2
	contactTimeout = 400_000 // without word from an owner nothing is passed to it
)

// pass hands an operation on. One that may be repeated is not waited for long: its
// owner may be gone, and whoever asked tries again (Node.Op).
func (n *Node) forward(ctx context.Context, addr string, t *fb.OpAskT) *fb.OpTellT {
	c := *t
	c.Hops++
	f, err := n.peers.Get(addr).Call(ctx, &fb.FrameT{OpAsk: &c}, lo.Ternary[int64](idempotent(quorum.OperationType(t.Kind)), 500_000, 2_000_000))
	if err != nil || f.OpTell == nil {
		return &fb.OpTellT{Status: byte(quorum.StatusUnknown)}
	}
	return f.OpTell
}

// op carries an operation to the owner of its key, which may be this node.
func (n *Node) execute(ctx context.Context, t *fb.OpAskT) *fb.OpTellT {
	if !n.voting.Load() {
		if via := n.nextPeer(); via != "" && t.Hops < maxHops {
			return n.forward(ctx, via, t)
		}
		return &fb.OpTellT{Status: byte(quorum.StatusNotLeader)}
	}
	a, ok := n.propose(ctx, quorum.Operation{Type: quorum.OperationType(t.Kind), Key: t.Key, Value: t.Val, ExpectedRevision: t.Expect, Holder: t.Holder, LeaseDuration: t.Term})
	if !ok {
		return &fb.OpTellT{Status: byte(quorum.StatusUnknown)}
	}
	if a.Status == quorum.StatusNotLeader && a.Leader != "" && a.Leader != n.settings.Name && t.Hops < maxHops {
		f := n.voterSet.Load()
		if f == nil || n.status.Load().silent[a.Leader] {
			// Nothing was sent, so that it is safe to say so and try again.
			return &fb.OpTellT{Status: byte(quorum.StatusNotLeader)}
		}
		v, ok := lo.Find(f.Voters, func(v *fb.VoterT) bool { return v.Name == a.Leader })
		if !ok {
			return &fb.OpTellT{Status: byte(quorum.StatusNotLeader)}
		}
		return n.forward(ctx, v.Addr, t)
	}
	out := &fb.OpTellT{Status: byte(a.Status), Rev: a.Revision, Val: a.Value, Owner: a.Leader}
	if t.Have != 0 && t.Have == a.Revision {
		out.Val = nil
	}
	return out
}

// handle answers frames from other processes.
func (n *Node) handleFrame(ctx context.Context, f *fb.FrameT) *fb.FrameT {
	if p := n.handlers.Load(); p != nil {
		for _, h := range *p {
			if a := h(ctx, f); a != nil {
				return a
			}
		}
	}
	now := clock.Now()
	switch {
	case f.Settle != nil:
		if n.voting.Load() {
			m := codec.UnpackMessage(f.Settle)
			taskgroup.Send(ctx, n.commands, func(now int64) { n.processReady(n.voter.Receive(now, m)) })
		}
		return nil
	case f.RollTell != nil:
		n.sessions.Merge(now, f.RollTell)
		return nil
	case f.FoundAsk != nil:
		return &fb.FrameT{FoundTell: n.voterSetReply(f.FoundAsk)}
	case f.BeatAsk != nil && f.BeatAsk.Node != nil:
		n.sessions.Heartbeat(now, f.BeatAsk.Node)
		return &fb.FrameT{BeatTell: n.heartbeatReply(now, f.BeatAsk.Have)}
	case f.OpAsk != nil:
		ctx, stop := context.WithTimeout(ctx, clock.Duration(5_000_000))
		defer stop()
		return &fb.FrameT{OpTell: n.execute(ctx, f.OpAsk)}
	}
	return nil
}

const planKey = "plan"

// refresh asks the plan's owner anew; the age counts from before the question.
func (n *Node) refreshPlan(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, clock.Duration(700_000))
	defer stop()
	c := n.plan.Load()
	at := clock.Now()
	q := &fb.OpAskT{Kind: byte(quorum.OpGet), Key: planKey, Have: c.Revision}
	t := n.execute(ctx, q)
	if quorum.Status(t.Status) != quorum.StatusDone {
		// The way to the owner may be cut here and not elsewhere. The age counts
		// from the first question all the same.
		if via := n.nextPeer(); via != "" {
			ctx, stop := context.WithTimeout(n.daemon.Group.Context(), clock.Duration(700_000))
			defer stop()
			q.Hops = 1
			if f, err := n.peers.Get(via).Call(ctx, &fb.FrameT{OpAsk: q}, 600_000); err == nil && f.OpTell != nil {
				t = f.OpTell
			}
		}
	}
	if quorum.Status(t.Status) == quorum.StatusDone {
		updated, _, _ := c.Apply(plan.Update{Revision: t.Rev, Raw: t.Val, Confirmed: true}, at)
		n.plan.Store(&updated)
	}
}

// another is the address of another voter, one after the other.
func (n *Node) nextPeer() string {
	var as []string
	if f := n.voterSet.Load(); f != nil {
		as = lo.Without(voterAddrs(f), n.settings.TransportAddr)
	} else {
		as = n.candidateAddrs()
	}
	if len(as) == 0 {
		return ""
	}
	return as[n.peerTurn.Add(1)%uint64(len(as))]
}

func (n *Node) heartbeatReply(now int64, have uint64) *fb.BeatTellT {
	c := n.plan.Load()
	t := &fb.BeatTellT{Rev: c.Revision, Age: c.Age(now), Fresh: c.Known, Nodes: n.sessions.Live(now), Era: n.generation.Load()}
	if c.Revision != have {
		t.Plan = c.Raw
	}
	if f := n.voterSet.Load(); f != nil {
		t.Registrars = lo.Map(f.Voters, func(v *fb.VoterT, _ int) string { return v.Addr })
	}
	return t
}
