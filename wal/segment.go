package wal

import (
	"errors"
	"fmt"
	"io"
)

// File is one preallocated segment file.
type File interface {
	io.ReaderAt
	io.WriterAt
	// Sync returns once all previous writes are on the medium.
	Sync() error
	Close() error
}

// FS gives a log access to the directory of its files. osdisk.Directory implements it, and
// so does the simulated disk.
type FS interface {
	// Size returns the length of a file in bytes, 0 if the file does not exist.
	Size(name string) (int64, error)
	// Open opens a file and ensures that it has at least size bytes: a missing file is
	// created and synced, and a shorter file is extended with zeros.
	Open(name string, size int64) (File, error)
}

func fileName(index int) string { return fmt.Sprintf("ring-%03d", index) }

// checkLayout rejects a log in use whose files don't match the config: a truncated file
// would be taken for one whose end was never written, and with other sizes the records are
// at other offsets. Files that are incomplete because the process exited while creating them
// are accepted, since none of them is in use yet.
func checkLayout(fs FS, config Config) error {
	sizes, mismatch, err := fileSizes(fs, config)
	if err != nil || mismatch < 0 {
		return err
	}
	for index, size := range sizes {
		used, err := isUsed(fs, index, size)
		if err != nil {
			return err
		}
		if used {
			return &LayoutError{mismatch, fmt.Sprintf("has %d bytes instead of %d, and file %d is in use", sizes[mismatch], config.fileSize(mismatch), index)}
		}
	}
	return nil
}

// fileSizes returns the lengths of all files and of the one that would follow the last, and
// the index of the first whose length differs from the config, or -1.
func fileSizes(fs FS, config Config) (sizes []int64, mismatch int, err error) {
	sizes = make([]int64, config.SegmentCount+1)
	mismatch = -1
	for index := range sizes {
		size, err := fs.Size(fileName(index))
		if err != nil {
			return nil, -1, &DiskError{"open", err}
		}
		sizes[index] = size
		if size != config.fileSize(index) && mismatch < 0 {
			mismatch = index
		}
	}
	return sizes, mismatch, nil
}

// fileSize is the expected length of the file with an index; 0 past the last file.
func (c Config) fileSize(index int) int64 {
	if index >= c.SegmentCount {
		return 0
	}
	return c.SegmentBytes
}

// isUsed reports whether the header of a file with the given length is not all zeros.
func isUsed(fs FS, index int, size int64) (bool, error) {
	if size < headerBytes {
		return false, nil
	}
	file, err := fs.Open(fileName(index), size)
	if err != nil {
		return false, &DiskError{"open", err}
	}
	header := make([]byte, headerBytes)
	_, err = file.ReadAt(header, 0)
	if err = errors.Join(err, file.Close()); err != nil {
		return false, &DiskError{"read", err}
	}
	return !isZero(header), nil
}

func openFiles(fs FS, config Config) ([]File, error) {
	var files []File
	for index := 0; index < config.SegmentCount; index++ {
		file, err := fs.Open(fileName(index), config.SegmentBytes)
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
