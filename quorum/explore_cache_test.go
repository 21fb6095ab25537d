package quorum

import "fmt"

// inputKind names an input of a node.
type inputKind uint8

const (
	inTick inputKind = iota + 1
	inRecv
	inSynced
	inDo
	inLeave
	inAdmit
	inLearn
)

// input is one event that a node takes.
type input struct {
	kind   inputKind
	now    int64
	msg    *Message
	msgSum digest
	op     Operation
	count  uint64
	voter  Voter
	roster *VoterSet
}

func (in input) run(n *Node) Ready {
	switch in.kind {
	case inTick:
		return n.Tick(in.now)
	case inRecv:
		return n.Receive(in.now, *in.msg)
	case inSynced:
		return n.RecordsSynced(in.now, in.count)
	case inDo:
		return n.Propose(in.now, in.op)
	case inLeave:
		return n.Leave(in.now)
	case inAdmit:
		return n.AdmitVoter(in.now, in.voter)
	case inLearn:
		return n.ObserveVoterSet(in.now, *in.roster)
	}
	panic("no such input")
}

func (in input) digest() digest {
	b := fmt.Append(nil, in.kind, " ", in.now, " ", in.count, " ")
	b = append(b, in.msgSum[:]...)
	switch in.kind {
	case inDo:
		d := digestOf(&in.op)
		b = append(b, d[:]...)
	case inAdmit:
		d := digestOf(&in.voter)
		b = append(b, d[:]...)
	case inLearn:
		d := digestOf(in.roster)
		b = append(b, d[:]...)
	}
	return sum(b)
}

// life is one state of a running node. It never changes. A state that waits for a sync
// holds closures, which can't be copied: it is made again from the last that did not
// wait, by the inputs since.
type life struct {
	sum  digest
	node *Node
	from *life
	log  []input
	next map[digest]*transition
}

func (l *life) digest() []byte {
	if l == nil {
		return nil
	}
	return l.sum[:]
}

// transition is what one input does to one state.
type transition struct {
	to      *life
	out     Ready
	recSums []digest
	msgSums []digest
}

// cache holds every state of a node that was met and what each input did to it: a node
// decides by its own state and inputs alone, so most of a search is looking up.
type cache struct {
	lives map[digest]*life
	runs  int // inputs that were not looked up
}

func newCache() *cache { return &cache{lives: map[digest]*life{}} }

func (c *cache) intern(n *Node) *life {
	d := digestOf(n)
	if l, ok := c.lives[d]; ok {
		return l
	}
	l := &life{sum: d, node: n, next: map[digest]*transition{}}
	c.lives[d] = l
	return l
}

// again makes a node in the state l that may be changed.
func (l *life) again() *Node {
	if l.from == nil {
		return copyNode(l.node)
	}
	n := copyNode(l.from.node)
	for _, in := range l.log {
		in.run(n)
	}
	return n
}

func (c *cache) apply(l *life, in input) *transition {
	d := in.digest()
	if t, ok := l.next[d]; ok {
		return t
	}
	c.runs++
	n := l.again()
	t := &transition{out: in.run(n)}
	for i := range t.out.Records {
		t.recSums = append(t.recSums, digestOf(&t.out.Records[i]))
	}
	for i := range t.out.Messages {
		t.msgSums = append(t.msgSums, digestOf(&t.out.Messages[i].Message))
	}
	if len(n.syncCallbacks) == 0 {
		t.to = c.intern(n)
	} else {
		t.to = c.waiting(l, in, d, n)
	}
	l.next[d] = t
	return t
}

// waiting is the state n, which l became by an input and which waits for a sync.
func (c *cache) waiting(l *life, in input, d digest, n *Node) *life {
	s := sum(append(append([]byte("waits"), l.sum[:]...), d[:]...))
	if w, ok := c.lives[s]; ok {
		return w
	}
	w := &life{sum: s, node: n, from: l, log: []input{in}, next: map[digest]*transition{}}
	if l.from != nil {
		w.from, w.log = l.from, append(append([]input{}, l.log...), in)
	}
	c.lives[s] = w
	return w
}
