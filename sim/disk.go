package sim

import (
	"errors"
	"fmt"

	"violetthread/wal"
)

// Disk is a simulated folder. What no sync covered may be lost with the power,
// whole or in part.
type Disk struct {
	world *World
	files map[string]*diskFile
	// Fail makes writes and syncs fail, Stall makes syncs take long.
	FailAll, Full bool
	SyncDelayUS   int64
}

type diskFile struct {
	disk    *Disk
	name    string
	durable []byte
	cache   []byte
	dirty   [][2]int64
}

// diskWrite is what an observer is told of a write.
type diskWrite struct {
	offset int64
	data   []byte
}

const sectorBytes = 512

var errSimulatedDisk = errors.New("simulated disk problem")

// NewDisk makes an empty disk.
func NewDisk(world *World) *Disk { return &Disk{world: world, files: map[string]*diskFile{}} }

// Size implements wal.FS.
func (d *Disk) Size(name string) (int64, error) {
	if f := d.files[name]; f != nil {
		return int64(len(f.durable)), nil
	}
	return 0, nil
}

// Open implements wal.FS.
func (d *Disk) Open(name string, size int64) (wal.File, error) {
	f := d.files[name]
	if f == nil {
		f = &diskFile{disk: d, name: name, durable: make([]byte, size), cache: make([]byte, size)}
		d.files[name] = f
	}
	return f, nil
}

// PowerLoss keeps what was synced, and of the rest each sector by chance.
func (d *Disk) PowerLoss() {
	for _, f := range d.sorted() {
		for _, r := range f.dirty {
			for o := r[0]; o < r[1]; {
				e := min(r[1], (o/sectorBytes+1)*sectorBytes)
				if d.world.Rng.Intn(2) == 0 {
					copy(f.durable[o:e], f.cache[o:e])
				}
				o = e
			}
		}
		f.dirty = nil
		copy(f.cache, f.durable)
	}
}

// Wipe loses the disk.
func (d *Disk) Wipe() { d.files = map[string]*diskFile{} }

func (d *Disk) sorted() []*diskFile {
	var out []*diskFile
	for i := 0; ; i++ {
		f := d.files[fmt.Sprintf("ring-%03d", i)]
		if f == nil {
			return out
		}
		out = append(out, f)
	}
}

// ReadAt reads what was written, synced or not.
func (f *diskFile) ReadAt(data []byte, o int64) (int, error) { return copy(data, f.cache[o:]), nil }

// WriteAt writes; a loss of power may undo it until Sync.
func (f *diskFile) WriteAt(data []byte, o int64) (int, error) {
	if f.disk.FailAll {
		return 0, errSimulatedDisk
	}
	f.disk.world.observe("write", f.name, "", diskWrite{o, data})
	copy(f.cache[o:], data)
	f.dirty = append(f.dirty, [2]int64{o, o + int64(len(data))})
	return len(data), nil
}

// Sync makes all that was written last.
func (f *diskFile) Sync() error {
	if f.disk.FailAll {
		return errSimulatedDisk
	}
	f.disk.world.observe("sync", f.name, "", len(f.dirty))
	for _, r := range f.dirty {
		copy(f.durable[r[0]:r[1]], f.cache[r[0]:r[1]])
	}
	f.dirty = nil
	return nil
}

// Close does nothing: a file ends with its disk.
func (f *diskFile) Close() error { return nil }
