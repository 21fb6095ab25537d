package wal_test

import (
	"errors"
	"io"
	"math/rand"
	"syscall"

	"violetthread/wal"
)

// faultyFS keeps files in memory and fails as disks do: a write may reach the cache in
// part, and a sync that fails leaves the cache as it is, marks it clean, and has put any
// part of it on the medium.
type faultyFS struct {
	rng        *rand.Rand
	files      map[string]*faultyFile
	full       bool
	operations int // writes and syncs so far
	failAt     int // that one fails; 0: none
	tornBytes  int // bytes that a failing write leaves
	broken     bool
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

// next tells whether the operation that begins fails.
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

// powerLoss keeps what was synced, and of the rest each byte by chance.
func (fs *faultyFS) powerLoss() {
	for _, f := range fs.files {
		f.writeBack(2)
		copy(f.cache, f.durable)
	}
}

// settle puts one in so many of the dirty bytes on the medium and calls all of them clean.
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

// snapshot copies the files as they are.
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
