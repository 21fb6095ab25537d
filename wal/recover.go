package wal

import (
	"encoding/binary"
	"errors"
	"io"
)

// volume is one file as found: its records, where reading them stopped, and the
// highest synced position that a record behind that place still names.
type volume struct {
	records []record
	end     int64
	prevEnd int64 // where the file before this one ended
	beyond  uint64
}

// found is all files as found.
type found struct {
	volumes map[uint64]volume // by generation
	lowest  uint64
	highest uint64
	image   []byte // the bytes of the highest generation's file up to its end
}

// recover reads the ring and returns the records from the newest whole checkpoint on.
// Nothing is written.
func (l *Log) recover() ([][]byte, error) {
	all, err := l.readFiles()
	if err != nil {
		return nil, err
	}
	if all.highest == 0 {
		return nil, nil
	}
	var records []record
	for gen := all.lowest; gen <= all.highest; gen++ {
		records = append(records, all.volumes[gen].records...)
	}
	from, to := lastCheckpoint(records)
	l.keep = all.lowest
	if from >= 0 {
		l.keep = records[from].gen
	} else if all.lowest > 1 {
		return nil, corrupt(l.index(all.lowest), headerLen, "lacks the checkpoint that it follows")
	}
	if err := l.checkChain(all); err != nil {
		return nil, err
	}
	l.gen, l.off, l.image = all.highest, all.volumes[all.highest].end, all.image
	return replayOrder(records, from, to), nil
}

// checkChain proves that nothing synced is gone. A later record that names a synced
// position past the place where reading stopped proves that something is; without one
// it is a torn tail. A file with a successor was synced whole.
func (l *Log) checkChain(all found) error {
	for gen := l.keep; gen <= all.highest; gen++ {
		v, ok := all.volumes[gen]
		if !ok {
			return corrupt(l.index(gen), 0, "lacks its header")
		}
		next, more := all.volumes[gen+1]
		if v.beyond > l.position(gen, v.end) || more && next.prevEnd != v.end {
			return corrupt(l.index(gen), v.end, "holds synced data that fails its checksum")
		}
	}
	return nil
}

func (l *Log) readFiles() (found, error) {
	all := found{volumes: map[uint64]volume{}}
	buf := make([]byte, l.plan.SegmentBytes)
	for i, file := range l.files {
		if err := readWhole(file, buf); err != nil {
			return all, err
		}
		if newerFormat(buf) {
			return all, otherFormat(i, string(buf[:len(magic)]))
		}
		gen, prevEnd, ok := decodeHeader(buf)
		if !ok {
			continue
		}
		if l.index(gen) != i {
			return all, otherSizes(i, "is one of a ring with another count of files")
		}
		v := l.scan(buf, gen)
		v.prevEnd = prevEnd
		all.volumes[gen] = v
		if gen > all.highest {
			all.highest = gen
			all.image = append(all.image[:0], buf[:v.end]...)
		}
		if all.lowest == 0 || gen < all.lowest {
			all.lowest = gen
		}
	}
	return all, l.checkUnwritten(all.highest, buf)
}

// checkUnwritten looks for records of generations that were not begun yet, as far as the
// headers tell. A header that was cut off in the midst of being written has none behind
// it; where there is one, the header of a file that was synced is damaged.
func (l *Log) checkUnwritten(highest uint64, buf []byte) error {
	for gen := highest + 1; gen <= highest+uint64(l.plan.SegmentCount); gen++ {
		index := l.index(gen)
		if err := readFirstRecord(l.files[index], buf); err != nil {
			return err
		}
		if _, ok := decodeRecord(buf, gen, headerLen); ok {
			return corrupt(index, 0, "holds records behind a damaged header")
		}
	}
	return nil
}

// readFirstRecord reads as much of a file as its first record takes, if it has one.
func readFirstRecord(file File, buf []byte) error {
	if err := readWhole(file, buf[:headerLen+recordLen]); err != nil {
		return err
	}
	end := headerLen + recordLen + int64(binary.LittleEndian.Uint32(buf[headerLen:]))
	kind := recordKind(buf[headerLen+16])
	if kind < kindData || kind > kindEnd || end > int64(len(buf)) {
		return nil
	}
	return readWhole(file, buf[:end])
}

func readWhole(file File, buf []byte) error {
	if _, err := file.ReadAt(buf, 0); err != nil && !errors.Is(err, io.EOF) {
		return &DiskError{"read", err}
	}
	return nil
}

func (l *Log) scan(buf []byte, gen uint64) volume {
	v := volume{end: headerLen}
	for {
		rec, ok := decodeRecord(buf, gen, v.end)
		if !ok {
			break
		}
		v.records = append(v.records, rec)
		v.end += span(len(rec.data))
	}
	for offset := v.end + alignment; offset+recordLen <= l.plan.SegmentBytes; offset += alignment {
		if rec, ok := decodeRecord(buf, gen, offset); ok {
			v.beyond = max(v.beyond, rec.synced)
		}
	}
	return v
}

// lastCheckpoint is where the newest whole checkpoint begins and ends, -1 for none.
func lastCheckpoint(records []record) (from, to int) {
	to = -1
	for i := len(records) - 1; i >= 0; i-- {
		switch {
		case records[i].kind == kindEnd && to < 0:
			to = i
		case records[i].kind == kindBegin && to >= 0:
			return i, to
		}
	}
	return -1, -1
}

// replayOrder lists what to replay. A checkpoint stands for the state at its beginning:
// what was appended between its parts comes after all of it.
func replayOrder(records []record, from, to int) [][]byte {
	var out [][]byte
	first := max(from, 0)
	for i := first; i <= to; i++ {
		if records[i].kind == kindCheckpoint {
			out = append(out, records[i].data)
		}
	}
	for _, rec := range records[first:] {
		if rec.kind == kindData {
			out = append(out, rec.data)
		}
	}
	return out
}
