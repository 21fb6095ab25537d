package sim

import (
	"fmt"
	"sort"

	"violetthread/blotter"
)

// LastFaults are single faults after which nothing is mended: service must come
// back by itself, with a majority left.
var LastFaults = map[string]func(f *Fleet){
	"a registrar dies": func(f *Fleet) { f.planOwner().Kill() },
	"a registrar freezes for good": func(f *Fleet) {
		f.planOwner().Freeze()
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
			if _, ok := r.node.Vouch(r.Clock(), planKey); ok {
				return r
			}
		}
	}
	return f.Core.Nodes[0]
}

func (f *Fleet) sameSite(s string) *Custodian {
	for _, c := range f.Custodians {
		if c.Site == s {
			return c
		}
	}
	return f.Custodians[0]
}

// RunLast brings one last fault about and returns how long after it every proxy
// that lives has done a once-only ticket sent after the fault, and a plan was
// acknowledged; 0 in Back means never within 15 seconds.
func RunLast(seed int64, fault string, z FleetSize) (back int64, wrong []string) {
	f := NewFleet(seed, z)
	w := f.W
	s := NewScript(f)
	w.At(1_300_000, func() { s.Put(nil) })
	at := 6_000_000 + w.Rng.Int63n(1_000_000)
	w.At(3_000_000, func() { f.call(s, at) })
	w.Run(at)
	if len(w.wrong) > 0 {
		return 0, w.wrong
	}
	LastFaults[fault](f)
	f.judge.lastOK = 0
	acks := f.Seen.PlanAcks
	done := map[*Proxy]int64{}
	s.Put(nil)
	var ackAt int64
	n := 0
	prober := w.NewHost("prober", "north", func() {})
	prober.Start()
	prober.Every(50_000, func() {
		if f.Seen.PlanAcks > acks && ackAt == 0 {
			ackAt = w.now - at
		}
		for _, p := range f.Proxies {
			if !p.up || done[p] != 0 {
				continue
			}
			n++
			x := &send{group: "desk", kind: "tag", id: fmt.Sprint("probe", n), digest: simKey("desk", 0), proxy: p, due: w.now + 5_000_000, era: max(1, f.callerEra)}
			x.probe = true
			p.After(300, func() { p.arrive(x, "probe", 5_000_000) })
		}
	})
	f.judge.onTold = func(x *send, o blotter.Outcome) {
		if o == blotter.Done && x.probe && done[x.proxy] == 0 {
			done[x.proxy] = w.now - at
		}
	}
	for w.now < at+15_000_000 && len(w.wrong) == 0 {
		w.Run(w.now + 50_000)
		all := ackAt > 0
		var worst int64
		for _, p := range f.Proxies {
			if p.up {
				all = all && done[p] > 0
				worst = max(worst, done[p])
			}
		}
		if all {
			return max(worst, ackAt), w.wrong
		}
	}
	return 0, w.wrong
}

// LastFaultNames lists the faults in order.
func LastFaultNames() []string {
	var ns []string
	for n := range LastFaults {
		ns = append(ns, n)
	}
	sort.Strings(ns)
	return ns
}
