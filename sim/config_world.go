package sim

import (
	"fmt"

	"violetthread/quorum"
	"violetthread/route"
	"violetthread/wal"
)

const (
	// platformLeaseUS is the leader's lease of a slot on the users' platform
	// (platform.Control).
	platformLeaseUS = 600_000
	// acknowledgementBoundUS limits the time until a valid change is acknowledged while a
	// majority is reachable.
	acknowledgementBoundUS = 4_000_000
)

// configLog has room for configurations of some hundred routes.
var configLog = wal.Config{SegmentCount: 10, SegmentBytes: 64 << 10}

// tolerates returns how many control nodes may be lost at once, as the platform's deployments
// require: one of four, two of five and of eight.
func tolerates(nodes int) int { return min(2, (nodes-1)/2) }

// rejoinPeriodUS is how long after its return a node still counts as lost.
func rejoinPeriodUS(nodes int) int64 {
	if nodes <= 4 {
		return 4_000_000
	}
	return 6_000_000
}

// ConfigWorld is a cluster of control nodes with operators that change the configuration and
// the weights, readers, proxies that serve by both, and checks of all of them.
type ConfigWorld struct {
	World           *World
	Cluster         *Cluster
	Config          *ConfigHistory
	Weights         *WeightsHistory
	Operators       []*ConfigOperator
	WeightsOperator *WeightsOperator
	Readers         []*ConfigReader
	Proxies         []*ConfigProxy
	Serve           *ServeChecker
	directories     *Directories
}

// NewConfigWorld makes a world with the given number of control nodes and no clients yet.
func NewConfigWorld(seed int64, nodes int, format ConfigFormat) *ConfigWorld {
	world := NewWorld(seed)
	cluster := NewCluster(world, nodes)
	cluster.leaseUS, cluster.logConfig = platformLeaseUS, configLog
	configWorld := &ConfigWorld{World: world, Cluster: cluster, Config: NewConfigHistory(world, format), Weights: NewWeightsHistory(world)}
	configWorld.directories = NewDirectories(cluster)
	configWorld.Serve = &ServeChecker{config: configWorld.Config, weights: configWorld.Weights}
	return configWorld
}

// AddOperators adds operators. The first one sends the first configuration.
func (cw *ConfigWorld) AddOperators(n int) {
	for range n {
		i := len(cw.Operators)
		o := NewConfigOperator(cw.Cluster, fmt.Sprint("operator", i), zones[i%len(zones)], cw.Config)
		cw.Operators = append(cw.Operators, o)
	}
}

// AddWeightsOperator adds an operator that adds versions of the weights.
func (cw *ConfigWorld) AddWeightsOperator() {
	cw.WeightsOperator = NewWeightsOperator(cw.Cluster, "namer", zones[0], cw.Weights)
}

// AddReaders adds clients that read the configuration.
func (cw *ConfigWorld) AddReaders(n int, every int64) {
	for range n {
		i := len(cw.Readers)
		cw.Readers = append(cw.Readers, NewConfigReader(cw.Cluster, fmt.Sprint("config-reader", i), zones[i%len(zones)], cw.Config, every))
	}
}

// AddProxies adds proxies.
func (cw *ConfigWorld) AddProxies(n int) {
	for range n {
		i := len(cw.Proxies)
		cw.Proxies = append(cw.Proxies, NewConfigProxy(cw.Cluster, fmt.Sprint("config-proxy", i), zones[i%len(zones)], cw.directories))
	}
	cw.Serve.proxies = cw.Proxies
}

// Start starts the control nodes and proxies at once, and the other clients a second later,
// when the nodes have had time to elect leaders.
func (cw *ConfigWorld) Start() {
	cw.Cluster.Start()
	for _, proxy := range cw.Proxies {
		proxy.Start()
	}
	cw.World.At(1_000_000, func() {
		for _, o := range cw.Operators {
			o.Start()
		}
		for _, r := range cw.Readers {
			r.Start()
		}
		if cw.WeightsOperator != nil {
			cw.WeightsOperator.Start()
		}
	})
	cw.Serve.Watch(cw.World)
}

// Until runs the world until a condition holds, checked every 10 ms, or until the bound or a
// violation. It returns the time that passed.
func (cw *ConfigWorld) Until(bound int64, holds func() bool) (took int64, ok bool) {
	world := cw.World
	from := world.now
	for !holds() {
		if world.now-from >= bound || len(world.violations) > 0 {
			return world.now - from, false
		}
		world.Run(world.now + checkIntervalUS)
	}
	return world.now - from, true
}

// HasConfigLeader reports whether the configuration's slot has a leader.
func (cw *ConfigWorld) HasConfigLeader() bool { return cw.Cluster.LeaderOf(route.ConfigKey) != nil }

// allUp reports whether all control nodes are up and all have recovered every slot.
func (cw *ConfigWorld) allUp() bool {
	for _, node := range cw.Cluster.Nodes {
		if !node.up || node.node == nil || !node.node.AllSlotsRecovered() {
			return false
		}
	}
	return true
}

// AllRecovered reports whether all nodes that were not removed are up, are voters, and have
// all slots recovered under the current voter set.
func (cw *ConfigWorld) AllRecovered() bool {
	for _, node := range cw.Cluster.Nodes {
		if node.removed {
			continue
		}
		if !node.up || node.node == nil || !node.node.AllSlotsRecovered() {
			return false
		}
	}
	return true
}

// slotOf returns the slot of a key, for the default number of slots.
func slotOf(key string) uint16 {
	return quorum.SlotOf(key, quorum.DefaultConfig("", 0).Slots)
}
