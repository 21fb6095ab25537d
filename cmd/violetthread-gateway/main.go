// Command violetthread-gateway runs a gateway of a violetthread fleet.
package main

import (
	"os"

	"violetthread/internal/app/gateway"
	"violetthread/internal/daemon"
)

const program = "violetthread-gateway"

func main() {
	s := gateway.Defaults()
	if err := daemon.LoadSettings(program, "The gateway of violetthread: accepts callers' requests and forwards them to engines.", &s, os.Args[1:]); err != nil {
		daemon.Exit(program, err)
	}
	if err := gateway.Run(s); err != nil {
		daemon.Exit(program, err)
	}
}
