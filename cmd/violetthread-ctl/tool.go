package main

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"violetthread/internal/controlclient"
	"violetthread/internal/daemon"
)

const (
	program        = "violetthread-ctl"
	requestTimeout = 8 * time.Second // for one request to one node
)

// command is a subcommand and the function that runs it.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context) error
}

// tool is one invocation of the program.
type tool struct {
	addresses string // of control nodes, comma-separated
	commands  []command
	out       io.Writer // results
	stderr    io.Writer // additional information about a result
	exitCode  int       // if there is no error
}

func newTool(out, stderr io.Writer) *tool { return &tool{out: out, stderr: stderr} }

// run parses args and runs the selected command.
func (t *tool) run(ctx context.Context, args []string) error {
	p := flaggy.NewParser(program)
	p.Description, p.Version, p.ShowCompletion = "The operators' tool of violetthread.", daemon.Version, false
	p.String(&t.addresses, "a", "at", "IP:port of the HTTP side of any control node, or several separated by commas")
	p.AttachSubcommand(t.planCommand(), 1)
	for _, c := range t.voterCommands() {
		p.AttachSubcommand(c, 1)
	}
	p.AttachSubcommand(t.fleetCommand(), 1)
	p.AttachSubcommand(t.digestCommand(), 1)
	p.AttachSubcommand(t.waitCommand(), 1)
	for _, c := range t.viewCommands() {
		p.AttachSubcommand(c, 1)
	}
	for _, c := range t.recordingCommands() {
		p.AttachSubcommand(c, 1)
	}
	if err := p.ParseArgs(args); err != nil {
		return err
	}
	for _, c := range t.commands {
		if c.sub.Used {
			return c.run(ctx)
		}
	}
	p.ShowHelpAndExit("specify one of the commands below")
	return nil
}

// add declares a subcommand.
func (t *tool) add(name, description string, run func(ctx context.Context) error) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	if run != nil {
		t.commands = append(t.commands, command{sub, run})
	}
	return sub
}

// addDeprecated declares a subcommand under the name that it had in earlier versions. It logs a
// deprecation notice and runs the same function.
func (t *tool) addDeprecated(deprecated, current string, run func(ctx context.Context) error) *flaggy.Subcommand {
	return t.add(deprecated, "deprecated, use "+current, func(ctx context.Context) error {
		daemon.NewLogger(program, "-").Info("deprecated_command", "command", deprecated, "use", current)
		return run(ctx)
	})
}

// control returns a client for the control nodes given by --at.
func (t *tool) control() *controlclient.Client {
	return controlclient.New(splitAddresses(t.addresses), requestTimeout)
}

func splitAddresses(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
