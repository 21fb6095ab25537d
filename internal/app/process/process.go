// Package process has what the programs of package app do alike when they start.
//
// Its functions are called once each, from the goroutine that makes the daemon.
package process

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/gravitational/trace"

	"violetthread/internal/daemon"
	"violetthread/recording"
)

// NewIncarnation draws a number that tells this run of a program from others: 40 random
// bits, never 0. Those above them are left for what a program numbers itself.
func NewIncarnation() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, trace.Wrap(err)
	}
	return binary.LittleEndian.Uint64(b[:])>>24 | 1, nil
}

// StartRecording starts the recording that the settings ask for, which ends with the daemon.
// It returns nil if they ask for none: a nil writer records nothing.
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
