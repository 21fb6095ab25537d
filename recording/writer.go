package recording

import (
	"bufio"
	"encoding/json"
	"errors"
	"os"

	"github.com/gravitational/trace"
)

const writeBufferBytes = 64 << 10

// Writer appends events to a recording up to its size limit, and drops further events. A nil
// Writer records nothing. It is not safe for concurrent use.
type Writer struct {
	file      *os.File
	buffer    *bufio.Writer
	remaining int64  // bytes left to the limit, negative once it is reached
	OnFull    func() // called once when the limit is reached; may be nil
}

// Create starts a recording of at most maxBytes bytes. It replaces an existing file, and sets
// header.Version.
func Create(path string, header Header, maxBytes int64) (*Writer, error) {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, trace.Wrap(err, "can't write the recording; set --recording to a file in an existing folder")
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

// stop ends the recording at its size limit.
func (w *Writer) stop() {
	w.remaining = -1
	_ = w.buffer.Flush()
	if w.OnFull != nil {
		w.OnFull()
		w.OnFull = nil
	}
}

// Record appends an event; timeUS is the time since boot in microseconds. Input and output are
// stored as JSON, and omitted if nil. An event that can't be encoded or written is dropped, so
// that recording never affects the component.
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

// Flush writes buffered data to the file.
func (w *Writer) Flush() {
	if w != nil {
		_ = w.buffer.Flush()
	}
}

// Close flushes buffered data and closes the file.
func (w *Writer) Close() error {
	if w == nil {
		return nil
	}
	return errors.Join(w.buffer.Flush(), w.file.Close())
}
