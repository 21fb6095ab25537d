package e2e

import (
	"sync"
	"syscall"

	"violetthread/wal"
)

// faultyDisk is a disk that stalls, fills up or fails when told to. A full one takes part of
// what is written to it.
type faultyDisk struct {
	wal.FS
	mu    sync.Mutex
	gate  *sync.Cond
	fault string // "" is well; stalled, full, failing
}

type faultyFile struct {
	wal.File
	disk *faultyDisk
}

func newFaultyDisk(fs wal.FS) *faultyDisk {
	d := &faultyDisk{FS: fs}
	d.gate = sync.NewCond(&d.mu)
	return d
}

func (d *faultyDisk) setFault(how string) {
	d.mu.Lock()
	d.fault = how
	d.mu.Unlock()
	d.gate.Broadcast()
}

// pass waits while the disk is stalled.
func (d *faultyDisk) pass(write bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.fault == "stalled" {
		d.gate.Wait()
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
	has, err := d.FS.Size(name)
	if err != nil {
		return nil, err
	}
	if err := d.pass(has < size); err != nil && has < size {
		return nil, err
	}
	f, err := d.FS.Open(name, size)
	return faultyFile{f, d}, err
}

func (f faultyFile) WriteAt(b []byte, o int64) (int, error) {
	if err := f.disk.pass(true); err != nil {
		n, _ := f.File.WriteAt(b[:len(b)/2], o)
		return n, err
	}
	return f.File.WriteAt(b, o)
}

func (f faultyFile) Sync() error {
	if err := f.disk.pass(false); err != nil {
		return err
	}
	return f.File.Sync()
}
