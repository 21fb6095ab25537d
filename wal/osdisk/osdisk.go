// Package osdisk keeps the files of a write-ahead log in a directory of the operating
// system. It implements wal.FS.
package osdisk

import (
	"io"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"violetthread/wal"
)

// zerosBytes is how much of a new file is written at a time.
const zerosBytes = 1 << 20

// Directory keeps log files in the directory of that path, which is made on demand.
// Its methods may be called from any goroutine.
type Directory struct{ Path string }

var _ wal.FS = Directory{}

// Size returns the bytes of a file, 0 if it is missing.
func (d Directory) Size(name string) (int64, error) {
	info, err := os.Stat(filepath.Join(d.Path, name))
	if os.IsNotExist(err) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Open makes a missing file, fills it with zeros, and syncs it and its directory entry.
// The directory is synced for a file that is there already as well: the process that made
// it may have ended before it got that far.
func (d Directory) Open(name string, size int64) (wal.File, error) {
	if err := makeDirectory(d.Path); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(filepath.Join(d.Path, name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	err = extend(file, size)
	if err == nil {
		err = syncDirectory(d.Path)
	}
	if err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}

// extend fills a file up to size bytes with zeros, and syncs it if it was shorter.
func extend(file *os.File, size int64) error {
	info, err := file.Stat()
	if err != nil || info.Size() >= size {
		return err
	}
	zeros := make([]byte, zerosBytes)
	for offset := info.Size(); offset < size; offset += zerosBytes {
		if _, err := file.WriteAt(zeros[:min(zerosBytes, size-offset)], offset); err != nil {
			return err
		}
	}
	return file.Sync()
}

// Lock makes sure that one process alone uses the directory, until the result is closed
// or the process ends: two processes with one log could vote twice in a term. It fails
// with trace.AlreadyExists if another process has the lock.
func (d Directory) Lock() (io.Closer, error) {
	if err := makeDirectory(d.Path); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(filepath.Join(d.Path, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, trace.AlreadyExists("another process uses %s; stop it, or give this one a data folder of its own", d.Path)
	}
	return file, nil
}

// makeDirectory makes a directory and those above it. An entry lasts once the directory
// it lies in is synced; so the one above is, also when the directory is there already.
func makeDirectory(path string) error {
	parent := filepath.Dir(path)
	if _, err := os.Stat(parent); os.IsNotExist(err) && parent != path {
		if err := makeDirectory(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(path, 0o700); err != nil && !os.IsExist(err) {
		return err
	}
	return syncDirectory(parent)
}

func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	defer directory.Close()
	return directory.Sync()
}
