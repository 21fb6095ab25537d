// Package daemon contains what the project's programs share: settings and flags, logging, the
// HTTP server with health, readiness and metrics, start-up and graceful shutdown.
//
// # Process lifecycle
//
// [New] returns a [Daemon] that is alive (/healthz) and not ready (/readyz). Its owner adds
// HTTP handlers, metrics, tasks of the group and shutdown functions, and calls [Daemon.Run],
// which serves until SIGTERM or SIGINT, [Daemon.Stop] or [Daemon.Fail]. On a shutdown the
// process first becomes not ready. Drain functions then finish running work within the drain
// time, the one added last first. After that the HTTP server closes, the group's tasks end,
// and stop functions run.
//
// # Log
//
// Each event is one line on standard error: at=, program=, node= and event= (snake_case), then
// the keys of the event. Events and their keys are listed in docs/logs.md.
//
// # Concurrency
//
// Methods that configure a daemon (Handle, HandlePrefix, Gauge, Counter, OnDrain, OnStop,
// ProfileCPU) are called before Run, from one goroutine. SetReady, Ready, Stopping, Fail,
// Failure and Stop may be called from any goroutine.
package daemon
