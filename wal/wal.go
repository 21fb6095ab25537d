// Package wal keeps records in a ring of preallocated files.
//
// Records are appended and synced in order. A checkpoint restates everything
// that still matters, after which the files before it are used again. What a
// sync has not covered may be lost; anything else that can't be read back makes
// the ring refuse to open (design §5).
package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/gravitational/trace"
)

// File is one preallocated file.
type File interface {
	io.ReaderAt
	io.WriterAt
	Sync() error
	Close() error
}

// FS is the port through which a ring reaches its folder.
type FS interface {
	// Open returns the file of that name with exactly size bytes, made and
	// synced if it is missing.
	Open(name string, size int64) (File, error)
}

// Plan sets the ring's sizes.
type Plan struct {
	Files int
	Size  int64
}

// Errors that callers tell apart with errors.Is.
var (
	ErrFull    = errors.New("the ring is full")
	ErrCorrupt = errors.New("the ring can't be read back")
	ErrDead    = errors.New("the disk failed a write or a sync")
)

const (
	magic   = "VTRING01"
	headLen = 32
	recLen  = 20

	kData  = 1
	kBegin = 2
	kCkpt  = 3
	kEnd   = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log is not safe for concurrent use.
type Log struct {
	p     Plan
	files []File
	gen   uint64 // generation being written; file gen%Files
	off   int64
	keep  uint64 // oldest generation still needed
	under bool   // a checkpoint is being written
	begun uint64 // generation in which the checkpoint under way begins
	floor uint64 // position up to which everything is synced
	dirty map[int]bool
	dead  error
}

func (r *Log) file(g uint64) File { return r.files[g%uint64(r.p.Files)] }

func (r *Log) pos(g uint64, off int64) uint64 { return g*uint64(r.p.Size) + uint64(off) }

// Open reads the ring and returns the records from the newest whole checkpoint on.
func Open(fs FS, p Plan) (*Log, [][]byte, error) {
	if p.Files < 3 || p.Size < 4096 {
		return nil, nil, trace.BadParameter("a ring needs at least 3 files of 4096 bytes; raise ring_files or ring_bytes")
	}
	r := &Log{p: p, dirty: map[int]bool{}}
	for i := 0; i < p.Files; i++ {
		f, err := fs.Open(fmt.Sprintf("ring-%03d", i), p.Size)
		if err != nil {
			return nil, nil, trace.Wrap(err, "opening ring file %d; check that data_dir exists, is writable and has %d bytes free", i, int64(p.Files)*p.Size)
		}
		r.files = append(r.files, f)
	}
	recs, err := r.recover()
	return r, recs, err
}

type scanned struct {
	kind  byte
	gen   uint64
	off   int64
	floor uint64
	data  []byte
}

// volume is one file as found: its records, where reading them stopped, and
// the highest synced floor that a record behind that place still names.
type volume struct {
	recs    []scanned
	bad     int64
	prevEnd int64 // where the volume before this one ended
	beyond  uint64
}

func (r *Log) scan(buf []byte, gen uint64) volume {
	v := volume{bad: headLen, prevEnd: int64(binary.LittleEndian.Uint64(buf[16:]))}
	for {
		s, ok := r.readAt(buf, gen, v.bad)
		if !ok {
			break
		}
		v.recs = append(v.recs, s)
		v.bad += span(len(s.data))
	}
	for o := v.bad + 8; o+recLen <= r.p.Size; o += 8 {
		if s, ok := r.readAt(buf, gen, o); ok {
			v.beyond = max(v.beyond, s.floor)
		}
	}
	return v
}

func span(n int) int64 { return (int64(recLen+n) + 7) &^ 7 }

func (r *Log) readAt(buf []byte, gen uint64, off int64) (s scanned, ok bool) {
	if off+recLen > int64(len(buf)) {
		return s, false
	}
	h := buf[off : off+recLen]
	n := int64(binary.LittleEndian.Uint32(h))
	if h[16] < kData || h[16] > kEnd || off+recLen+n > int64(len(buf)) {
		return s, false
	}
	if binary.LittleEndian.Uint32(h[4:]) != r.sum(gen, off, h, buf[off+recLen:off+recLen+n]) {
		return s, false
	}
	d := append([]byte(nil), buf[off+recLen:off+recLen+n]...)
	return scanned{h[16], gen, off, binary.LittleEndian.Uint64(h[8:]), d}, true
}

func (r *Log) sum(gen uint64, off int64, h, d []byte) uint32 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], gen)
	binary.LittleEndian.PutUint64(b[8:], uint64(off))
	c := crc32.Update(0, castagnoli, b[:])
	c = crc32.Update(c, castagnoli, h[:4])
	c = crc32.Update(c, castagnoli, h[8:])
	return crc32.Update(c, castagnoli, d)
}

func head(gen uint64, prevEnd int64) []byte {
	b := make([]byte, headLen)
	copy(b, magic)
	binary.LittleEndian.PutUint64(b[8:], gen)
	binary.LittleEndian.PutUint64(b[16:], uint64(prevEnd))
	binary.LittleEndian.PutUint32(b[24:], crc32.Checksum(b[:24], castagnoli))
	return b
}

func (r *Log) recover() ([][]byte, error) {
	vs := map[uint64]volume{}
	var lo, hi uint64
	for i, f := range r.files {
		b := make([]byte, r.p.Size)
		if _, err := f.ReadAt(b, 0); err != nil && err != io.EOF {
			return nil, trace.Wrap(errors.Join(ErrCorrupt, err), "reading ring file %d; replace the disk and rejoin as an empty node", i)
		}
		g := binary.LittleEndian.Uint64(b[8:])
		if g == 0 || g%uint64(r.p.Files) != uint64(i) || string(head(g, int64(binary.LittleEndian.Uint64(b[16:])))) != string(b[:headLen]) {
			continue
		}
		vs[g] = r.scan(b, g)
		if hi = max(hi, g); lo == 0 || g < lo {
			lo = g
		}
	}
	if hi == 0 {
		return nil, r.start(1, 0)
	}
	var all []scanned
	for g := lo; g <= hi; g++ {
		all = append(all, vs[g].recs...)
	}
	from, to := lastCheckpoint(all)
	r.keep = lo
	if from >= 0 {
		r.keep = all[from].gen
	} else if lo > 1 {
		return nil, r.corrupt(lo, headLen)
	}
	for g := r.keep; g <= hi; g++ {
		v, ok := vs[g]
		// A later record that names a synced floor past the place where
		// reading stopped proves that something synced is gone; without
		// one it is a torn tail. A volume with a successor was synced whole.
		if !ok || v.beyond > r.pos(g, v.bad) || g < hi && vs[g+1].prevEnd != v.bad {
			return nil, r.corrupt(g, v.bad)
		}
	}
	// A checkpoint stands for the state at its beginning: what was appended
	// between its parts comes after all of it.
	var out [][]byte
	for i := max(from, 0); i <= to; i++ {
		if all[i].kind == kCkpt {
			out = append(out, all[i].data)
		}
	}
	for _, s := range all[max(from, 0):] {
		if s.kind == kData {
			out = append(out, s.data)
		}
	}
	r.gen, r.off = hi, vs[hi].bad
	r.floor = r.pos(r.gen, r.off)
	// A torn tail is wiped, so that it can't be mistaken for later records.
	return out, r.wipe()
}

// lastCheckpoint is where the newest whole checkpoint begins and ends, -1 for none.
func lastCheckpoint(all []scanned) (from, to int) {
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].kind != kEnd {
			continue
		}
		for j := i; j >= 0; j-- {
			if all[j].kind == kBegin {
				return j, i
			}
		}
	}
	return -1, -1
}

func (r *Log) corrupt(g uint64, off int64) error {
	return trace.Wrap(ErrCorrupt, "file %d offset %d holds synced data that fails its checksum; move data_dir aside and rejoin as an empty node", g%uint64(r.p.Files), off)
}

func (r *Log) wipe() error {
	z := make([]byte, r.p.Size-r.off)
	return r.fail(func() error {
		if _, err := r.file(r.gen).WriteAt(z, r.off); err != nil {
			return err
		}
		return r.file(r.gen).Sync()
	})
}

// start makes generation g the one being written.
func (r *Log) start(g uint64, prevEnd int64) error {
	r.gen, r.off = g, headLen
	if r.keep == 0 {
		r.keep = g
	}
	return r.fail(func() error {
		b := make([]byte, r.p.Size)
		copy(b, head(g, prevEnd))
		if _, err := r.file(g).WriteAt(b, 0); err != nil {
			return err
		}
		return r.file(g).Sync()
	})
}

func (r *Log) fail(f func() error) error {
	if r.dead != nil {
		return r.dead
	}
	if err := f(); err != nil {
		r.dead = trace.Wrap(errors.Join(ErrDead, err), "this disk is not trusted again by this process; check it, then start anew")
		return r.dead
	}
	return nil
}

// Append writes a record; it lasts once Sync has returned.
//
// Two fifths of the ring stay free until the next checkpoint begins.
func (r *Log) Append(d []byte) error {
	if r.under {
		return r.put(kData, d, 0)
	}
	return r.put(kData, d, max(1, r.p.Files*2/5))
}

func (r *Log) put(k byte, d []byte, spare int) error {
	if r.dead != nil {
		return r.dead
	}
	n := span(len(d))
	if n > r.p.Size-headLen {
		return trace.Wrap(ErrFull, "a record of %d bytes does not fit a file of %d; raise ring_bytes", len(d), r.p.Size)
	}
	if r.off+n > r.p.Size {
		if r.gen+2-r.keep > uint64(r.p.Files-spare) {
			return trace.Wrap(ErrFull, "no file is free before the next checkpoint; raise ring_files")
		}
		if err := r.Sync(); err != nil {
			return err
		}
		if err := r.start(r.gen+1, r.off); err != nil {
			return err
		}
	}
	b := make([]byte, n)
	binary.LittleEndian.PutUint32(b, uint32(len(d)))
	binary.LittleEndian.PutUint64(b[8:], r.floor)
	b[16] = k
	copy(b[recLen:], d)
	binary.LittleEndian.PutUint32(b[4:], r.sum(r.gen, r.off, b[:recLen], d))
	return r.fail(func() error {
		if _, err := r.file(r.gen).WriteAt(b, r.off); err != nil {
			return err
		}
		r.off += n
		r.dirty[int(r.gen%uint64(r.p.Files))] = true
		return nil
	})
}

// Sync makes everything appended last. Once it has failed, so does every later call.
func (r *Log) Sync() error {
	return r.fail(func() error {
		for i := range r.dirty {
			if err := r.files[i].Sync(); err != nil {
				return err
			}
			delete(r.dirty, i)
		}
		r.floor = r.pos(r.gen, r.off)
		return nil
	})
}

// Used tells which part of the ring is taken, in thousandths.
func (r *Log) Used() int {
	u := (r.gen-r.keep)*uint64(r.p.Size) + uint64(r.off)
	return int(u * 1000 / (uint64(r.p.Files) * uint64(r.p.Size)))
}

// Begin begins a checkpoint: the records that Part then adds restate everything
// before it. Other records may be appended and synced meanwhile; one checkpoint
// at a time.
func (r *Log) Begin() error {
	if err := r.put(kBegin, nil, 0); err != nil {
		return err
	}
	r.begun, r.under = r.gen, true
	return nil
}

// Part adds records to the checkpoint.
func (r *Log) Part(recs [][]byte) error {
	for _, d := range recs {
		if err := r.put(kCkpt, d, 0); err != nil {
			return err
		}
	}
	return nil
}

// End ends the checkpoint, syncs, and frees the files that came before it.
func (r *Log) End() error {
	if err := r.put(kEnd, nil, 0); err != nil {
		return err
	}
	if err := r.Sync(); err != nil {
		return err
	}
	r.keep, r.under = r.begun, false
	return nil
}

// Checkpoint writes a whole checkpoint in one go.
func (r *Log) Checkpoint(recs [][]byte) error {
	if err := r.Begin(); err != nil {
		return err
	}
	if err := r.Part(recs); err != nil {
		return err
	}
	return r.End()
}

// Close closes the files.
func (r *Log) Close() error {
	var err error
	for _, f := range r.files {
		err = errors.Join(err, f.Close())
	}
	return err
}
