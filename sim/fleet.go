package sim

import (
	"fmt"

	"violetthread/index"
	"violetthread/wal"
)

// Fleet is a whole fleet: control nodes, index nodes, gateways with their agents,
// engines, the platform and callers, all running the daemons' deciding code.
type Fleet struct {
	World            *World
	Cluster          *Cluster
	IndexNodes       []*IndexNode
	Gateways         []*Gateway
	Agents           []*Agent
	Engines          []*Engine
	Platform         *Host
	listing          []index.ListedEngine
	services         map[*ControlNode]*controlServices
	checker          *checker
	requestsSent     int
	nameWeights      func() // names new weights, for last faults
	callerGeneration uint64 // newest that any gateway told its callers
	// MuteNews loses this part of hint news, in thousandths.
	EventLossPermille int
	// HandFail makes this part of hand-overs fail quietly, in thousandths.
	TransferFailurePermille int
	// SlowFrom are peers whose hand-overs take longer than anyone waits, and
	// Unlearnt leaves what was learnt of links out of all orders.
	SlowTransfersFrom  map[string]bool
	HideTransferScores bool
	// Docs is how many long beginnings each group's prompts have; 0 is one.
	Documents int
	Tally     Tally
}

// FleetSize says how large a simulated fleet is.
type FleetSize struct{ Gateways, Engines int }

// NewFleet makes a fleet and starts it.
func NewFleet(seed int64, size FleetSize) *Fleet {
	world := NewWorld(seed)
	fleet := &Fleet{World: world, Cluster: NewCluster(world, 4), services: map[*ControlNode]*controlServices{}}
	fleet.Cluster.generationUS = 4_000_000
	fleet.Cluster.logConfig = wal.Config{SegmentCount: 16, SegmentBytes: 64 << 10}
	fleet.checker = newChecker(fleet)
	fleet.Platform = world.NewHost("platform", "north", func() {})
	fleet.Platform.Start()
	for _, r := range fleet.Cluster.Nodes {
		fleet.addServices(r)
	}
	fleet.Cluster.onNewNode = fleet.addServices
	fleet.Cluster.Start()
	for i := 0; i < size.Engines; i++ {
		engine := newEngine(fleet, fmt.Sprintf("e%02d", i), zones[i%len(zones)], false)
		fleet.Engines = append(fleet.Engines, engine)
		fleet.listing = append(fleet.listing, index.ListedEngine{Name: engine.Name, Addr: engine.Name, Zone: engine.Zone})
		engine.Start()
	}
	store := newEngine(fleet, "store", zones[0], true)
	fleet.Engines = append(fleet.Engines, store)
	fleet.listing = append(fleet.listing, index.ListedEngine{Name: "store", Addr: "store", Zone: zones[0], Store: true})
	store.Start()
	for i := 0; i < 4; i++ {
		indexNode := &IndexNode{fleet: fleet}
		indexNode.Host = world.NewHost(fmt.Sprint("custodian", i), zones[i], indexNode.start)
		fleet.IndexNodes = append(fleet.IndexNodes, indexNode)
		indexNode.Start()
	}
	for i := 0; i < size.Gateways; i++ {
		r := &Agent{fleet: fleet, gateway: fmt.Sprint("remisier", i)}
		r.Host = world.NewHost(fmt.Sprint("runner", i), zones[i%len(zones)], r.start)
		gateway := &Gateway{fleet: fleet, agent: r}
		gateway.Host = world.NewHost(r.gateway, r.Zone, gateway.start)
		gateway.onStop = gateway.stopped
		fleet.Agents, fleet.Gateways = append(fleet.Agents, r), append(fleet.Gateways, gateway)
		r.Start()
		gateway.Start()
	}
	world.invariants = append(world.invariants, fleet.checker.checkInvariants)
	return fleet
}

func (f *Fleet) engineNamed(n string) *Engine {
	for _, engine := range f.Engines {
		if engine.Name == n {
			return engine
		}
	}
	return nil
}

func (f *Fleet) indexNodeNamed(n string) *IndexNode {
	for _, indexNode := range f.IndexNodes {
		if indexNode.Name == n {
			return indexNode
		}
	}
	return nil
}
