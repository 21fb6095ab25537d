package sim

import (
	"slices"

	"violetthread/route"
)

const (
	cutLasts = 20_000_000
	// backBound is within how long after a cut everything is back in service.
	backBound = 4_000_000
	// ownerBound is the longest that nobody may answer for a register while a majority
	// is in touch.
	ownerBound = 2_000_000
	// insideReadEvery is between two reads on the side that is cut off.
	insideReadEvery = 60_000
	// calmBetween two cuts, once all is back.
	calmBetween = 1_500_000
)

// CutoffDay is a day on which control machines are cut off for 20 s again and again,
// with proxies and an operator on their side, while configurations, keys and weights
// change.
type CutoffDay struct {
	*ConfigWorld
	inside *ConfigOperator // on the side that is cut off
	reader *ConfigReader   // likewise, and reads there as long as it is
	onSide []*ConfigProxy
}

// CutoffResult is what such a day came to.
type CutoffResult struct {
	Acks, Stale, Reads, Named, Cuts int
	// OldConfig is the longest that a proxy served by a configuration after a newer one
	// was acknowledged.
	OldConfig int64
	// Gap is the longest without an acknowledgement while a majority was in touch.
	Gap int64
	// Ownerless is the longest that no node answered for the configuration.
	Ownerless int64
	// Back is the longest from the end of a cut until all proxies serve, every control
	// node answers and all operators had a clear answer.
	Back  int64
	Wrong []string
	Notes []string
}

// RunCutoff runs a day with one cut of each given kind.
func RunCutoff(seed int64, nodes int, cuts []Partition, texts Texts) CutoffResult {
	d := newCutoffDay(seed, nodes, texts)
	d.Start()
	var r CutoffResult
	w := d.World
	if _, ok := d.Until(5_000_000, func() bool { return d.Config.Acks > 3 && d.Weights.Acks > 0 }); !ok {
		w.Wrong("not begun", "no configuration was acknowledged after %d us", w.now)
	}
	for _, p := range cuts {
		if len(w.wrong) > 0 {
			break
		}
		d.cut(p, &r)
	}
	d.Config.Close()
	r.Acks, r.Stale, r.Reads, r.Named = d.Config.Acks, d.Config.Stale, d.Config.Reads, d.Weights.Acks
	r.OldConfig, r.Wrong, r.Notes = d.Serve.OldConfig, w.wrong, w.note
	return r
}

func newCutoffDay(seed int64, nodes int, texts Texts) *CutoffDay {
	d := &CutoffDay{ConfigWorld: NewConfigWorld(seed, nodes, texts)}
	d.AddOperators(4)
	d.AddNamer()
	d.AddReaders(2, 200_000)
	d.AddProxies(4)
	for _, o := range d.Operators {
		o.Pause = 400_000
	}
	d.AddReaders(1, insideReadEvery)
	d.reader = d.Readers[2]
	d.inside = d.Operators[0]
	d.onSide = d.Proxies[:2]
	return d
}

// cut cuts as many machines off as may be lost, or one, for 20 s, and waits until all
// is back.
func (d *CutoffDay) cut(p Partition, r *CutoffResult) {
	w := d.World
	machines := d.choose(r.Cuts%2 == 0)
	inside := []*Host{d.inside.Host, d.reader.Host}
	for _, proxy := range d.onSide {
		inside = append(inside, proxy.Host)
	}
	for _, m := range machines {
		inside = append(inside, m.Host)
	}
	w.CutOff(p, inside)
	if p == PartitionForgot {
		d.restartOutside(machines)
	}
	d.reader.Only = machines
	d.watchGap(w.now+cutLasts, r)
	w.Rejoin(inside)
	d.reader.Only = nil
	w.Note("healed")
	r.Cuts++
	missing := d.back(machines)
	took, ok := d.Until(backBound, func() bool { return missing() == "" })
	r.Back = max(r.Back, took)
	if !ok {
		w.Wrong("not back", "%s was not in service %d us after a cut of kind %s", missing(), backBound, p)
	}
	w.Run(w.now + calmBetween)
}

// restartOutside ends the control nodes on the other side, which come back at once and
// know of no lease that they granted.
func (d *CutoffDay) restartOutside(machines []*Registrar) {
	w := d.World
	for _, r := range d.Core.Nodes {
		if !slices.Contains(machines, r) {
			r.Kill()
			w.At(w.now+1_000+w.Rng.Int63n(30_000), r.restart)
		}
	}
}

// choose picks the machines to cut off, among them the configuration's owner if asked for.
func (d *CutoffDay) choose(owner bool) []*Registrar {
	w := d.World
	n := 1 + w.Rng.Intn(tolerates(len(d.Core.Nodes)))
	nodes := d.Core.Nodes
	first := w.Rng.Intn(len(nodes))
	if o := d.Core.Owner(route.ConfigKey); o != nil && owner {
		first = slices.Index(nodes, o)
	}
	var out []*Registrar
	for i := range n {
		out = append(out, nodes[(first+i)%len(nodes)])
	}
	return out
}

// watchGap runs until a time and judges that changes go on being acknowledged on the
// side of the majority.
func (d *CutoffDay) watchGap(until int64, r *CutoffResult) {
	w := d.World
	acks, at, owned := d.Config.Acks, w.now, w.now
	for w.now < until && len(w.wrong) == 0 {
		w.Run(w.now + watchEvery)
		if d.Config.Acks > acks {
			acks, at = d.Config.Acks, w.now
		}
		if d.ConfigOwned() {
			owned = w.now
		}
		r.Ownerless = max(r.Ownerless, w.now-owned)
		if w.now-owned > ownerBound {
			w.Wrong("no owner", "of the configuration for %d us, with a majority in touch", w.now-owned)
		}
		r.Gap = max(r.Gap, w.now-at)
		if w.now-at > ackBound {
			w.Wrong("no change acknowledged", "for %d us, with a majority in touch", w.now-at)
		}
	}
}

// back names what is not yet in service after a cut: a proxy that does not serve, a
// machine that was cut off and does not answer for the configuration, an operator that
// had no clear answer yet. It is empty once all is back.
func (d *CutoffDay) back(machines []*Registrar) func() string {
	answered := map[*Registrar]bool{}
	for _, m := range machines {
		d.probe(m, answered)
	}
	told := map[*ConfigOperator]bool{}
	for _, o := range d.Operators {
		o.OnClear = func() { told[o] = true }
	}
	return func() string {
		for _, p := range d.Proxies {
			if !p.Serves() {
				return p.Name
			}
		}
		for _, m := range machines {
			if !answered[m] {
				return m.Name
			}
		}
		for _, o := range d.Operators {
			if !told[o] {
				return o.Name
			}
		}
		return ""
	}
}

// probe reads the configuration at a node until that answers.
func (d *CutoffDay) probe(m *Registrar, answered map[*Registrar]bool) {
	r := d.Readers[0]
	r.readAt(m, func(ok bool) {
		if ok {
			answered[m] = true
			return
		}
		r.After(20_000, func() { d.probe(m, answered) })
	})
}
