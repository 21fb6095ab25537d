package sim

import (
	"errors"
	"fmt"

	"violetthread/wal"
)

// Disk is a simulated directory of write-ahead log files. A power loss may discard unsynced
// data, wholly or in part. It implements wal.FS.
type Disk struct {
	FailAll     bool  // writes and syncs fail
	SyncDelayUS int64 // additional duration of a control node's syncs

	world *World
	files map[string]*diskFile
}

var _ wal.FS = (*Disk)(nil)

type diskFile struct {
	disk    *Disk
	name    string
	durable []byte      // contents that survive a power loss
	cache   []byte      // contents as read back
	dirty   []dirtySpan // ranges written since the last sync
}

// dirtySpan is a range of bytes; end is exclusive.
type dirtySpan struct{ begin, end int64 }

// diskWrite is a write as reported to an observer.
type diskWrite struct {
	offset int64
	data   []byte
}

const sectorBytes = 512

var errSimulatedDisk = errors.New("simulated disk error")

// NewDisk makes an empty disk.
func NewDisk(world *World) *Disk { return &Disk{world: world, files: map[string]*diskFile{}} }

// Size returns the size of a file in bytes, 0 if it is missing.
func (d *Disk) Size(name string) (int64, error) {
	if file := d.files[name]; file != nil {
		return int64(len(file.durable)), nil
	}
	return 0, nil
}

// Open opens a file, and creates it filled with size zeros if it is missing.
func (d *Disk) Open(name string, size int64) (wal.File, error) {
	file := d.files[name]
	if file == nil {
		file = &diskFile{disk: d, name: name, durable: make([]byte, size), cache: make([]byte, size)}
		d.files[name] = file
	}
	return file, nil
}

// PowerLoss keeps the synced data, and each sector of the unsynced data with a probability of
// one half.
func (d *Disk) PowerLoss() {
	for _, file := range d.sorted() {
		for _, span := range file.dirty {
			file.keepSectors(span)
		}
		file.dirty = nil
		copy(file.cache, file.durable)
	}
}

func (f *diskFile) keepSectors(span dirtySpan) {
	for offset := span.begin; offset < span.end; {
		end := min(span.end, (offset/sectorBytes+1)*sectorBytes)
		if f.disk.world.Rng.Intn(2) == 0 {
			copy(f.durable[offset:end], f.cache[offset:end])
		}
		offset = end
	}
}

// Wipe empties the disk.
func (d *Disk) Wipe() { d.files = map[string]*diskFile{} }

// sorted returns the files in the order of their segments, since map order would change the
// random draws.
func (d *Disk) sorted() []*diskFile {
	var out []*diskFile
	for i := 0; ; i++ {
		file := d.files[fmt.Sprintf("ring-%03d", i)]
		if file == nil {
			return out
		}
		out = append(out, file)
	}
}

// ReadAt reads data, synced or not.
func (f *diskFile) ReadAt(data []byte, offset int64) (int, error) {
	return copy(data, f.cache[offset:]), nil
}

// WriteAt writes data that a power loss may discard until the next Sync.
func (f *diskFile) WriteAt(data []byte, offset int64) (int, error) {
	if f.disk.FailAll {
		return 0, errSimulatedDisk
	}
	f.disk.world.observe("write", f.name, "", diskWrite{offset, data})
	copy(f.cache[offset:], data)
	f.dirty = append(f.dirty, dirtySpan{offset, offset + int64(len(data))})
	return len(data), nil
}

// Sync makes all written data durable.
func (f *diskFile) Sync() error {
	if f.disk.FailAll {
		return errSimulatedDisk
	}
	f.disk.world.observe("sync", f.name, "", len(f.dirty))
	for _, span := range f.dirty {
		copy(f.durable[span.begin:span.end], f.cache[span.begin:span.end])
	}
	f.dirty = nil
	return nil
}

// Close does nothing: a file exists as long as its disk.
func (f *diskFile) Close() error { return nil }
