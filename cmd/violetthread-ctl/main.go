// Command violetthread-ctl is the operators' tool: it reads and changes the plan and the
// voter set, shows what the fleet does, and plays recordings again.
//
// Exit code 0: done; 1: findings in a plan; 2: an error, which names the remedy.
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
