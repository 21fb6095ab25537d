package wal

import (
	"errors"
	"fmt"
	"io"
)

// File is one preallocated file.
type File interface {
	io.ReaderAt
	io.WriterAt
	Sync() error
	Close() error
}

// FS is the port through which a ring reaches its folder.
type FS interface {
	// Size returns the bytes of the file of that name, 0 if it is missing.
	Size(name string) (int64, error)
	// Open returns the file of that name with at least size bytes, made and synced
	// if it is missing, and extended with zeros if it is shorter.
	Open(name string, size int64) (File, error)
}

func fileName(index int) string { return fmt.Sprintf("ring-%03d", index) }

// checkSizes refuses a ring in use whose files are not those of the plan: a file that
// was cut would be taken for one whose end was never written, and with other sizes
// records lie elsewhere. Files that were being made when the process ended are in order.
func checkSizes(fs FS, plan Config) error {
	sizes := make([]int64, plan.SegmentCount+1)
	odd := -1
	for i := range sizes {
		size, err := fs.Size(fileName(i))
		if err != nil {
			return &DiskError{"open", err}
		}
		sizes[i] = size
		if want := plan.size(i); size != want && odd < 0 {
			odd = i
		}
	}
	if odd < 0 {
		return nil
	}
	for i, size := range sizes {
		used, err := inUse(fs, i, size)
		if err != nil {
			return err
		}
		if used {
			return otherSizes(odd, fmt.Sprintf("has %d bytes, not %d, and file %d is in use", sizes[odd], plan.size(odd), i))
		}
	}
	return nil
}

// size is what the file of an index takes: nothing behind the last.
func (p Config) size(index int) int64 {
	if index >= p.SegmentCount {
		return 0
	}
	return p.SegmentBytes
}

func inUse(fs FS, index int, size int64) (bool, error) {
	if size < headerLen {
		return false, nil
	}
	file, err := fs.Open(fileName(index), size)
	if err != nil {
		return false, &DiskError{"open", err}
	}
	header := make([]byte, headerLen)
	_, err = file.ReadAt(header, 0)
	if err = errors.Join(err, file.Close()); err != nil {
		return false, &DiskError{"read", err}
	}
	return !blank(header), nil
}

func openFiles(fs FS, plan Config) ([]File, error) {
	var files []File
	for i := 0; i < plan.SegmentCount; i++ {
		file, err := fs.Open(fileName(i), plan.SegmentBytes)
		if err != nil {
			_ = closeFiles(files)
			return nil, &DiskError{"open", err}
		}
		files = append(files, file)
	}
	return files, nil
}

func closeFiles(files []File) error {
	var err error
	for _, file := range files {
		err = errors.Join(err, file.Close())
	}
	return err
}
