package daemon

import (
	"os"

	"github.com/integrii/flaggy"
)

// Command is a subcommand of a program.
type Command struct {
	Name, About string
	Settings    any          // pointer to a struct with defaults set, see CommandSettings
	Run         func() error // called after the settings are loaded
}

// RunCommands runs the command that the process's arguments name, or prints help and exits. An
// error ends the process with exit code 2 (see Exit).
func RunCommands(program, about string, commands []Command) {
	p := flaggy.NewParser(program)
	p.Description, p.Version, p.ShowCompletion = about, Version, false
	subcommands := make([]*flaggy.Subcommand, len(commands))
	declared := make([]*CommandSettings, len(commands))
	for i, c := range commands {
		subcommands[i] = flaggy.NewSubcommand(c.Name)
		subcommands[i].Description = c.About
		declared[i] = DeclareSettings(program, subcommands[i], c.Settings)
		p.AttachSubcommand(subcommands[i], 1)
	}
	if err := p.ParseArgs(os.Args[1:]); err != nil {
		Exit(program, err)
	}
	for i, c := range commands {
		if !subcommands[i].Used {
			continue
		}
		err := declared[i].Load()
		if err == nil {
			err = c.Run()
		}
		if err != nil {
			Exit(program+" "+c.Name, err)
		}
		return
	}
	p.ShowHelpAndExit("name one of the commands below")
}
