package sim

import (
	"slices"
	"strings"
)

// FinalFaults are single faults after which nothing is repaired. A majority of the control
// nodes is left, and service must recover by itself.
var FinalFaults = map[string]func(f *Fleet){
	"a control node dies": func(f *Fleet) { f.planLeader().Kill() },
	"a control node freezes for good": func(f *Fleet) {
		f.planLeader().Freeze()
	},
	"a control node's disk stalls for good": func(f *Fleet) {
		f.planLeader().Disk.SyncDelayUS = 1 << 40
	},
	"a control node's disk fails": func(f *Fleet) { f.planLeader().Disk.FailAll = true },
	"a control node's outbound links are cut": func(f *Fleet) {
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
	"the index node with most shards dies": func(f *Fleet) { f.busiestIndexNode("duty/shard/").Kill() },
	"the owner of most engines dies in a roll-out": func(f *Fleet) {
		f.changeWeights()
		c := f.busiestIndexNode("duty/engine/")
		f.World.At(f.World.now+1_000_000, c.Kill)
	},
	"an index node dies": func(f *Fleet) { f.IndexNodes[1].Kill() },
	"a control node and an index node die": func(f *Fleet) {
		r := f.planLeader()
		r.Kill()
		f.indexNodeIn(r.Zone).Kill()
	},
	"a control node and an index node are cut off": func(f *Fleet) {
		r := f.planLeader()
		f.World.Isolate(r.Name)
		f.World.Isolate(f.indexNodeIn(r.Zone).Name)
	},
	"all control nodes are killed and restart": func(f *Fleet) {
		for _, r := range f.Cluster.Nodes {
			f.restartHost(r.Host)
		}
	},
	"all lose power and restart": func(f *Fleet) {
		for _, r := range f.Cluster.Nodes {
			r.LosePower()
		}
		for _, h := range f.World.hosts {
			if h.boot != nil && h.Name != "platform" && h.Name != "operator" && h.Name != "prober" {
				f.restartHost(h)
			}
		}
	},
	"all index nodes are killed and restart": func(f *Fleet) {
		for _, c := range f.IndexNodes {
			f.restartHost(c.Host)
		}
	},
	"an agent is killed and restarts":  func(f *Fleet) { f.restartHost(f.Agents[0].Host) },
	"a gateway is killed and restarts": func(f *Fleet) { f.restartHost(f.Gateways[0].Host) },
	"two engines die": func(f *Fleet) {
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

// FinalFaultNames returns the names of the faults in sorted order.
func FinalFaultNames() []string { return sortedNames(FinalFaults) }

func (f *Fleet) restartHost(host *Host) {
	host.Kill()
	f.World.At(f.World.now+100_000, host.Start)
}

// planLeader returns the control node that leads the plan's slot.
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

// busiestIndexNode returns the index node that holds the most roles whose names begin with
// kind.
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
