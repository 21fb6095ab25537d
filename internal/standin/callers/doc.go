// Package callers plays the callers of a deployment against a running fleet, and judges from
// outside: what callers were answered is compared with what the engines counted.
//
// Run draws requests from a seed (requestSource), sends each from a goroutine of its own
// through the generated client of docs/caller-api.md, and checks the frames of every answer.
// A caller whose proxy is draining or refuses connections turns to another proxy once, which
// is safe because nothing of its request was taken in. Some once-only requests are sent a
// second time to another proxy, under the same id and generation: they must still run once.
//
// A process may hold several loads; Run may be called from any goroutine.
package callers
