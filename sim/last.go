package sim

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"violetthread/attempt"
)

// LastFaults are single faults after which nothing is mended: service must come
// back by itself, with a majority left.
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
		f.nameWeights()
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

func (f *Fleet) restartHost(h *Host) {
	h.Kill()
	f.World.At(f.World.now+100_000, h.Start)
}

// planOwner is the control node that owns the plan's slot.
func (f *Fleet) planLeader() *ControlNode {
	for _, r := range f.Cluster.Nodes {
		if r.node != nil {
			if _, ok := r.node.ReadUnderLease(r.Clock(), planKey); ok {
				return r
			}
		}
	}
	return f.Cluster.Nodes[0]
}

// busiest is the index node that holds most duties of a kind.
func (f *Fleet) busiestIndexNode(kind string) *IndexNode {
	best, most := f.IndexNodes[0], -1
	for _, c := range f.IndexNodes {
		n := 0
		for _, d := range c.node.HeldRoles(c.Clock()) {
			if strings.HasPrefix(d, kind) {
				n++
			}
		}
		if n > most {
			best, most = c, n
		}
	}
	return best
}

func (f *Fleet) indexNodeIn(s string) *IndexNode {
	for _, c := range f.IndexNodes {
		if c.Zone == s {
			return c
		}
	}
	return f.IndexNodes[0]
}

// RunLast brings one last fault about and asks for service for ten seconds after it:
// a once-only ticket at every proxy every 150 ms, and a plan every 400 ms. It returns
// when the last of them that failed was followed by one that did not, over all proxies
// that live; 0 means that they failed to the end.
func RunFinalFault(seed int64, fault string, z FleetSize) (back int64, wrong []string) {
	f := NewFleet(seed, z)
	world := f.World
	s := NewFleetOperator(f)
	world.At(1_300_000, func() { s.PutPlan(nil) })
	at := 6_000_000 + world.Rng.Int63n(1_000_000)
	world.At(3_000_000, func() { f.sendRequests(s, at+10_000_000) })
	world.Run(at)
	if len(world.violations) > 0 {
		return 0, world.violations
	}
	f.nameWeights = s.NameWeights
	FinalFaults[fault](f)
	f.checker.lastCompletion = 0
	type word struct{ sent, done int64 } // done 0: it failed
	told := map[string][]*word{}
	byID := map[string]*word{}
	n := 0
	prober := world.NewHost("prober", "north", func() {})
	prober.Start()
	prober.Every(150_000, func() {
		for _, p := range f.Gateways {
			if !p.up || p.frozen || world.now > at+10_000_000 {
				continue
			}
			n++
			x := &callerRequest{group: "desk", kind: "tag", id: fmt.Sprint("probe", n), keyDigest: simKey("desk", 0), gateway: p, generation: max(1, f.callerGeneration), probe: true}
			o := &word{sent: world.now - at}
			byID[x.id] = o
			told[p.Name] = append(told[p.Name], o)
			p.After(300, func() { p.admit(x, "probe", 5_000_000) })
		}
	})
	prober.Every(400_000, func() {
		if world.now > at+10_000_000 || s.busy {
			return
		}
		o := &word{sent: world.now - at}
		told["plan"] = append(told["plan"], o)
		s.PutPlan(func() { o.done = world.now - at })
	})
	f.checker.onRequestEnded = func(x *callerRequest, o attempt.Outcome) {
		if x.probe && o == attempt.Done {
			byID[x.id].done = world.now - at
		}
	}
	world.Run(at + 16_000_000)
	for _, name := range sortedNames(told) {
		if h := world.hostNamed(name); h != nil && !h.up {
			continue
		}
		var mine int64
		for _, o := range told[name] {
			switch {
			case o.done == 0:
				mine = 0
			case mine == 0:
				mine = o.done
			}
		}
		if mine == 0 {
			return 0, world.violations
		}
		back = max(back, mine)
	}
	return back, world.violations
}

func sortedNames[V any](m map[string]V) []string {
	var ns []string
	for n := range m {
		ns = append(ns, n)
	}
	sort.Strings(ns)
	return ns
}

func (w *World) hostNamed(name string) *Host {
	for _, h := range w.hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}

// LastFaultNames lists the faults in order.
func FinalFaultNames() []string { return sortedNames(FinalFaults) }
