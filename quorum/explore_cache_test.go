package quorum

import "fmt"

// inputKind names an input of a node.
type inputKind uint8

const (
	inTick inputKind = iota + 1
	inReceive
	inSynced
	inPropose
	inLeave
	inAdmit
	inObserve
)

// input is one event that a node takes.
type input struct {
	kind       inputKind
	now        int64
	message    *Message
	messageSum digest
	operation  Operation
	count      uint64
	voter      Voter
	voterSet   *VoterSet
}

func (in input) run(n *Node) Ready {
	switch in.kind {
	case inTick:
		return n.Tick(in.now)
	case inReceive:
		return n.Receive(in.now, *in.message)
	case inSynced:
		return n.RecordsSynced(in.now, in.count)
	case inPropose:
		return n.Propose(in.now, in.operation)
	case inLeave:
		return n.Leave(in.now)
	case inAdmit:
		return n.AdmitVoter(in.now, in.voter)
	case inObserve:
		return n.ObserveVoterSet(in.now, *in.voterSet)
	}
	panic("no such input")
}

func (in input) digest() digest {
	b := fmt.Append(nil, in.kind, " ", in.now, " ", in.count, " ")
	b = append(b, in.messageSum[:]...)
	switch in.kind {
	case inPropose:
		d := digestOf(&in.operation)
		b = append(b, d[:]...)
	case inAdmit:
		d := digestOf(&in.voter)
		b = append(b, d[:]...)
	case inObserve:
		d := digestOf(in.voterSet)
		b = append(b, d[:]...)
	}
	return sum(b)
}

// life is one state of a running node. It never changes. A state that waits for a sync
// holds closures, which can't be copied: it is made again from the last that did not
// wait, by the inputs since.
type nodeState struct {
	sum    digest
	node   *Node
	from   *nodeState
	inputs []input
	next   map[digest]*transition
}

func (l *nodeState) digest() []byte {
	if l == nil {
		return nil
	}
	return l.sum[:]
}

// transition is what one input does to one state.
type transition struct {
	to          *nodeState
	ready       Ready
	recordSums  []digest
	messageSums []digest
}

// cache holds every state of a node that was met and what each input did to it: a node
// decides by its own state and inputs alone, so most of a search is looking up.
type cache struct {
	states    map[digest]*nodeState
	inputsRun int // inputs that were not looked up
}

func newCache() *cache { return &cache{states: map[digest]*nodeState{}} }

func (c *cache) intern(n *Node) *nodeState {
	d := digestOf(n)
	if l, ok := c.states[d]; ok {
		return l
	}
	l := &nodeState{sum: d, node: n, next: map[digest]*transition{}}
	c.states[d] = l
	return l
}

// again makes a node in the state l that may be changed.
func (l *nodeState) rebuild() *Node {
	if l.from == nil {
		return copyNode(l.node)
	}
	n := copyNode(l.from.node)
	for _, in := range l.inputs {
		in.run(n)
	}
	return n
}

func (c *cache) apply(l *nodeState, in input) *transition {
	d := in.digest()
	if t, ok := l.next[d]; ok {
		return t
	}
	c.inputsRun++
	n := l.rebuild()
	t := &transition{ready: in.run(n)}
	for i := range t.ready.Records {
		t.recordSums = append(t.recordSums, digestOf(&t.ready.Records[i]))
	}
	for i := range t.ready.Messages {
		t.messageSums = append(t.messageSums, digestOf(&t.ready.Messages[i].Message))
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
func (c *cache) waiting(l *nodeState, in input, d digest, n *Node) *nodeState {
	s := sum(append(append([]byte("waits"), l.sum[:]...), d[:]...))
	if w, ok := c.states[s]; ok {
		return w
	}
	w := &nodeState{sum: s, node: n, from: l, inputs: []input{in}, next: map[digest]*transition{}}
	if l.from != nil {
		w.from, w.inputs = l.from, append(append([]input{}, l.inputs...), in)
	}
	c.states[s] = w
	return w
}
