package control

import (
	"context"

	"github.com/samber/lo"

	"violetthread/internal/clock"
	"violetthread/internal/daemon"
	"violetthread/internal/taskgroup"
	"violetthread/internal/transport"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// Daemon is the process around the node.
func (r *Node) Daemon() *daemon.Daemon { return r.d }

// Name is the node's name.
func (r *Node) Name() string { return r.s.Name }

// Inc is the incarnation of the node's disk; another one once it was retired.
func (r *Node) Inc() uint64 { return r.inc.Load() }

// Up reports whether this node votes.
func (r *Node) Up() bool { return r.up.Load() }

// Book holds the node's wires to others.
func (r *Node) Book() *transport.PeerPool { return r.book }

// Live lists the members whose sessions stand.
func (r *Node) Live(now int64) []*fb.NodeT { return r.roll.Live(now) }

// Voters are the wire addresses of the roster in force here, this node's among them;
// none while this disk is in no roster.
func (r *Node) Voters() []string {
	f := r.found.Load()
	if f == nil {
		return nil
	}
	return lo.Map(f.Voters, func(v *fb.VoterT, _ int) string { return v.Addr })
}

// contactLook is how often contact with a majority is looked at during a call.
const contactLook = 50_000

// HearsMajority reports whether this node heard a majority of the voters within
// muteAfter, itself among them. A node that does not vote can't tell, and says yes.
func (r *Node) HearsMajority() bool {
	f := r.found.Load()
	if f == nil || !r.up.Load() {
		return true
	}
	return hearsMajority(f.Voters, r.stats.Load().mute)
}

// hearsMajority tells whether most of the voters are not mute.
func hearsMajority(voters []*fb.VoterT, mute map[string]bool) bool {
	heard := lo.CountBy(voters, func(v *fb.VoterT) bool { return !mute[v.Name] })
	return heard > len(voters)/2
}

// WhileHearingMajority is a context that ends with ctx, or once this node hears no
// majority: nothing can be read or changed from here then, and whoever asks does better
// elsewhere.
func (r *Node) WhileHearingMajority(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(ctx)
	r.d.Group.Go("contact", func(context.Context) {
		for r.HearsMajority() {
			if !taskgroup.Sleep(ctx, contactLook) {
				break
			}
		}
		stop()
	})
	return ctx, stop
}

// Frames adds a handler that is asked before the node's own; nil from it means that
// the frame is not its own.
func (r *Node) Frames(h func(ctx context.Context, f *fb.FrameT) *fb.FrameT) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var hs []transport.Handler
	if p := r.frames.Load(); p != nil {
		hs = append(hs, *p...)
	}
	hs = append(hs, h)
	r.frames.Store(&hs)
}

// Once carries an operation out with one try.
func (r *Node) Once(ctx context.Context, t *fb.OpAskT) *fb.OpTellT { return r.op(ctx, t) }

// Op carries an operation out, trying again while it provably did nothing, or while
// doing it twice is the same as once, for as long as Settings.Patience.
func (r *Node) Op(ctx context.Context, t *fb.OpAskT) *fb.OpTellT {
	ctx, stop := context.WithTimeout(ctx, clock.Duration(lo.Ternary(r.s.Patience > 0, r.s.Patience, Defaults().Patience)))
	defer stop()
	doubt := false
	for {
		c := *t
		a := r.op(ctx, &c)
		again := false
		a, doubt, again = verdict(quorum.OperationType(t.Kind), a, doubt)
		if !again || !taskgroup.Sleep(ctx, 30_000) {
			return a
		}
	}
}

// harmless tells the operations that may be carried out twice: a read, and a claim or
// lease that its very holder asks for again (design §4.5, §6).
func harmless(k quorum.OperationType) bool {
	return k == quorum.OpGet || k == quorum.OpClaim || k == quorum.OpAcquire
}

// verdict is what the caller may be told after a try, whether one of the tries may
// still take effect, and whether to try again. After a try in doubt only an answer
// that holds whatever became of it counts; a read is never in doubt.
func verdict(k quorum.OperationType, a *fb.OpTellT, doubt bool) (tell *fb.OpTellT, doubtful, again bool) {
	switch st := quorum.Status(a.Status); {
	case st == quorum.StatusDone || st == quorum.StatusConflict || st == quorum.StatusGenerationClosed:
		return a, doubt, false
	case st == quorum.StatusUnknown && !harmless(k):
		return a, true, false
	case st == quorum.StatusUnknown:
		return a, doubt || k != quorum.OpGet, true
	case doubt:
		return &fb.OpTellT{Status: byte(quorum.StatusUnknown)}, true, true
	default:
		return a, false, st == quorum.StatusNotLeader
	}
}

// Heard keeps a node that asked here a member (design §4.7).
func (r *Node) Heard(now int64, n *fb.NodeT) { r.roll.Beat(now, n) }

// Tell sends a frame to the other voters; it may be lost.
func (r *Node) Tell(f *fb.FrameT) {
	for _, a := range r.Voters() {
		if a != r.s.TransportAddr {
			r.book.Get(a).Send(f)
		}
	}
}

// Ask asks the control node at an address and waits for its answer.
func (r *Node) Ask(ctx context.Context, addr string, f *fb.FrameT, us int64) (*fb.FrameT, error) {
	return r.book.Get(addr).Call(ctx, f, us)
}
