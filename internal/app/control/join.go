package control

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
	"sort"
	"strings"

	"github.com/samber/lo"

	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

const (
	askEvery   = 50_000  // between questions to one registrar
	askLimit   = 500_000 // for its answer
	fresh      = 700_000 // an answer this old still counts for a founding
	probeEvery = 150_000
	lonely     = 250_000 // without word from a majority a voter looks for a newer roster
	maxKnown   = 32
)

// holds tells whether the very disk of this node votes in a roster.
func (r *Node) holds(f *fb.FoundingT) bool { return heldBy(f, r.s.Name, r.Inc()) }

// heldBy tells whether a disk votes in a roster.
func heldBy(f *fb.FoundingT, name string, inc uint64) bool {
	return lo.ContainsBy(f.Voters, func(v *fb.VoterT) bool { return v.Name == name && v.Inc == inc })
}

func addrs(f *fb.FoundingT) []string {
	return lo.Map(f.Voters, func(v *fb.VoterT, _ int) string { return v.Addr })
}

// learn keeps addresses of registrars, the latest first.
func (r *Node) learn(as []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := lo.Uniq(append(slices.Clone(as), r.known...))
	r.known = l[:min(len(l), maxKnown)]
}

// knows lists whom this node may ask: what it learned and its seeds, never itself.
func (r *Node) knows() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return lo.Without(lo.Uniq(append(slices.Clone(r.known), r.s.Seeds...)), r.s.TransportAddr, "")
}

type told struct {
	addr string
	at   int64
	t    *fb.FoundTellT // nil: no answer
}

// join asks whoever may know a roster, each on its own so that a dead one holds
// nobody up, until a roster holds this disk or it founded one with the seeds.
func (r *Node) join(ctx context.Context) (*fb.FoundingT, bool) {
	c := taskgroup.New(ctx, r.d.Log)
	defer c.Stop()
	ch := make(chan told, 64)
	asked, last := map[string]bool{}, map[string]told{}
	for {
		for _, a := range r.knows() {
			if asked[a] {
				continue
			}
			asked[a] = true
			c.Go("ask", func(ctx context.Context) {
				for ctx.Err() == nil {
					at := clock.Now()
					if !taskgroup.Send(ctx, ch, told{a, at, r.ask(ctx, a, true)}) || !taskgroup.Sleep(ctx, askEvery) {
						return
					}
				}
			})
		}
		if f, err := r.foundNow(clock.Now(), last); f != nil {
			return f, true
		} else if err != nil {
			r.d.SetReady(err.Error())
		}
		if len(asked) == 0 { // nobody to ask but those who find this node
			if !taskgroup.Sleep(ctx, askEvery) {
				return nil, false
			}
			continue
		}
		w, ok := taskgroup.Receive(ctx, ch)
		if !ok {
			return nil, false
		}
		last[w.addr] = w
		if w.t != nil && w.t.Founding != nil && w.t.Founding.Rev != 0 {
			if r.holds(w.t.Founding) {
				return w.t.Founding, true
			}
			r.learn(addrs(w.t.Founding))
		}
	}
}

// ask asks one registrar who it is and which roster it follows. A blank one asks to
// be let in by that.
func (r *Node) ask(ctx context.Context, addr string, blank bool) *fb.FoundTellT {
	t, err := r.book.Get(addr).Call(ctx, &fb.FrameT{FoundAsk: &fb.FoundAskT{Name: r.s.Name, Addr: r.s.TransportAddr, Inc: r.Inc(), Blank: blank, First: r.first()}}, askLimit)
	if err != nil || t.FoundTell == nil || t.FoundTell.Inc == 0 {
		return nil // who that is lies on a disk that was not read yet
	}
	return t.FoundTell
}

// first reports whether this node belongs to a fleet that starts for the first time, and
// never had a place in it. One that lost its place was replaced: its seat is taken.
func (r *Node) first() bool { return r.s.Found && !r.rejoins.Load() }

// foundNow founds a fleet out of what the seeds just told, or says what is waited for.
// Only seeds found, once each has told its number and none knows a roster; whoever
// meets a founded fleet joins that (design §4.6).
func (r *Node) foundNow(now int64, last map[string]told) (*fb.FoundingT, error) {
	for _, w := range last {
		if w.t != nil && w.t.Founding != nil {
			return nil, fmt.Errorf("waiting to be let into the fleet's roster; a majority of its registrars must be up")
		}
	}
	if !r.first() {
		return nil, fmt.Errorf("no founded fleet is reachable; if this is the fleet's first start, give every registrar --found true")
	}
	if !slices.Contains(r.s.Seeds, r.s.TransportAddr) {
		return nil, fmt.Errorf("waiting for the seeds to found the fleet; start the registrars at %s", strings.Join(r.s.Seeds, ", "))
	}
	vs := []*fb.VoterT{{Name: r.s.Name, Addr: r.s.TransportAddr, Inc: r.Inc()}}
	for _, a := range lo.Without(lo.Uniq(r.s.Seeds), r.s.TransportAddr) {
		w := last[a]
		if w.t == nil || now-w.at > fresh {
			return nil, fmt.Errorf("founding waits until every seed answers; %s does not", a)
		}
		vs = append(vs, &fb.VoterT{Name: w.t.Name, Addr: a, Inc: w.t.Inc})
	}
	sort.Slice(vs, func(i, j int) bool { return vs[i].Name < vs[j].Name })
	h := fnv.New64a()
	for i, v := range vs {
		v.Num = uint16(i + 1)
		_, _ = fmt.Fprintf(h, "%s|%s|%d;", v.Name, v.Addr, v.Inc)
		if i > 0 && vs[i-1].Name == v.Name {
			return nil, fmt.Errorf("two registrars are named %s; give each its own name", v.Name)
		}
	}
	fleet := h.Sum64() >> 24
	return &fb.FoundingT{Fleet: fleet, Rev: quorum.FirstRevision(fleet), Voters: vs, Seats: uint16(len(vs))}, nil
}

// foundTell answers who this is. A blank asker wants to be let in; one that votes may
// be the only way for a blank node here to find its fleet.
func (r *Node) foundTell(q *fb.FoundAskT) *fb.FoundTellT {
	f := r.found.Load()
	_, err := netip.ParseAddrPort(q.Addr)
	switch {
	case err != nil || q.Name == "" || q.Inc == 0:
	case q.Blank && f != nil && r.up.Load():
		v := quorum.Voter{Name: q.Name, Addr: q.Addr, Incarnation: q.Inc}
		taskgroup.TrySend(r.in, func(now int64) {
			if q.First {
				r.out(r.node.AdmitFoundingVoter(now, v))
				return
			}
			r.out(r.node.AdmitVoter(now, v))
		})
	case !q.Blank && f == nil:
		r.learn([]string{q.Addr})
	}
	return &fb.FoundTellT{Name: r.s.Name, Inc: r.Inc(), Blank: f == nil, Founding: f}
}

// probe looks after voters that are not heard. Without a majority this node may have
// been left out of newer rosters, and asks for them; one that is blank since learns
// from the question whom to ask.
func (r *Node) probe(ctx context.Context) {
	ch := make(chan []quorum.Voter, 1)
	far := false
	if !taskgroup.Send(ctx, r.in, func(now int64) {
		var vs []quorum.Voter
		ro := r.node.VoterSet()
		for _, v := range ro.Voters {
			if v.Name != r.s.Name && r.node.Silence(now, v.Name) > lonely {
				vs = append(vs, v)
			}
		}
		far = len(ro.Voters)-len(vs) < ro.Majority()
		ch <- vs
	}) {
		return
	}
	vs, ok := taskgroup.Receive(ctx, ch)
	if !ok || len(vs) == 0 {
		return
	}
	as := lo.Map(vs, func(v quorum.Voter, _ int) string { return v.Addr })
	if far {
		as = append(as, r.knows()...)
	}
	for _, a := range lo.Without(lo.Uniq(as), r.s.TransportAddr) {

		r.c.Go("probe.ask", func(ctx context.Context) {
			t := r.ask(ctx, a, false)
			if t == nil || t.Founding == nil || t.Founding.Rev == 0 {
				return
			}
			ro := codec.UnpackVoterSet(t.Founding)
			taskgroup.Send(ctx, r.in, func(now int64) { r.out(r.node.ObserveVoterSet(now, ro)) })
		})
	}
}

const (
	leaveLeast = 100_000 // for the word to go out
	leaveMost  = 900_000 // for the rest to drop the seat; they do so without this node as well
)

// leave gives the slots up before a polite stop. A machine whose successor was let in
// before stays until the rest has dropped its seat, so that the stop costs no margin.
func (r *Node) leave(ctx context.Context) {
	if !r.up.Load() {
		return
	}
	ctx, stop := context.WithTimeout(ctx, clock.Duration(leaveMost))
	defer stop()
	if !taskgroup.Send(ctx, r.in, func(now int64) { r.out(r.node.Leave(now)) }) {
		return
	}
	for taskgroup.Sleep(ctx, leaveLeast) {
		if !r.handingOver(ctx) {
			return
		}
	}
}

// handingOver asks the voter's loop whether this node's seat is about to be dropped.
func (r *Node) handingOver(ctx context.Context) bool {
	answer := make(chan bool, 1)
	if !taskgroup.Send(ctx, r.in, func(int64) { answer <- r.node.RemovalPending() }) {
		return false
	}
	handing, ok := taskgroup.Receive(ctx, answer)
	return ok && handing
}
