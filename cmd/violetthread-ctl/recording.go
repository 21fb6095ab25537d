package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/integrii/flaggy"

	"violetthread/recording"
	"violetthread/recording/replay"
)

const (
	readBufferBytes = 1 << 20
	followInterval  = 200 * time.Millisecond
	recordingFile   = "a file that a gateway or index node wrote with --recording"
)

// recordingCommands declares the commands that replay and print recordings.
func (t *tool) recordingCommands() []*flaggy.Subcommand {
	var file string
	var printer recordingPrinter
	replayed := t.add("replay", "replay a recording with the current code; fails at the first decision that differs", func(context.Context) error { return t.replay(file) })
	run := func(ctx context.Context) error {
		printer.out = t.out
		return printer.print(ctx, file)
	}
	printed := t.add("recording", "print a recording's decisions in readable form", run)
	deprecated := t.addDeprecated("tape", "recording", run)
	for _, c := range []*flaggy.Subcommand{replayed, printed, deprecated} {
		c.AddPositionalValue(&file, "FILE", 1, true, recordingFile)
	}
	for _, c := range []*flaggy.Subcommand{printed, deprecated} {
		c.Bool(&printer.follow, "f", "follow", "keep printing events as they are appended")
		c.Bool(&printer.all, "A", "all", "also print events without a decision")
	}
	return []*flaggy.Subcommand{replayed, printed, deprecated}
}

func (t *tool) replay(path string) error {
	file, err := openRecording(path)
	if err != nil {
		return err
	}
	defer file.Close()
	events, err := replay.Replay(file)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "%d events replayed, all decisions identical\n", events)
	return nil
}

func openRecording(path string) (*os.File, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, trace.BadParameter("%v; give %s", err, recordingFile)
	}
	return file, nil
}

// recordingPrinter prints events in readable form, with times relative to the first one.
type recordingPrinter struct {
	out     io.Writer
	follow  bool // keep printing events as they are appended
	all     bool // also print events without a decision
	line    int
	firstUS int64
}

func (p *recordingPrinter) print(ctx context.Context, path string) error {
	file, err := openRecording(path)
	if err != nil {
		return err
	}
	defer file.Close()
	reader := bufio.NewReaderSize(file, readBufferBytes)
	for {
		line, err := reader.ReadBytes('\n')
		switch {
		case err == nil:
			err = p.printLine(line)
		case errors.Is(err, io.EOF) && !p.follow:
			return nil
		case errors.Is(err, io.EOF):
			err = waitForMore(ctx, file, reader, len(line))
		}
		if err != nil {
			return trace.Wrap(err)
		}
	}
}

// waitForMore seeks back to the beginning of an incomplete line and waits for more data.
func waitForMore(ctx context.Context, file io.ReadSeeker, reader *bufio.Reader, incomplete int) error {
	if _, err := file.Seek(-int64(incomplete), io.SeekCurrent); err != nil {
		return err
	}
	reader.Reset(file)
	if !sleep(ctx, followInterval) {
		return ctx.Err()
	}
	return nil
}

// printLine prints the header unchanged, and each event that has a decision; with --all, every
// event.
func (p *recordingPrinter) printLine(line []byte) error {
	if p.line++; p.line == 1 {
		_, _ = p.out.Write(line)
		return nil
	}
	var event recording.Event
	if err := json.Unmarshal(line, &event); err != nil {
		return trace.BadParameter("line %d is malformed: %v; the recording was changed or its disk is failing", p.line, err)
	}
	if p.firstUS == 0 {
		p.firstUS = event.TimeUS
	}
	output := string(event.Output)
	if output == "" || output == "{}" || output == "null" {
		if !p.all {
			return nil
		}
	}
	seconds := float64(event.TimeUS-p.firstUS) / 1e6
	fmt.Fprintf(p.out, "%10.3fs %-9s %.200s\n%22s%.400s\n", seconds, event.Type, event.Input, "-> ", output)
	return nil
}
