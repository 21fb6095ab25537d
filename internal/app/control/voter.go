package control

import (
	"context"
	"errors"

	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// handOverFor is how long word of slots given up may take to go out.
const stepDownGrace = 100_000

// vote runs the voter until a newer roster does not hold this disk, or the disk can't be
// used: one loop for its state, one for its disk, one to each peer. It returns which.
func (n *Node) runVoter(ctx context.Context) error {
	n.voterGroup = taskgroup.New(ctx, n.daemon.Log)
	n.voter = n.newVoter(n.voterSet.Load(), n.Incarnation(), n.records)
	n.records = nil
	n.startWriter(n.voterGroup.Context())
	n.startLoops()
	n.voting.Store(true)
	n.daemon.SetReady("")
	why, ok := taskgroup.Receive(ctx, n.stopReason)
	n.voting.Store(false)
	if ok && !errors.Is(why, errRetired) {
		n.markDiskUnusable(why)
		n.stepDown(ctx)
	}
	n.voterGroup.Stop()
	taskgroup.Receive(ctx, n.storage.writerDone) // a stalled operation may still be under way
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return why
}

// newVoter makes a voter from what a disk holds.
func (n *Node) newVoter(f *fb.FoundingT, inc uint64, recs []quorum.Record) *quorum.Node {
	p := quorum.DefaultConfig(n.settings.Name, inc)
	p.GenerationDuration, p.OpenGenerations, p.LeaseDuration = n.settings.GenerationDuration, n.settings.OpenGenerations, n.settings.LeaseDuration
	p.MaxStateBytes = int(int64(n.settings.LogSegments) * n.settings.LogSegmentBytes / 4)
	return quorum.New(p, codec.UnpackVoterSet(f), clock.Now(), recs)
}

func (n *Node) startLoops() {
	tick := quorum.DefaultConfig("", 0).HeartbeatInterval / 4
	n.voterGroup.Go("voter", func(ctx context.Context) {
		taskgroup.Serve(ctx, n.commands, clock.Duration(tick), func(f func(int64)) { f(clock.Now()) }, n.tickVoter)
	})
	n.voterGroup.Go("probe", func(ctx context.Context) { taskgroup.Every(ctx, clock.Duration(probeInterval), n.probeSilentVoters) })
	n.voterGroup.Go("plan", func(ctx context.Context) { taskgroup.Every(ctx, clock.Duration(planInterval), n.refreshPlan) })
	n.voterGroup.Go("roll", func(ctx context.Context) { taskgroup.Every(ctx, clock.Duration(sessionsInterval), n.broadcastSessions) })
}

const (
	planInterval     = 150_000
	sessionsInterval = 300_000
)

// tick is a few times a beat.
func (n *Node) tickVoter() {
	now := clock.Now()
	if n.storage.stall.stalled(n.storage.activeOperation.Load()) {
		n.stopVoter(errStalled)
	}
	n.recordsSynced(now)
	n.updateLogPressure()
	n.processReady(n.voter.Tick(now))
	n.generation.Store(n.voter.Generation())
	mute := map[string]bool{}
	for _, v := range n.voter.VoterSet().Voters {
		mute[v.Name] = n.voter.Silence(now, v.Name) > contactTimeout
	}
	n.status.Store(&voterStatus{n.voter.Status(now), n.voter.StateBytes(), n.voter.AllSlotsRecovered(), mute})
}

// noteRoom has the voter refuse new changes while the ring has little room.
func (n *Node) updateLogPressure() {
	used := n.storage.usedPermille.Load()
	tight := used > tightAtPermille
	if tight == n.logTight {
		return
	}
	n.logTight = tight
	n.voter.SetDiskLow(tight)
	n.daemon.Log.Info("ring_tight", "tight", tight, "used_permille", used)
}

// tellRoll tells the other voters of this node's sessions.
func (n *Node) broadcastSessions(context.Context) {
	m := &fb.FrameT{RollTell: n.sessions.Announcement(clock.Now())}
	taskgroup.TrySend(n.commands, func(int64) {
		for _, v := range n.voter.VoterSet().Voters {
			n.sendTo(v.Name, m)
		}
	})
}

// handOver gives the slots up because of the disk, and lets the word go out. Answers that
// wait for the disk are given up with them.
func (n *Node) stepDown(ctx context.Context) {
	done := make(chan struct{})
	if taskgroup.Send(ctx, n.commands, func(now int64) {
		n.processReady(n.voter.StepDown(now))
		close(done)
	}) {
		taskgroup.Receive(ctx, done)
		taskgroup.Sleep(ctx, stepDownGrace)
	}
}

// out carries a step's effects out.
func (n *Node) processReady(o quorum.Ready) {
	for _, e := range o.Events {
		if !e.Type.Frequent() {
			n.daemon.Log.Info(e.Type.String(), e.KeysAndValues()...)
		}
	}
	n.queueRecords(o.Records)
	if o.VoterSet != nil {
		f := codec.PackVoterSet(*o.VoterSet, n.Incarnation())
		n.voterSet.Store(f)
		if !n.isVoter(f) {
			n.stopVoter(errRetired)
		}
	}
	for _, s := range o.Messages {
		n.sendTo(s.To, codec.PackMessage(s.Message))
	}
	for _, a := range o.Results {
		if ch := n.results[a.ID]; ch != nil {
			delete(n.results, a.ID)
			ch <- a
		}
	}
}

// give queues a frame for another voter, on a sender of its own so that a slow
// one holds up nobody. Called from the voter's loop alone.
func (n *Node) sendTo(name string, m *fb.FrameT) {
	if name == n.settings.Name {
		return
	}
	v, ok := n.voter.VoterSet().Find(name)
	if !ok {
		return
	}
	ch := n.senders[v.Addr] // a name may come back at another address
	if ch == nil {
		ch = make(chan *fb.FrameT, 4096)
		n.senders[v.Addr] = ch
		p := n.peers.Get(v.Addr)
		n.voterGroup.Go("peer", func(ctx context.Context) {
			for {
				m, ok := taskgroup.Receive(ctx, ch)
				if !ok {
					return
				}
				p.Send(m)
			}
		})
	}
	taskgroup.TrySend(ch, m)
}

// do starts an operation here and waits for its answer.
func (n *Node) propose(ctx context.Context, op quorum.Operation) (quorum.Result, bool) {
	ch := make(chan quorum.Result, 1)
	if !taskgroup.Send(ctx, n.commands, func(now int64) {
		n.lastOperation++
		op.ID = n.lastOperation
		n.results[op.ID] = ch
		n.processReady(n.voter.Propose(now, op))
	}) {
		return quorum.Result{}, false
	}
	return taskgroup.Receive(ctx, ch)
}
