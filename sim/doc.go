// Package sim is a seeded simulator: it owns time, network and disks, runs the deciding code
// of the daemons on them, brings failures about, and checks from outside that what clients
// were told holds (docs/simulator.md). It follows the deterministic simulation testing of
// FoundationDB: a run depends on its seed alone, so that a failing seed can be played again.
//
// # Layers
//
//   - [World] is the queue of events, the hosts ([Host]), the links between them ([Call],
//     Host.Send) and disks ([Disk]). Everything runs on one goroutine.
//   - [Cluster] is control nodes ([ControlNode]): real voters of package quorum on real
//     write-ahead logs. Clients of it ([RegisterClient], [ClaimClients], [LeaseClients],
//     [SlotWriter]) check what they are told.
//   - [Fleet] adds index nodes, gateways with agents, simulated engines, the platform, an
//     operator and callers; its checker is the test oracle.
//   - [ConfigWorld] is a cluster with operators of the users' platform, readers, and proxies
//     that serve by the configuration.
//
// # Days
//
// A day is a scenario that is run from a seed: [RunCluster] and [RunFleet] bring faults of a
// kind about again and again; [RunFinalFault] one fault after which nothing is mended;
// [RunCatchup], [RunCutoff], [RunRaces], [RunMessages] and [RunSecondLoss] are directed at one
// danger each. They return what came of it, and the violations, which are empty on success.
//
// # Rules
//
// All times are int64 microseconds: true time from the start of a run, or a host's clock,
// which differs from it by an offset drawn at each start. Every random draw comes from
// World.Rng, in an order that is part of a run: a draw more or less, or another order of
// events, makes every later event of a seed another one. TestGoldenDigests holds fixed days
// to what they did before. Only tests use this package.
package sim
