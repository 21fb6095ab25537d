package sim

func (f *Fleet) injectFaults(day Day, operator *FleetOperator, until int64) {
	world := f.World
	switch day {
	case DayCalm:
		return
	case DayReports, DayAll:
		f.EventLossPermille, f.TransferFailurePermille = 200, 300
	}
	if day == DayNetwork || day == DayAll {
		world.LossPermille, world.DuplicatePermille = 10, 10
	}
	kinds := []Day{DayGateways, DayIndex, DayControl, DayEngines, DayNetwork, DayOperators, DayIsolation, DayReplacement, DayWeights}
	var next func()
	next = func() {
		if world.now >= until {
			return
		}
		k := day
		if day == DayAll {
			k = kinds[world.Rng.Intn(len(kinds))]
		}
		f.injectFault(k, operator)
		world.At(world.now+300_000+world.Rng.Int63n(2_500_000), next)
	}
	next()
	if day != DayOperators {
		var ops func()
		ops = func() {
			if world.now < until {
				f.injectFault(DayOperators, operator)
				world.At(world.now+4_000_000+world.Rng.Int63n(4_000_000), ops)
			}
		}
		world.At(world.now+1_000_000, ops)
	}
}

func pick[T any](world *World, list []T) T { return list[world.Rng.Intn(len(list))] }

func (f *Fleet) injectFault(day Day, operator *FleetOperator) {
	world := f.World
	harm := func(host *Host, most int64) {
		d := 50_000 + world.Rng.Int63n(most)
		switch world.Rng.Intn(3) {
		case 0:
			host.Freeze()
			world.At(world.now+d, host.Thaw)
		default:
			host.Kill()
			world.At(world.now+d, host.Start)
		}
	}
	switch day {
	case DayGateways:
		if world.Rng.Intn(2) == 0 {
			harm(pick(world, f.Gateways).Host, 3_000_000)
		} else {
			harm(pick(world, f.Agents).Host, 6_000_000)
		}
	case DayIndex:
		if world.Rng.Intn(6) == 0 {
			for _, indexNode := range f.IndexNodes {
				harm(indexNode.Host, 1_500_000)
			}
			return
		}
		indexNode := pick(world, f.IndexNodes)
		if world.Rng.Intn(4) == 0 {
			world.Isolate(indexNode.Name)
			world.At(world.now+world.Rng.Int63n(4_000_000), world.HealAll)
			return
		}
		harm(indexNode.Host, 5_000_000)
	case DayControl:
		switch world.Rng.Intn(8) {
		case 0:
			f.Cluster.injectFault(FaultKillAll)
		case 1:
			f.Cluster.injectFault(FaultPowerLoss)
		case 2:
			f.Cluster.injectFault(FaultFreeze)
		default:
			f.Cluster.injectFault(FaultKill)
		}
	case DayEngines:
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
	case DayNetwork:
		switch world.Rng.Intn(4) {
		case 0:
			f.Cluster.injectFault(FaultPartition)
		case 1:
			f.Cluster.injectFault(FaultOneWay)
		default:
			world.Isolate(pick(world, world.hosts).Name)
		}
		world.At(world.now+200_000+world.Rng.Int63n(3_000_000), world.HealAll)
	case DayWeights:
		engine := pick(world, f.Engines)
		switch world.Rng.Intn(7) {
		case 0, 1, 2:
			operator.NameWeights()
		case 3:
			engine.ignoresWeights = true
			world.At(world.now+2_000_000+world.Rng.Int63n(20_000_000), func() { engine.ignoresWeights = false })
		case 4:
			engine.loadDelayUS = world.Rng.Int63n(4_000_000)
		case 5:
			// It dies half turned, or at once, and comes back with what it had.
			world.At(world.now+world.Rng.Int63n(1_500_000), engine.Kill)
			world.At(world.now+2_000_000+world.Rng.Int63n(2_000_000), engine.Start)
		default:
			indexNode := pick(world, f.IndexNodes)
			indexNode.Kill()
			world.At(world.now+100_000+world.Rng.Int63n(3_000_000), indexNode.Start)
		}
	case DayReplacement:
		n := len(f.Cluster.Nodes)
		f.Cluster.replaceVoter()
		if len(f.Cluster.Nodes) > n && world.Rng.Intn(2) == 0 {
			// The machine's other program goes with it, and starts on the new one.
			indexNode := pick(world, f.IndexNodes)
			indexNode.Kill()
			world.At(world.now+1_000_000+world.Rng.Int63n(3_000_000), indexNode.Start)
		} else if world.Rng.Intn(3) == 0 {
			f.injectFault(DayControl, operator)
		}
	case DayIsolation:
		group := pick(world, simGroups)
		switch world.Rng.Intn(6) {
		case 0:
			operator.NameWeights()
		case 1, 2:
			operator.ToggleGroup(group)
		default:
			operator.ToggleIsolation(group)
		}
	case DayOperators:
		switch world.Rng.Intn(4) {
		case 0:
			operator.NameWeights()
		case 1:
			for i := int64(0); i < 10; i++ {
				world.At(world.now+i*30_000, func() { operator.PutPlan(nil) })
			}
		default:
			operator.RevokeKey(pick(world, simGroups))
		}
	}
}

// mend ends all faults.
func (f *Fleet) endFaults() {
	world := f.World
	world.LossPermille, world.DuplicatePermille = 0, 0
	f.EventLossPermille, f.TransferFailurePermille = 0, 0
	f.Cluster.powerLossArmed = false
	world.HealAll()
	lost := map[*Host]bool{}
	for _, node := range f.Cluster.Nodes {
		lost[node.Host] = node.removed
	}
	for _, host := range world.hosts {
		host.Thaw()
		if !lost[host] {
			host.Start()
		}
	}
	for _, node := range f.Cluster.Nodes {
		node.Disk.SyncDelayUS = 0
	}
}
