// Command registrar runs one registrar of a violetthread fleet.
package main

import (
	"os"

	"violetthread/internal/app/control"
	"violetthread/internal/base"
)

func main() {
	s := control.Defaults()
	if err := base.Load("registrar", "A control node of violetthread: keeps plans, claims and leases on a majority of disks.", &s, os.Args[1:]); err != nil {
		base.Exit("registrar", err)
	}
	if err := control.Run(s); err != nil {
		base.Exit("registrar", err)
	}
}
