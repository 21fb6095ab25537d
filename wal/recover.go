package wal

import (
	"encoding/binary"
	"errors"
	"io"
)

// scannedSegment is the result of scanning one segment.
type scannedSegment struct {
	records      []record
	end          int64  // offset after the last valid record
	previousEnd  int64  // end of the preceding segment according to this one's header
	syncedBeyond uint64 // highest synced position in valid records after end, 0 for none
}

// scanResult is the result of scanning all files.
type scanResult struct {
	bySequence map[uint64]scannedSegment
	oldest     uint64 // sequence number, 0 if no file has a valid header
	newest     uint64
	tail       []byte // content of the newest segment up to its end
}

// recover reads the files and returns the records to replay, starting with the newest
// complete checkpoint. It writes nothing.
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
	records = joinFragments(records)
	begin, end := newestCheckpoint(records)
	l.oldestNeeded = found.oldest
	if begin >= 0 {
		l.oldestNeeded = records[begin].sequence
	} else if found.oldest > 1 {
		return nil, &CorruptionError{l.fileIndex(found.oldest), headerBytes, "has no preceding segment and no checkpoint that replaces it"}
	}
	if err := l.checkContinuity(found); err != nil {
		return nil, err
	}
	l.sequence, l.offset, l.tail = found.newest, found.bySequence[found.newest].end, found.tail
	return replayOrder(records, begin, end), nil
}

// checkContinuity checks that no synced data is missing from the needed segments. Data is
// missing if a later record in the segment has a synced position past the last valid record;
// otherwise the segment ends in a torn tail. A segment that has a successor was synced in
// full, so its valid records must end where the successor's header says.
func (l *Log) checkContinuity(found scanResult) error {
	for sequence := l.oldestNeeded; sequence <= found.newest; sequence++ {
		segment, ok := found.bySequence[sequence]
		if !ok {
			return &CorruptionError{l.fileIndex(sequence), 0, "has no valid header"}
		}
		next, hasNext := found.bySequence[sequence+1]
		if segment.syncedBeyond > l.position(sequence, segment.end) || hasNext && next.previousEnd != segment.end {
			return &CorruptionError{l.fileIndex(sequence), segment.end, "contains synced data that fails its checksum"}
		}
	}
	return nil
}

// readSegments scans all files, leaving out those without a valid header.
func (l *Log) readSegments() (scanResult, error) {
	found := scanResult{bySequence: map[uint64]scannedSegment{}}
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
			return found, &LayoutError{index, "belongs to a write-ahead log with another number of files"}
		}
		segment := scanSegment(content, sequence)
		segment.previousEnd = previousEnd
		found.add(sequence, segment, content)
	}
	return found, l.checkOrphanRecords(found.newest, content)
}

func (r *scanResult) add(sequence uint64, segment scannedSegment, content []byte) {
	r.bySequence[sequence] = segment
	if sequence > r.newest {
		r.newest = sequence
		r.tail = append(r.tail[:0], content[:segment.end]...)
	}
	if r.oldest == 0 || sequence < r.oldest {
		r.oldest = sequence
	}
}

// checkOrphanRecords looks for records of segments that are newer than the newest valid
// header. A torn header is followed by no record, because a segment is synced before its
// first record is written; a record there means that the header of a synced segment is
// damaged.
func (l *Log) checkOrphanRecords(newest uint64, buffer []byte) error {
	for sequence := newest + 1; sequence <= newest+uint64(l.config.SegmentCount); sequence++ {
		index := l.fileIndex(sequence)
		if err := readFirstRecord(l.files[index], buffer); err != nil {
			return err
		}
		if _, ok := decodeRecord(buffer, sequence, headerBytes); ok {
			return &CorruptionError{index, 0, "contains records after a damaged header"}
		}
	}
	return nil
}

// readFirstRecord reads a file's header and its first record, if there is one, into the
// buffer. The rest of the buffer keeps its previous content.
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

// scanSegment decodes the records up to the first that fails its checksum, and looks for
// valid records after it.
func scanSegment(content []byte, sequence uint64) scannedSegment {
	segment := scannedSegment{end: headerBytes}
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

// newestCheckpoint returns the indexes of the begin and end records of the newest complete
// checkpoint, or -1 for both.
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

// replayOrder returns the data of the records to replay, in order. A checkpoint contains the
// state at its beginning, so all of its records precede the data records interleaved with
// them.
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
