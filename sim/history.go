package sim

import (
	"fmt"

	"violetthread/quorum"
)

// A client drives one key and remembers what it was told, in true time.
type seenOp struct {
	from, to int64
	rev      uint64
	val      string
	put      bool
}

// History judges the operations on one key: with a revision on every answer,
// linearizable means that revisions never go back in real time, that a change
// gets a revision above all that ended before it began, and that a revision has
// one value.
type History struct {
	w    *World
	key  string
	ops  []seenOp
	vals map[uint64]string
	Acks int
}

// NewHistory starts a history of a key.
func NewHistory(w *World, key string) *History {
	return &History{w: w, key: key, vals: map[uint64]string{}}
}

func (h *History) add(o seenOp) {
	if v, ok := h.vals[o.rev]; ok && v != o.val {
		h.w.Wrong("two values", "%s revision %d was %q and %q", h.key, o.rev, v, o.val)
	}
	h.vals[o.rev] = o.val
	for _, p := range h.ops {
		switch {
		case p.to < o.from && (o.rev < p.rev || o.put && o.rev == p.rev):
			h.w.Wrong("went back", "%s: revision %d at %d..%d after %d was seen at %d..%d", h.key, o.rev, o.from, o.to, p.rev, p.from, p.to)
		case o.to < p.from && (p.rev < o.rev || p.put && o.rev == p.rev):
			h.w.Wrong("went back", "%s: revision %d after %d", h.key, p.rev, o.rev)
		case o.put && p.put && o.rev == p.rev:
			h.w.Wrong("two changes", "%s: revision %d was given twice", h.key, o.rev)
		}
	}
	h.ops = append(h.ops, o)
	if o.put {
		h.Acks++
	}
}

// Operator is a client that changes and reads one key through any node.
type Operator struct {
	*Host
	core *Core
	h    *History
	n    int
	// puts is how many of a hundred operations change the key.
	puts int
}

// NewOperator adds a client.
func NewOperator(c *Core, name string, h *History, puts int) *Operator {
	o := &Operator{core: c, h: h, puts: puts}
	o.Host = c.w.NewHost(name, "north", func() { o.Every(40_000, o.act) })
	return o
}

func (o *Operator) act() {
	w := o.core.w
	r := o.core.Nodes[w.Rng.Intn(len(o.core.Nodes))]
	op := quorum.Operation{Type: quorum.OpGet, Key: o.h.key}
	o.n++
	if w.Rng.Intn(100) < o.puts {
		op.Type, op.ExpectedRevision, op.Value = quorum.OpPut, quorum.AnyRevision, []byte(fmt.Sprintf("%s-%d", o.Name, o.n))
	}
	from := w.now
	Call(o.Host, r.Host, op, 900_000, func(q quorum.Operation, rep func(quorum.Result)) { r.Op(q, 0, rep) },
		func(a quorum.Result) {
			if a.Status == quorum.StatusDone {
				o.h.add(seenOp{from, w.now, a.Revision, string(a.Value), op.Type == quorum.OpPut})
				if op.Type == quorum.OpPut {
					o.core.acked()
				}
			}
		}, func() {})
}

// Claimers race for claims: of all that ask for one key, one at most is ever told
// that it holds it.
type Claimers struct {
	core *Core
	held map[string]string
	Won  int
	// Late counts claims of eras that were over when they were asked for.
	Late int
}

// NewClaimers adds n clients that race for claims.
func NewClaimers(c *Core, n int) *Claimers {
	x := &Claimers{core: c, held: map[string]string{}}
	for i := 0; i < n; i++ {
		h := c.w.NewHost(fmt.Sprint("claimer", i), "east", nil)
		k := 0
		h.boot = func() {
			h.Every(25_000, func() {
				k++
				era := max(1, c.newest())
				x.claim(h, quorum.ClaimKey(era, fmt.Sprintf("g/%d", k/2)), fmt.Sprintf("%s-%d-%d", h.Name, h.life, k))
				if k%8 == 0 {
					// Much later somebody asks for what was long ago granted.
					x.claim(h, quorum.ClaimKey(max(1, era-min(era, uint64(c.w.Rng.Intn(9)))), fmt.Sprintf("g/%d", c.w.Rng.Intn(k/2+1))), fmt.Sprintf("%s-%d-%d-late", h.Name, h.life, k))
				}
			})
		}
		h.Start()
	}
	return x
}

// newest is the newest era that any control node heard of.
func (c *Core) newest() (e uint64) {
	for _, r := range c.Nodes {
		e = max(e, r.era)
	}
	return e
}

func (x *Claimers) claim(h *Host, key, nonce string) {
	r := x.core.Nodes[x.core.w.Rng.Intn(len(x.core.Nodes))]
	Call(h, r.Host, quorum.Operation{Type: quorum.OpClaim, Key: key, Value: []byte(nonce)}, 900_000,
		func(q quorum.Operation, rep func(quorum.Result)) { r.Op(q, 0, rep) },
		func(a quorum.Result) {
			if a.Status == quorum.StatusGenerationClosed {
				x.Late++
			}
			if a.Status != quorum.StatusDone {
				return
			}
			if o := x.held[key]; o != "" && o != nonce {
				x.core.w.Wrong("claimed twice", "%s by %s and %s", key, o, nonce)
			}
			x.held[key] = nonce
			x.Won++
		}, func() {})
}

// Holders contend for a duty: at no instant do two believe that they hold it.
type Holders struct {
	core  *Core
	all   []*Host
	until map[*Host]int64 // by its own clock
	Terms int
}

// NewHolders adds n clients that contend for one duty.
func NewHolders(c *Core, n int) *Holders {
	x := &Holders{core: c, until: map[*Host]int64{}}
	for i := 0; i < n; i++ {
		h := c.w.NewHost(fmt.Sprint("holder", i), "south", nil)
		h.boot = func() {
			epoch := uint64(0)
			x.until[h] = 0
			h.Every(150_000, func() { x.hold(h, &epoch) })
		}
		x.all = append(x.all, h)
		h.Start()
	}
	c.w.after = append(c.w.after, x.one)
	return x
}

const simTerm = 900_000

func (x *Holders) hold(h *Host, epoch *uint64) {
	r := x.core.Nodes[x.core.w.Rng.Intn(len(x.core.Nodes))]
	at := h.Clock()
	Call(h, r.Host, quorum.Operation{Type: quorum.OpAcquire, Key: "duty/one", ExpectedRevision: *epoch, Holder: fmt.Sprint(h.Name, "#", h.life), LeaseDuration: simTerm}, 500_000,
		func(q quorum.Operation, rep func(quorum.Result)) { r.Op(q, 0, rep) },
		func(a quorum.Result) {
			if a.Status != quorum.StatusDone {
				return
			}
			if *epoch != a.Revision {
				x.Terms++
			}
			*epoch = a.Revision
			x.until[h] = max(x.until[h], at+simTerm-50_000)
		}, func() {})
}

// plague kills and freezes holders until a true time.
func (x *Holders) plague(until int64) {
	w := x.core.w
	if w.now >= until {
		for _, h := range x.all {
			h.Thaw()
			h.Start()
		}
		return
	}
	h := x.all[w.Rng.Intn(len(x.all))]
	d := 50_000 + w.Rng.Int63n(2_500_000)
	if w.Rng.Intn(2) == 0 {
		h.Freeze()
		w.At(w.now+d, h.Thaw)
	} else {
		h.Kill()
		w.At(w.now+d, h.Start)
	}
	w.At(w.now+300_000+w.Rng.Int63n(2_000_000), func() { x.plague(until) })
}

func (x *Holders) one() {
	n := ""
	for _, h := range x.all {
		u := x.until[h]
		if !h.up || h.Clock() >= u {
			continue
		}
		if n != "" {
			x.core.w.Wrong("two holders", "%s and %s", n, h.Name)
		}
		n = h.Name
	}
}
