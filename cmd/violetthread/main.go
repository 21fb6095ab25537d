// Command violetthread runs a node of a violetthread fleet on a platform that provides a settings
// file (docs/platform.md).
package main

import (
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/integrii/flaggy"

	"violetthread/internal/daemon"
	"violetthread/placement"
	"violetthread/platform"
)

const program = "violetthread"

// command is a subcommand that runs with the settings file.
type command struct {
	name, description string
	run               func(platform.Boot) error
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		daemon.Exit(program, err)
	}
}

func run(args []string) error {
	path := platform.BootPath()
	var options platform.ProxyOptions
	commands := []command{
		{"proxy", "accept requests from callers and forward them to engines", func(b platform.Boot) error {
			return platform.Proxy(b, options)
		}},
		{"control", "store the control state, track the engines and serve operators", platform.Control},
		{"check", "validate the settings file, list every problem and exit", func(b platform.Boot) error {
			fmt.Printf("%s is in order: node=%s class=%s\n", path, b.Node, b.Class)
			return nil
		}},
	}
	parser := flaggy.NewParser(program)
	parser.Description, parser.Version, parser.ShowCompletion = "A node of a violetthread fleet on a platform that provides a settings file.", daemon.Version, false
	parser.String(&path, "b", "boot", "path of the settings file written by the platform")
	subcommands := make([]*flaggy.Subcommand, len(commands))
	for i, command := range commands {
		subcommands[i] = flaggy.NewSubcommand(command.name)
		subcommands[i].Description = command.description
		parser.AttachSubcommand(subcommands[i], 1)
	}
	proxy := subcommands[0]
	proxy.String(&options.PolicyOff, "", "policy-off", "policy mechanisms to disable, separated by commas: "+placement.MechanismNames())
	proxy.String(&options.Cost, "", "cost", "cost model parameters to override, as name=value, separated by commas")
	if err := parser.ParseArgs(args); err != nil {
		return trace.BadParameter("flags: %v; see --help", err)
	}
	boot, err := platform.ReadBoot(path)
	if err != nil {
		return err
	}
	for i, command := range commands {
		if subcommands[i].Used {
			return command.run(boot)
		}
	}
	parser.ShowHelp()
	return nil
}
