package hint

import "sort"

// Op is what a piece of news tells.
type Op uint8

// Load: Node is now the nearest holder. Drop: Node is a holder no more. Push: the
// part is worth fetching from Node ahead of need.
const (
	Load Op = iota + 1
	Drop
	Push
)

// News is one change to where a part is kept.
type News struct {
	Key  Key
	Node uint64
	Op   Op
}

// Outbox is a follower's feed of news, numbered and bounded. A follower that
// fell behind, or that followed another life of the box, starts anew from Full.
type Outbox struct {
	inc   uint64
	first uint64 // number of buf[0]
	buf   []News
	size  int
	full  func() []News
	Sent  uint64 // news ever put in
}

// NewOutbox makes a box that keeps the last size news.
func NewOutbox(inc uint64, size int, full func() []News) *Outbox {
	return &Outbox{inc: inc, first: 1, size: size, full: full}
}

// Add puts a piece of news in.
func (o *Outbox) Add(n News) {
	o.Sent++
	o.buf = append(o.buf, n)
	if len(o.buf) > 2*o.size {
		k := len(o.buf) - o.size
		o.first += uint64(k)
		o.buf = append([]News(nil), o.buf[k:]...)
	}
}

// Reset makes every follower start anew.
func (o *Outbox) Reset() {
	o.first += uint64(len(o.buf)) + 1
	o.buf = nil
}

// Batch is an answer to a follower: apply News, after forgetting everything
// from this box if Reset, then ask again with Inc and Next.
type Batch struct {
	Inc, Next uint64
	Reset     bool
	News      []News
}

// Since answers a follower that has everything of inc below next.
func (o *Outbox) Since(inc, next uint64, most int) Batch {
	end := o.first + uint64(len(o.buf))
	if inc != o.inc || next < o.first || next > end {
		return Batch{o.inc, end, true, o.full()}
	}
	ns := o.buf[next-o.first:]
	if len(ns) > most {
		ns = ns[:most]
	}
	return Batch{o.inc, next + uint64(len(ns)), false, append([]News(nil), ns...)}
}

// Place tells how a holder lies: its site, and whether it is the store.
type Place struct {
	Site  string
	Store bool
}

// Directory is what a shard's owner knows: every holder of every part of its
// shards. It tells each site only what changes that site's nearest holder.
type Directory struct {
	places map[uint64]Place
	hold   map[Key][]uint64
	boxes  map[string]*Outbox
	pushes map[string]*Outbox
	inc    uint64
	most   int
	// Changes counts loads and drops taken in; news to everyone would have
	// been Changes times the number of nodes.
	Changes uint64
}

// NewDirectory makes a directory that keeps at most most parts.
func NewDirectory(inc uint64, most int) *Directory {
	return &Directory{places: map[uint64]Place{}, hold: map[Key][]uint64{}, boxes: map[string]*Outbox{}, pushes: map[string]*Outbox{}, inc: inc, most: most}
}

// Box returns a site's feed, made when first asked for.
func (d *Directory) Box(site string) *Outbox {
	b := d.boxes[site]
	if b == nil {
		b = NewOutbox(d.inc, 1<<14, func() []News {
			var ns []News
			for k := range d.hold {
				if n := d.nearest(k, site); n != 0 {
					ns = append(ns, News{k, n, Load})
				}
			}
			sort.Slice(ns, func(i, j int) bool { return ns[i].Key.Hi < ns[j].Key.Hi })
			return ns
		})
		d.boxes[site] = b
	}
	return b
}

// PushBox returns a site's feed of parts worth fetching ahead of need, made when
// first asked for. What a follower missed is not said again.
func (d *Directory) PushBox(site string) *Outbox {
	b := d.pushes[site]
	if b == nil {
		b = NewOutbox(d.inc, 1<<12, func() []News { return nil })
		d.pushes[site] = b
	}
	return b
}

// push tells the sites that lack a part of it once a second site has it: what
// two subtrees fetched, others will want (the paper's push shared).
func (d *Directory) push(k Key, loaded uint64) {
	at := map[string]bool{}
	for _, h := range d.hold[k] {
		if p, ok := d.places[h]; ok && !p.Store {
			at[p.Site] = true
		}
	}
	if p := d.places[loaded]; len(at) != 2 || p.Store || !at[p.Site] {
		return
	}
	for s, b := range d.pushes {
		if !at[s] {
			b.Add(News{k, loaded, Push})
		}
	}
}

// Know sets where a holder lies; without a place it is nobody's nearest.
func (d *Directory) Know(node uint64, p Place) { d.places[node] = p }

// Len counts parts.
func (d *Directory) Len() int { return len(d.hold) }

// Sent counts the news put into all sites' feeds.
func (d *Directory) Sent() uint64 {
	var n uint64
	for _, b := range d.boxes {
		n += b.Sent
	}
	return n
}

// Holders lists who keeps k.
func (d *Directory) Holders(k Key) []uint64 { return d.hold[k] }

func (d *Directory) rank(node uint64, site string) int {
	p, ok := d.places[node]
	switch {
	case !ok:
		return 9
	case p.Store:
		return 2
	case p.Site == site:
		return 0
	default:
		return 1
	}
}

func (d *Directory) nearest(k Key, site string) uint64 {
	var best uint64
	br := 9
	for _, n := range d.hold[k] { // the earliest holder wins a tie
		if r := d.rank(n, site); r < br {
			best, br = n, r
		}
	}
	return best
}

// Apply takes news in and passes on what changes a site's nearest holder.
func (d *Directory) Apply(n News) {
	hs := d.hold[n.Key]
	at := -1
	for i, h := range hs {
		if h == n.Node {
			at = i
		}
	}
	if n.Op == Load && at >= 0 || n.Op == Drop && at < 0 || n.Op == Load && hs == nil && len(d.hold) >= d.most {
		return
	}
	d.Changes++
	was := map[string]uint64{}
	for s := range d.boxes {
		was[s] = d.nearest(n.Key, s)
	}
	if n.Op == Load {
		d.hold[n.Key] = append(hs, n.Node)
	} else if hs = append(append([]uint64(nil), hs[:at]...), hs[at+1:]...); len(hs) > 0 {
		d.hold[n.Key] = hs
	} else {
		delete(d.hold, n.Key)
	}
	if n.Op == Load {
		d.push(n.Key, n.Node)
	}
	for s, w := range was {
		switch now := d.nearest(n.Key, s); {
		case now == w:
		case now != 0:
			d.boxes[s].Add(News{n.Key, now, Load})
		default:
			d.boxes[s].Add(News{n.Key, w, Drop})
		}
	}
}

// ForgetIf drops the holdings for which gone is true.
func (d *Directory) ForgetIf(gone func(Key, uint64) bool) {
	var ns []News
	for k, hs := range d.hold {
		for _, h := range hs {
			if gone(k, h) {
				ns = append(ns, News{k, h, Drop})
			}
		}
	}
	for _, n := range ns {
		d.Apply(n)
	}
}

// ForgetKeys drops parts that no longer belong here. Nobody is told: their new
// owner tells of them.
func (d *Directory) ForgetKeys(keep func(Key) bool) {
	for k := range d.hold {
		if !keep(k) {
			delete(d.hold, k)
		}
	}
}

// Grades estimates, per peer, how often a hand-over from it succeeds. Nothing
// tells so at the time; it is learnt from what the taker later reports.
type Grades struct {
	m map[uint64]*grade
}

type grade struct {
	worth   int64 // thousandths
	probeAt int64
	wait    int64
}

const (
	gradeStart = 800
	gradeLeast = 450
)

// NewGrades makes an empty estimate.
func NewGrades() *Grades { return &Grades{m: map[uint64]*grade{}} }

// Learn takes in how one hand-over from peer went.
func (g *Grades) Learn(now int64, peer uint64, ok bool) {
	e := g.m[peer]
	if e == nil {
		e = &grade{worth: gradeStart}
		g.m[peer] = e
	}
	if ok {
		e.worth += (1000 - e.worth) / 3
		e.wait = 0
		return
	}
	e.worth -= e.worth / 2
	// A failing link is probed sparingly: the pauses double up to a minute.
	e.wait = min(max(2*e.wait, 1_000_000), 60_000_000)
	e.probeAt = now + e.wait
}

// Worth is the estimate in thousandths; a link due for a probe counts as just
// worth trying.
func (g *Grades) Worth(now int64, peer uint64) int {
	e := g.m[peer]
	switch {
	case e == nil:
		return gradeStart
	case e.worth < gradeLeast && now >= e.probeAt:
		e.probeAt = now + max(e.wait, 1_000_000)
		return gradeLeast
	}
	return int(e.worth)
}

// Known lists peers with an estimate.
func (g *Grades) Known() []uint64 {
	var ps []uint64
	for p := range g.m {
		ps = append(ps, p)
	}
	sort.Slice(ps, func(i, j int) bool { return ps[i] < ps[j] })
	return ps
}

// Usable reports whether a worth justifies a hand-over at all.
func Usable(worth int) bool { return worth >= gradeLeast }
