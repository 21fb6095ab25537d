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
	// Sync returns once everything that was written is on the medium.
	Sync() error
	Close() error
}

// FS is how a log reaches the folder of its files: osdisk.Directory, or a simulated disk.
type FS interface {
	// Size returns the bytes of the file of that name, 0 if it is missing.
	Size(name string) (int64, error)
	// Open returns the file of that name with at least size bytes, made and synced
	// if it is missing, and extended with zeros if it is shorter.
	Open(name string, size int64) (File, error)
}

func fileName(index int) string { return fmt.Sprintf("ring-%03d", index) }

// checkLayout refuses a log in use whose files are not those of the config: a file that
// was cut would pass for one whose end was never written, and with other sizes records
// lie elsewhere. Files that were being made when the process ended are in order.
func checkLayout(fs FS, config Config) error {
	sizes, wrong, err := fileSizes(fs, config)
	if err != nil || wrong < 0 {
		return err
	}
	for index, size := range sizes {
		used, err := isUsed(fs, index, size)
		if err != nil {
			return err
		}
		if used {
			return &LayoutError{wrong, fmt.Sprintf("has %d bytes, not %d, and file %d is in use", sizes[wrong], config.fileSize(wrong), index)}
		}
	}
	return nil
}

// fileSizes returns the bytes of all files and of the one that would follow the last, and
// the index of the first that has another size than the config says, -1 for none.
func fileSizes(fs FS, config Config) (sizes []int64, wrong int, err error) {
	sizes = make([]int64, config.SegmentCount+1)
	wrong = -1
	for index := range sizes {
		size, err := fs.Size(fileName(index))
		if err != nil {
			return nil, -1, &DiskError{"open", err}
		}
		sizes[index] = size
		if size != config.fileSize(index) && wrong < 0 {
			wrong = index
		}
	}
	return sizes, wrong, nil
}

// fileSize is the bytes of the file of an index: 0 behind the last.
func (c Config) fileSize(index int) int64 {
	if index >= c.SegmentCount {
		return 0
	}
	return c.SegmentBytes
}

// isUsed reports whether a file of so many bytes has anything in place of its header.
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
