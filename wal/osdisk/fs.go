// Package osdisk is the folder of an operating system as a log's port.
package osdisk

import (
	"io"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"violetthread/wal"
)

// Folder keeps ring files under Dir.
type Directory struct{ Path string }

// Size returns the bytes of a file, 0 if it is missing.
func (f Directory) Size(name string) (int64, error) {
	info, err := os.Stat(filepath.Join(f.Path, name))
	if os.IsNotExist(err) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Open makes, fills and syncs a missing file, and its folder's entry with it. The
// folder is synced for a file that is there already as well: who made it may have
// been cut off before it got that far.
func (f Directory) Open(name string, size int64) (wal.File, error) {
	if err := makeDir(f.Path); err != nil {
		return nil, err
	}
	h, err := os.OpenFile(filepath.Join(f.Path, name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	st, err := h.Stat()
	if err == nil && st.Size() < size {
		z := make([]byte, 1<<20)
		for o := st.Size(); o < size && err == nil; o += int64(len(z)) {
			_, err = h.WriteAt(z[:min(int64(len(z)), size-o)], o)
		}
		if err == nil {
			err = h.Sync()
		}
	}
	if err == nil {
		err = syncDir(f.Path)
	}
	if err != nil {
		_ = h.Close()
		return nil, err
	}
	return h, nil
}

// Lock makes sure that one process alone uses the folder; the lock goes with the
// process. Two lives of one disk at once could vote twice.
func (f Directory) Lock() (io.Closer, error) {
	if err := makeDir(f.Path); err != nil {
		return nil, err
	}
	h, err := os.OpenFile(filepath.Join(f.Path, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(h.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = h.Close()
		return nil, trace.AlreadyExists("another process uses %s; stop it, or give this one its own data_dir", f.Path)
	}
	return h, nil
}

// makeDir makes a folder and those above it. A name lasts once the folder it lies in
// is synced; so the one above is, also when the folder is there already.
func makeDir(d string) error {
	up := filepath.Dir(d)
	if _, err := os.Stat(up); os.IsNotExist(err) && up != d {
		if err := makeDir(up); err != nil {
			return err
		}
	}
	if err := os.Mkdir(d, 0o700); err != nil && !os.IsExist(err) {
		return err
	}
	return syncDir(up)
}

func syncDir(d string) error {
	h, err := os.Open(d)
	if err != nil {
		return err
	}
	defer h.Close()
	return h.Sync()
}
