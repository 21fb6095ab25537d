// Package daemon is what every program of the project shares: settings and flags, the log,
// the HTTP side with health, readiness and metrics, and starting and stopping.
//
// # Life of a process
//
// [New] makes a [Daemon] that is alive (/healthz) and not ready (/readyz). Its owner adds
// paths, metrics, tasks of the group and what to do on a stop, and calls [Daemon.Run], which
// serves until SIGTERM or SIGINT, [Daemon.Stop] or [Daemon.Fail]. On a stop the process is
// not ready at once; drain functions then finish running work, the one added last first,
// within the drain time; after that the HTTP side closes, the group's tasks end, and stop
// functions run.
//
// # Log
//
// One line an event on standard error: at=, program=, node= and event= (snake_case), then
// the keys of the event. Events and their keys are listed in docs/logs.md.
//
// # Use
//
// What adds to a daemon (Handle, Gauge, Counter, OnDrain, OnStop, ProfileCPU) is called
// before Run, from one goroutine. SetReady, Ready, Stopping, Fail, Failure and Stop may be
// called from any goroutine.
package daemon
