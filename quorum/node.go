package quorum

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
	leavers map[string]int64 // voters that stop, when they last said so
	asks    map[uint64]ask   // newcomers, by incarnation
	listens int64            // since when this process runs without a pause
	tickAt  int64
	wait    []awaiting
	size    int
}

// New makes a node at time now from the records its disk held.
func New(p Plan, r Roster, now int64, recs []Rec) *Node {
	n := &Node{p: p, roster: r, bootAt: now, heard: map[string]int64{}, came: map[string]int64{}, leavers: map[string]int64{}, asks: map[uint64]ask{}, listens: now, tickAt: now}
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
