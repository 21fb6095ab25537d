// Command violetthread-ctl is the operators' tool: it reads and changes the plan and the
// voter set, shows the state of the fleet, and replays recordings.
//
// The exit code is 0 on success, 1 if a plan has findings, and 2 on an error; the error
// message contains the remedy.
package main

import (
	"context"
	"os"

	"violetthread/internal/daemon"
)

func main() {
	t := newTool(os.Stdout, os.Stderr)
	if err := t.run(context.Background(), os.Args[1:]); err != nil {
		daemon.Exit(program, err)
	}
	os.Exit(t.exitCode)
}
