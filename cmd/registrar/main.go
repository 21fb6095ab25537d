// Command registrar runs one registrar of a violetthread fleet.
package main

import (
	"os"

	"violetthread/internal/app/control"
	"violetthread/internal/daemon"
)

func main() {
	s := control.Defaults()
	if err := daemon.LoadSettings("registrar", "A control node of violetthread: keeps plans, claims and leases on a majority of disks.", &s, os.Args[1:]); err != nil {
		daemon.Exit("registrar", err)
	}
	if err := control.Run(s); err != nil {
		daemon.Exit("registrar", err)
	}
}
