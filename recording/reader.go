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

// What is wrong with a recording, for errors.Is.
var (
	// ErrEmpty means that there is no complete first line.
	ErrEmpty = errors.New("the recording is empty; record one with --recording")
	// ErrNoRecording means that the first line is no Header.
	ErrNoRecording = errors.New("this is no recording; give a file that a daemon wrote with --recording")
)

// VersionError is a recording of another version.
type VersionError struct{ Recorded int }

// Error names the remedy.
func (e *VersionError) Error() string {
	return fmt.Sprintf("the recording has version %d and this program replays %d; use the program that wrote it", e.Recorded, Version)
}

// LineError is a line that is no Event.
type LineError struct {
	Line int // from 1
	Err  error
}

// Error names the remedy.
func (e *LineError) Error() string {
	return fmt.Sprintf("line %d is broken: %v; the recording was changed or its disk is failing", e.Line, e.Err)
}

// Unwrap gives the cause.
func (e *LineError) Unwrap() error { return e.Err }

// Read calls onHeader for the first line and onEvent for every one after it, with the
// line's number from 1, and ends with the first error that either returns. A last line
// that was cut off is left out. Beside those errors and the reader's own it returns
// ErrEmpty, ErrNoRecording, a *VersionError or a *LineError.
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
		return ErrNoRecording
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
