// Command violetthread-index runs an index node of a violetthread fleet.
package main

import (
	"os"

	"violetthread/internal/app/indexnode"
	"violetthread/internal/daemon"
)

const program = "violetthread-index"

func main() {
	s := indexnode.Defaults()
	if err := daemon.LoadSettings(program, "An index node of violetthread: owns shards of the prefix-cache index and engines.", &s, os.Args[1:]); err != nil {
		daemon.Exit(program, err)
	}
	if err := indexnode.Run(s); err != nil {
		daemon.Exit(program, err)
	}
}
