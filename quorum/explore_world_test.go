package quorum

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
)

// The sizes of the explored world. Leases are short, so that one expires within a
// few ticks; all events between two ticks happen at one instant.
const (
	tickInterval          = 100_000
	maxMachines           = 6
	firstIncarnation      = 1
	firstWipedIncarnation = 1000
)

// exploreConfig is the configuration of every explored node.
func exploreConfig(name string, incarnation uint64, size worldConfig) Config {
	return Config{Name: name, Incarnation: incarnation, Slots: size.slots, HeartbeatIntervalUS: tickInterval, LeaseDurationUS: 3 * tickInterval, LeaseMarginUS: tickInterval / 2,
		ChunkBytes: size.chunkBytes, MaxStateBytes: 1 << 20, GenerationDurationUS: size.generationDuration, OpenGenerations: 1}
}

// worldConfig sizes a world.
type worldConfig struct {
	voters             int // of the first voter set
	machines           int // with those that may be let in later
	slots              int
	generationDuration int64
	chunkBytes         int // bytes of entries in one message
	seats              uint16
	lateMessages       bool // walks put messages aside
}

// packet is a message on its way.
type packet struct {
	to      int
	message *Message
	sum     digest
}

// link is the state of the link from one machine to another.
type link uint8

const (
	linkUp   link = iota
	linkCut       // what is sent is lost
	linkHeld      // what is sent stays on its way
)

// world is a small fleet of real nodes under the explorer's control of time, links,
// disks and processes. Copying the struct copies the world when a cache is in use,
// since the cache's node states never change.
type world struct {
	worldConfig
	now        int64
	machines   [maxMachines]machine
	links      [maxMachines][maxMachines]link
	inFlight   []packet
	setAside   []packet // put aside, and free to come at any time
	wipes      uint64
	operations uint64
	checker    checker
	cache      *cache // nil: nodes change in place
	inputs     *int   // how many inputs nodes took
}

// newWorld starts all voters of a first set.
func newWorld(size worldConfig, states *cache) *world {
	w := &world{worldConfig: size, cache: states, now: tickInterval, inputs: new(int)}
	w.checker.init(size)
	set := VoterSet{Revision: FirstRevision(9), TargetSize: size.seats}
	for i := range size.machines {
		w.machines[i] = machine{name: string(rune('a' + i)), incarnation: uint64(firstIncarnation + i)}
		if i < size.voters {
			set.Voters = append(set.Voters, Voter{Name: w.machines[i].name, Incarnation: w.machines[i].incarnation, Number: uint16(i + 1)})
		}
	}
	w.checker.voterSetInForce(set)
	for i := range size.voters {
		w.machines[i].voterSet = set
		w.start(i)
	}
	return w
}

func (w *world) copied() *world {
	duplicate := *w
	duplicate.inFlight = slices.Clone(w.inFlight)
	duplicate.setAside = slices.Clone(w.setAside)
	for i := range duplicate.machines {
		duplicate.machines[i].unsynced = slices.Clip(duplicate.machines[i].unsynced)
		duplicate.machines[i].sums = slices.Clip(duplicate.machines[i].sums)
	}
	duplicate.checker = w.checker.copied()
	return &duplicate
}

func (w *world) index(name string) int {
	for i := range w.worldConfig.machines {
		if w.machines[i].name == name {
			return i
		}
	}
	return -1
}

// input gives a running node one event and takes its effects.
func (w *world) input(i int, in input) {
	in.now = w.now
	*w.inputs++
	host := &w.machines[i]
	if w.cache == nil {
		w.effects(i, in.run(host.node), nil)
		return
	}
	result := w.cache.apply(host.state, in)
	host.state, host.node = result.to, result.to.node
	w.effects(i, result.ready, result)
}

func (w *world) effects(i int, ready Ready, cached *transition) {
	host := &w.machines[i]
	for j, record := range ready.Records {
		host.unsynced = append(host.unsynced, record)
		if cached != nil {
			host.sums = append(host.sums, cached.recordSums[j])
		}
		host.issued++
	}
	for j := range ready.Messages {
		to := w.index(ready.Messages[j].To)
		if to < 0 || w.links[i][to] == linkCut || !w.machines[to].up {
			continue
		}
		sent := packet{to: to, message: &ready.Messages[j].Message}
		if cached != nil {
			sent.sum = cached.messageSums[j]
		}
		w.inFlight = append(w.inFlight, sent)
	}
	for _, result := range ready.Results {
		w.checker.operationReturned(result)
	}
	if ready.VoterSet != nil {
		w.checker.voterSetInForce(*ready.VoterSet)
		if voter, ok := ready.VoterSet.Find(host.name); !ok || voter.Incarnation != host.incarnation {
			w.wipe(i) // a disk that was replaced is retired
			w.start(i)
		}
	}
}

// next is the place of the oldest message that can be delivered, or -1.
func (w *world) next() int {
	for k, sent := range w.inFlight {
		if w.machines[sent.to].frozen || w.links[w.index(sent.message.From)][sent.to] == linkHeld {
			continue
		}
		return k
	}
	return -1
}

// step does what comes next when nothing goes wrong: a sync, then the oldest message.
// It reports false when the world is quiet until the next tick.
func (w *world) step() bool {
	for i := range w.worldConfig.machines {
		if host := &w.machines[i]; w.running(i) && !host.stalled && len(host.unsynced) > 0 {
			w.sync(i)
			return true
		}
	}
	due := w.next()
	if due < 0 {
		return false
	}
	w.deliver(due)
	return true
}

func (w *world) deliver(due int) {
	sent := w.inFlight[due]
	w.inFlight = slices.Delete(w.inFlight, due, due+1)
	w.receive(sent)
}

func (w *world) receive(sent packet) {
	if w.running(sent.to) {
		w.input(sent.to, input{kind: inReceive, message: sent.message, messageSum: sent.sum})
	}
}

// tick lets time pass and ticks every running node, in the order of their names.
func (w *world) tick() {
	w.now += tickInterval
	for i := range w.worldConfig.machines {
		switch {
		case w.running(i):
			w.input(i, input{kind: inTick})
			w.pullVoterSets(i)
		case w.machines[i].up && !w.machines[i].frozen:
			w.requestAdmission(i)
		}
	}
}

// reachable reports whether a question and its answer come through.
func (w *world) reachable(i, j int) bool {
	return i != j && w.running(j) && w.links[i][j] == linkUp && w.links[j][i] == linkUp
}

// pullVoterSets asks for newer voter sets while a voter is silent, as the daemon does.
func (w *world) pullVoterSets(i int) {
	node := w.machines[i].node
	if node == nil {
		return
	}
	silent := false
	for _, voter := range node.VoterSet().Voters {
		silent = silent || node.TimeSinceHeard(w.now, voter.Name) > 2*tickInterval
	}
	if !silent {
		return
	}
	for j := range w.worldConfig.machines {
		if w.reachable(i, j) && w.running(i) && w.machines[j].node.VoterSet().Revision > w.machines[i].node.VoterSet().Revision {
			set := w.machines[j].node.VoterSet()
			w.input(i, input{kind: inObserve, voterSet: &set})
		}
	}
}

// requestAdmission has a machine in no voter set ask all it reaches to be let in.
func (w *world) requestAdmission(i int) {
	host := &w.machines[i]
	for j := range w.worldConfig.machines {
		if !w.reachable(i, j) {
			continue
		}
		w.input(j, input{kind: inAdmit, voter: Voter{Name: host.name, Incarnation: host.incarnation}})
		if !w.running(j) {
			continue
		}
		set := w.machines[j].node.VoterSet()
		if voter, ok := set.Find(host.name); ok && voter.Incarnation == host.incarnation {
			host.voterSet = set
			w.boot(i)
			return
		}
	}
}

// propose starts a client's operation on a machine.
func (w *world) propose(i int, operation Operation) {
	if !w.running(i) {
		return
	}
	w.operations++
	operation.ID = w.operations
	if operation.Type == OpPut && operation.Value == nil || operation.Type == OpClaim {
		operation.Value = []byte("v" + strconv.FormatUint(operation.ID, 10))
	}
	w.checker.operationCalled(i, w.now, operation)
	w.input(i, input{kind: inPropose, operation: operation})
}

// runUntilIdle runs until nothing is left to do before the next tick.
func (w *world) runUntilIdle() {
	for n := 0; w.checker.violation == "" && w.step(); n++ {
		if n > 2000 {
			panic(fmt.Sprint("no end of messages at ", w.now))
		}
		w.checker.check(w)
	}
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// key tells worlds apart that may go on differently, or be checked differently.
func (w *world) key() digest {
	encoded := make([]byte, 0, 1024)
	encoded = binary.AppendVarint(encoded, w.now)
	encoded = binary.AppendUvarint(encoded, w.wipes)
	encoded = binary.AppendUvarint(encoded, w.operations)
	for i := range w.worldConfig.machines {
		host := &w.machines[i]
		for j := range w.worldConfig.machines {
			encoded = append(encoded, byte(w.links[i][j]))
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
	for _, sent := range slices.Concat(w.inFlight, []packet{{}}, w.setAside) {
		encoded = append(encoded, byte(sent.to))
		encoded = append(encoded, sent.sum[:]...)
	}
	return sum(w.checker.encode(encoded))
}
