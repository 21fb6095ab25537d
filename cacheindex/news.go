package cacheindex

import "sort"

// Op is what a piece of news tells.
type UpdateOp uint8

// Load: Node is now the nearest holder. Drop: Node is a holder no more. Push: the
// part is worth fetching from Node ahead of need.
const (
	OpAdd UpdateOp = iota + 1
	OpRemove
	OpPrefetch
)

// News is one change to where a part is kept.
type Update struct {
	Key  Key
	Node uint64
	Op   UpdateOp
}

// Outbox is a follower's feed of news, numbered and bounded. A follower that
// fell behind, or that followed another life of the box, starts anew from Full.
type UpdateLog struct {
	incarnation uint64
	first       uint64 // number of buf[0]
	updates     []Update
	size        int
	snapshot    func() []Update
	Appended    uint64 // news ever put in
}

// NewOutbox makes a box that keeps the last size news.
func NewUpdateLog(inc uint64, size int, full func() []Update) *UpdateLog {
	return &UpdateLog{incarnation: inc, first: 1, size: size, snapshot: full}
}

// Add puts a piece of news in.
func (o *UpdateLog) Append(n Update) {
	o.Appended++
	o.updates = append(o.updates, n)
	if len(o.updates) > 2*o.size {
		k := len(o.updates) - o.size
		o.first += uint64(k)
		o.updates = append([]Update(nil), o.updates[k:]...)
	}
}

// Reset makes every follower start anew.
func (o *UpdateLog) Reset() {
	o.first += uint64(len(o.updates)) + 1
	o.updates = nil
}

// Batch is an answer to a follower: apply News, after forgetting everything
// from this box if Reset, then ask again with Inc and Next.
type UpdateBatch struct {
	Incarnation, Next uint64
	Reset             bool
	Updates           []Update
}

// Since answers a follower that has everything of inc below next.
func (o *UpdateLog) Since(inc, next uint64, most int) UpdateBatch {
	end := o.first + uint64(len(o.updates))
	if inc != o.incarnation || next < o.first || next > end {
		return UpdateBatch{o.incarnation, end, true, o.snapshot()}
	}
	ns := o.updates[next-o.first:]
	if len(ns) > most {
		ns = ns[:most]
	}
	return UpdateBatch{o.incarnation, next + uint64(len(ns)), false, append([]Update(nil), ns...)}
}

// Place tells how a holder lies: its site, and whether it is the store.
type Location struct {
	Zone  string
	Store bool
}

// Directory is what a shard's owner knows: every holder of every part of its
// shards. It tells each site only what changes that site's nearest holder.
type Directory struct {
	locations    map[uint64]Location
	holders      map[Key][]uint64
	zoneLogs     map[string]*UpdateLog
	prefetchLogs map[string]*UpdateLog
	incarnation  uint64
	maxBlocks    int
	// Changes counts loads and drops taken in; news to everyone would have
	// been Changes times the number of nodes.
	Changes uint64
}

// NewDirectory makes a directory that keeps at most most parts.
func NewDirectory(inc uint64, most int) *Directory {
	return &Directory{locations: map[uint64]Location{}, holders: map[Key][]uint64{}, zoneLogs: map[string]*UpdateLog{}, prefetchLogs: map[string]*UpdateLog{}, incarnation: inc, maxBlocks: most}
}

// Box returns a site's feed, made when first asked for.
func (d *Directory) ZoneLog(site string) *UpdateLog {
	b := d.zoneLogs[site]
	if b == nil {
		b = NewUpdateLog(d.incarnation, 1<<14, func() []Update {
			var ns []Update
			for k := range d.holders {
				if n := d.nearest(k, site); n != 0 {
					ns = append(ns, Update{k, n, OpAdd})
				}
			}
			sort.Slice(ns, func(i, j int) bool { return ns[i].Key.Hi < ns[j].Key.Hi })
			return ns
		})
		d.zoneLogs[site] = b
	}
	return b
}

// PushBox returns a site's feed of parts worth fetching ahead of need, made when
// first asked for. What a follower missed is not said again.
func (d *Directory) PrefetchLog(site string) *UpdateLog {
	b := d.prefetchLogs[site]
	if b == nil {
		b = NewUpdateLog(d.incarnation, 1<<12, func() []Update { return nil })
		d.prefetchLogs[site] = b
	}
	return b
}

// push tells the sites that lack a part of it once a second site has it: what
// two subtrees fetched, others will want (the paper's push shared).
func (d *Directory) suggestPrefetch(k Key, loaded uint64) {
	at := map[string]bool{}
	for _, h := range d.holders[k] {
		if p, ok := d.locations[h]; ok && !p.Store {
			at[p.Zone] = true
		}
	}
	if p := d.locations[loaded]; len(at) != 2 || p.Store || !at[p.Zone] {
		return
	}
	for s, b := range d.prefetchLogs {
		if !at[s] {
			b.Append(Update{k, loaded, OpPrefetch})
		}
	}
}

// Know sets where a holder lies; without a place it is nobody's nearest.
func (d *Directory) SetLocation(node uint64, p Location) { d.locations[node] = p }

// Len counts parts.
func (d *Directory) Len() int { return len(d.holders) }

// Sent counts the news put into all sites' feeds.
func (d *Directory) UpdatesSent() uint64 {
	var n uint64
	for _, b := range d.zoneLogs {
		n += b.Appended
	}
	return n
}

// Holders lists who keeps k.
func (d *Directory) HoldersOf(k Key) []uint64 { return d.holders[k] }

func (d *Directory) rank(node uint64, site string) int {
	p, ok := d.locations[node]
	switch {
	case !ok:
		return 9
	case p.Store:
		return 2
	case p.Zone == site:
		return 0
	default:
		return 1
	}
}

func (d *Directory) nearest(k Key, site string) uint64 {
	var best uint64
	br := 9
	for _, n := range d.holders[k] { // the earliest holder wins a tie
		if r := d.rank(n, site); r < br {
			best, br = n, r
		}
	}
	return best
}

// Apply takes news in and passes on what changes a site's nearest holder.
func (d *Directory) Apply(n Update) {
	hs := d.holders[n.Key]
	at := -1
	for i, h := range hs {
		if h == n.Node {
			at = i
		}
	}
	if n.Op == OpAdd && at >= 0 || n.Op == OpRemove && at < 0 || n.Op == OpAdd && hs == nil && len(d.holders) >= d.maxBlocks {
		return
	}
	d.Changes++
	was := map[string]uint64{}
	for s := range d.zoneLogs {
		was[s] = d.nearest(n.Key, s)
	}
	if n.Op == OpAdd {
		d.holders[n.Key] = append(hs, n.Node)
	} else if hs = append(append([]uint64(nil), hs[:at]...), hs[at+1:]...); len(hs) > 0 {
		d.holders[n.Key] = hs
	} else {
		delete(d.holders, n.Key)
	}
	if n.Op == OpAdd {
		d.suggestPrefetch(n.Key, n.Node)
	}
	for s, w := range was {
		switch now := d.nearest(n.Key, s); {
		case now == w:
		case now != 0:
			d.zoneLogs[s].Append(Update{n.Key, now, OpAdd})
		default:
			d.zoneLogs[s].Append(Update{n.Key, w, OpRemove})
		}
	}
}

// ForgetIf drops the holdings for which gone is true.
func (d *Directory) RemoveIf(gone func(Key, uint64) bool) {
	var ns []Update
	for k, hs := range d.holders {
		for _, h := range hs {
			if gone(k, h) {
				ns = append(ns, Update{k, h, OpRemove})
			}
		}
	}
	for _, n := range ns {
		d.Apply(n)
	}
}

// ForgetKeys drops parts that no longer belong here. Nobody is told: their new
// owner tells of them.
func (d *Directory) RetainKeys(keep func(Key) bool) {
	for k := range d.holders {
		if !keep(k) {
			delete(d.holders, k)
		}
	}
}

// Grades estimates, per peer, how often a hand-over from it succeeds. Nothing
// tells so at the time; it is learnt from what the taker later reports.
type TransferScores struct {
	byPeer map[uint64]*transferScore
}

type transferScore struct {
	permille      int64 // thousandths
	probeAt       int64
	probeInterval int64
}

const (
	initialScore   = 800
	minUsableScore = 450
)

// NewGrades makes an empty estimate.
func NewTransferScores() *TransferScores { return &TransferScores{byPeer: map[uint64]*transferScore{}} }

// Learn takes in how one hand-over from peer went.
func (s *TransferScores) Record(now int64, peer uint64, ok bool) {
	e := s.byPeer[peer]
	if e == nil {
		e = &transferScore{permille: initialScore}
		s.byPeer[peer] = e
	}
	if ok {
		e.permille += (1000 - e.permille) / 3
		e.probeInterval = 0
		return
	}
	e.permille -= e.permille / 2
	// A failing link is probed sparingly: the pauses double up to a minute.
	e.probeInterval = min(max(2*e.probeInterval, 1_000_000), 60_000_000)
	e.probeAt = now + e.probeInterval
}

// Worth is the estimate in thousandths; a link due for a probe counts as just
// worth trying.
func (s *TransferScores) Score(now int64, peer uint64) int {
	e := s.byPeer[peer]
	switch {
	case e == nil:
		return initialScore
	case e.permille < minUsableScore && now >= e.probeAt:
		e.probeAt = now + max(e.probeInterval, 1_000_000)
		return minUsableScore
	}
	return int(e.permille)
}

// Known lists peers with an estimate.
func (s *TransferScores) Peers() []uint64 {
	var ps []uint64
	for p := range s.byPeer {
		ps = append(ps, p)
	}
	sort.Slice(ps, func(i, j int) bool { return ps[i] < ps[j] })
	return ps
}

// Usable reports whether a worth justifies a hand-over at all.
func UsableScore(worth int) bool { return worth >= minUsableScore }
