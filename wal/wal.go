package wal

import "github.com/gravitational/trace"

// Config is the size of a log. It can't be changed once the log contains records.
type Config struct {
	// SegmentCount is the number of segment files, at least 3. For a state of a given size,
	// the longer a checkpoint takes, the more segments are needed; Append describes how many
	// are reserved.
	SegmentCount int
	// SegmentBytes is the length of each file in bytes, at least 4096. A record that does
	// not fit into one segment is written in fragments.
	SegmentBytes int64
}

const (
	minSegmentCount = 3
	minSegmentBytes = 4096
)

func (c Config) check() error {
	if c.SegmentCount < minSegmentCount || c.SegmentBytes < minSegmentBytes {
		return trace.BadParameter("a write-ahead log needs at least %d files of at least %d bytes; raise ring_files or ring_bytes", minSegmentCount, minSegmentBytes)
	}
	return nil
}

// Log is an open write-ahead log. It is not safe for concurrent use.
//
// After a failed write or sync, every call fails with the same error until Reopen has read
// the files again; the package comment explains why.
type Log struct {
	fs     FS
	config Config
	files  []File // by index

	sequence uint64 // of the segment being written
	offset   int64  // in it, of the next record
	synced   uint64 // position up to which the log is synced
	unsynced bool   // the segment being written has unsynced bytes
	failure  error  // of the first write or sync that failed

	oldestNeeded       uint64 // sequence number of the oldest segment that recovery needs
	checkpointing      bool   // a checkpoint is in progress
	checkpointSequence uint64 // of the segment in which the checkpoint begins

	tail []byte // content of the newest segment, between recovery and its rewrite
}

// Open reads the files, creating those that are missing, and returns the records to replay,
// in order, starting with the newest complete checkpoint (see Recovery in the package
// comment).
//
// If rewriting the newest segment fails, Open returns the records with an error that matches
// ErrDisk; the Log is nil then, and Open may be retried. Other errors match ErrDisk,
// ErrCorrupt, ErrVersion or ErrLayout, or are a trace.BadParameter for a Config out of
// bounds.
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

// Reopen reads the files again after a failure, as Open does after a restart, and returns
// the same errors. If data that was synced is missing, it fails with ErrCorrupt. A record
// that was not synced may or may not be returned; one that is returned is durable.
func (l *Log) Reopen() ([][]byte, error) {
	_ = closeFiles(l.files) // the log has already failed, so close errors don't matter
	next := &Log{fs: l.fs, config: l.config}
	records, err := next.open(l.synced)
	if err != nil {
		l.files, l.failure = nil, err
		return records, err
	}
	*l = *next
	return records, nil
}

// open reads the log, which must extend to at least the position minEnd, up to which it is
// known to be synced.
func (l *Log) open(minEnd uint64) ([][]byte, error) {
	if err := checkLayout(l.fs, l.config); err != nil {
		return nil, err
	}
	files, err := openFiles(l.fs, l.config)
	if err != nil {
		return nil, err
	}
	l.files = files
	records, err := l.recover()
	if err == nil && l.position(l.sequence, l.offset) < minEnd {
		err = &CorruptionError{l.fileIndex(l.sequence), l.offset, "is before the end of the synced data"}
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

// rewriteNewest rewrites the newest segment with the content that was read, followed by
// zeros, and syncs it. The remains of a torn tail can't be taken for later records then, and
// everything that was read is durable.
func (l *Log) rewriteNewest() error {
	if l.sequence == 0 {
		return l.beginSegment(1, 0)
	}
	content := make([]byte, l.config.SegmentBytes)
	copy(content, l.tail)
	l.tail = nil
	return l.writeSegment(l.sequence, content)
}

// beginSegment writes an empty segment and makes it the current one.
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

// writeSegment writes and syncs the full content of a segment.
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

// fileIndex is the index of the file that stores a segment.
func (l *Log) fileIndex(sequence uint64) int { return int(sequence % uint64(l.config.SegmentCount)) }

func (l *Log) file(sequence uint64) File { return l.files[l.fileIndex(sequence)] }

// position is an offset in the whole log, in bytes from the start of segment 0.
func (l *Log) position(sequence uint64, offset int64) uint64 {
	return sequence*uint64(l.config.SegmentBytes) + uint64(offset)
}

// Append writes a record, which is durable once Sync has returned. It fails with ErrFull if
// the record would need one of the reserved segments, and with ErrDisk.
//
// Two fifths of the segments are reserved until the next checkpoint begins. While one is
// being written, a quarter is reserved: for the rest of that checkpoint, or for a new one if
// the process exits before the checkpoint is complete.
func (l *Log) Append(data []byte) error {
	if l.checkpointing {
		return l.appendRecord(typeData, data, max(1, l.config.SegmentCount/4))
	}
	return l.appendRecord(typeData, data, max(1, l.config.SegmentCount*2/5))
}

// appendRecord writes a record and leaves at least the given number of segments free.
func (l *Log) appendRecord(recordType recordType, data []byte, reserved int) error {
	if l.failure != nil {
		return l.failure
	}
	size := recordBytes(len(data))
	if size > l.config.SegmentBytes-headerBytes {
		return l.appendFragments(recordType, data, reserved)
	}
	if l.offset+size > l.config.SegmentBytes {
		if err := l.nextSegment(reserved); err != nil {
			return err
		}
	}
	return l.writeRecord(recordType, data)
}

// writeRecord writes a record that fits into the rest of the current segment.
func (l *Log) writeRecord(recordType recordType, data []byte) error {
	encoded := encodeRecord(record{recordType, l.sequence, l.synced, data}, l.offset)
	if err := l.write(l.sequence, encoded, l.offset); err != nil {
		return err
	}
	l.offset += int64(len(encoded))
	l.unsynced = true
	return nil
}

// checkFree returns an error unless this many more segments can begin and at least the given number
// stay free.
func (l *Log) checkFree(segments uint64, reserved int) error {
	if l.sequence+1+segments-l.oldestNeeded > uint64(l.config.SegmentCount-reserved) {
		return &FullError{
			Detail: "no free segment file is left until the next checkpoint completes",
			Remedy: "raise ring_files (fixed under a deploy file), with an empty data folder",
		}
	}
	return nil
}

// nextSegment begins the next segment if at least the given number of segments stay free.
func (l *Log) nextSegment(reserved int) error {
	if err := l.checkFree(1, reserved); err != nil {
		return err
	}
	if err := l.Sync(); err != nil {
		return err
	}
	return l.beginSegment(l.sequence+1, l.offset)
}

// Sync makes all appended records durable. It fails with ErrDisk.
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

// UsedPermille is the part of the log that is in use, in thousandths: from the segment in
// which the newest complete checkpoint begins up to the end.
func (l *Log) UsedPermille() int {
	used := (l.sequence-l.oldestNeeded)*uint64(l.config.SegmentBytes) + uint64(l.offset)
	return int(used * 1000 / (uint64(l.config.SegmentCount) * uint64(l.config.SegmentBytes)))
}

// Close closes the files. Records that were not synced may be lost.
func (l *Log) Close() error { return closeFiles(l.files) }
