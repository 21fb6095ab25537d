package sim

import (
	"fmt"

	"violetthread/quorum"
)

// Fault is a kind of failure that Core's days bring about.
type Fault string

// The failures of control nodes.
const (
	Kills     Fault = "kills"
	Herd      Fault = "herd"
	Power     Fault = "power"
	Freezes   Fault = "freezes"
	Cuts      Fault = "cuts"
	OneWay    Fault = "one-way"
	Lossy     Fault = "lossy"
	SlowDisks Fault = "slow-disks"
	SlowLinks Fault = "slow-links"
	Amnesia   Fault = "amnesia"   // all but one restart at once while that one is cut off
	Torn      Fault = "torn"      // changes that reached only some, then kills
	Polite    Fault = "polite"    // stops that give the slots up first
	Forgetful Fault = "forgetful" // voters restart while one that waits for its chance does not
	Replaced  Fault = "replaced"  // machines lose their disks and come back empty, others are added in their place
	Healed    Fault = "healed"    // machines come back empty, are replaced, or return after that, and no operator is there
	Everybody Fault = "everything"
)

// CoreFaults lists them all.
var CoreFaults = []Fault{Kills, Herd, Power, Freezes, Cuts, OneWay, Lossy, SlowDisks, SlowLinks, Amnesia, Torn, Replaced, Polite, Forgetful, Healed, Everybody}

// Plague brings about a fault again and again until a true time, then mends all.
func (c *Core) Plague(f Fault, until int64) {
	w := c.w
	c.heals = f == Healed
	if f == Lossy || f == Everybody {
		w.Loss, w.Dup = 30, 30
	}
	all := []Fault{Kills, Herd, Power, Freezes, Cuts, OneWay, SlowDisks, SlowLinks, Amnesia, Torn, Replaced, Polite, Forgetful}
	var next func()
	next = func() {
		if w.now >= until {
			return
		}
		g := f
		if f == Everybody {
			g = all[w.Rng.Intn(len(all))]
		}
		c.strike(g)
		pause := int64(200_000)
		if w.Rng.Intn(2) == 0 {
			pause = 2_500_000 // long enough for life to go on between two strikes
		}
		w.At(w.now+pause+w.Rng.Int63n(2_000_000), next)
	}
	w.At(w.now+1_500_000, next)
	w.At(until, func() {
		c.armed = false
		w.Loss, w.Dup = 0, 0
		w.HealAll()
		for _, r := range c.Nodes {
			r.Disk.Stall = 0
			r.Thaw()
			if !r.lost {
				r.Start()
			}
		}
	})
}

func (c *Core) strike(f Fault) {
	w := c.w
	r := c.Nodes[w.Rng.Intn(len(c.Nodes))]
	back := func(rs ...*Registrar) {
		for _, r := range rs {
			w.At(w.now+50_000+w.Rng.Int63n(2_000_000), r.restart)
		}
	}
	switch f {
	case Kills:
		r.Kill()
		back(r)
	case Herd:
		for _, r := range c.Nodes {
			r.Kill()
		}
		back(c.Nodes...)
	case Power:
		if w.Rng.Intn(2) == 0 {
			// Everybody's power goes just after an acknowledgement, while disks
			// are slow: what was acknowledged without a sync is gone.
			for _, r := range c.Nodes {
				r.Disk.Stall = 40_000
			}
			c.armed = true
			return
		}
		rs := []*Registrar{r}
		if w.Rng.Intn(3) == 0 {
			rs = c.Nodes
		}
		for _, r := range rs {
			r.PowerLoss()
		}
		back(rs...)
	case Freezes:
		r.Freeze()
		w.At(w.now+100_000+w.Rng.Int63n(4_000_000), r.Thaw)
	case Cuts:
		w.HealAll()
		side := w.Rng.Intn(1 << len(c.Nodes))
		for i, a := range c.Nodes {
			for j, b := range c.Nodes {
				if side>>i&1 != side>>j&1 {
					w.Cut(a.Name, b.Name)
				}
			}
		}
		w.Note("core cut %b", side)
	case OneWay:
		w.HealAll()
		for _, b := range c.Nodes {
			if w.Rng.Intn(2) == 0 {
				w.Cut(r.Name, b.Name)
			} else {
				w.Cut(b.Name, r.Name)
			}
		}
		w.Note("%s cut one way", r.Name)
	case SlowLinks:
		w.slow = map[[2]string]int64{}
		for _, b := range c.Nodes {
			if r != b && w.Rng.Intn(2) == 0 {
				w.slow[[2]string{r.Name, b.Name}] = w.Rng.Int63n(1_200_000)
			}
			if r != b && w.Rng.Intn(2) == 0 {
				w.slow[[2]string{b.Name, r.Name}] = w.Rng.Int63n(1_200_000)
			}
		}
		if w.Rng.Intn(2) == 0 {
			// Answers lag behind, then nothing goes out any more: what still
			// comes in is old.
			for _, b := range c.Nodes {
				w.slow[[2]string{r.Name, b.Name}] = 0
				w.slow[[2]string{b.Name, r.Name}] = 900_000
			}
			w.At(w.now+1_300_000, func() {
				for _, b := range c.Nodes {
					w.Cut(r.Name, b.Name)
				}
				w.Note("%s speaks to nobody, and hears late", r.Name)
			})
			w.At(w.now+3_500_000, w.HealAll)
		}
	case Amnesia:
		w.HealAll()
		w.Note("%s cut off, the others restart", r.Name)
		for _, b := range c.Nodes {
			if r == b {
				continue
			}
			w.CutBoth(r.Name, b.Name)
			b.Kill()
			w.At(w.now+1000+w.Rng.Int63n(30_000), b.restart)
		}
	case Torn:
		w.HealAll()
		for _, b := range c.Nodes {
			if w.Rng.Intn(3) > 0 {
				w.Cut(r.Name, b.Name) // its changes reach nobody, or one
			}
		}
		w.At(w.now+20_000+w.Rng.Int63n(100_000), func() {
			r.Kill()
			w.HealAll()
		})
		w.At(w.now+400_000+w.Rng.Int63n(4_000_000), r.restart)
	case Forgetful:
		// One node hears nothing of an owner and waits for its lease to end;
		// then the owner is cut off and the others forget what they promised.
		w.HealAll()
		b := c.Nodes[w.Rng.Intn(len(c.Nodes))]
		if b == r {
			return
		}
		w.CutBoth(r.Name, b.Name)
		w.At(w.now+1_200_000+w.Rng.Int63n(600_000), func() {
			w.Note("%s is cut off and forgotten", r.Name)
			for _, x := range c.Nodes {
				if x == r {
					continue
				}
				w.CutBoth(r.Name, x.Name)
				if x != b {
					x.Kill()
					w.At(w.now+1_000, x.restart)
				}
			}
		})
	case Polite:
		if !r.up || r.frozen || r.node == nil {
			return
		}
		w.Note("%s leaves politely", r.Name)
		r.out(r.node.Leave(r.Clock()))
		r.After(20_000+w.Rng.Int63n(200_000), r.Kill)
		w.At(w.now+300_000+w.Rng.Int63n(1_000_000), r.restart)
	case Replaced:
		c.replace()
		if w.Rng.Intn(2) == 0 {
			c.strike([]Fault{Kills, Freezes, Cuts}[w.Rng.Intn(3)])
		}
	case Healed:
		c.heal()
	case SlowDisks:
		for _, r := range c.Nodes {
			r.Disk.Stall = 0
			if w.Rng.Intn(3) == 0 {
				r.Disk.Stall = w.Rng.Int63n(3_000_000)
			}
		}
	}
}

// voters are the machines in the newest roster that any of them has.
func (c *Core) voters() (quorum.VoterSet, []*Registrar) {
	var ro quorum.VoterSet
	for _, r := range c.Nodes {
		if r.node != nil && r.node.VoterSet().Revision > ro.Revision {
			ro = r.node.VoterSet()
		}
	}
	var out []*Registrar
	for _, r := range c.Nodes {
		if v, ok := ro.Find(r.Name); ok && v.Incarnation == r.inc {
			out = append(out, r)
		}
	}
	return ro, out
}

// replace takes a machine away for good, disk and all, and has an operator put an
// empty one in its place, until the step is taken.
func (c *Core) replace() {
	w := c.w
	ro, in := c.voters()
	if c.stepping || len(in) < 4 {
		return
	}
	c.stepping = true
	old := in[w.Rng.Intn(len(in))]
	old.Kill()
	old.Disk.Wipe()
	old.lost = true
	n := c.newNode()
	n.Start()
	w.Note("%s is to replace %s after step %d", n.Name, old.Name, ro.Step())
	op := w.NewHost("roster-operator-"+n.Name, "north", func() {})
	op.Start()
	var try func()
	try = func() {
		ro, in := c.voters()
		if v, ok := ro.Find(n.Name); ok && v.Incarnation == n.inc {
			c.stepping = false
			c.Steps++
			return
		}
		next, err := ro.Next(old.Name, &quorum.Voter{Name: n.Name, Incarnation: n.inc})
		if err != nil {
			w.Wrong("roster", "%v", err)
			return
		}
		r := in[w.Rng.Intn(len(in))]
		Call(op, r.Host, quorum.Operation{Type: quorum.OpGet, Key: quorum.VoterSetKey}, 900_000, func(q quorum.Operation, rep func(quorum.Result)) { r.Op(q, 0, rep) },
			func(a quorum.Result) {
				if a.Status != quorum.StatusDone {
					return
				}
				Call(op, r.Host, quorum.Operation{Type: quorum.OpPut, Key: quorum.VoterSetKey, Value: next.Bytes(), ExpectedRevision: a.Revision}, 900_000,
					func(q quorum.Operation, rep func(quorum.Result)) { r.Op(q, 0, rep) }, func(quorum.Result) {}, func() {})
			}, func() {})
		op.After(300_000, try)
	}
	try()
}

// heal strikes one machine, once the last one struck has come back: it loses its disk, or
// its power, or goes and another comes; one that went may return, with its old disk.
func (c *Core) heal() {
	w := c.w
	ro, in := c.voters()
	for _, r := range c.Nodes {
		if !r.lost && (!r.up || r.node == nil || r.node.VoterSet().Revision != ro.Revision || !r.node.AllSlotsRecovered()) {
			return
		}
	}
	if len(in) < 3 {
		return
	}
	r := in[w.Rng.Intn(len(in))]
	soon := w.now + 50_000 + w.Rng.Int63n(2_500_000)
	switch w.Rng.Intn(6) {
	case 0, 1:
		w.Note("%s loses its disk", r.Name)
		r.lose()
		w.At(soon, r.restart)
	case 2:
		w.Note("%s goes, and another comes", r.Name)
		r.Kill()
		r.lost = true
		n := c.newNode()
		w.At(soon, n.Start)
	case 3:
		for _, o := range c.Nodes {
			if o.lost {
				w.Note("%s returns with its old disk", o.Name)
				o.lost = false
				o.Start()
				return
			}
		}
		fallthrough
	case 4:
		r.PowerLoss()
		w.At(soon, r.restart)
	case 5:
		for _, o := range c.Nodes {
			o.PowerLoss()
			w.At(w.now+50_000+w.Rng.Int63n(300_000), o.restart)
		}
	}
}

// acked is called when a client has just been told that its change is in force.
func (c *Core) acked() {
	if !c.armed {
		return
	}
	c.armed = false
	for _, r := range c.Nodes {
		r.PowerLoss()
		r.Disk.Stall = 0
		c.w.At(c.w.now+50_000+c.w.Rng.Int63n(1_000_000), r.restart)
	}
}

// CoreDay is one simulated day of the control nodes under a fault. It returns
// what the clients were told, and what was broken, if anything.
type CoreDay struct {
	Acks, Won, Late, Terms, Steps, Ckpts, Joined int
	// Slowest is the longest that a machine took from its start to a firm place.
	Slowest int64
	// Back is how long after the last fault was mended a change was acknowledged.
	Back  int64
	Wrong []string
	Notes []string
}

// RunCore runs one day.
func RunCore(seed int64, f Fault, us int64) CoreDay {
	w := NewWorld(seed)
	c := NewCore(w, 4)
	c.Start()
	h := NewHistory(w, "plan")
	for i := 0; i < 3; i++ {
		NewOperator(c, fmt.Sprint("operator", i), h, 60).Start()
	}
	// Keys that are seldom changed and often read show what surfaces late.
	for i := 0; i < 4; i++ {
		NewOperator(c, fmt.Sprint("reader", i), NewHistory(w, fmt.Sprint("rare", i)), 8).Start()
	}
	cl, ho := NewClaimers(c, 3), NewHolders(c, 3)
	c.Plague(f, us)
	ho.plague(us)
	w.Run(us)
	n := h.Acks
	for w.now < us+10_000_000 && h.Acks == n && len(w.wrong) == 0 {
		w.Run(w.now + 50_000)
	}
	d := CoreDay{Acks: h.Acks, Won: cl.Won, Late: cl.Late, Terms: ho.Terms, Steps: c.Steps, Back: w.now - us, Joined: c.Joined, Slowest: c.Slowest}
	if h.Acks == n && len(w.wrong) == 0 {
		w.Wrong("not back", "no change was acknowledged within ten seconds after the last fault")
	}
	for _, r := range c.Nodes {
		d.Ckpts += r.Ckpts
	}
	d.Wrong, d.Notes = w.wrong, w.note
	return d
}
