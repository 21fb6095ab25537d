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
func (n *Node) Daemon() *daemon.Daemon { return n.daemon }

// Name is the node's name.
func (n *Node) Name() string { return n.settings.Name }

// Inc is the incarnation of the node's disk; another one once it was retired.
func (n *Node) Incarnation() uint64 { return n.incarnation.Load() }

// Up reports whether this node votes.
func (n *Node) Voting() bool { return n.voting.Load() }

// Book holds the node's wires to others.
func (n *Node) Peers() *transport.PeerPool { return n.peers }

// Live lists the members whose sessions stand.
func (n *Node) LiveNodes(now int64) []*fb.NodeT { return n.sessions.Live(now) }

// Voters are the wire addresses of the roster in force here, this node's among them;
// none while this disk is in no roster.
func (n *Node) VoterAddrs() []string {
	f := n.voterSet.Load()
	if f == nil {
		return nil
	}
	return lo.Map(f.Voters, func(v *fb.VoterT, _ int) string { return v.Addr })
}

// contactLook is how often contact with a majority is looked at during a call.
const contactInterval = 50_000

// HearsMajority reports whether this node heard a majority of the voters within
// muteAfter, itself among them. A node that does not vote can't tell, and says yes.
func (n *Node) HearsMajority() bool {
	f := n.voterSet.Load()
	if f == nil || !n.voting.Load() {
		return true
	}
	return hearsMajority(f.Voters, n.status.Load().silent)
}

// hearsMajority tells whether most of the voters are not mute.
func hearsMajority(voters []*fb.VoterT, mute map[string]bool) bool {
	heard := lo.CountBy(voters, func(v *fb.VoterT) bool { return !mute[v.Name] })
	return heard > len(voters)/2
}

// WhileHearingMajority is a context that ends with ctx, or once this node hears no
// majority: nothing can be read or changed from here then, and whoever asks does better
// elsewhere.
func (n *Node) WithMajorityContact(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(ctx)
	n.daemon.Group.Go("contact", func(context.Context) {
		for n.HearsMajority() {
			if !taskgroup.Sleep(ctx, contactInterval) {
				break
			}
		}
		stop()
	})
	return ctx, stop
}

// Frames adds a handler that is asked before the node's own; nil from it means that
// the frame is not its own.
func (n *Node) AddHandler(h func(ctx context.Context, f *fb.FrameT) *fb.FrameT) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var hs []transport.Handler
	if p := n.handlers.Load(); p != nil {
		hs = append(hs, *p...)
	}
	hs = append(hs, h)
	n.handlers.Store(&hs)
}

// Once carries an operation out with one try.
func (n *Node) ExecuteOnce(ctx context.Context, t *fb.OpAskT) *fb.OpTellT { return n.execute(ctx, t) }

// Op carries an operation out, trying again while it provably did nothing, or while
// doing it twice is the same as once, for as long as Settings.Patience.
func (n *Node) Execute(ctx context.Context, t *fb.OpAskT) *fb.OpTellT {
	ctx, stop := context.WithTimeout(ctx, clock.Duration(lo.Ternary(n.settings.OperationTimeout > 0, n.settings.OperationTimeout, Defaults().OperationTimeout)))
	defer stop()
	doubt := false
	for {
		c := *t
		a := n.execute(ctx, &c)
		again := false
		a, doubt, again = judgeAttempt(quorum.OperationType(t.Kind), a, doubt)
		if !again || !taskgroup.Sleep(ctx, 30_000) {
			return a
		}
	}
}

// harmless tells the operations that may be carried out twice: a read, and a claim or
// lease that its very holder asks for again (design §4.5, §6).
func idempotent(k quorum.OperationType) bool {
	return k == quorum.OpGet || k == quorum.OpClaim || k == quorum.OpAcquire
}

// verdict is what the caller may be told after a try, whether one of the tries may
// still take effect, and whether to try again. After a try in doubt only an answer
// that holds whatever became of it counts; a read is never in doubt.
func judgeAttempt(k quorum.OperationType, a *fb.OpTellT, doubt bool) (tell *fb.OpTellT, doubtful, again bool) {
	switch st := quorum.Status(a.Status); {
	case st == quorum.StatusDone || st == quorum.StatusConflict || st == quorum.StatusGenerationClosed:
		return a, doubt, false
	case st == quorum.StatusUnknown && !idempotent(k):
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
func (n *Node) RecordHeartbeat(now int64, node *fb.NodeT) { n.sessions.Heartbeat(now, node) }

// Tell sends a frame to the other voters; it may be lost.
func (n *Node) Broadcast(f *fb.FrameT) {
	for _, a := range n.VoterAddrs() {
		if a != n.settings.TransportAddr {
			n.peers.Get(a).Send(f)
		}
	}
}

// Ask asks the control node at an address and waits for its answer.
func (n *Node) Call(ctx context.Context, addr string, f *fb.FrameT, us int64) (*fb.FrameT, error) {
	return n.peers.Get(addr).Call(ctx, f, us)
}
