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
	if file := d.files[name]; file != nil {
		return int64(len(file.durable)), nil
	}
	return 0, nil
}

// Open implements wal.FS.
func (d *Disk) Open(name string, size int64) (wal.File, error) {
	file := d.files[name]
	if file == nil {
		file = &diskFile{disk: d, name: name, durable: make([]byte, size), cache: make([]byte, size)}
		d.files[name] = file
	}
	return file, nil
}

// PowerLoss keeps what was synced, and of the rest each sector by chance.
func (d *Disk) PowerLoss() {
	for _, file := range d.sorted() {
		for _, span := range file.dirty {
			for offset := span[0]; offset < span[1]; {
				end := min(span[1], (offset/sectorBytes+1)*sectorBytes)
				if d.world.Rng.Intn(2) == 0 {
					copy(file.durable[offset:end], file.cache[offset:end])
				}
				offset = end
			}
		}
		file.dirty = nil
		copy(file.cache, file.durable)
	}
}

// Wipe loses the disk.
func (d *Disk) Wipe() { d.files = map[string]*diskFile{} }

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

// ReadAt reads what was written, synced or not.
func (f *diskFile) ReadAt(data []byte, offset int64) (int, error) {
	return copy(data, f.cache[offset:]), nil
}

// WriteAt writes; a loss of power may undo it until Sync.
func (f *diskFile) WriteAt(data []byte, offset int64) (int, error) {
	if f.disk.FailAll {
		return 0, errSimulatedDisk
	}
	f.disk.world.observe("write", f.name, "", diskWrite{offset, data})
	copy(f.cache[offset:], data)
	f.dirty = append(f.dirty, [2]int64{offset, offset + int64(len(data))})
	return len(data), nil
}

// Sync makes all that was written last.
func (f *diskFile) Sync() error {
	if f.disk.FailAll {
		return errSimulatedDisk
	}
	f.disk.world.observe("sync", f.name, "", len(f.dirty))
	for _, span := range f.dirty {
		copy(f.durable[span[0]:span[1]], f.cache[span[0]:span[1]])
	}
	f.dirty = nil
	return nil
}

// Close does nothing: a file ends with its disk.
func (f *diskFile) Close() error { return nil }
