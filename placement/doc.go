// Package placement selects the engine for a request that a proxy forwards, and what that
// engine is to take from another engine's or a store's cache instead of computing it again
// (docs/design.md §13).
//
// The selection policy is a cost estimate in microseconds: for each engine that may serve the
// request, the time until its prompt is read (prefill), from the engine's load, the blocks of
// the prompt that it has cached and those that it could fetch, plus penalties (CostModel). The
// engine with the lowest estimate wins; among equals the one that rendezvous hashing
// (highest random weight, Thaler and Ravishankar) ranks first for the prompt's shared blocks,
// so that proxies that know nothing send alike prompts to the same engine.
//
// The package is pure: the map of the fleet, the prefix-cache location hints and the proxy's
// own observations go in, a Choice comes out. Times are monotonic microseconds given by the
// caller. A Picker is not safe for concurrent use; the proxy holds one lock around it. The
// hint table it reads may be written by other goroutines meanwhile.
package placement
