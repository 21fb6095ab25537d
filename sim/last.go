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
var LastFaults = map[string]func(f *Fleet){
	"a registrar dies": func(f *Fleet) { f.planOwner().Kill() },
	"a registrar freezes for good": func(f *Fleet) {
		f.planOwner().Freeze()
	},
	"a registrar's disk stalls for good": func(f *Fleet) {
		f.planOwner().Disk.Stall = 1 << 40
	},
	"a registrar's disk fails": func(f *Fleet) { f.planOwner().Disk.Fail = true },
	"a registrar hears and is not heard": func(f *Fleet) {
		r := f.planOwner()
		for _, h := range f.W.hosts {
			f.W.Cut(r.Name, h.Name)
		}
	},
	"the platform is gone": func(f *Fleet) { f.Platform.Kill() },
	"the link between two sites is cut": func(f *Fleet) {
		one := f.planOwner().Site
		other := sites[(slices.Index(sites, one)+1)%len(sites)]
		for _, a := range f.W.hosts {
			for _, b := range f.W.hosts {
				if a.Site == one && b.Site == other {
					f.W.CutBoth(a.Name, b.Name)
				}
			}
		}
	},
	"the owner of most shards dies": func(f *Fleet) { f.busiest("duty/shard/").Kill() },
	"the owner of most engines dies in a roll-out": func(f *Fleet) {
		f.named()
		c := f.busiest("duty/engine/")
		f.W.At(f.W.now+1_000_000, c.Kill)
	},
	"a custodian dies": func(f *Fleet) { f.Custodians[1].Kill() },
	"a core machine dies": func(f *Fleet) {
		r := f.planOwner()
		r.Kill()
		f.sameSite(r.Site).Kill()
	},
	"a core machine is cut off": func(f *Fleet) {
		r := f.planOwner()
		f.W.Isolate(r.Name)
		f.W.Isolate(f.sameSite(r.Site).Name)
	},
	"all registrars are killed and start anew": func(f *Fleet) {
		for _, r := range f.Core.Nodes {
			f.bounce(r.Host)
		}
	},
	"all lose power and start anew": func(f *Fleet) {
		for _, r := range f.Core.Nodes {
			r.PowerLoss()
		}
		for _, h := range f.W.hosts {
			if h.boot != nil && h.Name != "platform" && h.Name != "operator" && h.Name != "prober" {
				f.bounce(h)
			}
		}
	},
	"all custodians are killed and start anew": func(f *Fleet) {
		for _, c := range f.Custodians {
			f.bounce(c.Host)
		}
	},
	"a runner is killed and starts anew":   func(f *Fleet) { f.bounce(f.Runners[0].Host) },
	"a remisier is killed and starts anew": func(f *Fleet) { f.bounce(f.Proxies[0].Host) },
	"two engines vanish": func(f *Fleet) {
		f.Engines[0].Kill()
		f.Engines[1].Kill()
	},
	"the store comes back empty": func(f *Fleet) { f.bounce(f.engine("store").Host) },
	"a site is lost": func(f *Fleet) {
		for _, h := range f.W.hosts {
			if h.Site == "west" && h.Name != "operator" {
				h.Kill()
			}
		}
	},
}

func (f *Fleet) bounce(h *Host) {
	h.Kill()
	f.W.At(f.W.now+100_000, h.Start)
}

// planOwner is the control node that owns the plan's slot.
func (f *Fleet) planOwner() *Registrar {
	for _, r := range f.Core.Nodes {
		if r.node != nil {
			if _, ok := r.node.ReadUnderLease(r.Clock(), planKey); ok {
				return r
			}
		}
	}
	return f.Core.Nodes[0]
}

// busiest is the index node that holds most duties of a kind.
func (f *Fleet) busiest(kind string) *Custodian {
	best, most := f.Custodians[0], -1
	for _, c := range f.Custodians {
		n := 0
		for _, d := range c.k.HeldRoles(c.Clock()) {
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

func (f *Fleet) sameSite(s string) *Custodian {
	for _, c := range f.Custodians {
		if c.Site == s {
			return c
		}
	}
	return f.Custodians[0]
}

// RunLast brings one last fault about and asks for service for ten seconds after it:
// a once-only ticket at every proxy every 150 ms, and a plan every 400 ms. It returns
// when the last of them that failed was followed by one that did not, over all proxies
// that live; 0 means that they failed to the end.
func RunLast(seed int64, fault string, z FleetSize) (back int64, wrong []string) {
	f := NewFleet(seed, z)
	w := f.W
	s := NewScript(f)
	w.At(1_300_000, func() { s.Put(nil) })
	at := 6_000_000 + w.Rng.Int63n(1_000_000)
	w.At(3_000_000, func() { f.call(s, at+10_000_000) })
	w.Run(at)
	if len(w.wrong) > 0 {
		return 0, w.wrong
	}
	f.named = s.Name
	LastFaults[fault](f)
	f.judge.lastOK = 0
	type word struct{ sent, done int64 } // done 0: it failed
	told := map[string][]*word{}
	byID := map[string]*word{}
	n := 0
	prober := w.NewHost("prober", "north", func() {})
	prober.Start()
	prober.Every(150_000, func() {
		for _, p := range f.Proxies {
			if !p.up || p.frozen || w.now > at+10_000_000 {
				continue
			}
			n++
			x := &send{group: "desk", kind: "tag", id: fmt.Sprint("probe", n), digest: simKey("desk", 0), proxy: p, era: max(1, f.callerEra), probe: true}
			o := &word{sent: w.now - at}
			byID[x.id] = o
			told[p.Name] = append(told[p.Name], o)
			p.After(300, func() { p.arrive(x, "probe", 5_000_000) })
		}
	})
	prober.Every(400_000, func() {
		if w.now > at+10_000_000 || s.busy {
			return
		}
		o := &word{sent: w.now - at}
		told["plan"] = append(told["plan"], o)
		s.Put(func() { o.done = w.now - at })
	})
	f.judge.onTold = func(x *send, o attempt.Outcome) {
		if x.probe && o == attempt.Done {
			byID[x.id].done = w.now - at
		}
	}
	w.Run(at + 16_000_000)
	for _, name := range sortedNames(told) {
		if h := w.host(name); h != nil && !h.up {
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
			return 0, w.wrong
		}
		back = max(back, mine)
	}
	return back, w.wrong
}

func sortedNames[V any](m map[string]V) []string {
	var ns []string
	for n := range m {
		ns = append(ns, n)
	}
	sort.Strings(ns)
	return ns
}

func (w *World) host(name string) *Host {
	for _, h := range w.hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}

// LastFaultNames lists the faults in order.
func LastFaultNames() []string { return sortedNames(LastFaults) }
