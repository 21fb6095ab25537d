// Package wal is a write-ahead log: it keeps records in a ring of preallocated files.
//
// Records are appended and synced in order. A checkpoint restates everything
// that still matters, after which the files before it are used again. What a
// sync has not covered may be lost; anything else that can't be read back makes
// the ring refuse to open (design §5).
package wal

import (
	"fmt"

	"github.com/gravitational/trace"
)

// Plan sets the ring's sizes.
type Config struct {
	SegmentCount int
	SegmentBytes int64
}

const (
	leastFiles = 3
	leastSize  = 4096
)

func (p Config) check() error {
	if p.SegmentCount < leastFiles || p.SegmentBytes < leastSize {
		return trace.BadParameter("a ring needs at least %d files of %d bytes; raise ring_files or ring_bytes", leastFiles, leastSize)
	}
	return nil
}

// Log is not safe for concurrent use.
//
// After a write or sync that failed nothing is known of what was not synced: it may be
// on the medium, in part, or not at all, and a later sync that succeeds does not cover
// it. Every later call fails with the same error until Reopen has read the ring anew.
type Log struct {
	fs     FS
	plan   Config
	files  []File
	gen    uint64 // generation being written; its file is gen%Files
	off    int64
	keep   uint64 // oldest generation still needed
	under  bool   // a checkpoint is being written
	begun  uint64 // generation in which the checkpoint under way begins
	synced uint64 // position up to which everything is synced
	dirty  bool   // the file being written has bytes that no sync has covered
	failed error
	image  []byte // after reading: the bytes of the file being written
}

// Open reads the ring and returns the records from the newest whole checkpoint on.
//
// The file being written is written and synced once more before that: what a process
// read may come from a cache that a failed sync of an earlier process left behind.
// If the disk refuses this, the records are returned beside an error that is ErrDisk;
// there is no Log then, and Open may be tried again.
func Open(fs FS, plan Config) (*Log, [][]byte, error) {
	if err := plan.check(); err != nil {
		return nil, nil, err
	}
	l := &Log{fs: fs, plan: plan}
	records, err := l.open(0)
	if err != nil {
		return nil, records, err
	}
	return l, records, nil
}

// Reopen reads the ring anew after a failure, as Open does after a restart. Everything
// that was synced must be found again, or it fails with ErrCorrupt; what was not may be
// among the records or not, and is synced if it is.
func (l *Log) Reopen() ([][]byte, error) {
	_ = closeFiles(l.files) // they failed already
	next := &Log{fs: l.fs, plan: l.plan}
	records, err := next.open(l.synced)
	if err != nil {
		l.files, l.failed = nil, err
		return records, err
	}
	*l = *next
	return records, nil
}

// open reads the ring, which must reach up to a position that is known to be synced.
func (l *Log) open(known uint64) ([][]byte, error) {
	if err := checkSizes(l.fs, l.plan); err != nil {
		return nil, err
	}
	files, err := openFiles(l.fs, l.plan)
	if err != nil {
		return nil, err
	}
	l.files = files
	records, err := l.recover()
	if err == nil && l.position(l.gen, l.off) < known {
		err = corrupt(l.index(l.gen), l.off, "lacks what was synced behind it")
		records = nil
	}
	if err == nil {
		err = l.restate()
	}
	if err != nil {
		_ = closeFiles(files)
		return records, err
	}
	l.synced = l.position(l.gen, l.off)
	return records, nil
}

// restate writes the file being written as it was read, with nothing behind it: a torn
// tail can't be mistaken for later records then, and all that was read is synced.
func (l *Log) restate() error {
	if l.gen == 0 {
		return l.start(1, 0)
	}
	whole := make([]byte, l.plan.SegmentBytes)
	copy(whole, l.image)
	l.image = nil
	return l.writeWhole(l.gen, whole)
}

// start makes gen the generation being written.
func (l *Log) start(gen uint64, prevEnd int64) error {
	whole := make([]byte, l.plan.SegmentBytes)
	copy(whole, encodeHeader(gen, prevEnd))
	if err := l.writeWhole(gen, whole); err != nil {
		return err
	}
	l.gen, l.off = gen, headerLen
	if l.keep == 0 {
		l.keep = gen
	}
	return nil
}

func (l *Log) writeWhole(gen uint64, whole []byte) error {
	if err := l.write(gen, whole, 0); err != nil {
		return err
	}
	return l.sync(gen)
}

func (l *Log) write(gen uint64, data []byte, offset int64) error {
	if _, err := l.file(gen).WriteAt(data, offset); err != nil {
		l.failed = &DiskError{"write", err}
	}
	return l.failed
}

func (l *Log) sync(gen uint64) error {
	if err := l.file(gen).Sync(); err != nil {
		l.failed = &DiskError{"sync", err}
	}
	return l.failed
}

func (l *Log) index(gen uint64) int { return int(gen % uint64(l.plan.SegmentCount)) }

func (l *Log) file(gen uint64) File { return l.files[l.index(gen)] }

func (l *Log) position(gen uint64, offset int64) uint64 {
	return gen*uint64(l.plan.SegmentBytes) + uint64(offset)
}

// Append writes a record; it lasts once Sync has returned.
//
// Two fifths of the ring stay free until the next checkpoint begins. While one is being
// written a quarter does, which is for its parts, or for another that is begun anew if the
// process ends in the midst of this one.
func (l *Log) Append(data []byte) error {
	if l.under {
		return l.put(kindData, data, max(1, l.plan.SegmentCount/4))
	}
	return l.put(kindData, data, max(1, l.plan.SegmentCount*2/5))
}

// put writes a record and leaves so many files free.
func (l *Log) put(kind recordKind, data []byte, spare int) error {
	if l.failed != nil {
		return l.failed
	}
	size := span(len(data))
	if size > l.plan.SegmentBytes-headerLen {
		return ringFull(fmt.Sprintf("a record of %d bytes does not fit a file of %d", len(data), l.plan.SegmentBytes), "raise ring_bytes, with an empty data_dir")
	}
	if l.off+size > l.plan.SegmentBytes {
		if err := l.advance(spare); err != nil {
			return err
		}
	}
	if err := l.write(l.gen, encodeRecord(kind, l.gen, l.off, l.synced, data), l.off); err != nil {
		return err
	}
	l.off += size
	l.dirty = true
	return nil
}

// advance goes on to the next file, if that leaves so many free.
func (l *Log) advance(spare int) error {
	if l.gen+2-l.keep > uint64(l.plan.SegmentCount-spare) {
		return ringFull("no file is free before the next checkpoint", "raise ring_files, with an empty data_dir")
	}
	if err := l.Sync(); err != nil {
		return err
	}
	return l.start(l.gen+1, l.off)
}

// Sync makes everything appended last.
func (l *Log) Sync() error {
	if l.failed != nil {
		return l.failed
	}
	if l.dirty {
		if err := l.sync(l.gen); err != nil {
			return err
		}
		l.dirty = false
	}
	l.synced = l.position(l.gen, l.off)
	return nil
}

// Used tells which part of the ring is taken, in thousandths.
func (l *Log) UsedPermille() int {
	used := (l.gen-l.keep)*uint64(l.plan.SegmentBytes) + uint64(l.off)
	return int(used * 1000 / (uint64(l.plan.SegmentCount) * uint64(l.plan.SegmentBytes)))
}

// Close closes the files.
func (l *Log) Close() error { return closeFiles(l.files) }
