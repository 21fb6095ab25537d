package sim

// injectFaults injects a day's faults repeatedly until a true time, along with changes by an
// operator, except on a calm day.
func (f *Fleet) injectFaults(day Day, operator *FleetOperator, until int64) {
	switch day {
	case DayCalm:
		return
	case DayReports, DayAll:
		f.EventLossPermille, f.TransferFailurePermille = 200, 300
	}
	if day == DayNetwork || day == DayAll {
		f.World.LossPermille, f.World.DuplicatePermille = 10, 10
	}
	f.injectNext(day, operator, until)
	if day != DayOperators {
		f.World.At(f.World.now+1_000_000, func() { f.operateNext(operator, until) })
	}
}

// faultDays are the days from which DayAll draws each of its faults.
var faultDays = []Day{DayGateways, DayIndex, DayControl, DayEngines, DayNetwork, DayOperators, DayIsolation, DayReplacement, DayWeights}

func (f *Fleet) injectNext(day Day, operator *FleetOperator, until int64) {
	world := f.World
	if world.now >= until {
		return
	}
	drawn := day
	if day == DayAll {
		drawn = pick(world, faultDays)
	}
	f.injectFault(drawn, operator)
	world.At(world.now+300_000+world.Rng.Int63n(2_500_000), func() { f.injectNext(day, operator, until) })
}

func (f *Fleet) operateNext(operator *FleetOperator, until int64) {
	world := f.World
	if world.now < until {
		f.injectFault(DayOperators, operator)
		world.At(world.now+4_000_000+world.Rng.Int63n(4_000_000), func() { f.operateNext(operator, until) })
	}
}

func pick[T any](world *World, list []T) T { return list[world.Rng.Intn(len(list))] }

// injectFault injects one of a day's faults.
func (f *Fleet) injectFault(day Day, operator *FleetOperator) {
	switch day {
	case DayGateways:
		f.disruptGateway()
	case DayIndex:
		f.disruptIndexNodes()
	case DayControl:
		f.disruptControlNodes()
	case DayEngines:
		f.disruptEngine(operator)
	case DayNetwork:
		f.disruptNetwork()
	case DayWeights:
		f.disruptWeights(operator)
	case DayReplacement:
		f.replaceMachine(operator)
	case DayIsolation:
		f.changeIsolation(operator)
	case DayOperators:
		f.operate(operator)
	}
}

// disruptHost freezes or kills a host for a random duration.
func (f *Fleet) disruptHost(host *Host, maxDurationUS int64) {
	world := f.World
	duration := 50_000 + world.Rng.Int63n(maxDurationUS)
	if world.Rng.Intn(3) == 0 {
		host.Freeze()
		world.At(world.now+duration, host.Thaw)
		return
	}
	host.Kill()
	world.At(world.now+duration, host.Start)
}

func (f *Fleet) disruptGateway() {
	if f.World.Rng.Intn(2) == 0 {
		f.disruptHost(pick(f.World, f.Gateways).Host, 3_000_000)
	} else {
		f.disruptHost(pick(f.World, f.Agents).Host, 6_000_000)
	}
}

// disruptIndexNodes disrupts all index nodes, isolates one, or disrupts one.
func (f *Fleet) disruptIndexNodes() {
	world := f.World
	if world.Rng.Intn(6) == 0 {
		for _, indexNode := range f.IndexNodes {
			f.disruptHost(indexNode.Host, 1_500_000)
		}
		return
	}
	indexNode := pick(world, f.IndexNodes)
	if world.Rng.Intn(4) == 0 {
		world.Isolate(indexNode.Name)
		world.At(world.now+world.Rng.Int63n(4_000_000), world.HealAll)
		return
	}
	f.disruptHost(indexNode.Host, 5_000_000)
}

func (f *Fleet) disruptControlNodes() {
	switch f.World.Rng.Intn(8) {
	case 0:
		f.Cluster.injectFault(FaultKillAll)
	case 1:
		f.Cluster.injectFault(FaultPowerLoss)
	case 2:
		f.Cluster.injectFault(FaultFreeze)
	default:
		f.Cluster.injectFault(FaultKill)
	}
}

// disruptEngine drains, freezes or kills an engine. The store is never drained.
func (f *Fleet) disruptEngine(operator *FleetOperator) {
	world := f.World
	engine := pick(world, f.Engines)
	switch world.Rng.Intn(4) {
	case 0:
		if !engine.store {
			operator.DrainEngine(engine.Name, 2_000_000+world.Rng.Int63n(8_000_000))
		}
	case 1:
		engine.Freeze()
		world.At(world.now+world.Rng.Int63n(2_000_000), engine.Thaw)
	default:
		engine.Kill()
		world.At(world.now+50_000+world.Rng.Int63n(4_000_000), engine.Start)
	}
}

func (f *Fleet) disruptNetwork() {
	world := f.World
	switch world.Rng.Intn(4) {
	case 0:
		f.Cluster.injectFault(FaultPartition)
	case 1:
		f.Cluster.injectFault(FaultOneWay)
	default:
		world.Isolate(pick(world, world.hosts).Name)
	}
	world.At(world.now+200_000+world.Rng.Int63n(3_000_000), world.HealAll)
}

// disruptWeights changes the weights, makes an engine ignore them, load them slowly or die
// while loading, or kills an index node.
func (f *Fleet) disruptWeights(operator *FleetOperator) {
	world := f.World
	engine := pick(world, f.Engines)
	switch world.Rng.Intn(7) {
	case 0, 1, 2:
		operator.ChangeWeights()
	case 3:
		engine.ignoresWeights = true
		world.At(world.now+2_000_000+world.Rng.Int63n(20_000_000), func() { engine.ignoresWeights = false })
	case 4:
		engine.loadDelayUS = world.Rng.Int63n(4_000_000)
	case 5:
		// It comes back with the weights that it had.
		world.At(world.now+world.Rng.Int63n(1_500_000), engine.Kill)
		world.At(world.now+2_000_000+world.Rng.Int63n(2_000_000), engine.Start)
	default:
		indexNode := pick(world, f.IndexNodes)
		indexNode.Kill()
		world.At(world.now+100_000+world.Rng.Int63n(3_000_000), indexNode.Start)
	}
}

// replaceMachine replaces the machine of a control node. In half of the cases an index node
// was on it as well and starts again later.
func (f *Fleet) replaceMachine(operator *FleetOperator) {
	world := f.World
	before := len(f.Cluster.Nodes)
	f.Cluster.replaceVoter()
	if len(f.Cluster.Nodes) > before && world.Rng.Intn(2) == 0 {
		indexNode := pick(world, f.IndexNodes)
		indexNode.Kill()
		world.At(world.now+1_000_000+world.Rng.Int63n(3_000_000), indexNode.Start)
	} else if world.Rng.Intn(3) == 0 {
		f.injectFault(DayControl, operator)
	}
}

func (f *Fleet) changeIsolation(operator *FleetOperator) {
	group := pick(f.World, simGroups)
	switch f.World.Rng.Intn(6) {
	case 0:
		operator.ChangeWeights()
	case 1, 2:
		operator.ToggleGroup(group)
	default:
		operator.ToggleIsolation(group)
	}
}

// operate changes the weights, sends ten plans in a row, or revokes a key.
func (f *Fleet) operate(operator *FleetOperator) {
	world := f.World
	switch world.Rng.Intn(4) {
	case 0:
		operator.ChangeWeights()
	case 1:
		for i := int64(0); i < 10; i++ {
			world.At(world.now+i*30_000, func() { operator.PutPlan(nil) })
		}
	default:
		operator.RevokeKey(pick(world, simGroups))
	}
}

// endFaults ends all faults and starts all hosts, except machines that are gone.
func (f *Fleet) endFaults() {
	world := f.World
	world.LossPermille, world.DuplicatePermille = 0, 0
	f.EventLossPermille, f.TransferFailurePermille = 0, 0
	f.Cluster.powerLossArmed = false
	world.HealAll()
	removed := map[*Host]bool{}
	for _, node := range f.Cluster.Nodes {
		removed[node.Host] = node.removed
	}
	for _, host := range world.hosts {
		host.Thaw()
		if !removed[host] {
			host.Start()
		}
	}
	for _, node := range f.Cluster.Nodes {
		node.Disk.SyncDelayUS = 0
	}
}
