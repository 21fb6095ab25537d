// Command runner runs one runner of a violetthread fleet.
package main

import (
	"os"

	"violetthread/internal/app/agent"
	"violetthread/internal/base"
)

func main() {
	s := agent.Defaults()
	if err := base.Load("runner", "The agent beside a remisier: keeps its link to the core.", &s, os.Args[1:]); err != nil {
		base.Exit("runner", err)
	}
	if err := agent.Run(s); err != nil {
		base.Exit("runner", err)
	}
}
