// Command violetthread-agent runs the agent of a gateway in a violetthread fleet.
package main

import (
	"os"

	"violetthread/internal/app/agent"
	"violetthread/internal/daemon"
)

const program = "violetthread-agent"

func main() {
	s := agent.Defaults()
	if err := daemon.LoadSettings(program, "The agent of a gateway: maintains its session with the control nodes.", &s, os.Args[1:]); err != nil {
		daemon.Exit(program, err)
	}
	if err := agent.Run(s); err != nil {
		daemon.Exit(program, err)
	}
}
