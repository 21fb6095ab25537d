// Command custodian runs one custodian of a violetthread fleet.
package main

import (
	"os"

	"violetthread/internal/app/indexnode"
	"violetthread/internal/daemon"
)

func main() {
	s := indexnode.Defaults()
	if err := daemon.LoadSettings("custodian", "An index node of violetthread: owns shards of the hint index and engines.", &s, os.Args[1:]); err != nil {
		daemon.Exit("custodian", err)
	}
	if err := indexnode.Run(s); err != nil {
		daemon.Exit("custodian", err)
	}
}
