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
	askInterval   = 50_000  // between questions to one registrar
	askTimeout    = 500_000 // for its answer
	replyLifetime = 700_000 // an answer this old still counts for a founding
	probeInterval = 150_000
	silentAfter   = 250_000 // without word from a majority a voter looks for a newer roster
	maxKnownAddrs = 32
)

// holds tells whether the very disk of this node votes in a roster.
func (n *Node) isVoter(f *fb.FoundingT) bool {
	return containsDisk(f, n.settings.Name, n.Incarnation())
}

// heldBy tells whether a disk votes in a roster.
func containsDisk(f *fb.FoundingT, name string, inc uint64) bool {
	return lo.ContainsBy(f.Voters, func(v *fb.VoterT) bool { return v.Name == name && v.Inc == inc })
}

func voterAddrs(f *fb.FoundingT) []string {
	return lo.Map(f.Voters, func(v *fb.VoterT, _ int) string { return v.Addr })
}

// learn keeps addresses of registrars, the latest first.
func (n *Node) addKnownAddrs(as []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := lo.Uniq(append(slices.Clone(as), n.knownAddrs...))
	n.knownAddrs = l[:min(len(l), maxKnownAddrs)]
}

// knows lists whom this node may ask: what it learned and its seeds, never itself.
func (n *Node) candidateAddrs() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return lo.Without(lo.Uniq(append(slices.Clone(n.knownAddrs), n.settings.Seeds...)), n.settings.TransportAddr, "")
}

type peerReply struct {
	addr    string
	askedAt int64
	reply   *fb.FoundTellT // nil: no answer
}

// join asks whoever may know a roster, each on its own so that a dead one holds
// nobody up, until a roster holds this disk or it founded one with the seeds.
func (n *Node) join(ctx context.Context) (*fb.FoundingT, bool) {
	c := taskgroup.New(ctx, n.daemon.Log)
	defer c.Stop()
	ch := make(chan peerReply, 64)
	asked, last := map[string]bool{}, map[string]peerReply{}
	for {
		for _, a := range n.candidateAddrs() {
			if asked[a] {
				continue
			}
			asked[a] = true
			c.Go("ask", func(ctx context.Context) {
				for ctx.Err() == nil {
					at := clock.Now()
					if !taskgroup.Send(ctx, ch, peerReply{a, at, n.askVoterSet(ctx, a, true)}) || !taskgroup.Sleep(ctx, askInterval) {
						return
					}
				}
			})
		}
		if f, err := n.tryBootstrap(clock.Now(), last); f != nil {
			return f, true
		} else if err != nil {
			n.daemon.SetReady(err.Error())
		}
		if len(asked) == 0 { // nobody to ask but those who find this node
			if !taskgroup.Sleep(ctx, askInterval) {
				return nil, false
			}
			continue
		}
		w, ok := taskgroup.Receive(ctx, ch)
		if !ok {
			return nil, false
		}
		last[w.addr] = w
		if w.reply != nil && w.reply.Founding != nil && w.reply.Founding.Rev != 0 {
			if n.isVoter(w.reply.Founding) {
				return w.reply.Founding, true
			}
			n.addKnownAddrs(voterAddrs(w.reply.Founding))
		}
	}
}

// ask asks one registrar who it is and which roster it follows. A blank one asks to
// be let in by that.
func (n *Node) askVoterSet(ctx context.Context, addr string, blank bool) *fb.FoundTellT {
	t, err := n.peers.Get(addr).Call(ctx, &fb.FrameT{FoundAsk: &fb.FoundAskT{Name: n.settings.Name, Addr: n.settings.TransportAddr, Inc: n.Incarnation(), Blank: blank, First: n.firstStart()}}, askTimeout)
	if err != nil || t.FoundTell == nil || t.FoundTell.Inc == 0 {
		return nil // who that is lies on a disk that was not read yet
	}
	return t.FoundTell
}

// first reports whether this node belongs to a fleet that starts for the first time, and
// never had a place in it. One that lost its place was replaced: its seat is taken.
func (n *Node) firstStart() bool { return n.settings.Bootstrap && !n.removed.Load() }

// foundNow founds a fleet out of what the seeds just told, or says what is waited for.
// Only seeds found, once each has told its number and none knows a roster; whoever
// meets a founded fleet joins that (design §4.6).
func (n *Node) tryBootstrap(now int64, last map[string]peerReply) (*fb.FoundingT, error) {
	for _, w := range last {
		if w.reply != nil && w.reply.Founding != nil {
			return nil, fmt.Errorf("waiting to be let into the fleet's roster; a majority of its registrars must be up")
		}
	}
	if !n.firstStart() {
		return nil, fmt.Errorf("no founded fleet is reachable; if this is the fleet's first start, give every registrar --found true")
	}
	if !slices.Contains(n.settings.Seeds, n.settings.TransportAddr) {
		return nil, fmt.Errorf("waiting for the seeds to found the fleet; start the registrars at %s", strings.Join(n.settings.Seeds, ", "))
	}
	vs := []*fb.VoterT{{Name: n.settings.Name, Addr: n.settings.TransportAddr, Inc: n.Incarnation()}}
	for _, a := range lo.Without(lo.Uniq(n.settings.Seeds), n.settings.TransportAddr) {
		w := last[a]
		if w.reply == nil || now-w.askedAt > replyLifetime {
			return nil, fmt.Errorf("founding waits until every seed answers; %s does not", a)
		}
		vs = append(vs, &fb.VoterT{Name: w.reply.Name, Addr: a, Inc: w.reply.Inc})
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
func (n *Node) voterSetReply(q *fb.FoundAskT) *fb.FoundTellT {
	f := n.voterSet.Load()
	_, err := netip.ParseAddrPort(q.Addr)
	switch {
	case err != nil || q.Name == "" || q.Inc == 0:
	case q.Blank && f != nil && n.voting.Load():
		v := quorum.Voter{Name: q.Name, Addr: q.Addr, Incarnation: q.Inc}
		taskgroup.TrySend(n.commands, func(now int64) {
			if q.First {
				n.processReady(n.voter.AdmitFoundingVoter(now, v))
				return
			}
			n.processReady(n.voter.AdmitVoter(now, v))
		})
	case !q.Blank && f == nil:
		n.addKnownAddrs([]string{q.Addr})
	}
	return &fb.FoundTellT{Name: n.settings.Name, Inc: n.Incarnation(), Blank: f == nil, Founding: f}
}

// probe looks after voters that are not heard. Without a majority this node may have
// been left out of newer rosters, and asks for them; one that is blank since learns
// from the question whom to ask.
func (n *Node) probeSilentVoters(ctx context.Context) {
	ch := make(chan []quorum.Voter, 1)
	far := false
	if !taskgroup.Send(ctx, n.commands, func(now int64) {
		var vs []quorum.Voter
		ro := n.voter.VoterSet()
		for _, v := range ro.Voters {
			if v.Name != n.settings.Name && n.voter.Silence(now, v.Name) > silentAfter {
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
		as = append(as, n.candidateAddrs()...)
	}
	for _, a := range lo.Without(lo.Uniq(as), n.settings.TransportAddr) {

		n.voterGroup.Go("probe.ask", func(ctx context.Context) {
			t := n.askVoterSet(ctx, a, false)
			if t == nil || t.Founding == nil || t.Founding.Rev == 0 {
				return
			}
			ro := codec.UnpackVoterSet(t.Founding)
			taskgroup.Send(ctx, n.commands, func(now int64) { n.processReady(n.voter.ObserveVoterSet(now, ro)) })
		})
	}
}

const (
	leavePoll    = 100_000 // for the word to go out
	leaveTimeout = 900_000 // for the rest to drop the seat; they do so without this node as well
)

// leave gives the slots up before a polite stop. A machine whose successor was let in
// before stays until the rest has dropped its seat, so that the stop costs no margin.
func (n *Node) leave(ctx context.Context) {
	if !n.voting.Load() {
		return
	}
	ctx, stop := context.WithTimeout(ctx, clock.Duration(leaveTimeout))
	defer stop()
	if !taskgroup.Send(ctx, n.commands, func(now int64) { n.processReady(n.voter.Leave(now)) }) {
		return
	}
	for taskgroup.Sleep(ctx, leavePoll) {
		if !n.awaitingRemoval(ctx) {
			return
		}
	}
}

// handingOver asks the voter's loop whether this node's seat is about to be dropped.
func (n *Node) awaitingRemoval(ctx context.Context) bool {
	answer := make(chan bool, 1)
	if !taskgroup.Send(ctx, n.commands, func(int64) { answer <- n.voter.RemovalPending() }) {
		return false
	}
	handing, ok := taskgroup.Receive(ctx, answer)
	return ok && handing
}
