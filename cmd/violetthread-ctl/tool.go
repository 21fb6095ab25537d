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
	requestTimeout = 8 * time.Second // of one request to one node
)

// command is a subcommand and what it does.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context) error
}

// tool is one call of the program.
type tool struct {
	addresses string // control nodes, with commas
	commands  []command
	out       io.Writer // results
	notes     io.Writer // what is said beside a result
	exitCode  int       // when there was no error
}

func newTool(out, notes io.Writer) *tool { return &tool{out: out, notes: notes} }

// run parses args and runs the command that they name.
func (t *tool) run(ctx context.Context, args []string) error {
	p := flaggy.NewParser(program)
	p.Description, p.Version, p.ShowCompletion = "The operators' tool of violetthread.", daemon.Version, false
	p.String(&t.addresses, "a", "at", "IP:port of any control node's HTTP side; with commas to try several")
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
	p.ShowHelpAndExit("name one of the commands below")
	return nil
}

// add declares a subcommand.
func (t *tool) add(name, about string, run func(ctx context.Context) error) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = about
	if run != nil {
		t.commands = append(t.commands, command{sub, run})
	}
	return sub
}

// addFormer declares the name that a subcommand had in earlier versions. It does the same,
// after a warning.
func (t *tool) addFormer(former, current string, run func(ctx context.Context) error) *flaggy.Subcommand {
	return t.add(former, "deprecated, use "+current, func(ctx context.Context) error {
		daemon.NewLogger(program, "-").Info("deprecated_command", "command", former, "use", current)
		return run(ctx)
	})
}

// control is a client of the control nodes that --at names.
func (t *tool) control() *controlclient.Client {
	return controlclient.New(splitAddresses(t.addresses), requestTimeout)
}

func splitAddresses(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
