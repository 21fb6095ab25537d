// Package cacheindex indexes which engines and stores have cached which blocks of prompts
// (docs/design.md §7). It follows Tewari, Dahlin, Vin and Kay, "Design Considerations for
// Distributed Caching on the Internet" (ICDCS 1999); docs/paper.md describes the differences.
//
// A prompt is divided into blocks, and a Key identifies a prefix of the prompt up to the end of a
// block. Every proxy has a Table, a 4-way set-associative table of hints: for each key, the
// nearest node known to have the prefix cached. A wrong hint costs a recomputation and nothing
// else. The owner of a shard of the keys has a Directory of all holders of each key. It sends
// each zone only the changes to the holder nearest to the zone, through an UpdateLog, a numbered
// log that followers poll. TransferScores estimate the success rate of transfers from each peer.
//
// The package does no I/O and reads no clock. A Table or HolderTable may be read from any
// goroutine without a lock while one goroutine at a time writes it; all other types are not safe
// for concurrent use.
package cacheindex
