// Command remisier runs one remisier of a violetthread fleet.
package main

import (
	"os"

	"violetthread/internal/app/gateway"
	"violetthread/internal/daemon"
)

func main() {
	s := gateway.Defaults()
	if err := daemon.LoadSettings("remisier", "The proxy of violetthread: takes callers' tickets and runs them on engines.", &s, os.Args[1:]); err != nil {
		daemon.Exit("remisier", err)
	}
	if err := gateway.Run(s); err != nil {
		daemon.Exit("remisier", err)
	}
}
