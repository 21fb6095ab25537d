package sim

import (
	"fmt"

	"violetthread/quorum"
)

// LeaseClients contend for a role: at no instant do two believe that they hold its lease.
type LeaseClients struct {
	cluster   *Cluster
	hosts     []*Host
	leaseEnds map[*Host]int64 // by its own clock
	Leases    int
}

const simLeaseUS = 900_000

// NewLeaseClients adds so many clients that contend for one role.
func NewLeaseClients(cluster *Cluster, count int) *LeaseClients {
	clients := &LeaseClients{cluster: cluster, leaseEnds: map[*Host]int64{}}
	for i := 0; i < count; i++ {
		host := cluster.world.NewHost(fmt.Sprint("holder", i), "south", nil)
		host.boot = func() {
			epoch := uint64(0)
			clients.leaseEnds[host] = 0
			host.Every(150_000, func() { clients.acquire(host, &epoch) })
		}
		clients.hosts = append(clients.hosts, host)
		host.Start()
	}
	cluster.world.invariants = append(cluster.world.invariants, clients.checkOneHolder)
	return clients
}

func (c *LeaseClients) acquire(host *Host, epoch *uint64) {
	node := c.cluster.Nodes[c.cluster.world.Rng.Intn(len(c.cluster.Nodes))]
	at := host.Clock()
	Call(host, node.Host, quorum.Operation{Type: quorum.OpAcquire, Key: "duty/one", ExpectedRevision: *epoch, Holder: fmt.Sprint(host.Name, "#", host.process), LeaseDuration: simLeaseUS}, 500_000,
		node.serve,
		func(result quorum.Result) {
			if result.Status != quorum.StatusDone {
				return
			}
			if *epoch != result.Revision {
				c.Leases++
			}
			*epoch = result.Revision
			c.leaseEnds[host] = max(c.leaseEnds[host], at+simLeaseUS-50_000)
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
	host := c.hosts[world.Rng.Intn(len(c.hosts))]
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

func (c *LeaseClients) checkOneHolder() {
	holder := ""
	for _, host := range c.hosts {
		endsAt := c.leaseEnds[host]
		if !host.up || host.Clock() >= endsAt {
			continue
		}
		if holder != "" {
			c.cluster.world.Violation("two holders", "%s and %s", holder, host.Name)
		}
		holder = host.Name
	}
}
