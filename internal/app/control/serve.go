package control

import (
	"context"

	"github.com/samber/lo"

	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
	"violetthread/internal/wire"
	"violetthread/plan"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

const (
	maxHops   = 2
	muteAfter = 400_000 // without word from an owner nothing is passed to it
)

// pass hands an operation on. One that may be repeated is not waited for long: its
// owner may be gone, and whoever asked tries again (Node.Op).
func (r *Node) pass(ctx context.Context, addr string, t *fb.OpAskT) *fb.OpTellT {
	c := *t
	c.Hops++
	f, err := r.book.At(addr).Call(ctx, &fb.FrameT{OpAsk: &c}, lo.Ternary[int64](harmless(quorum.OpKind(t.Kind)), 500_000, 2_000_000))
	if err != nil || f.OpTell == nil {
		return &fb.OpTellT{Status: byte(quorum.Unknown)}
	}
	return f.OpTell
}

// op carries an operation to the owner of its key, which may be this node.
func (r *Node) op(ctx context.Context, t *fb.OpAskT) *fb.OpTellT {
	if !r.up.Load() {
		if via := r.another(); via != "" && t.Hops < maxHops {
			return r.pass(ctx, via, t)
		}
		return &fb.OpTellT{Status: byte(quorum.NotOwner)}
	}
	a, ok := r.do(ctx, quorum.Op{Kind: quorum.OpKind(t.Kind), Key: t.Key, Val: t.Val, Expect: t.Expect, Holder: t.Holder, Term: t.Term})
	if !ok {
		return &fb.OpTellT{Status: byte(quorum.Unknown)}
	}
	if a.Status == quorum.NotOwner && a.Owner != "" && a.Owner != r.s.Name && t.Hops < maxHops {
		f := r.found.Load()
		if f == nil || r.stats.Load().mute[a.Owner] {
			// Nothing was sent, so that it is safe to say so and try again.
			return &fb.OpTellT{Status: byte(quorum.NotOwner)}
		}
		v, ok := lo.Find(f.Voters, func(v *fb.VoterT) bool { return v.Name == a.Owner })
		if !ok {
			return &fb.OpTellT{Status: byte(quorum.NotOwner)}
		}
		return r.pass(ctx, v.Addr, t)
	}
	out := &fb.OpTellT{Status: byte(a.Status), Rev: a.Rev, Val: a.Val, Owner: a.Owner}
	if t.Have != 0 && t.Have == a.Rev {
		out.Val = nil
	}
	return out
}

// handle answers frames from other processes.
func (r *Node) handle(ctx context.Context, f *fb.FrameT) *fb.FrameT {
	if p := r.frames.Load(); p != nil {
		for _, h := range *p {
			if a := h(ctx, f); a != nil {
				return a
			}
		}
	}
	now := clock.Now()
	switch {
	case f.Settle != nil:
		if r.up.Load() {
			m := wire.Unsettle(f.Settle)
			taskgroup.Give(ctx, r.in, func(now int64) { r.out(r.node.Recv(now, m)) })
		}
		return nil
	case f.RollTell != nil:
		r.roll.Hear(now, f.RollTell)
		return nil
	case f.FoundAsk != nil:
		return &fb.FrameT{FoundTell: r.foundTell(f.FoundAsk)}
	case f.BeatAsk != nil && f.BeatAsk.Node != nil:
		r.roll.Beat(now, f.BeatAsk.Node)
		return &fb.FrameT{BeatTell: r.beatTell(now, f.BeatAsk.Have)}
	case f.OpAsk != nil:
		ctx, stop := context.WithTimeout(ctx, clock.Micros(5_000_000))
		defer stop()
		return &fb.FrameT{OpTell: r.op(ctx, f.OpAsk)}
	}
	return nil
}

const planKey = "plan"

// refresh asks the plan's owner anew; the age counts from before the question.
func (r *Node) refresh(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, clock.Micros(700_000))
	defer stop()
	c := r.cache.Load()
	at := clock.Now()
	q := &fb.OpAskT{Kind: byte(quorum.OpGet), Key: planKey, Have: c.Revision}
	t := r.op(ctx, q)
	if quorum.Status(t.Status) != quorum.Done {
		// The way to the owner may be cut here and not elsewhere. The age counts
		// from the first question all the same.
		if via := r.another(); via != "" {
			ctx, stop := context.WithTimeout(r.d.Group.Context(), clock.Micros(700_000))
			defer stop()
			q.Hops = 1
			if f, err := r.book.At(via).Call(ctx, &fb.FrameT{OpAsk: q}, 600_000); err == nil && f.OpTell != nil {
				t = f.OpTell
			}
		}
	}
	if quorum.Status(t.Status) == quorum.Done {
		n, _, _ := c.Apply(plan.Update{Revision: t.Rev, Raw: t.Val, Confirmed: true}, at)
		r.cache.Store(&n)
	}
}

// another is the address of another voter, one after the other.
func (r *Node) another() string {
	var as []string
	if f := r.found.Load(); f != nil {
		as = lo.Without(addrs(f), r.s.Wire)
	} else {
		as = r.knows()
	}
	if len(as) == 0 {
		return ""
	}
	return as[r.turns.Add(1)%uint64(len(as))]
}

func (r *Node) beatTell(now int64, have uint64) *fb.BeatTellT {
	c := r.cache.Load()
	t := &fb.BeatTellT{Rev: c.Revision, Age: c.Age(now), Fresh: c.Known, Nodes: r.roll.Live(now), Era: r.era.Load()}
	if c.Revision != have {
		t.Plan = c.Raw
	}
	if f := r.found.Load(); f != nil {
		t.Registrars = lo.Map(f.Voters, func(v *fb.VoterT, _ int) string { return v.Addr })
	}
	return t
}
