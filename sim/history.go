package sim

import (
	"fmt"

	"violetthread/quorum"
)

// A client drives one key and remembers what it was told, in true time.
type observedOperation struct {
	invoked, returned int64
	revision          uint64
	value             string
	write             bool
}

// History judges the operations on one key: with a revision on every answer,
// linearizable means that revisions never go back in real time, that a change
// gets a revision above all that ended before it began, and that a revision has
// one value.
type History struct {
	world        *World
	key          string
	operations   []observedOperation
	values       map[uint64]string
	Acknowledged int
}

// NewHistory starts a history of a key.
func NewHistory(world *World, key string) *History {
	return &History{world: world, key: key, values: map[uint64]string{}}
}

func (h *History) add(o observedOperation) {
	if v, ok := h.values[o.revision]; ok && v != o.value {
		h.world.Violation("two values", "%s revision %d was %q and %q", h.key, o.revision, v, o.value)
	}
	h.values[o.revision] = o.value
	for _, p := range h.operations {
		switch {
		case p.returned < o.invoked && (o.revision < p.revision || o.write && o.revision == p.revision):
			h.world.Violation("went back", "%s: revision %d at %d..%d after %d was seen at %d..%d", h.key, o.revision, o.invoked, o.returned, p.revision, p.invoked, p.returned)
		case o.returned < p.invoked && (p.revision < o.revision || p.write && o.revision == p.revision):
			h.world.Violation("went back", "%s: revision %d after %d", h.key, p.revision, o.revision)
		case o.write && p.write && o.revision == p.revision:
			h.world.Violation("two changes", "%s: revision %d was given twice", h.key, o.revision)
		}
	}
	h.operations = append(h.operations, o)
	if o.write {
		h.Acknowledged++
	}
}

// Operator is a client that changes and reads one key through any node.
type RegisterClient struct {
	*Host
	cluster    *Cluster
	history    *History
	operations int
	// puts is how many of a hundred operations change the key.
	writePercent int
}

// NewOperator adds a client.
func NewRegisterClient(c *Cluster, name string, h *History, puts int) *RegisterClient {
	o := &RegisterClient{cluster: c, history: h, writePercent: puts}
	o.Host = c.world.NewHost(name, "north", func() { o.Every(40_000, o.act) })
	return o
}

func (c *RegisterClient) act() {
	world := c.cluster.world
	r := c.cluster.Nodes[world.Rng.Intn(len(c.cluster.Nodes))]
	op := quorum.Operation{Type: quorum.OpGet, Key: c.history.key}
	c.operations++
	if world.Rng.Intn(100) < c.writePercent {
		op.Type, op.ExpectedRevision, op.Value = quorum.OpPut, quorum.AnyRevision, []byte(fmt.Sprintf("%s-%d", c.Name, c.operations))
	}
	from := world.now
	Call(c.Host, r.Host, op, 900_000, func(q quorum.Operation, rep func(quorum.Result)) { r.Forward(q, 0, rep) },
		func(a quorum.Result) {
			if a.Status == quorum.StatusDone {
				c.history.add(observedOperation{from, world.now, a.Revision, string(a.Value), op.Type == quorum.OpPut})
				if op.Type == quorum.OpPut {
					c.cluster.changeAcknowledged()
				}
			}
		}, func() {})
}

// Claimers race for claims: of all that ask for one key, one at most is ever told
// that it holds it.
type ClaimClients struct {
	cluster *Cluster
	holder  map[string]string
	Won     int
	// Late counts claims of eras that were over when they were asked for.
	Late int
}

// NewClaimers adds n clients that race for claims.
func NewClaimClients(c *Cluster, n int) *ClaimClients {
	x := &ClaimClients{cluster: c, holder: map[string]string{}}
	for i := 0; i < n; i++ {
		h := c.world.NewHost(fmt.Sprint("claimer", i), "east", nil)
		k := 0
		h.boot = func() {
			h.Every(25_000, func() {
				k++
				era := max(1, c.newestGeneration())
				x.claim(h, quorum.ClaimKey(era, fmt.Sprintf("g/%d", k/2)), fmt.Sprintf("%s-%d-%d", h.Name, h.process, k))
				if k%8 == 0 {
					// Much later somebody asks for what was long ago granted.
					x.claim(h, quorum.ClaimKey(max(1, era-min(era, uint64(c.world.Rng.Intn(9)))), fmt.Sprintf("g/%d", c.world.Rng.Intn(k/2+1))), fmt.Sprintf("%s-%d-%d-late", h.Name, h.process, k))
				}
			})
		}
		h.Start()
	}
	return x
}

// newest is the newest era that any control node heard of.
func (c *Cluster) newestGeneration() (e uint64) {
	for _, r := range c.Nodes {
		e = max(e, r.generation)
	}
	return e
}

func (c *ClaimClients) claim(h *Host, key, nonce string) {
	r := c.cluster.Nodes[c.cluster.world.Rng.Intn(len(c.cluster.Nodes))]
	Call(h, r.Host, quorum.Operation{Type: quorum.OpClaim, Key: key, Value: []byte(nonce)}, 900_000,
		func(q quorum.Operation, rep func(quorum.Result)) { r.Forward(q, 0, rep) },
		func(a quorum.Result) {
			if a.Status == quorum.StatusGenerationClosed {
				c.Late++
			}
			if a.Status != quorum.StatusDone {
				return
			}
			if o := c.holder[key]; o != "" && o != nonce {
				c.cluster.world.Violation("claimed twice", "%s by %s and %s", key, o, nonce)
			}
			c.holder[key] = nonce
			c.Won++
		}, func() {})
}

// Holders contend for a duty: at no instant do two believe that they hold it.
type LeaseClients struct {
	cluster   *Cluster
	hosts     []*Host
	leaseEnds map[*Host]int64 // by its own clock
	Leases    int
}

// NewHolders adds n clients that contend for one duty.
func NewLeaseClients(c *Cluster, n int) *LeaseClients {
	x := &LeaseClients{cluster: c, leaseEnds: map[*Host]int64{}}
	for i := 0; i < n; i++ {
		h := c.world.NewHost(fmt.Sprint("holder", i), "south", nil)
		h.boot = func() {
			epoch := uint64(0)
			x.leaseEnds[h] = 0
			h.Every(150_000, func() { x.acquire(h, &epoch) })
		}
		x.hosts = append(x.hosts, h)
		h.Start()
	}
	c.world.invariants = append(c.world.invariants, x.checkOneHolder)
	return x
}

const simLeaseUS = 900_000

func (c *LeaseClients) acquire(h *Host, epoch *uint64) {
	r := c.cluster.Nodes[c.cluster.world.Rng.Intn(len(c.cluster.Nodes))]
	at := h.Clock()
	Call(h, r.Host, quorum.Operation{Type: quorum.OpAcquire, Key: "duty/one", ExpectedRevision: *epoch, Holder: fmt.Sprint(h.Name, "#", h.process), LeaseDuration: simLeaseUS}, 500_000,
		func(q quorum.Operation, rep func(quorum.Result)) { r.Forward(q, 0, rep) },
		func(a quorum.Result) {
			if a.Status != quorum.StatusDone {
				return
			}
			if *epoch != a.Revision {
				c.Leases++
			}
			*epoch = a.Revision
			c.leaseEnds[h] = max(c.leaseEnds[h], at+simLeaseUS-50_000)
		}, func() {})
}

// plague kills and freezes holders until a true time.
func (c *LeaseClients) injectFaults(until int64) {
	world := c.cluster.world
	if world.now >= until {
		for _, h := range c.hosts {
			h.Thaw()
			h.Start()
		}
		return
	}
	h := c.hosts[world.Rng.Intn(len(c.hosts))]
	d := 50_000 + world.Rng.Int63n(2_500_000)
	if world.Rng.Intn(2) == 0 {
		h.Freeze()
		world.At(world.now+d, h.Thaw)
	} else {
		h.Kill()
		world.At(world.now+d, h.Start)
	}
	world.At(world.now+300_000+world.Rng.Int63n(2_000_000), func() { c.injectFaults(until) })
}

func (c *LeaseClients) checkOneHolder() {
	n := ""
	for _, h := range c.hosts {
		u := c.leaseEnds[h]
		if !h.up || h.Clock() >= u {
			continue
		}
		if n != "" {
			c.cluster.world.Violation("two holders", "%s and %s", n, h.Name)
		}
		n = h.Name
	}
}
