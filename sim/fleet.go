package sim

import (
	"fmt"

	"violetthread/index"
	"violetthread/wal"
)

// Fleet is a whole fleet: control nodes, index nodes, gateways with their agents, engines, the
// platform and callers. All daemons run their real decision logic.
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
	changeWeights    func() // sets new weights, for final faults
	callerGeneration uint64 // newest generation of claims that a gateway passed on to callers
	// EventLossPermille is the fraction of engine events that are lost, in thousandths.
	EventLossPermille int
	// TransferFailurePermille is the fraction of cache transfers that fail silently, in
	// thousandths.
	TransferFailurePermille int
	// SlowTransfersFrom are the addresses of engines from which transfers take longer than any
	// wait.
	SlowTransfersFrom map[string]bool
	// HideTransferScores removes the learned scores of transfer links from all grants.
	HideTransferScores bool
	// Documents is the number of long shared prefixes among each group's prompts; 0 means one.
	Documents int
	Tally     Tally
}

// FleetSize is the size of a simulated fleet.
type FleetSize struct{ Gateways, Engines int }

// NewFleet creates and starts a fleet.
func NewFleet(seed int64, size FleetSize) *Fleet {
	world := NewWorld(seed)
	f := &Fleet{World: world, Cluster: NewCluster(world, 4), services: map[*ControlNode]*controlServices{}}
	f.checker = newChecker(f)
	f.Platform = world.NewHost("platform", "north", func() {})
	f.Platform.Start()
	f.startCluster()
	for i := 0; i < size.Engines; i++ {
		f.addEngine(fmt.Sprintf("e%02d", i), zones[i%len(zones)], false)
	}
	f.addEngine("store", zones[0], true)
	for i := 0; i < 4; i++ {
		f.addIndexNode(i)
	}
	for i := 0; i < size.Gateways; i++ {
		f.addGateway(i)
	}
	world.invariants = append(world.invariants, f.checker.checkInvariants)
	return f
}

func (f *Fleet) startCluster() {
	f.Cluster.generationUS = 4_000_000
	f.Cluster.logConfig = wal.Config{SegmentCount: 16, SegmentBytes: 64 << 10}
	for _, node := range f.Cluster.Nodes {
		f.addServices(node)
	}
	f.Cluster.onNewNode = f.addServices
	f.Cluster.Start()
}

// addEngine starts an engine or the store, and adds it to the platform's list.
func (f *Fleet) addEngine(name, zone string, store bool) {
	engine := newEngine(f, name, zone, store)
	f.Engines = append(f.Engines, engine)
	f.listing = append(f.listing, index.ListedEngine{Name: name, Addr: name, Zone: zone, Store: store})
	engine.Start()
}

func (f *Fleet) addIndexNode(number int) {
	indexNode := &IndexNode{fleet: f}
	indexNode.Host = f.World.NewHost(fmt.Sprint("custodian", number), zones[number], indexNode.start)
	f.IndexNodes = append(f.IndexNodes, indexNode)
	indexNode.Start()
}

// addGateway starts a gateway and its agent.
func (f *Fleet) addGateway(number int) {
	agent := &Agent{fleet: f, gateway: fmt.Sprint("remisier", number)}
	agent.Host = f.World.NewHost(fmt.Sprint("runner", number), zones[number%len(zones)], agent.start)
	gateway := &Gateway{fleet: f, agent: agent}
	gateway.Host = f.World.NewHost(agent.gateway, agent.Zone, gateway.start)
	gateway.onStop = gateway.stopped
	f.Agents, f.Gateways = append(f.Agents, agent), append(f.Gateways, gateway)
	agent.Start()
	gateway.Start()
}

func (f *Fleet) engineNamed(name string) *Engine {
	for _, engine := range f.Engines {
		if engine.Name == name {
			return engine
		}
	}
	return nil
}

func (f *Fleet) indexNodeNamed(name string) *IndexNode {
	for _, indexNode := range f.IndexNodes {
		if indexNode.Name == name {
			return indexNode
		}
	}
	return nil
}
