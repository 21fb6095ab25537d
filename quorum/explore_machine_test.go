package quorum

import "slices"

// diskLog is the contents of a disk, newest record first. It is never modified, only extended.
type diskLog struct {
	previous *diskLog
	record   Record
	length   int
	sum      digest
}

func (d *diskLog) add(record Record, recordSum digest) *diskLog {
	extended := &diskLog{previous: d, record: record, length: 1, sum: recordSum}
	if d != nil {
		extended.length = d.length + 1
		extended.sum = sum(append(d.sum[:], recordSum[:]...))
	}
	return extended
}

func (d *diskLog) records() []Record {
	var out []Record
	for ; d != nil; d = d.previous {
		out = append(out, d.record)
	}
	slices.Reverse(out)
	return out
}

func (d *diskLog) digest() digest {
	if d == nil {
		return digest{}
	}
	return d.sum
}

// machine is a control machine: its disk and the process running on it, if any.
type machine struct {
	name        string
	incarnation uint64
	up          bool // the process runs; without a node it asks to join
	node        *Node
	state       *nodeState // state of node in the cache, when searching
	frozen      bool
	stalled     bool // the disk does not sync
	synced      *diskLog
	unsynced    []Record
	sums        []digest // of unsynced, when searching
	issued      uint64
	voterSet    VoterSet // initial voter set of the process
}

func (cl *cluster) running(i int) bool {
	host := &cl.machines[i]
	return host.up && host.node != nil && !host.frozen
}

// start starts a machine's process from the contents of its disk.
func (cl *cluster) start(i int) {
	host := &cl.machines[i]
	if host.up {
		return
	}
	host.up, host.frozen, host.stalled, host.issued = true, false, false, 0
	if len(host.voterSet.Voters) > 0 {
		cl.boot(i)
	}
}

func (cl *cluster) boot(i int) {
	host := &cl.machines[i]
	host.issued, host.unsynced, host.sums = 0, nil, nil
	host.node = New(exploreConfig(host.name, host.incarnation, cl.clusterConfig), host.voterSet, cl.now, host.synced.records())
	if cl.cache != nil {
		host.state = cl.cache.intern(host.node)
		host.node = host.state.node
	}
}

// kill ends a machine's process. kept is how many of its unsynced records, oldest first, reach
// the disk all the same. Messages in flight may still arrive, at the machine's next process.
func (cl *cluster) kill(i, kept int) {
	host := &cl.machines[i]
	if !host.up {
		return
	}
	cl.flush(host, min(kept, len(host.unsynced)))
	host.up, host.node, host.state, host.unsynced, host.sums = false, nil, nil, nil, nil
	host.frozen, host.stalled = false, false
	cl.checker.processDied(i)
}

// flush writes the first count unsynced records to the disk.
func (cl *cluster) flush(host *machine, count int) {
	for j, record := range host.unsynced[:count] {
		var recordSum digest
		if cl.cache != nil {
			recordSum = host.sums[j]
		}
		host.synced = host.synced.add(record, recordSum)
		if record.Type == RecordVoterSet && record.VoterSet.Revision > host.voterSet.Revision {
			host.voterSet = *record.VoterSet
		}
	}
	host.unsynced = host.unsynced[count:]
	if cl.cache != nil {
		host.sums = host.sums[count:]
	}
}

// wipe empties a machine's disk; the machine asks to join with a new incarnation.
func (cl *cluster) wipe(i int) {
	cl.kill(i, 0)
	host := &cl.machines[i]
	cl.wipes++
	host.synced, host.voterSet, host.incarnation = nil, VoterSet{}, firstWipedIncarnation+cl.wipes
}

// checkpoint rewrites a disk from its node's checkpoint.
func (cl *cluster) checkpoint(i int) {
	host := &cl.machines[i]
	if !cl.running(i) || len(host.unsynced) > 0 {
		return
	}
	host.synced = nil
	for _, record := range host.node.Checkpoint() {
		host.synced = host.synced.add(record, digestOf(&record))
	}
}

// sync writes all unsynced records to the disk and notifies the node.
func (cl *cluster) sync(i int) {
	host := &cl.machines[i]
	cl.flush(host, len(host.unsynced))
	cl.input(i, input{kind: inSynced, count: host.issued})
}
