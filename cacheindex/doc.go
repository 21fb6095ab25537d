// Package cacheindex tells which engines and stores have cached which blocks of prompts
// (docs/design.md §7). It follows Tewari, Dahlin, Vin and Kay, "Design Considerations for
// Distributed Caching on the Internet" (ICDCS 1999); docs/paper.md says what differs.
//
// A prompt is cut into blocks, and a Key names a prefix of it up to the end of a block.
// Every proxy has a Table, a 4-way associative array of hints: for a key the nearest node
// known to have the prefix. A hint may be wrong, which costs a recomputation and nothing
// else. The owner of a shard of the keys has a Directory of all nodes that have each key.
// It tells each zone only the changes to the node nearest there, through an UpdateLog, a
// numbered feed that followers poll. TransferScores estimate from which peers transfers
// succeed.
//
// The package is pure. A Table or HolderTable may be read from any goroutine without a lock
// while one goroutine at a time writes it; all other types belong to one goroutine.
package cacheindex
