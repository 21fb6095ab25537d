package sim

import (
	"slices"
	"strings"
)

// FinalFaults are single faults after which nothing is mended: service must come back by
// itself, with a majority left.
var FinalFaults = map[string]func(f *Fleet){
	"a registrar dies": func(f *Fleet) { f.planLeader().Kill() },
	"a registrar freezes for good": func(f *Fleet) {
		f.planLeader().Freeze()
	},
	"a registrar's disk stalls for good": func(f *Fleet) {
		f.planLeader().Disk.SyncDelayUS = 1 << 40
	},
	"a registrar's disk fails": func(f *Fleet) { f.planLeader().Disk.FailAll = true },
	"a registrar hears and is not heard": func(f *Fleet) {
		r := f.planLeader()
		for _, h := range f.World.hosts {
			f.World.Cut(r.Name, h.Name)
		}
	},
	"the platform is gone": func(f *Fleet) { f.Platform.Kill() },
	"the link between two sites is cut": func(f *Fleet) {
		one := f.planLeader().Zone
		other := zones[(slices.Index(zones, one)+1)%len(zones)]
		for _, a := range f.World.hosts {
			for _, b := range f.World.hosts {
				if a.Zone == one && b.Zone == other {
					f.World.CutBoth(a.Name, b.Name)
				}
			}
		}
	},
	"the owner of most shards dies": func(f *Fleet) { f.busiestIndexNode("duty/shard/").Kill() },
	"the owner of most engines dies in a roll-out": func(f *Fleet) {
		f.changeWeights()
		c := f.busiestIndexNode("duty/engine/")
		f.World.At(f.World.now+1_000_000, c.Kill)
	},
	"a custodian dies": func(f *Fleet) { f.IndexNodes[1].Kill() },
	"a core machine dies": func(f *Fleet) {
		r := f.planLeader()
		r.Kill()
		f.indexNodeIn(r.Zone).Kill()
	},
	"a core machine is cut off": func(f *Fleet) {
		r := f.planLeader()
		f.World.Isolate(r.Name)
		f.World.Isolate(f.indexNodeIn(r.Zone).Name)
	},
	"all registrars are killed and start anew": func(f *Fleet) {
		for _, r := range f.Cluster.Nodes {
			f.restartHost(r.Host)
		}
	},
	"all lose power and start anew": func(f *Fleet) {
		for _, r := range f.Cluster.Nodes {
			r.LosePower()
		}
		for _, h := range f.World.hosts {
			if h.boot != nil && h.Name != "platform" && h.Name != "operator" && h.Name != "prober" {
				f.restartHost(h)
			}
		}
	},
	"all custodians are killed and start anew": func(f *Fleet) {
		for _, c := range f.IndexNodes {
			f.restartHost(c.Host)
		}
	},
	"a runner is killed and starts anew":   func(f *Fleet) { f.restartHost(f.Agents[0].Host) },
	"a remisier is killed and starts anew": func(f *Fleet) { f.restartHost(f.Gateways[0].Host) },
	"two engines vanish": func(f *Fleet) {
		f.Engines[0].Kill()
		f.Engines[1].Kill()
	},
	"the store comes back empty": func(f *Fleet) { f.restartHost(f.engineNamed("store").Host) },
	"a site is lost": func(f *Fleet) {
		for _, h := range f.World.hosts {
			if h.Zone == "west" && h.Name != "operator" {
				h.Kill()
			}
		}
	},
}

// FinalFaultNames lists the faults in order.
func FinalFaultNames() []string { return sortedNames(FinalFaults) }

func (f *Fleet) restartHost(host *Host) {
	host.Kill()
	f.World.At(f.World.now+100_000, host.Start)
}

// planLeader is the control node that leads the plan's slot.
func (f *Fleet) planLeader() *ControlNode {
	for _, node := range f.Cluster.Nodes {
		if node.node != nil {
			if _, ok := node.node.ReadUnderLease(node.Clock(), planKey); ok {
				return node
			}
		}
	}
	return f.Cluster.Nodes[0]
}

// busiestIndexNode is the index node that holds most roles of a kind.
func (f *Fleet) busiestIndexNode(kind string) *IndexNode {
	best, most := f.IndexNodes[0], -1
	for _, indexNode := range f.IndexNodes {
		held := 0
		for _, role := range indexNode.node.HeldRoles(indexNode.Clock()) {
			if strings.HasPrefix(role, kind) {
				held++
			}
		}
		if held > most {
			best, most = indexNode, held
		}
	}
	return best
}

func (f *Fleet) indexNodeIn(zone string) *IndexNode {
	for _, indexNode := range f.IndexNodes {
		if indexNode.Zone == zone {
			return indexNode
		}
	}
	return f.IndexNodes[0]
}
