// Command rehearsal plays everything around a fleet: engines, store, platform,
// app back end and callers.
package main

import (
	"os"

	"github.com/integrii/flaggy"

	"violetthread/internal/daemon"
	"violetthread/internal/standin/backend"
	"violetthread/internal/standin/callers"
	"violetthread/internal/standin/engine"
	"violetthread/internal/standin/platform"
	"violetthread/internal/standin/probe"
)

// part is a subcommand: its settings, and what runs it once they are in order.
type part struct {
	name, about string
	settings    any
	run         func() error
}

func main() {
	en, pl, be, ca := engine.Defaults(), platform.Defaults(), backend.Defaults(), callers.Defaults()
	la, ro, cpu := probe.LatencyDefaults(), probe.RolloutDefaults(), probe.CPU{}
	parts := []part{
		{"latency", "measure what a proxy and a claim add, in pairs against an engine asked directly", &la, func() error { return la.Run() }},
		{"rollout", "measure how long an acknowledged plan takes to be in force everywhere", &ro, func() error { return ro.Run() }},
		{"cpu", "print the processor time that processes have used, in microseconds", &cpu, func() error { return cpu.Run() }},
		{"engine", "a stand-in model engine, or with --store true the store", &en, func() error { return engine.Run(en) }},
		{"platform", "a stand-in platform that lists engines", &pl, func() error { return platform.Run(pl) }},
		{"backend", "a stand-in app back end", &be, func() error { return backend.Run(be) }},
		{"callers", "callers of one deployment; exit code 1 when a must-never was broken", &ca, func() error {
			r, err := callers.Run(ca)
			if err != nil {
				return err
			}
			r.Print(os.Stdout)
			if len(r.Broken) > 0 {
				os.Exit(1)
			}
			return nil
		}},
	}
	p := flaggy.NewParser("rehearsal")
	p.Description, p.Version, p.ShowCompletion = "Stand-ins for everything around a violetthread fleet.", daemon.Version, false
	subs := make([]*flaggy.Subcommand, len(parts))
	for i, x := range parts {
		subs[i] = flaggy.NewSubcommand(x.name)
		subs[i].Description = x.about
		daemon.DeclareFlags(subs[i], x.settings)
		p.AttachSubcommand(subs[i], 1)
	}
	if err := p.ParseArgs(os.Args[1:]); err != nil {
		daemon.Exit("rehearsal", err)
	}
	for i, x := range parts {
		if !subs[i].Used {
			continue
		}
		if err := daemon.FillSettings(x.settings, daemon.DeclaredFlags(x.settings)); err != nil {
			daemon.Exit("rehearsal "+x.name, err)
		}
		if err := x.run(); err != nil {
			daemon.Exit("rehearsal "+x.name, err)
		}
		return
	}
	p.ShowHelpAndExit("name one of the commands below")
}
