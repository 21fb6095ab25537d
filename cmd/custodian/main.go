// Command custodian runs one custodian of a violetthread fleet.
package main

import (
	"os"

	"violetthread/internal/app/indexnode"
	"violetthread/internal/base"
)

func main() {
	s := indexnode.Defaults()
	if err := base.Load("custodian", "An index node of violetthread: owns shards of the hint index and engines.", &s, os.Args[1:]); err != nil {
		base.Exit("custodian", err)
	}
	if err := indexnode.Run(s); err != nil {
		base.Exit("custodian", err)
	}
}
