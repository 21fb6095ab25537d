package recording

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const readBufferBytes = 1 << 20

// Errors of Read, for errors.Is.
var (
	// ErrEmpty is returned if there is no complete first line.
	ErrEmpty = errors.New("the recording is empty; record one with --recording")
	// ErrNotRecording is returned if the first line is not a valid Header.
	ErrNotRecording = errors.New("the file is not a recording; specify one that a daemon wrote with --recording")
)

// VersionError is returned for a recording of another version.
type VersionError struct{ Recorded int }

// Error returns a message that names the remedy.
func (e *VersionError) Error() string {
	return fmt.Sprintf("the recording has version %d, but this program replays version %d; use the program that wrote it", e.Recorded, Version)
}

// LineError is returned for a line that is not a valid Event.
type LineError struct {
	Line int // from 1
	Err  error
}

// Error returns a message that names the likely causes.
func (e *LineError) Error() string {
	return fmt.Sprintf("line %d is invalid: %v; the recording was modified or its disk is failing", e.Line, e.Err)
}

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// Read calls onHeader for the first line and onEvent for every further line with its number,
// counted from 1. It stops at the first error that either returns. An incomplete last line is
// ignored. Apart from those errors and the reader's own, Read returns ErrEmpty,
// ErrNotRecording, a *VersionError or a *LineError.
func Read(reader io.Reader, onHeader func(Header) error, onEvent func(line int, event Event) error) error {
	buffered := bufio.NewReaderSize(reader, readBufferBytes)
	for number := 1; ; number++ {
		line, err := buffered.ReadBytes('\n')
		switch {
		case err == io.EOF && number == 1:
			return ErrEmpty
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
		if number == 1 {
			err = readHeader(line, onHeader)
		} else {
			err = readEvent(number, line, onEvent)
		}
		if err != nil {
			return err
		}
	}
}

func readHeader(line []byte, onHeader func(Header) error) error {
	var header Header
	if err := decodeLine(line, &header); err != nil || header.Version == 0 {
		return ErrNotRecording
	}
	if header.Version != Version {
		return &VersionError{header.Version}
	}
	return onHeader(header)
}

func readEvent(number int, line []byte, onEvent func(line int, event Event) error) error {
	var event Event
	if err := decodeLine(line, &event); err != nil {
		return &LineError{number, err}
	}
	return onEvent(number, event)
}

func decodeLine(line []byte, value any) error {
	return json.NewDecoder(bytes.NewReader(line)).Decode(value)
}
