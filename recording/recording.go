// Package tape records what went into a deciding part and what came out, one
// JSON object a line, in bounded files that a person can read and the same code
// can be fed again (design §11).
package recording

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"

	"github.com/gravitational/trace"
)

// Version is the format and the rules it replays under. A tape of another
// version is refused, since other rules may decide otherwise.
const Version = 2

// Head is a tape's first line.
type Header struct {
	Version     int    `json:"tape"`
	Component   string `json:"part"` // desk or keeper
	Name        string `json:"name"`
	Zone        string `json:"site"`
	Incarnation uint64 `json:"inc"`
}

// Line is one event and what was decided on it. At is the recorder's own time.
type Event struct {
	TimeUS int64           `json:"at"`
	Type   string          `json:"kind"`
	Input  json.RawMessage `json:"in,omitempty"`
	Output json.RawMessage `json:"out,omitempty"`
}

// Writer appends to a tape until its bound; what comes after is not recorded,
// because a tape without its beginning can't be replayed.
type Writer struct {
	f      *os.File
	b      *bufio.Writer
	left   int64
	OnFull func() // called once when the bound is reached
}

// Create starts a tape of at most most bytes; a file that is there is replaced.
func Create(path string, h Header, most int64) (*Writer, error) {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, trace.Wrap(err, "can't write the tape; give --tape a file in a folder that exists")
	}
	w := &Writer{f: f, b: bufio.NewWriterSize(f, 64<<10), left: most}
	h.Version = Version
	return w, w.put(h)
}

func (w *Writer) put(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if w.left -= int64(len(b)) + 1; w.left < 0 {
		w.left = -1
		_ = w.b.Flush()
		if w.OnFull != nil {
			w.OnFull()
			w.OnFull = nil
		}
		return nil
	}
	_, err = w.b.Write(append(b, '\n'))
	return err
}

// Put records one event. A nil writer records nothing.
func (w *Writer) Record(at int64, kind string, in, out any) {
	if w == nil || w.left < 0 {
		return
	}
	l := Event{TimeUS: at, Type: kind}
	var err1, err2 error
	if in != nil {
		l.Input, err1 = json.Marshal(in)
	}
	if out != nil {
		l.Output, err2 = json.Marshal(out)
	}
	if errors.Join(err1, err2) == nil {
		_ = w.put(l)
	}
}

// Close writes out what is buffered.
func (w *Writer) Close() error {
	if w == nil {
		return nil
	}
	return errors.Join(w.b.Flush(), w.f.Close())
}

// Flush writes out what is buffered.
func (w *Writer) Flush() {
	if w != nil {
		_ = w.b.Flush()
	}
}

// Read calls f for every line after the head, which it returns. A last line that
// was cut off is left out.
func Read(r io.Reader, head func(Header) error, f func(n int, l Event) error) error {
	b := bufio.NewReaderSize(r, 1<<20)
	for n := 1; ; n++ {
		x, err := b.ReadBytes('\n')
		if err == io.EOF {
			if n == 1 {
				return trace.BadParameter("the tape is empty; record one with --tape")
			}
			return nil
		}
		if err != nil {
			return err
		}
		d := json.NewDecoder(bytes.NewReader(x))
		if n == 1 {
			var h Header
			if err := d.Decode(&h); err != nil || h.Version == 0 {
				return trace.BadParameter("this is no tape; give a file that a daemon wrote with --tape")
			}
			if h.Version != Version {
				return trace.BadParameter("the tape has version %d and this program replays %d; use the program that wrote it", h.Version, Version)
			}
			if err := head(h); err != nil {
				return err
			}
			continue
		}
		var l Event
		if err := d.Decode(&l); err != nil {
			return trace.BadParameter("line %d is broken: %v; the tape was changed or its disk is failing", n, err)
		}
		if err := f(n, l); err != nil {
			return err
		}
	}
}
