// Command violetthread runs a node of a violetthread fleet on a platform that gives it all
// it needs to know in a settings file (docs/platform.md).
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

// command is a subcommand and what it does with the settings file.
type command struct {
	name, about string
	run         func(platform.Boot) error
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
		{"proxy", "take callers' requests and pass them through to engines", func(b platform.Boot) error {
			return platform.Proxy(b, options)
		}},
		{"control", "keep the control state, follow the engines, answer operators", platform.Control},
		{"check", "read the settings file, list every mistake and end", func(b platform.Boot) error {
			fmt.Printf("%s is in order: node=%s class=%s\n", path, b.Node, b.Class)
			return nil
		}},
	}
	p := flaggy.NewParser(program)
	p.Description, p.Version, p.ShowCompletion = "A node of a violetthread fleet on a platform with a settings file of its own.", daemon.Version, false
	p.String(&path, "b", "boot", "settings file that the platform wrote")
	subcommands := make([]*flaggy.Subcommand, len(commands))
	for i, c := range commands {
		subcommands[i] = flaggy.NewSubcommand(c.name)
		subcommands[i].Description = c.about
		p.AttachSubcommand(subcommands[i], 1)
	}
	proxy := subcommands[0]
	proxy.String(&options.PolicyOff, "", "policy-off", "mechanisms of the policy to switch off, split by commas: "+placement.MechanismNames())
	proxy.String(&options.Cost, "", "cost", "figures of the cost model to change, as name=value, split by commas")
	if err := p.ParseArgs(args); err != nil {
		return trace.BadParameter("flags: %v; see --help", err)
	}
	boot, err := platform.ReadBoot(path)
	if err != nil {
		return err
	}
	for i, c := range commands {
		if subcommands[i].Used {
			return c.run(boot)
		}
	}
	p.ShowHelp()
	return nil
}
