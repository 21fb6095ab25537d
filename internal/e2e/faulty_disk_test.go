package e2e

import (
	"sync"
	"syscall"

	"violetthread/wal"
)

// faultyDisk is a file system with injectable faults. While it is stalled, operations block. While
// it is full, writes return ENOSPC; while it is failing, writes and syncs return EIO. A write that
// fails has stored half of its data.
type faultyDisk struct {
	wal.FS
	mu      sync.Mutex
	changed *sync.Cond // signaled when fault changes
	fault   string     // stalled, full, failing, or empty for none
}

type faultyFile struct {
	wal.File
	disk *faultyDisk
}

func newFaultyDisk(fs wal.FS) *faultyDisk {
	d := &faultyDisk{FS: fs}
	d.changed = sync.NewCond(&d.mu)
	return d
}

func (d *faultyDisk) setFault(fault string) {
	d.mu.Lock()
	d.fault = fault
	d.mu.Unlock()
	d.changed.Broadcast()
}

// check blocks while the disk is stalled, and then returns the error of the current fault. write
// tells whether the operation needs free space.
func (d *faultyDisk) check(write bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.fault == "stalled" {
		d.changed.Wait()
	}
	switch {
	case d.fault == "full" && write:
		return syscall.ENOSPC
	case d.fault == "failing":
		return syscall.EIO
	}
	return nil
}

func (d *faultyDisk) Open(name string, size int64) (wal.File, error) {
	current, err := d.FS.Size(name)
	if err != nil {
		return nil, err
	}
	if err := d.check(current < size); err != nil && current < size {
		return nil, err
	}
	file, err := d.FS.Open(name, size)
	return faultyFile{file, d}, err
}

func (f faultyFile) WriteAt(data []byte, offset int64) (int, error) {
	if err := f.disk.check(true); err != nil {
		n, _ := f.File.WriteAt(data[:len(data)/2], offset)
		return n, err
	}
	return f.File.WriteAt(data, offset)
}

func (f faultyFile) Sync() error {
	if err := f.disk.check(false); err != nil {
		return err
	}
	return f.File.Sync()
}
