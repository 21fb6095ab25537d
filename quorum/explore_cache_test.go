package quorum

import "fmt"

// inputKind is the kind of a node's input.
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

// input is one input of a node.
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

func (in input) run(node *Node) Ready {
	switch in.kind {
	case inTick:
		return node.Tick(in.now)
	case inReceive:
		return node.Receive(in.now, *in.message)
	case inSynced:
		return node.RecordsSynced(in.now, in.count)
	case inPropose:
		return node.Propose(in.now, in.operation)
	case inLeave:
		return node.Leave(in.now)
	case inAdmit:
		return node.AdmitVoter(in.now, in.voter)
	case inObserve:
		return node.ObserveVoterSet(in.now, *in.voterSet)
	}
	panic("no such input")
}

func (in input) digest() digest {
	encoded := fmt.Append(nil, in.kind, " ", in.now, " ", in.count, " ")
	encoded = append(encoded, in.messageSum[:]...)
	switch in.kind {
	case inPropose:
		part := digestOf(&in.operation)
		encoded = append(encoded, part[:]...)
	case inAdmit:
		part := digestOf(&in.voter)
		encoded = append(encoded, part[:]...)
	case inObserve:
		part := digestOf(in.voterSet)
		encoded = append(encoded, part[:]...)
	}
	return sum(encoded)
}

// nodeState is one state of a running node, and immutable. A state that waits for a sync holds
// closures, which can't be copied: it is rebuilt from the last state that did not wait, by the
// inputs since.
type nodeState struct {
	sum    digest
	node   *Node
	from   *nodeState
	inputs []input
	next   map[digest]*transition
}

func (s *nodeState) digest() []byte {
	if s == nil {
		return nil
	}
	return s.sum[:]
}

// transition is the effect of one input on one state.
type transition struct {
	to          *nodeState
	ready       Ready
	recordSums  []digest
	messageSums []digest
}

// cache holds every state of a node that was reached and the effect of each input on it. A
// node's behaviour depends only on its state and inputs, so most of a search is look-ups.
type cache struct {
	states    map[digest]*nodeState
	inputsRun int // inputs that were not in the cache
}

func newCache() *cache { return &cache{states: map[digest]*nodeState{}} }

func (c *cache) intern(node *Node) *nodeState {
	key := digestOf(node)
	if state, ok := c.states[key]; ok {
		return state
	}
	state := &nodeState{sum: key, node: node, next: map[digest]*transition{}}
	c.states[key] = state
	return state
}

// rebuild returns a mutable node in this state.
func (s *nodeState) rebuild() *Node {
	if s.from == nil {
		return copyNode(s.node)
	}
	node := copyNode(s.from.node)
	for _, in := range s.inputs {
		in.run(node)
	}
	return node
}

func (c *cache) apply(state *nodeState, in input) *transition {
	key := in.digest()
	if result, ok := state.next[key]; ok {
		return result
	}
	c.inputsRun++
	node := state.rebuild()
	result := &transition{ready: in.run(node)}
	for i := range result.ready.Records {
		result.recordSums = append(result.recordSums, digestOf(&result.ready.Records[i]))
	}
	for i := range result.ready.Messages {
		result.messageSums = append(result.messageSums, digestOf(&result.ready.Messages[i].Message))
	}
	if len(node.syncCallbacks) == 0 {
		result.to = c.intern(node)
	} else {
		result.to = c.waiting(state, in, key, node)
	}
	state.next[key] = result
	return result
}

// waiting returns the state for node, which state became by an input and which waits for a
// sync.
func (c *cache) waiting(state *nodeState, in input, inputKey digest, node *Node) *nodeState {
	key := sum(append(append([]byte("waits"), state.sum[:]...), inputKey[:]...))
	if waiting, ok := c.states[key]; ok {
		return waiting
	}
	waiting := &nodeState{sum: key, node: node, from: state, inputs: []input{in}, next: map[digest]*transition{}}
	if state.from != nil {
		waiting.from, waiting.inputs = state.from, append(append([]input{}, state.inputs...), in)
	}
	c.states[key] = waiting
	return waiting
}
