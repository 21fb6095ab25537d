// Package sim is a deterministic simulator. It controls time, network and disks, runs the
// decision logic of the daemons on them, injects faults, and checks from the outside that the
// guarantees given to clients hold (docs/simulator.md). It follows FoundationDB's deterministic
// simulation testing: a run depends on its seed alone, so that a failing seed can be replayed.
//
// # Layers
//
//   - [World] is the event queue, the hosts ([Host]), the links between them ([Call],
//     Host.Send) and the disks ([Disk]). Everything runs on one goroutine.
//   - [Cluster] is a set of control nodes ([ControlNode]): real voters of package quorum on
//     real write-ahead logs. Its clients ([RegisterClient], [ClaimClients], [LeaseClients],
//     [SlotWriter]) check the answers that they get.
//   - [Fleet] adds index nodes, gateways with agents, simulated engines, the platform, an
//     operator and callers. Its checker is the test oracle.
//   - [ConfigWorld] is a cluster with operators of the users' platform, readers, and proxies
//     that serve by the configuration.
//
// # Days
//
// A day is a scenario that is run from a seed. [RunCluster] and [RunFleet] repeatedly inject
// faults of one kind; [RunFinalFault] injects a single fault after which nothing is repaired;
// [RunCatchup], [RunCutoff], [RunRaces], [RunMessages] and [RunSecondLoss] each test one
// specific risk. They return the result and the violations, which are empty on success.
//
// # Rules
//
// All times are int64 microseconds: true time from the start of a run, or a host's clock,
// which differs from it by an offset drawn at each start. Every random draw comes from
// World.Rng, and the order of draws is part of a run: an additional draw, a missing one, or
// another order of events changes all later events of a seed. TestGoldenDigests checks that
// fixed days still do exactly what they did before. Only tests use this package.
package sim
