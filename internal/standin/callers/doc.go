// Package callers generates load on a running fleet as the callers of a deployment do, and
// checks the fleet from outside: the responses are compared with the runs that the simulated
// engines recorded.
//
// Run draws requests from a seed (requestSource), sends each from a goroutine of its own
// through the generated client of docs/caller-api.md, and checks the frames of every response.
// If a proxy is draining or refuses the connection, the caller fails over to another proxy
// once. That is safe because the first proxy has not accepted the request. Some once-only
// requests are sent a second time to another proxy, with the same id and generation: they must
// still run only once.
//
// Run is safe for concurrent use; each call generates a load of its own.
package callers
