package wal

import (
	"fmt"

	"github.com/gravitational/trace"
)

// Config is the size of a log. It can't change while the files are in use.
type Config struct {
	// SegmentCount is the number of segment files, at least 3. A state of a given size
	// needs more of them the longer a checkpoint takes; Append says how many stay free.
	SegmentCount int
	// SegmentBytes is the length of each file in bytes, at least 4096. No record may be
	// larger than a segment without its header.
	SegmentBytes int64
}

const (
	minSegmentCount = 3
	minSegmentBytes = 4096
)

func (c Config) check() error {
	if c.SegmentCount < minSegmentCount || c.SegmentBytes < minSegmentBytes {
		return trace.BadParameter("a write-ahead log needs at least %d files of %d bytes; raise ring_files or ring_bytes", minSegmentCount, minSegmentBytes)
	}
	return nil
}

// Log is an open write-ahead log. It is not safe for concurrent use.
//
// After a write or sync that failed every call fails with the same error until Reopen
// has read the files anew; the package comment says why.
type Log struct {
	fs     FS
	config Config
	files  []File // by index

	sequence uint64 // of the segment being written
	offset   int64  // in it, of the next record
	synced   uint64 // position up to which everything is synced
	unsynced bool   // the segment being written has bytes that no sync has covered
	failure  error  // of the first write or sync that failed

	oldestNeeded       uint64 // sequence number of the oldest segment that recovery needs
	checkpointing      bool   // a checkpoint is under way
	checkpointSequence uint64 // of the segment in which it began

	tail []byte // after recovery: the bytes of the segment being written
}

// Open reads the files, making those that are missing, and returns the records to apply,
// in order: those from the newest complete checkpoint on (see Recovery above).
//
// If the disk refuses to write the newest segment anew, the records are returned beside
// an error that matches ErrDisk; there is no Log then, and Open may be tried again. Other
// errors match ErrDisk, ErrCorrupt, ErrVersion or ErrLayout, or are a
// trace.BadParameter for a Config out of bounds.
func Open(fs FS, config Config) (*Log, [][]byte, error) {
	if err := config.check(); err != nil {
		return nil, nil, err
	}
	l := &Log{fs: fs, config: config}
	records, err := l.open(0)
	if err != nil {
		return nil, records, err
	}
	return l, records, nil
}

// Reopen reads the files anew after a failure, as Open does after a restart, with the
// same errors. Everything that was synced must be found again, or it fails with
// ErrCorrupt; what was not may be among the records or not, and is synced if it is.
func (l *Log) Reopen() ([][]byte, error) {
	_ = closeFiles(l.files) // they failed already
	next := &Log{fs: l.fs, config: l.config}
	records, err := next.open(l.synced)
	if err != nil {
		l.files, l.failure = nil, err
		return records, err
	}
	*l = *next
	return records, nil
}

// open reads the log, which must reach up to a position that is known to be synced.
func (l *Log) open(known uint64) ([][]byte, error) {
	if err := checkLayout(l.fs, l.config); err != nil {
		return nil, err
	}
	files, err := openFiles(l.fs, l.config)
	if err != nil {
		return nil, err
	}
	l.files = files
	records, err := l.recover()
	if err == nil && l.position(l.sequence, l.offset) < known {
		err = &CorruptionError{l.fileIndex(l.sequence), l.offset, "lacks what was synced behind it"}
		records = nil
	}
	if err == nil {
		err = l.rewriteNewest()
	}
	if err != nil {
		_ = closeFiles(files)
		return records, err
	}
	l.synced = l.position(l.sequence, l.offset)
	return records, nil
}

// rewriteNewest writes the newest segment as it was read, with zeros behind it: remains
// of a torn tail can't pass for later records then, and all that was read is synced.
func (l *Log) rewriteNewest() error {
	if l.sequence == 0 {
		return l.beginSegment(1, 0)
	}
	content := make([]byte, l.config.SegmentBytes)
	copy(content, l.tail)
	l.tail = nil
	return l.writeSegment(l.sequence, content)
}

// beginSegment writes an empty segment and makes it the one being written.
func (l *Log) beginSegment(sequence uint64, previousEnd int64) error {
	content := make([]byte, l.config.SegmentBytes)
	copy(content, encodeHeader(sequence, previousEnd))
	if err := l.writeSegment(sequence, content); err != nil {
		return err
	}
	l.sequence, l.offset = sequence, headerBytes
	if l.oldestNeeded == 0 {
		l.oldestNeeded = sequence
	}
	return nil
}

// writeSegment writes and syncs a whole segment.
func (l *Log) writeSegment(sequence uint64, content []byte) error {
	if err := l.write(sequence, content, 0); err != nil {
		return err
	}
	return l.sync(sequence)
}

func (l *Log) write(sequence uint64, data []byte, offset int64) error {
	if _, err := l.file(sequence).WriteAt(data, offset); err != nil {
		l.failure = &DiskError{"write", err}
	}
	return l.failure
}

func (l *Log) sync(sequence uint64) error {
	if err := l.file(sequence).Sync(); err != nil {
		l.failure = &DiskError{"sync", err}
	}
	return l.failure
}

// fileIndex is the index of the file in which a segment lies.
func (l *Log) fileIndex(sequence uint64) int { return int(sequence % uint64(l.config.SegmentCount)) }

func (l *Log) file(sequence uint64) File { return l.files[l.fileIndex(sequence)] }

// position is a place in the whole log, in bytes from the start of segment 0.
func (l *Log) position(sequence uint64, offset int64) uint64 {
	return sequence*uint64(l.config.SegmentBytes) + uint64(offset)
}

// Append writes a record; it lasts once Sync has returned. It fails with ErrFull if that
// would take a segment that must stay free, and with ErrDisk.
//
// Two fifths of the segments stay free until the next checkpoint begins. While one is
// being written a quarter does, which is for its records, or for another that is begun
// anew if the process ends in the midst of this one.
func (l *Log) Append(data []byte) error {
	if l.checkpointing {
		return l.put(typeData, data, max(1, l.config.SegmentCount/4))
	}
	return l.put(typeData, data, max(1, l.config.SegmentCount*2/5))
}

// put writes a record and leaves so many segments free.
func (l *Log) put(recordType recordType, data []byte, keepFree int) error {
	if l.failure != nil {
		return l.failure
	}
	size := recordBytes(len(data))
	if size > l.config.SegmentBytes-headerBytes {
		return &FullError{
			Detail: fmt.Sprintf("a record of %d bytes does not fit a file of %d", len(data), l.config.SegmentBytes),
			Remedy: "raise ring_bytes (fixed under a deploy file), with an empty data folder",
		}
	}
	if l.offset+size > l.config.SegmentBytes {
		if err := l.nextSegment(keepFree); err != nil {
			return err
		}
	}
	encoded := encodeRecord(record{recordType, l.sequence, l.synced, data}, l.offset)
	if err := l.write(l.sequence, encoded, l.offset); err != nil {
		return err
	}
	l.offset += size
	l.unsynced = true
	return nil
}

// nextSegment goes on to the next segment, if that leaves so many free.
func (l *Log) nextSegment(keepFree int) error {
	if l.sequence+2-l.oldestNeeded > uint64(l.config.SegmentCount-keepFree) {
		return &FullError{
			Detail: "no file is free before the next checkpoint",
			Remedy: "raise ring_files (fixed under a deploy file), with an empty data folder",
		}
	}
	if err := l.Sync(); err != nil {
		return err
	}
	return l.beginSegment(l.sequence+1, l.offset)
}

// Sync makes everything appended last. It fails with ErrDisk.
func (l *Log) Sync() error {
	if l.failure != nil {
		return l.failure
	}
	if l.unsynced {
		if err := l.sync(l.sequence); err != nil {
			return err
		}
		l.unsynced = false
	}
	l.synced = l.position(l.sequence, l.offset)
	return nil
}

// UsedPermille is the part of the log that is taken, in thousandths: what was written
// since the segment in which the newest checkpoint began.
func (l *Log) UsedPermille() int {
	used := (l.sequence-l.oldestNeeded)*uint64(l.config.SegmentBytes) + uint64(l.offset)
	return int(used * 1000 / (uint64(l.config.SegmentCount) * uint64(l.config.SegmentBytes)))
}

// Close closes the files. What was not synced may be lost.
func (l *Log) Close() error { return closeFiles(l.files) }
