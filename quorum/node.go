package quorum

import (
	"fmt"
	"sort"
)

// Plan sets a node's sizes and times, in microseconds.
type Plan struct {
	Name  string
	Inc   uint64
	Slots int
	Beat  int64 // between beats
	Term  int64 // of a slot owner's lease
	Slack int64 // the owner stops this much before its lease ends
	Chunk int   // bytes of entries in one message
	Limit int   // bytes of live state before changes are refused
	// EraTerm is how long an era of claims stays the newest, Eras how many are open
	// at a time; with EraTerm 0 there is none and claims stay for ever.
	EraTerm int64
	Eras    int
}

// Defaults are the values the daemons start from.
func Defaults(name string, inc uint64) Plan {
	return Plan{Name: name, Inc: inc, Slots: 16, Beat: 100_000, Term: 1_000_000,
		Slack: 150_000, Chunk: 256 << 10, Limit: 96 << 20, EraTerm: 120_000_000, Eras: 5}
}

type stage uint8

const (
	idle stage = iota
	seeking
	finishing // read back; a majority is joining the line, and with it what was in doubt
	owning
)

// slot is one node's view of a slot: as voter, and while it lasts, as owner.
type slot struct {
	// As voter, kept on disk.
	promised uint64
	joined   uint64 // epoch whose line of changes ent follows
	mark     Ver    // all changes of that line up to here are in ent
	settled  Ver    // known to be on a majority
	ent      map[string]Entry
	byVer    []verKey
	closed   uint64 // the floor below which claims were forgotten here
	// As voter, in memory.
	owner     string
	ownerEp   uint64
	heldUntil int64 // no other candidate is granted before
	waitUntil int64 // this node seeks the slot no sooner
	fetchAt   int64
	// As candidate or owner.
	st       stage
	first    bool   // was the owner until the roster changed: seek at once
	firm     uint64 // roster under which the slot was last known to be finished
	epoch    uint64
	seekAt   int64
	replies  map[string]Msg
	refused  map[string]bool
	outbid   uint64 // a voter promised this much, and can't follow a lesser epoch
	outbidAt int64
	nextTry  int64
	seq      uint64
	acked    map[string]Ver
	pend     map[string]*pending
	order    []*pending
	beatOK   map[string]int64
	ownUntil int64
	eraAt    int64            // since when the newest era is, as this owner counts it
	holds    map[string]int64 // duty key: lease end as this owner counts it
}

type verKey struct {
	v Ver
	k string
}

type pending struct {
	key   string
	ver   Ver
	old   Entry
	had   bool
	op    Op
	queue []Op
}

type awaiting struct {
	at uint64 // record count that must be synced
	fn func(now int64, o *Out)
}

type ask struct{ first, last int64 }

// Node is one voter. It is not safe for concurrent use.
type Node struct {
	p       Plan
	roster  Roster
	leaving bool
	tight   bool
	coming  uint64 // roster being put on disk
	me      Voter
	slots   []*slot
	bootAt  int64
	seekAt  int64 // no slot is sought before
	beatAt  int64
	issued  uint64
	synced  uint64
	open    uint64           // the newest era heard of
	heard   map[string]int64 // voters, when last
	came    map[string]int64 // voters let in while this process runs, when
	asks    map[uint64]ask   // newcomers, by incarnation
	listens int64            // since when this process runs without a pause
	tickAt  int64
	wait    []awaiting
	size    int
}

// New makes a node at time now from the records its disk held.
func New(p Plan, r Roster, now int64, recs []Rec) *Node {
	n := &Node{p: p, roster: r, bootAt: now, heard: map[string]int64{}, came: map[string]int64{}, asks: map[uint64]ask{}, listens: now, tickAt: now}
	for i := 0; i < p.Slots; i++ {
		n.slots = append(n.slots, &slot{ent: map[string]Entry{}})
	}
	for _, c := range recs {
		n.replay(c)
	}
	n.me, _ = n.roster.Find(p.Name)
	n.me.Inc = p.Inc
	n.coming = n.roster.Rev
	voted := false
	for _, s := range n.slots {
		voted = voted || s.promised > 0
	}
	n.seekAt = now + p.Term
	if !voted {
		// A disk that granted nothing has no grant to wait out. In a roster that works
		// already it still hears the owners first: its own promise to itself would
		// keep it from following them.
		n.bootAt = now - p.Term
		if r.Step() == 1 {
			n.seekAt = now
		}
	}
	return n
}

func (n *Node) replay(c Rec) {
	if c.Kind == RecRoster {
		if c.Roster != nil && c.Roster.Rev > n.roster.Rev {
			n.roster = *c.Roster
		}
		return
	}
	if int(c.Slot) >= len(n.slots) {
		return
	}
	s := n.slots[c.Slot]
	switch c.Kind {
	case RecPromise:
		s.promised = max(s.promised, c.Epoch)
	case RecEntry:
		n.store(s, c.Entry)
		s.joined, s.mark, s.settled = c.Epoch, c.Mark, c.Settled
	case RecDrop:
		n.drop(s, c.Entry.Key)
	case RecJoin:
		s.joined, s.mark, s.settled = c.Epoch, c.Mark, c.Settled
	}
}

// Checkpoint returns records that stand for the whole state.
func (n *Node) Checkpoint() []Rec {
	ro := n.roster
	out := []Rec{{Kind: RecRoster, Roster: &ro}}
	for i, s := range n.slots {
		out = append(out, Rec{Kind: RecPromise, Slot: uint16(i), Epoch: s.promised})
		for _, vk := range s.live(Ver{}) {
			out = append(out, Rec{Kind: RecEntry, Slot: uint16(i), Epoch: s.joined, Mark: s.mark, Settled: s.settled, Entry: s.ent[vk.k]})
		}
		out = append(out, Rec{Kind: RecJoin, Slot: uint16(i), Epoch: s.joined, Mark: s.mark, Settled: s.settled})
	}
	return out
}

// entSize is what a register takes on disk, its record's frame included.
func entSize(e Entry) int { return len(e.Key) + len(e.Val) + 256 }

func (n *Node) store(s *slot, e Entry) {
	if o, ok := s.ent[e.Key]; ok {
		n.size -= entSize(o)
	}
	n.size += entSize(e)
	s.ent[e.Key] = e
	i := len(s.byVer)
	if i > 0 && !s.byVer[i-1].v.Less(e.Ver) {
		i = sort.Search(len(s.byVer), func(j int) bool { return e.Ver.Less(s.byVer[j].v) })
	}
	s.byVer = append(s.byVer, verKey{})
	copy(s.byVer[i+1:], s.byVer[i:])
	s.byVer[i] = verKey{e.Ver, e.Key}
	if len(s.byVer) > 64 && len(s.byVer) > 2*len(s.ent) {
		s.byVer = s.live(Ver{})
	}
}

func (n *Node) drop(s *slot, k string) {
	if o, ok := s.ent[k]; ok {
		n.size -= entSize(o)
		delete(s.ent, k)
	}
}

// live lists the registers changed after m, oldest change first.
func (s *slot) live(m Ver) []verKey {
	i := sort.Search(len(s.byVer), func(j int) bool { return m.Less(s.byVer[j].v) })
	var out []verKey
	for _, vk := range s.byVer[i:] {
		if e, ok := s.ent[vk.k]; ok && e.Ver == vk.v {
			if l := len(out); l == 0 || out[l-1] != vk {
				out = append(out, vk)
			}
		}
	}
	return out
}

// sure is the mark up to which this voter's registers are beyond doubt.
func (s *slot) sure() Ver {
	if s.mark.Less(s.settled) {
		return s.mark
	}
	return s.settled
}

func (s *slot) doubts() []string {
	var ks []string
	for _, vk := range s.live(s.sure()) {
		ks = append(ks, vk.k)
	}
	return ks
}

// since lists what a node sure up to m, doubting keys, must learn; absent are
// the doubted keys that do not exist.
func (s *slot) since(m Ver, keys []string) (es []Entry, absent []string) {
	seen := map[string]bool{}
	for _, k := range keys {
		if seen[k] {
			continue
		}
		seen[k] = true
		if e, ok := s.ent[k]; ok {
			es = append(es, e)
		} else {
			absent = append(absent, k)
		}
	}
	for _, vk := range s.live(m) {
		if !seen[vk.k] {
			es = append(es, s.ent[vk.k])
		}
	}
	return es, absent
}

func (n *Node) rec(o *Out, c Rec) {
	o.Recs = append(o.Recs, c)
	n.issued++
}

// after runs fn once everything recorded so far is synced.
func (n *Node) after(now int64, o *Out, fn func(int64, *Out)) {
	if n.synced >= n.issued {
		fn(now, o)
		return
	}
	n.wait = append(n.wait, awaiting{n.issued, fn})
}

// Synced tells that the first count records ever emitted are on disk.
func (n *Node) Synced(now int64, count uint64) Out {
	var o Out
	n.synced = max(n.synced, count)
	for len(n.wait) > 0 && n.wait[0].at <= n.synced {
		w := n.wait[0]
		n.wait = n.wait[1:]
		w.fn(now, &o)
	}
	return o
}

func (n *Node) send(o *Out, to string, m Msg) {
	m.From, m.Inc, m.Roster, m.Era = n.p.Name, n.me.Inc, n.roster.Rev, n.open
	o.Sends = append(o.Sends, Send{to, m})
}

func (n *Node) others(f func(name string)) {
	for _, v := range n.roster.Voters {
		if v.Name != n.p.Name {
			f(v.Name)
		}
	}
}

// Owner names the owner of a key's slot as this node last heard, or "".
func (n *Node) Owner(key string) string { return n.slots[SlotOf(key, n.p.Slots)].owner }

// Slot tells of one slot for operators.
type Slot struct {
	Owner         string
	Epoch         uint64
	Mine          bool
	Count         int
	Mark, Settled Ver
}

// Slots lists what this node knows of every slot.
func (n *Node) Slots(now int64) []Slot {
	var out []Slot
	for _, s := range n.slots {
		out = append(out, Slot{s.owner, s.promised, s.st == owning && now < s.ownUntil, len(s.ent), s.mark, s.settled})
	}
	return out
}

// Tight makes the node refuse new changes of its slots while its disk has little
// room; it still follows others', so that what they settle is not held up.
func (n *Node) Tight(v bool) { n.tight = v }

// Size is the bytes of live state.
func (n *Node) Size() int { return n.size }

// pause is the time without a tick after which this process was held up itself, so
// that it can't tell who was silent meanwhile.
const pause = 300_000

// Tick must be called often; a few times per beat.
func (n *Node) Tick(now int64) Out {
	var o Out
	if now-n.tickAt > pause {
		n.listens = now
	}
	n.tickAt = now
	if !n.inRoster() {
		return o
	}
	if now-n.beatAt >= n.p.Beat {
		n.beatAt = now
		n.beat(now, &o)
	}
	for i, s := range n.slots {
		n.tickSlot(now, uint16(i), s, &o)
	}
	return o
}

// Leave gives all slots up ahead of a polite stop and tells the voters, so that
// others need not wait the leases out. The node seeks nothing any more.
func (n *Node) Leave(now int64) Out {
	var o Out
	n.leaving = true
	var ms []Mark
	for i, s := range n.slots {
		if s.st == idle {
			continue
		}
		ms = append(ms, Mark{Slot: uint16(i), Epoch: s.epoch})
		n.retreat(now, s, &o) // stopped here first; only then is it told
		s.heldUntil = now
	}
	if len(ms) > 0 {
		n.others(func(v string) { n.send(&o, v, Msg{Kind: Yield, Marks: ms}) })
	}
	return o
}

func (n *Node) beat(now int64, o *Out) {
	var ms []Mark
	for i, s := range n.slots {
		if s.st >= finishing {
			ms = append(ms, Mark{uint16(i), s.epoch, Ver{s.epoch, s.seq}, s.settled, s.st == owning && s.firm == n.roster.Rev})
			if s.beatOK == nil {
				s.beatOK = map[string]int64{}
			}
			s.beatOK[n.p.Name] = now
			n.renew(now, s)
		}
	}
	n.others(func(v string) { n.send(o, v, Msg{Kind: Beat, At: now, Marks: ms}) })
}

// renew works out the owner's lease: it runs from the sending of the newest
// beat that a majority answered.
func (n *Node) renew(now int64, s *slot) {
	var ts []int64
	for _, t := range s.beatOK {
		ts = append(ts, t)
	}
	if len(ts) < n.roster.Majority() {
		return
	}
	sort.Slice(ts, func(i, j int) bool { return ts[i] > ts[j] })
	if u := ts[n.roster.Majority()-1] + n.p.Term - n.p.Slack; u > s.ownUntil {
		s.ownUntil = u
	}
	s.heldUntil = max(s.heldUntil, now+n.p.Term)
}

// hears tells whether a majority was heard lately. Without one a slot can't be won, and
// the promise that seeking it takes would only keep this node from following its owner.
func (n *Node) hears(now int64) bool {
	c := 0
	for _, v := range n.roster.Voters {
		if at, ok := n.heard[v.Name]; v.Name == n.p.Name || ok && now-at < DoubtAfter {
			c++
		}
	}
	return c >= n.roster.Majority()
}

// rank is this node's place in line for a slot, so that candidates do not duel. It goes
// by round robin, so that every voter starts with its fair part; who is silent is passed.
func (n *Node) rank(now int64, i uint16) int64 {
	vs := make([]string, 0, len(n.roster.Voters))
	for _, v := range n.roster.Voters {
		vs = append(vs, v.Name)
	}
	sort.Strings(vs)
	var r int64
	for k := range vs {
		v := vs[(int(i)+k)%len(vs)]
		if v == n.p.Name {
			return r
		}
		if n.Silence(now, v) < DoubtAfter {
			r++
		}
	}
	return r
}

func (n *Node) tickSlot(now int64, i uint16, s *slot, o *Out) {
	n.close(i, s)
	switch s.st {
	case idle:
		if n.leaving {
			return
		}
		free := max(s.heldUntil, s.waitUntil, n.seekAt)
		if !n.hears(now) {
			return
		}
		if s.first && now >= s.nextTry || now >= free+n.rank(now, i)*2*n.p.Beat && now >= s.nextTry {
			s.first = false
			n.seek(now, i, s, o)
		}
	case seeking:
		if now-s.seekAt > n.p.Term/2 {
			n.retreat(now, s, o)
			s.nextTry = now + n.p.Beat*(1+n.rank(now, i))
		}
	default:
		if s.ownUntil > 0 && now >= s.ownUntil || s.ownUntil == 0 && now-s.seekAt > n.p.Term {
			n.retreat(now, s, o)
			o.Events = append(o.Events, fmt.Sprintf("slot=%d lost=lease epoch=%d", i, s.epoch))
			return
		}
		if s.outbid > s.epoch && now-s.outbidAt > 3*n.p.Beat && len(s.order) == 0 {
			// A candidate that failed keeps its promise to itself and would never
			// follow: the slot is won anew above it, while the lease keeps others off.
			s.promised = max(s.promised, s.outbid)
			n.retreat(now, s, o)
			n.seek(now, i, s, o)
			return
		}
		if s.st == owning {
			n.tickEras(now, i, s, o)
			if e, ok := s.seen(RosterKey); ok {
				if r, err := ReadRoster(e.Val); err == nil {
					n.adoptRoster(now, r, o)
				}
			}
		}
	}
}

// retreat gives the slot up. What is still being written is answered Unknown.
func (n *Node) retreat(now int64, s *slot, o *Out) {
	for _, p := range s.order {
		if p.op.ID != 0 {
			o.Answers = append(o.Answers, Answer{ID: p.op.ID, Status: Unknown})
		}
		for _, q := range p.queue {
			o.Answers = append(o.Answers, Answer{ID: q.ID, Status: NotOwner})
		}
	}
	s.st, s.replies, s.order, s.pend, s.acked, s.beatOK, s.holds = idle, nil, nil, nil, nil, nil, nil
	s.ownUntil, s.outbid = 0, 0
	if s.owner == n.p.Name {
		s.owner = ""
	}
	s.nextTry = now + n.p.Term/2
}

func (n *Node) seek(now int64, i uint16, s *slot, o *Out) {
	e := (s.promised>>16+1)<<16 | uint64(n.me.Num)
	s.st, s.epoch, s.seekAt, s.promised = seeking, e, now, e
	s.replies, s.refused = map[string]Msg{}, map[string]bool{}
	n.rec(o, Rec{Kind: RecPromise, Slot: i, Epoch: e})
	n.after(now, o, func(now int64, o *Out) {
		if s.st == seeking && s.epoch == e {
			s.replies[n.p.Name] = Msg{Joined: s.joined, Settled: s.settled}
			n.elected(now, i, s, o)
		}
	})
	m := Msg{Kind: Seek, Slot: i, Epoch: e, Mark: s.sure(), Keys: s.doubts()}
	n.others(func(v string) { n.send(o, v, m) })
}

// elected merges what a majority holds once enough have answered (design §4.3).
func (n *Node) elected(now int64, i uint16, s *slot, o *Out) {
	if _, self := s.replies[n.p.Name]; !self || len(s.replies) < n.roster.Majority() {
		return
	}
	var j uint64
	for _, m := range s.replies {
		j = max(j, m.Joined)
	}
	// Only the newest line counts: what an older line holds beyond its settled
	// mark was either carried into the newer one or never settled.
	sure, doubt, was := s.sure(), s.doubts(), s.joined
	var c Ver
	got := map[string]Entry{}
	if was == j {
		c = s.settled
		for _, k := range doubt {
			got[k] = s.ent[k]
		}
	}
	for v, m := range s.replies {
		if v == n.p.Name || m.Joined != j {
			continue
		}
		if c.Less(m.Settled) {
			c = m.Settled
		}
		for _, e := range m.Entries {
			if g, ok := got[e.Key]; !ok || g.Ver.Less(e.Ver) {
				got[e.Key] = e
			}
		}
	}
	var es []Entry
	for _, e := range got {
		es = append(es, e)
	}
	sort.Slice(es, func(a, b int) bool {
		return es[a].Ver.Less(es[b].Ver) || es[a].Ver == es[b].Ver && es[a].Key < es[b].Key
	})
	for _, e := range es {
		n.adopt(i, s, e, was, sure, o)
	}
	for _, k := range doubt {
		if _, ok := got[k]; !ok {
			n.forget(i, s, k, o)
		}
	}
	s.st, s.seq, s.joined, s.mark, s.settled = finishing, 0, s.epoch, Ver{s.epoch, 0}, c
	s.acked, s.pend, s.holds, s.order = map[string]Ver{}, map[string]*pending{}, map[string]int64{}, nil
	n.join(i, s, o)
	s.owner, s.ownerEp = n.p.Name, s.epoch
	s.beatOK = map[string]int64{}
	e := s.epoch
	n.after(now, o, func(now int64, o *Out) {
		if s.epoch == e && s.st >= finishing {
			n.ack(now, i, s, n.p.Name, Ver{e, 0}, o)
		}
	})
	o.Events = append(o.Events, fmt.Sprintf("slot=%d won=%d read=%d", i, s.epoch, len(es)))
	n.beatAt = 0 // beat at the next tick, so that the lease begins at once
}

// issue gives a change its version and starts it towards a majority.
func (n *Node) issue(now int64, i uint16, s *slot, e Entry, op Op, o *Out) {
	prev := Ver{s.epoch, s.seq}
	s.seq++
	old, had := s.ent[e.Key]
	e.Ver = Ver{s.epoch, s.seq}
	p := &pending{key: e.Key, ver: e.Ver, old: old, had: had, op: op}
	s.pend[e.Key] = p
	s.order = append(s.order, p)
	n.store(s, e)
	s.mark = e.Ver
	n.rec(o, Rec{Kind: RecEntry, Slot: i, Epoch: s.epoch, Mark: s.mark, Settled: s.settled, Entry: e})
	n.after(now, o, func(now int64, o *Out) {
		if s.epoch == e.Ver.Epoch && s.st >= finishing {
			n.ack(now, i, s, n.p.Name, e.Ver, o)
		}
	})
	m := Msg{Kind: Write, Slot: i, Epoch: s.epoch, Prev: prev, Entries: []Entry{e}, Settled: s.settled}
	n.others(func(v string) { n.send(o, v, m) })
}

// ack counts a voter's synced mark and settles what a majority now has.
func (n *Node) ack(now int64, i uint16, s *slot, v string, m Ver, o *Out) {
	if a, ok := s.acked[v]; !ok || a.Less(m) {
		s.acked[v] = m
	}
	if len(s.acked) < n.roster.Majority() {
		return
	}
	var ms []Ver
	for _, a := range s.acked {
		ms = append(ms, a)
	}
	sort.Slice(ms, func(a, b int) bool { return ms[b].Less(ms[a]) })
	if q := ms[n.roster.Majority()-1]; s.settled.Less(q) {
		s.settled = q
	}
	for len(s.order) > 0 && !s.settled.Less(s.order[0].ver) {
		p := s.order[0]
		s.order = s.order[1:]
		e := s.ent[p.key]
		delete(s.pend, e.Key)
		if p.op.ID != 0 {
			o.Answers = append(o.Answers, Answer{ID: p.op.ID, Status: Done, Rev: e.Rev, Val: e.Val})
		}
		for _, q := range p.queue {
			n.apply(now, i, s, q, o)
		}
	}
	if s.st == finishing && len(s.order) == 0 && !s.settled.Less(Ver{s.epoch, 0}) {
		s.st, s.firm, s.eraAt = owning, n.roster.Rev, now
		// In the order of their changes, so that a seed replays alike.
		for _, vk := range s.live(Ver{}) {
			k := vk.k
			if isDuty(k) {
				// The former owner may have renewed until it stopped (design §4.5).
				s.holds[k] = now + duty(s.ent[k].Val).Term
			}
		}
		o.Events = append(o.Events, fmt.Sprintf("slot=%d owning=%d", i, s.epoch))
	}
}

// adopt stores a register of a newer line before that line is joined: until
// the join is on disk the old line stands, with nothing beyond sure certain.
func (n *Node) adopt(i uint16, s *slot, e Entry, was uint64, sure Ver, o *Out) {
	n.store(s, e)
	n.rec(o, Rec{Kind: RecEntry, Slot: i, Epoch: was, Mark: sure, Settled: sure, Entry: e})
}

func (n *Node) forget(i uint16, s *slot, k string, o *Out) {
	n.drop(s, k)
	n.rec(o, Rec{Kind: RecDrop, Slot: i, Entry: Entry{Key: k}})
}

func (n *Node) join(i uint16, s *slot, o *Out) {
	n.rec(o, Rec{Kind: RecJoin, Slot: i, Epoch: s.joined, Mark: s.mark, Settled: s.settled})
}
