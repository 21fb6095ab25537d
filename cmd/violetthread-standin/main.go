// Command violetthread-standin simulates the environment of a fleet for trials on one machine:
// engines, store, platform, back end and callers. It also measures the latency that a proxy
// adds.
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
	daemon.RunCommands("violetthread-standin", "Stand-ins for the environment of a violetthread fleet: engines, store, platform, back end and callers.", commands())
}

func commands() []daemon.Command {
	engines, list, backends, calls := engine.Defaults(), platform.Defaults(), backend.Defaults(), callers.Defaults()
	latency, rollout, cpu := probe.LatencyDefaults(), probe.RolloutDefaults(), probe.CPUProbe{}
	return []daemon.Command{
		{Name: "latency", About: "measure the latency that a proxy and a claim add, in pairs with direct requests to an engine", Settings: &latency, Run: func() error { return latency.Run(os.Stdout) }},
		{Name: "rollout", About: "measure the time until an acknowledged plan is in force on all nodes", Settings: &rollout, Run: func() error { return rollout.Run(os.Stdout) }},
		{Name: "cpu", About: "print the processor time used by processes, in microseconds", Settings: &cpu, Run: func() error { return cpu.Run(os.Stdout) }},
		{Name: "engine", About: "run a stand-in model engine, or the store with --store true", Settings: &engines, Run: func() error { return serve(engine.NewDaemon(engines)) }},
		{Name: "platform", About: "run a stand-in platform that lists engines", Settings: &list, Run: func() error { return serve(platform.NewDaemon(list)) }},
		{Name: "backend", About: "run a stand-in application back end", Settings: &backends, Run: func() error { return serve(backend.NewDaemon(backends)) }},
		{Name: "callers", About: "run the callers of one deployment; the exit code is 1 if a rule was violated", Settings: &calls, Run: func() error { return runCallers(calls) }},
	}
}

// serve runs a stand-in until the process is stopped. It returns err if that is not nil.
func serve(d *daemon.Daemon, err error) error {
	if err != nil {
		return err
	}
	return d.Run()
}

// runCallers runs the callers, and exits the process with code 1 if a rule was violated.
func runCallers(s callers.Settings) error {
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
