// Package process has the start-up functions that the programs below internal/app share.
//
// Each function is called once, from the goroutine that creates the daemon.
package process

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/gravitational/trace"

	"violetthread/internal/daemon"
	"violetthread/recording"
)

// NewIncarnation returns a random number that distinguishes this run of a program from others:
// 40 bits, never 0. The bits above them are free for the program's own numbering.
func NewIncarnation() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, trace.Wrap(err)
	}
	return binary.LittleEndian.Uint64(b[:])>>24 | 1, nil
}

// StartRecording starts a recording if the settings name a file for it, and closes it when the
// daemon stops. Otherwise it returns nil; a nil writer records nothing.
func StartRecording(d *daemon.Daemon, settings daemon.RecordingSettings, header recording.Header) (*recording.Writer, error) {
	if settings.Recording == "" {
		return nil, nil
	}
	writer, err := recording.Create(settings.Recording, header, settings.RecordingBytes)
	if err != nil {
		return nil, err
	}
	writer.OnFull = func() {
		d.Log.Info("recording_full", "file", settings.Recording, "bytes", settings.RecordingBytes)
	}
	d.OnStop(func() { _ = writer.Close() })
	return writer, nil
}
