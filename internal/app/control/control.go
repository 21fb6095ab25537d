// Package control is a control node: it votes on keys, owns slots, keeps
// sessions and answers operators.
package control

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"violetthread/internal/base"
	"violetthread/internal/clock"
	"violetthread/internal/link"
	"violetthread/internal/taskgroup"
	"violetthread/internal/wire"
	"violetthread/membership"
	"violetthread/plan"
	"violetthread/quorum"
	"violetthread/schema/fb"
	"violetthread/wal"
	"violetthread/wal/osdisk"
)

// Settings of a registrar.
type Settings struct {
	base.Node
	Found     bool  `json:"found" help:"true at the very first start of a fleet: agree with the seeds on who votes"`
	RingFiles int   `json:"ring_files" validate:"min=8,max=1024" help:"files in the disk ring"`
	EraTerm   int64 `json:"era_us" validate:"min=1000000,max=86400000000" help:"how long an era of claims is the newest"`
	Eras      int   `json:"eras" validate:"min=2,max=64" help:"eras open at a time; a once-only ticket of an older one is not run"`
	// Disk wraps the folder that the ring lies in, for failures of disks in tests; it
	// has no name in a settings file and no flag.
	Disk func(wal.FS) wal.FS
	// Patience bounds Node.Op, the way operators' requests take.
	Patience  int64 `json:"patience_us" validate:"min=100000,max=60000000" help:"longest wait for an operator's change to be settled"`
	Term      int64 `json:"term_us" validate:"min=300000,max=10000000" help:"lease of a slot's owner, the same at every registrar of a fleet"`
	RingBytes int64 `json:"ring_bytes" validate:"min=65536,max=1073741824" help:"bytes of each ring file"`
}

// Defaults of the settings.
func Defaults() Settings {
	return Settings{Node: base.Node{Drain: 1_000_000}, RingFiles: 32, RingBytes: 8 << 20, Term: 1_000_000, EraTerm: 120_000_000, Eras: 5, Patience: 4_000_000}
}

// Node is a running registrar.
type Node struct {
	s       Settings
	d       *base.Daemon
	c       *taskgroup.Group // of the voter, while this disk is in a roster
	book    *link.Book
	ring    *wal.Log
	inc     atomic.Uint64
	found   atomic.Pointer[fb.FoundingT]
	retired chan struct{} // a newer roster does not hold this disk
	rejoins atomic.Bool   // it was in a roster once, and lost its place
	frames  atomic.Pointer[[]link.Handler]
	mu      sync.Mutex
	known   []string // addresses to ask while this disk is in no roster
	recs    []quorum.Rec
	node    *quorum.Node
	in      chan func(now int64)
	disk    chan batch
	senders map[string]chan *fb.FrameT
	waiting map[uint64]chan quorum.Answer
	ops     uint64
	ckpting atomic.Bool
	roll    *membership.Roll
	cache   atomic.Pointer[plan.Held]
	era     atomic.Uint64 // the newest that is known to be open
	stats   atomic.Pointer[stats]
	up      atomic.Bool   // the voter runs
	done    atomic.Uint64 // records on disk
	full    atomic.Bool   // the ring wants a checkpoint
	used    atomic.Int64
	tight   bool
	turns   atomic.Uint64 // of another
}

type batch struct {
	recs  [][]byte
	count uint64
	ckpt  []quorum.Rec // the state at this point, to be restated
}

type stats struct {
	slots []quorum.Slot
	size  int
	firm  bool
	mute  map[string]bool // voters not heard lately
}

// Run runs a registrar until it is told to stop.
func Run(s Settings) error {
	d, err := New(s)
	if err != nil {
		return err
	}
	return d.Run()
}

// New makes one, ready to Run.
func New(s Settings) (*base.Daemon, error) {
	r, err := Make(s)
	if err != nil {
		return nil, err
	}
	return r.Daemon(), nil
}

// Make makes one for a program that adds to what it answers.
func Make(s Settings) (*Node, error) {
	if s.Data == "" || s.Wire == "" {
		return nil, trace.BadParameter("data_dir and wire are needed; give --data-dir a folder and --wire an IP:port")
	}
	d := base.Start("registrar", s.Name, s.HTTP, s.Drain)
	if err := d.Profile(s.CPU); err != nil {
		return nil, err
	}
	r := &Node{s: s, d: d, retired: make(chan struct{}, 1), in: make(chan func(int64), 4096), disk: make(chan batch, 4096),
		senders: map[string]chan *fb.FrameT{}, waiting: map[uint64]chan quorum.Answer{}, roll: membership.New(s.Name)}
	r.book = link.NewBook(d.Group)
	r.stats.Store(&stats{})
	r.cache.Store(&plan.Held{})
	if err := r.open(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", s.Wire)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "can't listen on %s; give --wire a free IP:port of this machine", s.Wire)
	}
	link.Serve(d.Group, l, link.Chain(r.handle))
	d.OnDrain(r.leave)
	r.routes()
	d.Group.Go("life", r.life)
	return r, nil
}

func (r *Node) open() error {
	dir := osdisk.Folder{Dir: filepath.Join(r.s.Data, "ring")}
	lock, err := dir.Lock()
	if err != nil {
		return err
	}
	r.d.OnStop(func() { _ = lock.Close() })
	var fs wal.FS = dir
	if r.s.Disk != nil {
		fs = r.s.Disk(fs)
	}
	ring, raw, err := wal.Open(fs, wal.Plan{Files: r.s.RingFiles, Size: r.s.RingBytes})
	if err != nil {
		return err
	}
	r.ring = ring
	for _, b := range raw {
		c, f, err := wire.Unrec(b)
		if err != nil {
			return trace.Wrap(err, "the ring holds a record that this version can't read; start the version that wrote it")
		}
		if c.Roster != nil {
			r.found.Store(wire.Roster(*c.Roster, r.Inc()))
		}
		if f != nil {
			r.inc.Store(f.Inc)
			if f.Rev == 0 {
				r.learn(addrs(f)) // of a disk in no roster: whom to ask
			} else {
				r.found.Store(f)
			}
			continue
		}
		r.recs = append(r.recs, c)
	}
	if r.Inc() == 0 {
		inc, err := draw()
		if err != nil {
			return err
		}
		r.inc.Store(inc)
		// On disk before anyone hears of it: the same number never stands for
		// two lives of this disk.
		if err := r.keep(&fb.FoundingT{Inc: inc}); err != nil {
			return err
		}
	}
	r.d.Log.Info("ring_open", "records", len(raw), "used_permille", ring.Used(), "inc", r.Inc())
	return nil
}

func draw() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, err
	}
	return binary.LittleEndian.Uint64(b[:])>>1 | 1, nil
}

func (r *Node) keep(f *fb.FoundingT) error {
	if err := r.ring.Append(wire.Founding(f)); err != nil {
		return err
	}
	return r.ring.Sync()
}

func (r *Node) fatal(err error) {
	r.d.Log.Info("disk_problem", "cause", err.Error())
	r.d.SetReady("the disk failed: " + err.Error())
	r.d.Stop()
}

// vote runs the voter until a newer roster does not hold this disk: one loop for its
// state, one for its disk, one to each peer.
func (r *Node) vote(ctx context.Context) {
	r.c = taskgroup.New(ctx, r.d.Log)
	defer r.c.Stop()
	ro := wire.Unroster(r.found.Load())
	p := quorum.Defaults(r.s.Name, r.Inc())
	p.EraTerm, p.Eras, p.Term = r.s.EraTerm, r.s.Eras, r.s.Term
	p.Limit = int(int64(r.s.RingFiles) * r.s.RingBytes / 4)
	now := clock.Now()
	r.node = quorum.New(p, ro, now, r.recs)
	r.recs = nil
	r.up.Store(true)
	r.c.Go("disk", r.writeDisk)
	r.c.Go("voter", func(ctx context.Context) {
		taskgroup.Serve(ctx, r.in, clock.Micros(p.Beat/4),
			func(f func(int64)) { f(clock.Now()) },
			func() {
				now := clock.Now()
				r.onDisk(now)
				if t := r.used.Load() > tightAt; t != r.tight {
					r.tight = t
					r.node.Tight(t)
					r.d.Log.Info("ring_tight", "tight", t, "used_permille", r.used.Load())
				}
				r.out(r.node.Tick(now))
				r.era.Store(r.node.Open())
				mute := map[string]bool{}
				for _, v := range r.node.Roster().Voters {
					mute[v.Name] = r.node.Silence(now, v.Name) > muteAfter
				}
				r.stats.Store(&stats{r.node.Slots(now), r.node.Size(), r.node.Firm(), mute})
			})
	})
	r.c.Go("probe", func(ctx context.Context) { taskgroup.Every(ctx, clock.Micros(probeEvery), r.probe) })
	r.c.Go("plan", func(ctx context.Context) { taskgroup.Every(ctx, clock.Micros(150_000), r.refresh) })
	r.c.Go("roll", func(ctx context.Context) {
		taskgroup.Every(ctx, clock.Micros(300_000), func(context.Context) {
			m := &fb.FrameT{RollTell: r.roll.Tell(clock.Now())}
			taskgroup.Offer(r.in, func(int64) {
				for _, v := range r.node.Roster().Voters {
					r.give(v.Name, m)
				}
			})
		})
	})
	r.d.SetReady("")
	taskgroup.Wait(ctx, r.retired)
	r.up.Store(false)
}

// out carries a step's effects out.
func (r *Node) out(o quorum.Out) {
	for _, e := range o.Events {
		if !strings.HasPrefix(e, "unheard") {
			r.d.Log.Info("settle", "what", e)
		}
	}
	if len(o.Recs) > 0 {
		b := batch{count: uint64(len(o.Recs))}
		for _, c := range o.Recs {
			b.recs = append(b.recs, wire.Rec(c))
		}
		taskgroup.Give(r.c.Context(), r.disk, b)
	}
	if o.Roster != nil {
		f := wire.Roster(*o.Roster, r.Inc())
		r.found.Store(f)
		if !r.holds(f) {
			taskgroup.Offer(r.retired, struct{}{})
		}
	}
	for _, s := range o.Sends {
		r.give(s.To, wire.Settle(s.Msg))
	}
	for _, a := range o.Answers {
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
	v, ok := r.node.Roster().Find(name)
	if !ok {
		return
	}
	ch := r.senders[v.Addr] // a name may come back at another address
	if ch == nil {
		ch = make(chan *fb.FrameT, 4096)
		r.senders[v.Addr] = ch
		p := r.book.At(v.Addr)
		r.c.Go("peer", func(ctx context.Context) {
			for {
				m, ok := taskgroup.Wait(ctx, ch)
				if !ok {
					return
				}
				p.Send(m)
			}
		})
	}
	taskgroup.Offer(ch, m)
}

// writeDisk appends what has gathered, syncs once for all of it, and says so. A
// checkpoint goes out in parts between, so that it holds no change up for long.
func (r *Node) writeDisk(ctx context.Context) {
	var ckpt []quorum.Rec
	under := false
	for {
		var bs []batch
		if !under {
			b, ok := taskgroup.Wait(ctx, r.disk)
			if !ok {
				return
			}
			bs = append(bs, b)
		}
		for len(r.disk) > 0 && len(bs) < 512 {
			bs = append(bs, <-r.disk)
		}
		if ctx.Err() != nil {
			return
		}
		if err := r.append(bs, &ckpt, &under); err != nil {
			r.fatal(err)
			return
		}
	}
}

const (
	ckptPart = 1024 // records
	ckptAt   = 350  // thousandths of the ring in use
	tightAt  = 750  // from here on new changes are refused until a checkpoint made room
)

func (r *Node) append(bs []batch, ckpt *[]quorum.Rec, under *bool) error {
	var n uint64
	for _, b := range bs {
		if b.ckpt != nil {
			f := *r.found.Load()
			f.Inc = r.Inc()
			if err := r.ring.Begin(); err != nil {
				return err
			}
			if err := r.ring.Part([][]byte{wire.Founding(&f)}); err != nil {
				return err
			}
			*ckpt, *under = b.ckpt, true
			continue
		}
		for _, d := range b.recs {
			if err := r.ring.Append(d); err != nil {
				return err
			}
		}
		n += b.count
	}
	if *under {
		k := min(len(*ckpt), ckptPart)
		part := make([][]byte, 0, k)
		for _, c := range (*ckpt)[:k] {
			part = append(part, wire.Rec(c))
		}
		if err := r.ring.Part(part); err != nil {
			return err
		}
		if *ckpt = (*ckpt)[k:]; len(*ckpt) == 0 {
			if err := r.ring.End(); err != nil {
				return err
			}
			*under = false
			r.d.Log.Info("checkpoint", "used_permille", r.ring.Used())
			r.full.Store(false)
			r.ckpting.Store(false)
		}
	}
	if err := r.ring.Sync(); err != nil {
		return err
	}
	r.done.Add(n)
	r.used.Store(int64(r.ring.Used()))
	if r.ring.Used() > ckptAt && !*under {
		r.full.Store(true)
	}
	// A word that finds no room is not missed: each tick looks as well.
	taskgroup.Offer(r.in, r.onDisk)
	return nil
}

func (r *Node) onDisk(now int64) {
	r.out(r.node.Synced(now, r.done.Load()))
	if r.full.Load() && r.ckpting.CompareAndSwap(false, true) {
		r.checkpoint()
	}
}

// checkpoint queues the state behind all records it follows from.
func (r *Node) checkpoint() {
	taskgroup.Give(r.c.Context(), r.disk, batch{ckpt: r.node.Checkpoint()})
}

// do starts an operation here and waits for its answer.
func (r *Node) do(ctx context.Context, op quorum.Op) (quorum.Answer, bool) {
	ch := make(chan quorum.Answer, 1)
	if !taskgroup.Give(ctx, r.in, func(now int64) {
		r.ops++
		op.ID = r.ops
		r.waiting[op.ID] = ch
		r.out(r.node.Do(now, op))
	}) {
		return quorum.Answer{}, false
	}
	return taskgroup.Wait(ctx, ch)
}

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
	q := &fb.OpAskT{Kind: byte(quorum.OpGet), Key: planKey, Have: c.Rev}
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
		n, _, _ := c.Take(plan.Word{Rev: t.Rev, Raw: t.Val, Fresh: true}, at)
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
	t := &fb.BeatTellT{Rev: c.Rev, Age: c.Age(now), Fresh: c.Known, Nodes: r.roll.Live(now), Era: r.era.Load()}
	if c.Rev != have {
		t.Plan = c.Raw
	}
	if f := r.found.Load(); f != nil {
		t.Registrars = lo.Map(f.Voters, func(v *fb.VoterT, _ int) string { return v.Addr })
	}
	return t
}
