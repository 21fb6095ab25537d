package sim

import (
	"fmt"

	"violetthread/quorum"
)

const (
	simLeaseUS = 900_000
	// simLeaseMarginUS is how long before the end of its lease a client stops relying on it.
	simLeaseMarginUS = 50_000
)

// LeaseClients compete for the lease of a role and check that no two believe that they hold it
// at the same instant.
type LeaseClients struct {
	Leases int // newly granted leases

	cluster   *Cluster
	hosts     []*Host
	leaseEnds map[*Host]int64 // by the client's own clock
}

// NewLeaseClients adds the given number of clients that compete for one role.
func NewLeaseClients(cluster *Cluster, count int) *LeaseClients {
	clients := &LeaseClients{cluster: cluster, leaseEnds: map[*Host]int64{}}
	for i := 0; i < count; i++ {
		host := cluster.world.NewHost(fmt.Sprint("holder", i), "south", nil)
		host.boot = func() {
			token := uint64(0)
			clients.leaseEnds[host] = 0
			host.Every(150_000, func() { clients.acquire(host, &token) })
		}
		clients.hosts = append(clients.hosts, host)
		host.Start()
	}
	cluster.world.invariants = append(cluster.world.invariants, clients.checkOneHolder)
	return clients
}

// acquire requests the lease, or renews it with its fencing token. The lease counts from
// before the request was sent.
func (c *LeaseClients) acquire(host *Host, token *uint64) {
	node := pick(c.cluster.world, c.cluster.Nodes)
	askedAt := host.Clock()
	op := quorum.Operation{
		Type:             quorum.OpAcquire,
		Key:              "duty/one",
		ExpectedRevision: *token,
		Holder:           fmt.Sprint(host.Name, "#", host.process),
		LeaseDurationUS:  simLeaseUS,
	}
	Call(host, node.Host, op, 500_000, node.serve, func(result quorum.Result) {
		if result.Status != quorum.StatusDone {
			return
		}
		if *token != result.Revision {
			c.Leases++
		}
		*token = result.Revision
		c.leaseEnds[host] = max(c.leaseEnds[host], askedAt+simLeaseUS-simLeaseMarginUS)
	}, func() {})
}

// injectFaults kills and freezes clients until a true time.
func (c *LeaseClients) injectFaults(until int64) {
	world := c.cluster.world
	if world.now >= until {
		for _, host := range c.hosts {
			host.Thaw()
			host.Start()
		}
		return
	}
	host := pick(world, c.hosts)
	durationUS := 50_000 + world.Rng.Int63n(2_500_000)
	if world.Rng.Intn(2) == 0 {
		host.Freeze()
		world.At(world.now+durationUS, host.Thaw)
	} else {
		host.Kill()
		world.At(world.now+durationUS, host.Start)
	}
	world.At(world.now+300_000+world.Rng.Int63n(2_000_000), func() { c.injectFaults(until) })
}

// checkOneHolder checks that at most one client believes that it holds the lease.
func (c *LeaseClients) checkOneHolder() {
	holder := ""
	for _, host := range c.hosts {
		if !host.up || host.Clock() >= c.leaseEnds[host] {
			continue
		}
		if holder != "" {
			c.cluster.world.Violation("two holders", "%s and %s", holder, host.Name)
		}
		holder = host.Name
	}
}
