// Package osdisk implements wal.FS on a directory of the operating system's file system.
package osdisk

import (
	"io"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"violetthread/wal"
)

// zeroFillBytes is the size of the writes that fill a new file with zeros.
const zeroFillBytes = 1 << 20

// Directory stores log files in the directory at Path, which is created when needed. Its
// methods may be called from any goroutine.
type Directory struct{ Path string }

var _ wal.FS = Directory{}

// Size returns the length of a file in bytes, 0 if the file does not exist.
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

// Open opens a file, creating it if it is missing. A file shorter than size is filled up
// with zeros and synced. The directory is synced even if the file exists already: the
// process that created the file may have exited before it synced the directory.
func (d Directory) Open(name string, size int64) (wal.File, error) {
	if err := createDirectory(d.Path); err != nil {
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

// extend fills a file with zeros up to size bytes and syncs it, if it is shorter.
func extend(file *os.File, size int64) error {
	info, err := file.Stat()
	if err != nil || info.Size() >= size {
		return err
	}
	zeros := make([]byte, zeroFillBytes)
	for offset := info.Size(); offset < size; offset += zeroFillBytes {
		if _, err := file.WriteAt(zeros[:min(zeroFillBytes, size-offset)], offset); err != nil {
			return err
		}
	}
	return file.Sync()
}

// Lock takes an exclusive lock on the directory, until the result is closed or the process
// exits: two processes that share a log could vote twice in a term. It fails with
// trace.AlreadyExists if another process holds the lock.
func (d Directory) Lock() (io.Closer, error) {
	if err := createDirectory(d.Path); err != nil {
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

// createDirectory creates a directory and its missing parents. A directory entry is durable
// once the directory that contains it is synced, so the parent is synced even if the
// directory exists already: an earlier process may have exited before syncing it.
func createDirectory(path string) error {
	parent := filepath.Dir(path)
	if _, err := os.Stat(parent); os.IsNotExist(err) && parent != path {
		if err := createDirectory(parent); err != nil {
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
