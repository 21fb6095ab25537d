package recording

import (
	"bufio"
	"encoding/json"
	"errors"
	"os"

	"github.com/gravitational/trace"
)

const writeBufferBytes = 64 << 10

// Writer appends to a recording until its bound; what comes after is not recorded. A nil
// Writer records nothing. It is not safe for concurrent use.
type Writer struct {
	file      *os.File
	buffer    *bufio.Writer
	remaining int64  // bytes up to the bound, negative once it was reached
	OnFull    func() // called once, when the bound is reached; nil does nothing
}

// Create starts a recording of at most maxBytes bytes; a file that is there is replaced.
// header.Version is set.
func Create(path string, header Header, maxBytes int64) (*Writer, error) {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, trace.Wrap(err, "can't write the recording; give --recording a file in a folder that exists")
	}
	w := &Writer{file: file, buffer: bufio.NewWriterSize(file, writeBufferBytes), remaining: maxBytes}
	header.Version = Version
	return w, w.writeLine(header)
}

func (w *Writer) writeLine(value any) error {
	line, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if w.remaining -= int64(len(line)) + 1; w.remaining < 0 {
		w.stop()
		return nil
	}
	_, err = w.buffer.Write(append(line, '\n'))
	return err
}

// stop ends the recording at its bound.
func (w *Writer) stop() {
	w.remaining = -1
	_ = w.buffer.Flush()
	if w.OnFull != nil {
		w.OnFull()
		w.OnFull = nil
	}
}

// Record appends an event at a time since boot in microseconds. Input and output are
// stored as JSON, nil as nothing. An event that can't be stored is left out: recording
// never disturbs the component.
func (w *Writer) Record(timeUS int64, eventType string, input, output any) {
	if w == nil || w.remaining < 0 {
		return
	}
	event := Event{TimeUS: timeUS, Type: eventType}
	var inputErr, outputErr error
	if input != nil {
		event.Input, inputErr = json.Marshal(input)
	}
	if output != nil {
		event.Output, outputErr = json.Marshal(output)
	}
	if errors.Join(inputErr, outputErr) == nil {
		_ = w.writeLine(event)
	}
}

// Flush writes out what is buffered.
func (w *Writer) Flush() {
	if w != nil {
		_ = w.buffer.Flush()
	}
}

// Close writes out what is buffered and closes the file.
func (w *Writer) Close() error {
	if w == nil {
		return nil
	}
	return errors.Join(w.buffer.Flush(), w.file.Close())
}
