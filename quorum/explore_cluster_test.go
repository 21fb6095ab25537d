package quorum

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
)

// Constants of the explored clusters. Leases are short, so that one expires within a few ticks;
// all events between two ticks happen at the same instant.
const (
	tickInterval          = 100_000
	maxMachines           = 6
	firstIncarnation      = 1
	firstWipedIncarnation = 1000
)

// exploreConfig returns the configuration of an explored node.
func exploreConfig(name string, incarnation uint64, size clusterConfig) Config {
	return Config{Name: name, Incarnation: incarnation, Slots: size.slots, HeartbeatIntervalUS: tickInterval, LeaseDurationUS: 3 * tickInterval, LeaseMarginUS: tickInterval / 2,
		ChunkBytes: size.chunkBytes, MaxStateBytes: 1 << 20, GenerationDurationUS: size.generationDuration, OpenGenerations: 1}
}

// clusterConfig gives the sizes of a cluster.
type clusterConfig struct {
	voters             int // in the first voter set
	machines           int // including those that may join later
	slots              int
	generationDuration int64
	chunkBytes         int // limit of the entries in one message
	targetSize         uint16
	lateMessages       bool // walks put messages aside
}

// packet is a message in flight.
type packet struct {
	to      int
	message *Message
	sum     digest
}

// link is the state of the link from one machine to another.
type link uint8

const (
	linkUp   link = iota
	linkCut       // messages are lost
	linkHeld      // messages stay in flight
)

// cluster is a small fleet of real nodes whose time, links, disks and processes the explorer
// controls. If a cache is in use, a copy of the struct is a copy of the cluster, since the
// cached node states are immutable.
type cluster struct {
	clusterConfig
	now        int64
	machines   [maxMachines]machine
	links      [maxMachines][maxMachines]link
	inFlight   []packet
	setAside   []packet // may arrive at any time
	wipes      uint64
	operations uint64
	checker    checker
	cache      *cache // nil: nodes are modified in place
	inputs     *int   // counts the inputs of all nodes
}

// newCluster starts all voters of a first voter set.
func newCluster(size clusterConfig, states *cache) *cluster {
	cl := &cluster{clusterConfig: size, cache: states, now: tickInterval, inputs: new(int)}
	cl.checker.init(size)
	set := VoterSet{Revision: FirstRevision(9), TargetSize: size.targetSize}
	for i := range size.machines {
		cl.machines[i] = machine{name: string(rune('a' + i)), incarnation: uint64(firstIncarnation + i)}
		if i < size.voters {
			set.Voters = append(set.Voters, Voter{Name: cl.machines[i].name, Incarnation: cl.machines[i].incarnation, Number: uint16(i + 1)})
		}
	}
	cl.checker.voterSetInForce(set)
	for i := range size.voters {
		cl.machines[i].voterSet = set
		cl.start(i)
	}
	return cl
}

func (cl *cluster) clone() *cluster {
	duplicate := *cl
	duplicate.inFlight = slices.Clone(cl.inFlight)
	duplicate.setAside = slices.Clone(cl.setAside)
	for i := range duplicate.machines {
		duplicate.machines[i].unsynced = slices.Clip(duplicate.machines[i].unsynced)
		duplicate.machines[i].sums = slices.Clip(duplicate.machines[i].sums)
	}
	duplicate.checker = cl.checker.clone()
	return &duplicate
}

func (cl *cluster) index(name string) int {
	for i := range cl.clusterConfig.machines {
		if cl.machines[i].name == name {
			return i
		}
	}
	return -1
}

// input gives a running node one input and carries out its effects.
func (cl *cluster) input(i int, in input) {
	in.now = cl.now
	*cl.inputs++
	host := &cl.machines[i]
	if cl.cache == nil {
		cl.effects(i, in.run(host.node), nil)
		return
	}
	result := cl.cache.apply(host.state, in)
	host.state, host.node = result.to, result.to.node
	cl.effects(i, result.ready, result)
}

func (cl *cluster) effects(i int, ready Ready, cached *transition) {
	host := &cl.machines[i]
	for j, record := range ready.Records {
		host.unsynced = append(host.unsynced, record)
		if cached != nil {
			host.sums = append(host.sums, cached.recordSums[j])
		}
		host.issued++
	}
	for j := range ready.Messages {
		to := cl.index(ready.Messages[j].To)
		if to < 0 || cl.links[i][to] == linkCut || !cl.machines[to].up {
			continue
		}
		sent := packet{to: to, message: &ready.Messages[j].Message}
		if cached != nil {
			sent.sum = cached.messageSums[j]
		}
		cl.inFlight = append(cl.inFlight, sent)
	}
	for _, result := range ready.Results {
		cl.checker.operationReturned(result)
	}
	if ready.VoterSet != nil {
		cl.checker.voterSetInForce(*ready.VoterSet)
		if voter, ok := ready.VoterSet.Find(host.name); !ok || voter.Incarnation != host.incarnation {
			cl.wipe(i) // the disk of a replaced voter is not used again
			cl.start(i)
		}
	}
}

// next returns the index of the oldest message that can be delivered, or -1.
func (cl *cluster) next() int {
	for k, sent := range cl.inFlight {
		if cl.machines[sent.to].frozen || cl.links[cl.index(sent.message.From)][sent.to] == linkHeld {
			continue
		}
		return k
	}
	return -1
}

// step does what comes next without a fault: a sync, otherwise the oldest message. It reports
// false if nothing is left to do before the next tick.
func (cl *cluster) step() bool {
	for i := range cl.clusterConfig.machines {
		if host := &cl.machines[i]; cl.running(i) && !host.stalled && len(host.unsynced) > 0 {
			cl.sync(i)
			return true
		}
	}
	due := cl.next()
	if due < 0 {
		return false
	}
	cl.deliver(due)
	return true
}

func (cl *cluster) deliver(due int) {
	sent := cl.inFlight[due]
	cl.inFlight = slices.Delete(cl.inFlight, due, due+1)
	cl.receive(sent)
}

func (cl *cluster) receive(sent packet) {
	if cl.running(sent.to) {
		cl.input(sent.to, input{kind: inReceive, message: sent.message, messageSum: sent.sum})
	}
}

// tick advances time and ticks every running node, in the order of their names.
func (cl *cluster) tick() {
	cl.now += tickInterval
	for i := range cl.clusterConfig.machines {
		switch {
		case cl.running(i):
			cl.input(i, input{kind: inTick})
			cl.pullVoterSets(i)
		case cl.machines[i].up && !cl.machines[i].frozen:
			cl.requestAdmission(i)
		}
	}
}

// reachable reports whether a request from i and its answer from j arrive.
func (cl *cluster) reachable(i, j int) bool {
	return i != j && cl.running(j) && cl.links[i][j] == linkUp && cl.links[j][i] == linkUp
}

// pullVoterSets fetches newer voter sets while some voter is not heard, as the daemon does.
func (cl *cluster) pullVoterSets(i int) {
	node := cl.machines[i].node
	if node == nil {
		return
	}
	silent := false
	for _, voter := range node.VoterSet().Voters {
		silent = silent || node.TimeSinceHeard(cl.now, voter.Name) > 2*tickInterval
	}
	if !silent {
		return
	}
	for j := range cl.clusterConfig.machines {
		if cl.reachable(i, j) && cl.running(i) && cl.machines[j].node.VoterSet().Revision > cl.machines[i].node.VoterSet().Revision {
			set := cl.machines[j].node.VoterSet()
			cl.input(i, input{kind: inObserve, voterSet: &set})
		}
	}
}

// requestAdmission has a machine that is in no voter set ask every reachable machine to let it
// join.
func (cl *cluster) requestAdmission(i int) {
	host := &cl.machines[i]
	for j := range cl.clusterConfig.machines {
		if !cl.reachable(i, j) {
			continue
		}
		cl.input(j, input{kind: inAdmit, voter: Voter{Name: host.name, Incarnation: host.incarnation}})
		if !cl.running(j) {
			continue
		}
		set := cl.machines[j].node.VoterSet()
		if voter, ok := set.Find(host.name); ok && voter.Incarnation == host.incarnation {
			host.voterSet = set
			cl.boot(i)
			return
		}
	}
}

// propose starts a client's operation at a machine.
func (cl *cluster) propose(i int, operation Operation) {
	if !cl.running(i) {
		return
	}
	cl.operations++
	operation.ID = cl.operations
	if operation.Type == OpPut && operation.Value == nil || operation.Type == OpClaim {
		operation.Value = []byte("v" + strconv.FormatUint(operation.ID, 10))
	}
	cl.checker.operationCalled(i, cl.now, operation)
	cl.input(i, input{kind: inPropose, operation: operation})
}

// runUntilIdle runs until nothing is left to do before the next tick.
func (cl *cluster) runUntilIdle() {
	for n := 0; cl.checker.violation == "" && cl.step(); n++ {
		if n > 2000 {
			panic(fmt.Sprint("messages do not end at ", cl.now))
		}
		cl.checker.check(cl)
	}
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// key returns a digest that differs between clusters that may continue differently, or be checked
// differently.
func (cl *cluster) key() digest {
	encoded := make([]byte, 0, 1024)
	encoded = binary.AppendVarint(encoded, cl.now)
	encoded = binary.AppendUvarint(encoded, cl.wipes)
	encoded = binary.AppendUvarint(encoded, cl.operations)
	for i := range cl.clusterConfig.machines {
		host := &cl.machines[i]
		for j := range cl.clusterConfig.machines {
			encoded = append(encoded, byte(cl.links[i][j]))
		}
		encoded = binary.AppendUvarint(encoded, host.incarnation)
		encoded = binary.AppendUvarint(encoded, host.issued)
		encoded = binary.AppendUvarint(encoded, host.voterSet.Revision)
		encoded = append(encoded, bit(host.up), bit(host.frozen), bit(host.stalled))
		encoded = append(encoded, host.state.digest()...)
		d := host.synced.digest()
		encoded = append(encoded, d[:]...)
		for _, s := range host.sums {
			encoded = append(encoded, s[:]...)
		}
	}
	for _, sent := range slices.Concat(cl.inFlight, []packet{{}}, cl.setAside) {
		encoded = append(encoded, byte(sent.to))
		encoded = append(encoded, sent.sum[:]...)
	}
	return sum(cl.checker.encode(encoded))
}
