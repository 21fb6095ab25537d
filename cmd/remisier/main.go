// Command remisier runs one remisier of a violetthread fleet.
package main

import (
	"os"

	"violetthread/internal/app/gateway"
	"violetthread/internal/base"
)

func main() {
	s := gateway.Defaults()
	if err := base.Load("remisier", "The proxy of violetthread: takes callers' tickets and runs them on engines.", &s, os.Args[1:]); err != nil {
		base.Exit("remisier", err)
	}
	if err := gateway.Run(s); err != nil {
		base.Exit("remisier", err)
	}
}
