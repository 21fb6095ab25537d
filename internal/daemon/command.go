package daemon

import (
	"os"

	"github.com/integrii/flaggy"
)

// Command is a subcommand of a program.
type Command struct {
	Name, About string
	Settings    any          // pointer to a struct with defaults set, see Declared
	Run         func() error // called once the settings are loaded
}

// RunCommands runs the command that args name, or prints help and ends the process. An
// error ends the process too, with exit code 2 (see Exit).
func RunCommands(program, about string, commands []Command) {
	p := flaggy.NewParser(program)
	p.Description, p.Version, p.ShowCompletion = about, Version, false
	subcommands := make([]*flaggy.Subcommand, len(commands))
	declared := make([]*Declared, len(commands))
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
