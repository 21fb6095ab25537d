package wal_test

import (
	"errors"
	"io"
	"math/rand"
	"syscall"

	"violetthread/wal"
)

// faultyFS stores files in memory and fails like a disk behind a page cache: a failed write
// may reach the cache in part, and a failed sync may write any part of the cache to the
// medium, but leaves the cache unchanged and marks it clean.
type faultyFS struct {
	rng        *rand.Rand
	files      map[string]*faultyFile
	full       bool
	operations int  // number of writes and syncs so far
	failAt     int  // number of the operation that fails; 0 for none
	tornBytes  int  // bytes that a failed write leaves in the cache
	broken     bool // all operations fail
}

type faultyFile struct {
	fs      *faultyFS
	cache   []byte
	durable []byte
	dirty   [][2]int
}

func newFaultyFS(seed int64) *faultyFS {
	return &faultyFS{rng: rand.New(rand.NewSource(seed)), files: map[string]*faultyFile{}}
}

func (fs *faultyFS) Size(name string) (int64, error) {
	if f := fs.files[name]; f != nil {
		return int64(len(f.cache)), nil
	}
	return 0, nil
}

func (fs *faultyFS) Open(name string, size int64) (wal.File, error) {
	f := fs.files[name]
	if f == nil {
		f = &faultyFile{fs: fs}
		fs.files[name] = f
	}
	if missing := size - int64(len(f.cache)); missing > 0 {
		if fs.full {
			return nil, syscall.ENOSPC
		}
		f.cache = append(f.cache, make([]byte, missing)...)
		f.durable = append(f.durable, make([]byte, missing)...)
	}
	return f, nil
}

// nextOperation counts a write or sync, and returns an error if it is to fail.
func (fs *faultyFS) nextOperation() error {
	fs.operations++
	switch {
	case fs.full:
		return syscall.ENOSPC
	case fs.broken, fs.operations == fs.failAt:
		return syscall.EIO
	}
	return nil
}

// powerLoss keeps what was synced, and each other byte with a probability of 1/2.
func (fs *faultyFS) powerLoss() {
	for _, f := range fs.files {
		f.writeBack(2)
		copy(f.cache, f.durable)
	}
}

// writeBack writes each dirty byte to the medium with a probability of 1/oneIn, and marks all
// of them clean.
func (f *faultyFile) writeBack(oneIn int) {
	for _, r := range f.dirty {
		for i := r[0]; i < r[1]; i++ {
			if f.fs.rng.Intn(oneIn) == 0 {
				f.durable[i] = f.cache[i]
			}
		}
	}
	f.dirty = nil
}

func (f *faultyFile) ReadAt(b []byte, at int64) (int, error) {
	n := copy(b, f.cache[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (f *faultyFile) WriteAt(b []byte, at int64) (int, error) {
	err := f.fs.nextOperation()
	if err != nil {
		b = b[:min(f.fs.tornBytes, len(b))]
	}
	copy(f.cache[at:], b)
	f.dirty = append(f.dirty, [2]int{int(at), int(at) + len(b)})
	return len(b), err
}

func (f *faultyFile) Sync() error {
	if err := f.fs.nextOperation(); err != nil {
		f.writeBack(3)
		return err
	}
	f.writeBack(1)
	return nil
}

func (f *faultyFile) Close() error { return nil }

// snapshot copies the files with the content of their caches.
func (fs *faultyFS) snapshot() *faultyFS {
	out := newFaultyFS(1)
	for name, f := range fs.files {
		out.files[name] = &faultyFile{fs: out, cache: append([]byte(nil), f.cache...), durable: append([]byte(nil), f.cache...)}
	}
	return out
}

var errKinds = []error{wal.ErrCorrupt, wal.ErrVersion, wal.ErrLayout, wal.ErrDisk}

func isTyped(err error) bool {
	for _, kind := range errKinds {
		if errors.Is(err, kind) {
			return true
		}
	}
	return false
}
