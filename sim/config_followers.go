package sim

import (
	"violetthread/quorum"
	"violetthread/route"
)

// Times by which the directory beside a control node and the proxies keep up with the
// registers (internal/app/directory, internal/app/proxy). Theirs run in goroutines by
// real time; the rule is the same: an answer's age counts from before its question was
// sent, and what is vouched for never goes back.
const (
	directoryRefreshInterval = 150_000
	proxyPollInterval        = 150_000
	proxyPollTimeout         = 700_000
	maxDirectoryAge          = 1_000_000 // a directory whose word is older is not asked first
	directoryPause           = 1_500_000 // for so long
	// ServeAge is the age of the configuration up to which a proxy serves.
	ServeAge = 1_600_000
	// ApplyBound is when a change is in force everywhere, after its acknowledgement.
	ApplyBound = 2_000_000
)

// confirmedVersion is what one hop vouches for: a version was in force at a time by its own
// clock.
type confirmedVersion struct {
	known       bool
	revision    uint64
	version     uint64
	confirmedAt int64
}

// update takes a newer one in.
func (v *confirmedVersion) update(newer confirmedVersion) {
	switch {
	case !newer.known || v.known && newer.revision < v.revision:
	case v.known && newer.revision == v.revision:
		v.confirmedAt = max(v.confirmedAt, newer.confirmedAt)
	default:
		*v = newer
	}
}

// Directory follows the registers beside a control node.
type Directory struct {
	node    *ControlNode
	config  confirmedVersion
	weights confirmedVersion
}

// refresh reads the registers anew.
func (d *Directory) refresh() {
	d.ask(route.ConfigKey, &d.config, configVersion)
	d.ask(route.WeightsKey, &d.weights, func(value []byte) (uint64, bool) {
		return weightsVersion(value, simModel)
	})
}

func (d *Directory) ask(key string, into *confirmedVersion, version func([]byte) (uint64, bool)) {
	at := d.node.Clock()
	d.node.proposeOnce(quorum.Operation{Type: quorum.OpGet, Key: key}, 0, at+readTimeoutUS, func(result quorum.Result) {
		if result.Status != quorum.StatusDone {
			return
		}
		if into.known && result.Revision == into.revision {
			into.confirmedAt = max(into.confirmedAt, at)
			return
		}
		if v, ok := version(result.Value); ok {
			into.update(confirmedVersion{true, result.Revision, v, at})
		}
	})
}

func configVersion(value []byte) (uint64, bool) {
	document, err := readConfig(value)
	if err != nil {
		return 0, false
	}
	return document.Version, true
}

func weightsVersion(value []byte, model string) (uint64, bool) {
	if len(value) == 0 {
		return 0, true
	}
	versions, err := route.DecodeWeights(value)
	if err != nil {
		return 0, false
	}
	return versions.Latest(model), true
}

// Directories are those of a core, by node; one begins anew with its node.
type Directories struct {
	byNode map[*ControlNode]*Directory
}

// NewDirectories puts a directory beside each control node.
func NewDirectories(cluster *Cluster) *Directories {
	directories := &Directories{byNode: map[*ControlNode]*Directory{}}
	cluster.onBoot = func(node *ControlNode) {
		d := &Directory{node: node}
		directories.byNode[node] = d
		node.Every(directoryRefreshInterval, d.refresh)
	}
	return directories
}

// ConfigProxy serves by the configuration that directories tell it.
type ConfigProxy struct {
	*Host
	cluster     *Cluster
	directories *Directories
	config      confirmedVersion
	weights     confirmedVersion
	pausedUntil map[*ControlNode]int64 // until when
	directory   *ControlNode
}

// NewConfigProxy adds a proxy.
func NewConfigProxy(cluster *Cluster, name, zone string, dirs *Directories) *ConfigProxy {
	proxy := &ConfigProxy{cluster: cluster, directories: dirs}
	proxy.Host = cluster.world.NewHost(name, zone, func() {
		proxy.config, proxy.weights, proxy.directory = confirmedVersion{}, confirmedVersion{}, nil
		proxy.pausedUntil = map[*ControlNode]int64{}
		proxy.Every(proxyPollInterval, proxy.poll)
	})
	return proxy
}

// directoryAnswer is a directory's answer: ages, since no two hosts' clocks agree.
type directoryAnswer struct {
	config, weights       confirmedVersion
	configAge, weightsAge int64
}

// poll asks one directory, and goes on to another when it fails or lags behind.
func (p *ConfigProxy) poll() {
	node := p.choose()
	at := p.Clock()
	Call(p.Host, node.Host, 0, proxyPollTimeout,
		func(_ int, reply func(directoryAnswer)) {
			if d := p.directories.byNode[node]; d != nil {
				now := node.Clock()
				reply(directoryAnswer{d.config, d.weights, now - d.config.confirmedAt, now - d.weights.confirmedAt})
			}
		},
		func(answer directoryAnswer) { p.answered(node, at, answer) },
		func() { p.pauseDirectory(node) })
}

func (p *ConfigProxy) answered(node *ControlNode, at int64, answer directoryAnswer) {
	answer.config.confirmedAt = at - answer.configAge
	answer.weights.confirmedAt = at - answer.weightsAge
	p.config.update(answer.config)
	p.weights.update(answer.weights)
	if !answer.config.known || answer.configAge > maxDirectoryAge {
		p.pauseDirectory(node)
	}
}

// choose keeps to one directory while it does.
func (p *ConfigProxy) choose() *ControlNode {
	if p.directory != nil && p.pausedUntil[p.directory] <= p.Clock() {
		return p.directory
	}
	nodes := p.cluster.Nodes
	first := p.world.Rng.Intn(len(nodes))
	p.directory = nodes[first]
	for i := range nodes {
		if node := nodes[(first+i)%len(nodes)]; !node.removed && p.pausedUntil[node] <= p.Clock() {
			p.directory = node
			break
		}
	}
	return p.directory
}

func (p *ConfigProxy) pauseDirectory(node *ControlNode) {
	p.pausedUntil[node] = p.Clock() + directoryPause
}

// Serves reports whether the configuration is young enough to serve by.
func (p *ConfigProxy) Serves() bool {
	return p.up && !p.frozen && p.config.known && p.Clock()-p.config.confirmedAt <= ServeAge
}

// checkInterval is how often what proxies serve by is checked.
const checkInterval = 10_000

// ServeChecker checks what proxies serve by.
type ServeChecker struct {
	config  *ConfigHistory
	weights *WeightsHistory
	proxies []*ConfigProxy
	// OldConfig is the longest after an acknowledgement that a proxy served by an older
	// configuration.
	OldestConfigUS int64
}

// Watch judges until the world ends.
func (c *ServeChecker) Watch(world *World) {
	for _, proxy := range c.proxies {
		if proxy.Serves() {
			c.check(world, proxy)
		}
	}
	world.At(world.now+checkInterval, func() { c.Watch(world) })
}

func (c *ServeChecker) check(world *World, proxy *ConfigProxy) {
	vouched := world.now - (proxy.Clock() - proxy.config.confirmedAt)
	if floor := c.config.inForceAt(vouched); floor > proxy.config.version {
		world.Violation("vouched for an older configuration", "%s holds version %d as in force at %d, when %d was", proxy.Name, proxy.config.version, vouched, floor)
	}
	if at := c.config.replacedAt(proxy.config.version); at > 0 {
		old := world.now - at
		c.OldestConfigUS = max(c.OldestConfigUS, old)
		if old > ApplyBound {
			world.Violation("old configuration in use", "%s serves by version %d, replaced %d us ago", proxy.Name, proxy.config.version, old)
		}
	}
	if !proxy.weights.known {
		return
	}
	vouched = world.now - (proxy.Clock() - proxy.weights.confirmedAt)
	if floor := c.weights.namedAt(vouched); floor > proxy.weights.version {
		world.Violation("vouched for older weights", "%s holds version %d as the newest at %d, when %d was", proxy.Name, proxy.weights.version, vouched, floor)
	}
}
