package wal

import (
	"encoding/binary"
	"errors"
	"io"
)

// foundSegment is one segment as found.
type foundSegment struct {
	records      []record
	end          int64  // where reading its records stopped
	previousEnd  int64  // where the segment before it ended, as its header says
	syncedBeyond uint64 // highest synced position that a record behind end names, 0 for none
}

// foundSegments is all files as found.
type foundSegments struct {
	bySequence map[uint64]foundSegment
	oldest     uint64 // sequence number, 0 if no file has a header
	newest     uint64
	tail       []byte // the bytes of the newest segment up to its end
}

// recover reads the files and returns the records from the newest complete checkpoint on.
// Nothing is written.
func (l *Log) recover() ([][]byte, error) {
	found, err := l.readSegments()
	if err != nil {
		return nil, err
	}
	if found.newest == 0 {
		return nil, nil
	}
	var records []record
	for sequence := found.oldest; sequence <= found.newest; sequence++ {
		records = append(records, found.bySequence[sequence].records...)
	}
	begin, end := newestCheckpoint(records)
	l.oldestNeeded = found.oldest
	if begin >= 0 {
		l.oldestNeeded = records[begin].sequence
	} else if found.oldest > 1 {
		return nil, &CorruptionError{l.fileIndex(found.oldest), headerBytes, "lacks the checkpoint that it follows"}
	}
	if err := l.checkContinuity(found); err != nil {
		return nil, err
	}
	l.sequence, l.offset, l.tail = found.newest, found.bySequence[found.newest].end, found.tail
	return replayOrder(records, begin, end), nil
}

// checkContinuity proves that nothing synced is gone from the needed segments. A later
// record that names a synced position past the place where reading stopped proves that
// something is; without one it is a torn tail. A segment with a successor was synced whole.
func (l *Log) checkContinuity(found foundSegments) error {
	for sequence := l.oldestNeeded; sequence <= found.newest; sequence++ {
		segment, ok := found.bySequence[sequence]
		if !ok {
			return &CorruptionError{l.fileIndex(sequence), 0, "lacks its header"}
		}
		next, hasNext := found.bySequence[sequence+1]
		if segment.syncedBeyond > l.position(sequence, segment.end) || hasNext && next.previousEnd != segment.end {
			return &CorruptionError{l.fileIndex(sequence), segment.end, "holds synced data that fails its checksum"}
		}
	}
	return nil
}

// readSegments reads all files. Those without a valid header are left out.
func (l *Log) readSegments() (foundSegments, error) {
	found := foundSegments{bySequence: map[uint64]foundSegment{}}
	content := make([]byte, l.config.SegmentBytes)
	for index, file := range l.files {
		if err := readFull(file, content); err != nil {
			return found, err
		}
		if isOtherVersion(content) {
			return found, &VersionError{index, string(content[:len(magic)])}
		}
		sequence, previousEnd, ok := decodeHeader(content)
		if !ok {
			continue
		}
		if l.fileIndex(sequence) != index {
			return found, &LayoutError{index, "is one of a write-ahead log with another count of files"}
		}
		segment := scanSegment(content, sequence)
		segment.previousEnd = previousEnd
		found.add(sequence, segment, content)
	}
	return found, l.checkUnbegun(found.newest, content)
}

func (f *foundSegments) add(sequence uint64, segment foundSegment, content []byte) {
	f.bySequence[sequence] = segment
	if sequence > f.newest {
		f.newest = sequence
		f.tail = append(f.tail[:0], content[:segment.end]...)
	}
	if f.oldest == 0 || sequence < f.oldest {
		f.oldest = sequence
	}
}

// checkUnbegun looks for records of segments that were not begun yet, as far as the
// headers tell. A header that was cut off in the midst of being written has none behind
// it; where there is one, the header of a segment that was synced is damaged.
func (l *Log) checkUnbegun(newest uint64, buffer []byte) error {
	for sequence := newest + 1; sequence <= newest+uint64(l.config.SegmentCount); sequence++ {
		index := l.fileIndex(sequence)
		if err := readFirstRecord(l.files[index], buffer); err != nil {
			return err
		}
		if _, ok := decodeRecord(buffer, sequence, headerBytes); ok {
			return &CorruptionError{index, 0, "holds records behind a damaged header"}
		}
	}
	return nil
}

// readFirstRecord reads as much of a file as its first record takes, if it has one. What
// follows in the buffer is of another file.
func readFirstRecord(file File, buffer []byte) error {
	if err := readFull(file, buffer[:headerBytes+recordHeaderBytes]); err != nil {
		return err
	}
	end := headerBytes + recordHeaderBytes + int64(binary.LittleEndian.Uint32(buffer[headerBytes:]))
	if !recordType(buffer[headerBytes+recordTypeOffset]).valid() || end > int64(len(buffer)) {
		return nil
	}
	return readFull(file, buffer[:end])
}

// readFull reads the beginning of a file into the buffer.
func readFull(file File, buffer []byte) error {
	if _, err := file.ReadAt(buffer, 0); err != nil && !errors.Is(err, io.EOF) {
		return &DiskError{"read", err}
	}
	return nil
}

// scanSegment takes the records up to the first that fails its checksum, and looks for
// any behind that one.
func scanSegment(content []byte, sequence uint64) foundSegment {
	segment := foundSegment{end: headerBytes}
	for {
		rec, ok := decodeRecord(content, sequence, segment.end)
		if !ok {
			break
		}
		segment.records = append(segment.records, rec)
		segment.end += recordBytes(len(rec.data))
	}
	last := int64(len(content)) - recordHeaderBytes
	for offset := segment.end + recordAlignment; offset <= last; offset += recordAlignment {
		if rec, ok := decodeRecord(content, sequence, offset); ok {
			segment.syncedBeyond = max(segment.syncedBeyond, rec.synced)
		}
	}
	return segment
}

// newestCheckpoint is where the newest complete checkpoint begins and ends, -1 for none.
func newestCheckpoint(records []record) (begin, end int) {
	end = -1
	for i := len(records) - 1; i >= 0; i-- {
		switch {
		case records[i].recordType == typeCheckpointEnd && end < 0:
			end = i
		case records[i].recordType == typeCheckpointBegin && end >= 0:
			return i, end
		}
	}
	return -1, -1
}

// replayOrder lists the records to apply. A checkpoint stands for the state at its
// beginning: what was appended between its parts comes after all of it.
func replayOrder(records []record, begin, end int) [][]byte {
	var out [][]byte
	first := max(begin, 0)
	for i := first; i <= end; i++ {
		if records[i].recordType == typeCheckpointData {
			out = append(out, records[i].data)
		}
	}
	for _, rec := range records[first:] {
		if rec.recordType == typeData {
			out = append(out, rec.data)
		}
	}
	return out
}
