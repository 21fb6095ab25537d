// Command runner runs one runner of a violetthread fleet.
package main

import (
	"os"

	"violetthread/internal/app/agent"
	"violetthread/internal/daemon"
)

func main() {
	s := agent.Defaults()
	if err := daemon.LoadSettings("runner", "The agent beside a remisier: keeps its link to the core.", &s, os.Args[1:]); err != nil {
		daemon.Exit("runner", err)
	}
	if err := agent.Run(s); err != nil {
		daemon.Exit("runner", err)
	}
}
