package control

import (
	"context"
	"errors"
	"strings"

	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// handOverFor is how long word of slots given up may take to go out.
const handOverFor = 100_000

// vote runs the voter until a newer roster does not hold this disk, or the disk can't be
// used: one loop for its state, one for its disk, one to each peer. It returns which.
func (r *Node) vote(ctx context.Context) error {
	r.c = taskgroup.New(ctx, r.d.Log)
	r.node = r.newVoter(r.found.Load(), r.Inc(), r.recs)
	r.recs = nil
	r.startWriter(r.c.Context())
	r.startLoops()
	r.up.Store(true)
	r.d.SetReady("")
	why, ok := taskgroup.Receive(ctx, r.ended)
	r.up.Store(false)
	if ok && !errors.Is(why, errRetired) {
		r.diskTrouble(why)
		r.handOver(ctx)
	}
	r.c.Stop()
	taskgroup.Receive(ctx, r.storage.written) // a stalled operation may still be under way
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return why
}

// newVoter makes a voter from what a disk holds.
func (r *Node) newVoter(f *fb.FoundingT, inc uint64, recs []quorum.Record) *quorum.Node {
	p := quorum.DefaultConfig(r.s.Name, inc)
	p.GenerationDuration, p.OpenGenerations, p.LeaseDuration = r.s.EraTerm, r.s.Eras, r.s.Term
	p.MaxStateBytes = int(int64(r.s.RingFiles) * r.s.RingBytes / 4)
	return quorum.New(p, codec.UnpackVoterSet(f), clock.Now(), recs)
}

func (r *Node) startLoops() {
	tick := quorum.DefaultConfig("", 0).HeartbeatInterval / 4
	r.c.Go("voter", func(ctx context.Context) {
		taskgroup.Serve(ctx, r.in, clock.Duration(tick), func(f func(int64)) { f(clock.Now()) }, r.tick)
	})
	r.c.Go("probe", func(ctx context.Context) { taskgroup.Every(ctx, clock.Duration(probeEvery), r.probe) })
	r.c.Go("plan", func(ctx context.Context) { taskgroup.Every(ctx, clock.Duration(planEvery), r.refresh) })
	r.c.Go("roll", func(ctx context.Context) { taskgroup.Every(ctx, clock.Duration(rollEvery), r.tellRoll) })
}

const (
	planEvery = 150_000
	rollEvery = 300_000
)

// tick is a few times a beat.
func (r *Node) tick() {
	now := clock.Now()
	if r.storage.stuck.stalled(r.storage.started.Load()) {
		r.endVote(errStalled)
	}
	r.onDisk(now)
	r.noteRoom()
	r.out(r.node.Tick(now))
	r.era.Store(r.node.Generation())
	mute := map[string]bool{}
	for _, v := range r.node.VoterSet().Voters {
		mute[v.Name] = r.node.Silence(now, v.Name) > muteAfter
	}
	r.stats.Store(&stats{r.node.Status(now), r.node.StateBytes(), r.node.AllSlotsRecovered(), mute})
}

// noteRoom has the voter refuse new changes while the ring has little room.
func (r *Node) noteRoom() {
	used := r.storage.used.Load()
	tight := used > tightAt
	if tight == r.tight {
		return
	}
	r.tight = tight
	r.node.SetDiskLow(tight)
	r.d.Log.Info("ring_tight", "tight", tight, "used_permille", used)
}

// tellRoll tells the other voters of this node's sessions.
func (r *Node) tellRoll(context.Context) {
	m := &fb.FrameT{RollTell: r.roll.Tell(clock.Now())}
	taskgroup.TrySend(r.in, func(int64) {
		for _, v := range r.node.VoterSet().Voters {
			r.give(v.Name, m)
		}
	})
}

// handOver gives the slots up because of the disk, and lets the word go out. Answers that
// wait for the disk are given up with them.
func (r *Node) handOver(ctx context.Context) {
	done := make(chan struct{})
	if taskgroup.Send(ctx, r.in, func(now int64) {
		r.out(r.node.StepDown(now))
		close(done)
	}) {
		taskgroup.Receive(ctx, done)
		taskgroup.Sleep(ctx, handOverFor)
	}
}

// out carries a step's effects out.
func (r *Node) out(o quorum.Ready) {
	for _, e := range o.Events {
		if !strings.HasPrefix(e, "unheard") {
			r.d.Log.Info("settle", "what", e)
		}
	}
	r.record(o.Records)
	if o.VoterSet != nil {
		f := codec.PackVoterSet(*o.VoterSet, r.Inc())
		r.found.Store(f)
		if !r.holds(f) {
			r.endVote(errRetired)
		}
	}
	for _, s := range o.Messages {
		r.give(s.To, codec.PackMessage(s.Message))
	}
	for _, a := range o.Results {
		if ch := r.waiting[a.ID]; ch != nil {
			delete(r.waiting, a.ID)
			ch <- a
		}
	}
}

// give queues a frame for another voter, on a sender of its own so that a slow
// one holds up nobody. Called from the voter's loop alone.
func (r *Node) give(name string, m *fb.FrameT) {
	if name == r.s.Name {
		return
	}
	v, ok := r.node.VoterSet().Find(name)
	if !ok {
		return
	}
	ch := r.senders[v.Addr] // a name may come back at another address
	if ch == nil {
		ch = make(chan *fb.FrameT, 4096)
		r.senders[v.Addr] = ch
		p := r.book.Get(v.Addr)
		r.c.Go("peer", func(ctx context.Context) {
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
func (r *Node) do(ctx context.Context, op quorum.Operation) (quorum.Result, bool) {
	ch := make(chan quorum.Result, 1)
	if !taskgroup.Send(ctx, r.in, func(now int64) {
		r.ops++
		op.ID = r.ops
		r.waiting[op.ID] = ch
		r.out(r.node.Propose(now, op))
	}) {
		return quorum.Result{}, false
	}
	return taskgroup.Receive(ctx, ch)
}
