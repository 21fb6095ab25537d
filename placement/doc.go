// Package placement selects the engine for a request that a proxy forwards, and the engine or
// store from which that engine fetches cached blocks instead of recomputing them
// (docs/design.md §13).
//
// The selection policy is a cost estimate in microseconds. For each eligible engine it estimates
// the time until the prompt has been processed (prefill) from the engine's load, the blocks of
// the prompt that it has cached and those that it could fetch, and adds penalties (CostModel).
// The engine with the lowest estimate is selected. Ties go to the engine that rendezvous hashing
// (highest random weight, Thaler and Ravishankar) ranks first for the prompt's shared blocks, so
// that proxies without hints send similar prompts to the same engine.
//
// The package is pure: its inputs are the map of the fleet, the prefix-cache location hints and
// the proxy's own observations, and its output is a Choice. Times are monotonic microseconds
// passed in by the caller. A Picker is not safe for concurrent use; the proxy guards it with a
// lock. Other goroutines may write the hint table while the Picker reads it.
package placement
