// Command violetthread-validate checks a plan against the current state of the fleet.
//
// The exit code is 0 if there are no findings, 1 if there are, and 2 if the check failed.
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

// options are the options on the command line.
type options struct {
	at       string // addresses of control nodes, comma-separated
	platform string // address of the platform's list of engines
	file     string // of the plan; empty for the plan in force
	without  string // name of a voter to check as removed
	json     bool
	offline  bool
}

func parse(args []string) (options, error) {
	var o options
	p := flaggy.NewParser(program)
	p.Description = "Checks a plan against the current state of the fleet. Exit code 0: no findings, 1: findings, 2: the check failed."
	p.Version, p.ShowCompletion = daemon.Version, false
	p.String(&o.at, "a", "at", "IP:port of control nodes' HTTP sides, separated by commas")
	p.String(&o.platform, "p", "platform", "IP:port of the platform's list of engines")
	p.String(&o.without, "w", "without", "check as if this voter were removed")
	p.Bool(&o.json, "j", "json", "print findings as JSON")
	p.Bool(&o.offline, "o", "offline", "validate the plan only, without contacting a fleet")
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
