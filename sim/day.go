package sim

import (
	"fmt"
	"strings"
)

// Day is a kind of simulated day for a whole fleet.
type Day string

// The days. Each causes its failures again and again and ends with a last one.
const (
	Calm       Day = "calm"
	DProxies   Day = "proxies"    // remisiers and runners killed and frozen
	DIndex     Day = "index"      // custodians killed, frozen, isolated
	DControl   Day = "control"    // registrars killed singly and in herds
	DEngines   Day = "engines"    // engines crash, vanish, are replaced, leave; the store is lost
	DNetwork   Day = "network"    // cuts, isolated machines, lost and repeated messages
	DOperators Day = "operators"  // keys taken, weights named, storms of plans
	DWalls     Day = "walls"      // groups walled off, opened, removed and made again
	DRoster    Day = "roster"     // core machines lost for good with both programs, others put in their place
	DWeights   Day = "weights"    // named again and again, engines that refuse, are slow, die half turned
	DNews      Day = "news"       // reports lost, hand-overs fail quietly
	DAll       Day = "everything" // all of it at once
)

// Days lists them all.
var Days = []Day{Calm, DProxies, DIndex, DControl, DEngines, DNetwork, DOperators, DWalls, DRoster, DWeights, DNews, DAll}

// Result is what a day came to.
type Result struct {
	Tally
	// Back is how long after the last fault was mended a ticket was done.
	Back  int64
	Wrong []string
	Notes []string
}

const (
	quiet = 3_000_000 // a fleet starts up before anything is done to it
)

// RunFleet runs one day of so many microseconds.
func RunFleet(seed int64, day Day, us int64, z FleetSize) Result {
	f := NewFleet(seed, z)
	w := f.W
	s := NewScript(f)
	w.At(1_300_000, func() { s.Put(nil) })
	w.At(quiet-500_000, func() { f.call(s, us) })
	w.At(quiet, func() { f.trouble(day, s, us) })
	w.Run(us)
	f.mend()
	// Callers go on; service must come back.
	f.judge.lastOK = 0
	w.At(us, func() { f.call(s, us+10_000_000) })
	for w.now < us+10_000_000 && f.judge.lastOK == 0 && len(w.wrong) == 0 {
		w.Run(w.now + 20_000)
	}
	r := Result{Back: w.now - us}
	if f.judge.lastOK == 0 && len(w.wrong) == 0 {
		w.Wrong("not back", "no ticket was done within ten seconds after the last fault")
	}
	for _, p := range f.Proxies {
		if p.up {
			f.Seen.Arrived += p.d.Counters.Arrived
			f.Seen.Retries += p.d.Counters.Retries
			f.Seen.Attempts += p.d.Counters.Attempts
		}
	}
	// A tenth of traffic, and what each proxy's budget may have saved up.
	if t := f.Seen; t.Retries > t.Arrived/10+1 {
		w.Wrong("retries", "%d retries for %d tickets", t.Retries, t.Arrived)
	}
	r.Tally, r.Wrong, r.Notes = f.Seen, w.wrong, w.note
	return r
}

// call sends tickets until a true time, some of them twice at two proxies.
func (f *Fleet) call(s *Script, until int64) {
	w := f.W
	if w.now >= until {
		return
	}
	w.At(w.now+5_000+w.Rng.Int63n(40_000), func() { f.call(s, until) })
	f.sent++
	g := simGroups[w.Rng.Intn(len(simGroups))]
	kind := []string{"check", "confirmation", "tag"}[w.Rng.Intn(3)]
	prompt := fmt.Sprintf("%d", f.sent)
	if kind != "tag" {
		doc := g
		if f.Docs > 0 {
			doc += fmt.Sprint(w.Rng.Intn(f.Docs))
		}
		prompt = strings.Repeat(doc+" shares this much of every prompt. ", 220) + prompt
	}
	due := map[string]int64{"check": 8_000_000, "confirmation": 6_000_000, "tag": 5_000_000}[kind]
	n := 1
	if onceKinds[kind] && w.Rng.Intn(8) == 0 {
		n = 2 + w.Rng.Intn(2)
	}
	key := s.keys[g]
	if key > 0 && w.Rng.Intn(5) == 0 {
		key-- // a caller that still uses the key that was taken
	}
	era := max(1, f.callerEra)
	pace := int64(0)
	if w.Rng.Intn(12) == 0 {
		pace = 200_000 + w.Rng.Int63n(1_300_000) // a long answer: much happens while it runs
	}
	for i := 0; i < n; i++ {
		p := f.Proxies[w.Rng.Intn(len(f.Proxies))]
		x := &send{group: g, kind: kind, id: fmt.Sprint("t", f.sent), digest: simKey(g, key), proxy: p, era: era, pace: pace}
		after := int64(i) * w.Rng.Int63n(3_000_000)
		if i > 0 && w.Rng.Intn(4) == 0 {
			after += w.Rng.Int63n(20_000_000) // a resend long after
		}
		w.At(w.now+after, func() {
			f.Seen.Sent++
			x.due = w.now + due
			if !p.up {
				f.Seen.Lost++
				return
			}
			l := p.life
			w.At(w.now+300, func() { p.run(l, func() { p.arrive(x, prompt, due) }) })
		})
	}
}

func (f *Fleet) trouble(day Day, s *Script, until int64) {
	w := f.W
	switch day {
	case Calm:
		return
	case DNews, DAll:
		f.MuteNews, f.HandFail = 200, 300
	}
	if day == DNetwork || day == DAll {
		w.Loss, w.Dup = 10, 10
	}
	kinds := []Day{DProxies, DIndex, DControl, DEngines, DNetwork, DOperators, DWalls, DRoster, DWeights}
	var next func()
	next = func() {
		if w.now >= until {
			return
		}
		k := day
		if day == DAll {
			k = kinds[w.Rng.Intn(len(kinds))]
		}
		f.strike(k, s)
		w.At(w.now+300_000+w.Rng.Int63n(2_500_000), next)
	}
	next()
	if day != DOperators {
		var ops func()
		ops = func() {
			if w.now < until {
				f.strike(DOperators, s)
				w.At(w.now+4_000_000+w.Rng.Int63n(4_000_000), ops)
			}
		}
		w.At(w.now+1_000_000, ops)
	}
}

func pickOne[T any](w *World, xs []T) T { return xs[w.Rng.Intn(len(xs))] }

func (f *Fleet) strike(k Day, s *Script) {
	w := f.W
	harm := func(h *Host, most int64) {
		d := 50_000 + w.Rng.Int63n(most)
		switch w.Rng.Intn(3) {
		case 0:
			h.Freeze()
			w.At(w.now+d, h.Thaw)
		default:
			h.Kill()
			w.At(w.now+d, h.Start)
		}
	}
	switch k {
	case DProxies:
		if w.Rng.Intn(2) == 0 {
			harm(pickOne(w, f.Proxies).Host, 3_000_000)
		} else {
			harm(pickOne(w, f.Runners).Host, 6_000_000)
		}
	case DIndex:
		if w.Rng.Intn(6) == 0 {
			for _, c := range f.Custodians {
				harm(c.Host, 1_500_000)
			}
			return
		}
		c := pickOne(w, f.Custodians)
		if w.Rng.Intn(4) == 0 {
			w.Isolate(c.Name)
			w.At(w.now+w.Rng.Int63n(4_000_000), w.HealAll)
			return
		}
		harm(c.Host, 5_000_000)
	case DControl:
		switch w.Rng.Intn(8) {
		case 0:
			f.Core.strike(Herd)
		case 1:
			f.Core.strike(Power)
		case 2:
			f.Core.strike(Freezes)
		default:
			f.Core.strike(Kills)
		}
	case DEngines:
		e := pickOne(w, f.Engines)
		switch w.Rng.Intn(4) {
		case 0:
			if !e.store {
				s.Leave(e.Name, 2_000_000+w.Rng.Int63n(8_000_000))
			}
		case 1:
			e.Freeze()
			w.At(w.now+w.Rng.Int63n(2_000_000), e.Thaw)
		default:
			e.Kill()
			w.At(w.now+50_000+w.Rng.Int63n(4_000_000), e.Start)
		}
	case DNetwork:
		switch w.Rng.Intn(4) {
		case 0:
			f.Core.strike(Cuts)
		case 1:
			f.Core.strike(OneWay)
		default:
			w.Isolate(pickOne(w, w.hosts).Name)
		}
		w.At(w.now+200_000+w.Rng.Int63n(3_000_000), w.HealAll)
	case DWeights:
		e := pickOne(w, f.Engines)
		switch w.Rng.Intn(7) {
		case 0, 1, 2:
			s.Name()
		case 3:
			e.stuck = true
			w.At(w.now+2_000_000+w.Rng.Int63n(20_000_000), func() { e.stuck = false })
		case 4:
			e.slow = w.Rng.Int63n(4_000_000)
		case 5:
			// It dies half turned, or at once, and comes back with what it had.
			w.At(w.now+w.Rng.Int63n(1_500_000), e.Kill)
			w.At(w.now+2_000_000+w.Rng.Int63n(2_000_000), e.Start)
		default:
			c := pickOne(w, f.Custodians)
			c.Kill()
			w.At(w.now+100_000+w.Rng.Int63n(3_000_000), c.Start)
		}
	case DRoster:
		n := len(f.Core.Nodes)
		f.Core.replace()
		if len(f.Core.Nodes) > n && w.Rng.Intn(2) == 0 {
			// The machine's other program goes with it, and starts on the new one.
			c := pickOne(w, f.Custodians)
			c.Kill()
			w.At(w.now+1_000_000+w.Rng.Int63n(3_000_000), c.Start)
		} else if w.Rng.Intn(3) == 0 {
			f.strike(DControl, s)
		}
	case DWalls:
		g := pickOne(w, simGroups)
		switch w.Rng.Intn(6) {
		case 0:
			s.Name()
		case 1, 2:
			s.Remove(g)
		default:
			s.Wall(g)
		}
	case DOperators:
		switch w.Rng.Intn(4) {
		case 0:
			s.Name()
		case 1:
			for i := int64(0); i < 10; i++ {
				w.At(w.now+i*30_000, func() { s.Put(nil) })
			}
		default:
			s.TakeKey(pickOne(w, simGroups))
		}
	}
}

// mend ends all faults.
func (f *Fleet) mend() {
	w := f.W
	w.Loss, w.Dup = 0, 0
	f.MuteNews, f.HandFail = 0, 0
	f.Core.armed = false
	w.HealAll()
	lost := map[*Host]bool{}
	for _, r := range f.Core.Nodes {
		lost[r.Host] = r.lost
	}
	for _, h := range w.hosts {
		h.Thaw()
		if !lost[h] {
			h.Start()
		}
	}
	for _, r := range f.Core.Nodes {
		r.Disk.Stall = 0
	}
}
