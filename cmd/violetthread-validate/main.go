// Command violetthread-validate checks a plan against the fleet as it is.
//
// Exit code 0: no findings; 1: findings; 2: it could not check.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"violetthread/internal/daemon"
	"violetthread/plancheck"
)

const program = "violetthread-validate"

// options are what the command line says.
type options struct {
	at       string // control nodes, with commas
	platform string // the platform's list of engines
	file     string // of the plan; empty for the plan in force
	without  string // voter to leave out
	json     bool
	offline  bool
}

func parse(args []string) (options, error) {
	var o options
	p := flaggy.NewParser(program)
	p.Description = "Checks a plan against the fleet as it is. Exit code 0: no findings, 1: findings, 2: could not check."
	p.Version, p.ShowCompletion = daemon.Version, false
	p.String(&o.at, "a", "at", "IP:port of control nodes' HTTP sides, with commas")
	p.String(&o.platform, "p", "platform", "IP:port of the platform's list of engines")
	p.String(&o.without, "w", "without", "check as if this voter were taken away")
	p.Bool(&o.json, "j", "json", "print findings as JSON")
	p.Bool(&o.offline, "o", "offline", "check the structure only, without a fleet")
	p.AddPositionalValue(&o.file, "FILE", 1, false, "the plan as JSON; without it the plan in force is checked")
	return o, p.ParseArgs(args)
}

func main() {
	o, err := parse(os.Args[1:])
	if err != nil {
		daemon.Exit(program, err)
	}
	findings, err := newChecker(strings.Split(o.at, ","), o.platform).check(context.Background(), o)
	if err != nil {
		daemon.Exit(program, err)
	}
	write(os.Stdout, findings, o.json)
	if len(findings) > 0 {
		os.Exit(1)
	}
}

func write(out io.Writer, findings []plancheck.Finding, asJSON bool) {
	if asJSON {
		text, _ := json.MarshalIndent(findings, "", "  ")
		fmt.Fprintln(out, string(text))
		return
	}
	for _, f := range findings {
		fmt.Fprintln(out, f)
	}
	if len(findings) == 0 {
		fmt.Fprintln(out, "no findings")
	}
}
