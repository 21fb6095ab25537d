package sim

// checkIntervalUS is the interval at which the configuration that proxies serve by is checked.
const checkIntervalUS = 10_000

// ServeChecker checks the configuration and the weights that proxies serve by.
type ServeChecker struct {
	config  *ConfigHistory
	weights *WeightsHistory
	proxies []*ConfigProxy
	// OldestConfigUS is the longest time after its replacement was acknowledged that a proxy
	// still served by a configuration.
	OldestConfigUS int64
}

// Watch checks the proxies periodically until the end of the run.
func (c *ServeChecker) Watch(world *World) {
	for _, proxy := range c.proxies {
		if proxy.Serves() {
			c.check(world, proxy)
		}
	}
	world.At(world.now+checkIntervalUS, func() { c.Watch(world) })
}

func (c *ServeChecker) check(world *World, proxy *ConfigProxy) {
	vouched := world.now - (proxy.Clock() - proxy.config.confirmedAt)
	if floor := c.config.inForceAt(vouched); floor > proxy.config.version {
		world.Violation("confirmed an older configuration", "%s confirmed version %d as in force at %d, but %d was", proxy.Name, proxy.config.version, vouched, floor)
	}
	if at := c.config.replacedAt(proxy.config.version); at > 0 {
		old := world.now - at
		c.OldestConfigUS = max(c.OldestConfigUS, old)
		if old > ApplyBoundUS {
			world.Violation("old configuration in use", "%s serves by version %d, which was replaced %d us ago", proxy.Name, proxy.config.version, old)
		}
	}
	if !proxy.weights.known {
		return
	}
	vouched = world.now - (proxy.Clock() - proxy.weights.confirmedAt)
	if floor := c.weights.newestAt(vouched); floor > proxy.weights.version {
		world.Violation("confirmed older weights", "%s confirmed version %d as the newest at %d, but %d was", proxy.Name, proxy.weights.version, vouched, floor)
	}
}
