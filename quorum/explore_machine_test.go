package quorum

import "slices"

// diskLog is what a disk holds, newest record first; it is never changed, only extended.
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

// machine is a control machine: its disk and the process that runs on it, if any.
type machine struct {
	name        string
	incarnation uint64
	up          bool // the process runs; without a node it asks to be let in
	node        *Node
	state       *nodeState // node's state in the cache, when searching
	frozen      bool
	stalled     bool // its disk syncs nothing
	synced      *diskLog
	unsynced    []Record
	sums        []digest // of unsynced, when searching
	issued      uint64
	voterSet    VoterSet // that the process starts from
}

func (w *world) running(i int) bool {
	host := &w.machines[i]
	return host.up && host.node != nil && !host.frozen
}

// start boots a machine's process from what its disk holds.
func (w *world) start(i int) {
	host := &w.machines[i]
	if host.up {
		return
	}
	host.up, host.frozen, host.stalled, host.issued = true, false, false, 0
	if len(host.voterSet.Voters) > 0 {
		w.boot(i)
	}
}

func (w *world) boot(i int) {
	host := &w.machines[i]
	host.issued, host.unsynced, host.sums = 0, nil, nil
	host.node = New(exploreConfig(host.name, host.incarnation, w.worldConfig), host.voterSet, w.now, host.synced.records())
	if w.cache != nil {
		host.state = w.cache.intern(host.node)
		host.node = host.state.node
	}
}

// kill ends a machine's process; kept of the records not synced yet are on its disk
// all the same. What is on its way to it may still arrive, at its next process.
func (w *world) kill(i, kept int) {
	host := &w.machines[i]
	if !host.up {
		return
	}
	w.flush(host, min(kept, len(host.unsynced)))
	host.up, host.node, host.state, host.unsynced, host.sums = false, nil, nil, nil, nil
	host.frozen, host.stalled = false, false
	w.checker.processDied(i)
}

// flush puts the first n records not synced yet on the disk.
func (w *world) flush(host *machine, count int) {
	for j, record := range host.unsynced[:count] {
		var recordSum digest
		if w.cache != nil {
			recordSum = host.sums[j]
		}
		host.synced = host.synced.add(record, recordSum)
		if record.Type == RecordVoterSet && record.VoterSet.Revision > host.voterSet.Revision {
			host.voterSet = *record.VoterSet
		}
	}
	host.unsynced = host.unsynced[count:]
	if w.cache != nil {
		host.sums = host.sums[count:]
	}
}

// wipe takes a machine's disk away; it asks to be let in under a new incarnation.
func (w *world) wipe(i int) {
	w.kill(i, 0)
	host := &w.machines[i]
	w.wipes++
	host.synced, host.voterSet, host.incarnation = nil, VoterSet{}, firstWipedIncarnation+w.wipes
}

// checkpoint restates a disk by its node's checkpoint.
func (w *world) checkpoint(i int) {
	host := &w.machines[i]
	if !w.running(i) || len(host.unsynced) > 0 {
		return
	}
	host.synced = nil
	for _, record := range host.node.Checkpoint() {
		host.synced = host.synced.add(record, digestOf(&record))
	}
}

// sync puts everything issued on the disk and tells the node.
func (w *world) sync(i int) {
	host := &w.machines[i]
	w.flush(host, len(host.unsynced))
	w.input(i, input{kind: inSynced, count: host.issued})
}
