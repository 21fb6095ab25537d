// Command violetthread-standin plays everything around a fleet for trials on one machine:
// engines, store, platform, back end and callers; it also measures what a proxy adds.
package main

import (
	"os"

	"violetthread/internal/daemon"
	"violetthread/internal/standin/backend"
	"violetthread/internal/standin/callers"
	"violetthread/internal/standin/engine"
	"violetthread/internal/standin/platform"
	"violetthread/internal/standin/probe"
)

func main() {
	daemon.RunCommands("violetthread-standin", "Stand-ins for everything around a violetthread fleet.", commands())
}

func commands() []daemon.Command {
	engines, list, backends, calls := engine.Defaults(), platform.Defaults(), backend.Defaults(), callers.Defaults()
	latency, rollout, cpu := probe.LatencyDefaults(), probe.RolloutDefaults(), probe.CPUProbe{}
	return []daemon.Command{
		{Name: "latency", About: "measure what a proxy and a claim add, in pairs against an engine asked directly", Settings: &latency, Run: func() error { return latency.Run(os.Stdout) }},
		{Name: "rollout", About: "measure how long an acknowledged plan takes to be in force everywhere", Settings: &rollout, Run: func() error { return rollout.Run(os.Stdout) }},
		{Name: "cpu", About: "print the processor time that processes have used, in microseconds", Settings: &cpu, Run: func() error { return cpu.Run(os.Stdout) }},
		{Name: "engine", About: "a stand-in model engine, or with --store true the store", Settings: &engines, Run: func() error { return serve(engine.NewDaemon(engines)) }},
		{Name: "platform", About: "a stand-in platform that lists engines", Settings: &list, Run: func() error { return serve(platform.NewDaemon(list)) }},
		{Name: "backend", About: "a stand-in app back end", Settings: &backends, Run: func() error { return serve(backend.NewDaemon(backends)) }},
		{Name: "callers", About: "callers of one deployment; exit code 1 when a rule was broken", Settings: &calls, Run: func() error { return play(calls) }},
	}
}

// serve runs a stand-in, if it could be made, until the process is stopped.
func serve(d *daemon.Daemon, err error) error {
	if err != nil {
		return err
	}
	return d.Run()
}

// play plays callers and ends the process with exit code 1 when a rule was broken.
func play(s callers.Settings) error {
	report, err := callers.Run(s)
	if err != nil {
		return err
	}
	report.Print(os.Stdout)
	if len(report.Violations) > 0 {
		os.Exit(1)
	}
	return nil
}
