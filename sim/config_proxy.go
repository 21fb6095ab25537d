package sim

// ConfigProxy serves by the configuration that it gets from directories.
type ConfigProxy struct {
	*Host
	cluster      *Cluster
	directories  *Directories
	config       confirmedVersion
	weights      confirmedVersion
	avoidedUntil map[*ControlNode]int64 // by node: when it may be asked again
	directory    *ControlNode
}

// NewConfigProxy adds a proxy.
func NewConfigProxy(cluster *Cluster, name, zone string, dirs *Directories) *ConfigProxy {
	proxy := &ConfigProxy{cluster: cluster, directories: dirs}
	proxy.Host = cluster.world.NewHost(name, zone, func() {
		proxy.config, proxy.weights, proxy.directory = confirmedVersion{}, confirmedVersion{}, nil
		proxy.avoidedUntil = map[*ControlNode]int64{}
		proxy.Every(proxyPollIntervalUS, proxy.poll)
	})
	return proxy
}

// directoryAnswer is the answer of a directory. It carries ages because clocks of hosts
// differ.
type directoryAnswer struct {
	config, weights       confirmedVersion
	configAge, weightsAge int64
}

// poll asks one directory, and avoids it for a while if it fails or its data is too old.
func (p *ConfigProxy) poll() {
	node := p.choose()
	at := p.Clock()
	Call(p.Host, node.Host, 0, proxyPollTimeoutUS,
		func(_ int, reply func(directoryAnswer)) {
			if d := p.directories.byNode[node]; d != nil {
				now := node.Clock()
				reply(directoryAnswer{d.config, d.weights, now - d.config.confirmedAt, now - d.weights.confirmedAt})
			}
		},
		func(answer directoryAnswer) { p.answered(node, at, answer) },
		func() { p.avoidDirectory(node) })
}

func (p *ConfigProxy) answered(node *ControlNode, at int64, answer directoryAnswer) {
	answer.config.confirmedAt = at - answer.configAge
	answer.weights.confirmedAt = at - answer.weightsAge
	p.config.update(answer.config)
	p.weights.update(answer.weights)
	if !answer.config.known || answer.configAge > maxDirectoryAgeUS {
		p.avoidDirectory(node)
	}
}

// choose keeps to one directory unless that one is being avoided.
func (p *ConfigProxy) choose() *ControlNode {
	if p.directory != nil && p.avoidedUntil[p.directory] <= p.Clock() {
		return p.directory
	}
	nodes := p.cluster.Nodes
	first := p.world.Rng.Intn(len(nodes))
	p.directory = nodes[first]
	for i := range nodes {
		if node := nodes[(first+i)%len(nodes)]; !node.removed && p.avoidedUntil[node] <= p.Clock() {
			p.directory = node
			break
		}
	}
	return p.directory
}

func (p *ConfigProxy) avoidDirectory(node *ControlNode) {
	p.avoidedUntil[node] = p.Clock() + directoryAvoidUS
}

// Serves reports whether the configuration is recent enough to serve by.
func (p *ConfigProxy) Serves() bool {
	return p.up && !p.frozen && p.config.known && p.Clock()-p.config.confirmedAt <= MaxServeAgeUS
}
