// Command violetthread-control runs a control node of a violetthread fleet.
package main

import (
	"os"

	"violetthread/internal/app/control"
	"violetthread/internal/daemon"
)

const program = "violetthread-control"

func main() {
	s := control.Defaults()
	if err := daemon.LoadSettings(program, "A control node of violetthread: replicates plans, claims and leases to a majority of the voters' disks.", &s, os.Args[1:]); err != nil {
		daemon.Exit(program, err)
	}
	if err := control.Run(s); err != nil {
		daemon.Exit(program, err)
	}
}
