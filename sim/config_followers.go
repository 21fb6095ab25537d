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
	directoryRefresh = 150_000
	proxyAsk         = 150_000
	proxyPatience    = 700_000
	proxyOldWord     = 1_000_000 // a directory whose word is older is not asked first
	proxyShuns       = 1_500_000 // for so long
	// ServeAge is the age of the configuration up to which a proxy serves.
	ServeAge = 1_600_000
	// ApplyBound is when a change is in force everywhere, after its acknowledgement.
	ApplyBound = 2_000_000
)

// word is what one hop vouches for: a version was in force at a time by its own clock.
type word struct {
	known    bool
	revision uint64
	version  uint64
	at       int64
}

// take takes a newer word in.
func (w *word) take(n word) {
	switch {
	case !n.known || w.known && n.revision < w.revision:
	case w.known && n.revision == w.revision:
		w.at = max(w.at, n.at)
	default:
		*w = n
	}
}

// Directory follows the registers beside a control node.
type Directory struct {
	node    *Registrar
	config  word
	weights word
}

// refresh reads the registers anew.
func (d *Directory) refresh() {
	d.ask(route.ConfigKey, &d.config, configVersion)
	d.ask(route.WeightsKey, &d.weights, func(value []byte) (uint64, bool) {
		return weightsVersion(value, simModel)
	})
}

func (d *Directory) ask(key string, into *word, version func([]byte) (uint64, bool)) {
	at := d.node.Clock()
	d.node.once(quorum.Operation{Type: quorum.OpGet, Key: key}, 0, at+readPatience, func(a quorum.Result) {
		if a.Status != quorum.StatusDone {
			return
		}
		if into.known && a.Revision == into.revision {
			into.at = max(into.at, at)
			return
		}
		if v, ok := version(a.Value); ok {
			into.take(word{true, a.Revision, v, at})
		}
	})
}

func configVersion(value []byte) (uint64, bool) {
	d, err := readConfig(value)
	if err != nil {
		return 0, false
	}
	return d.Version, true
}

func weightsVersion(value []byte, model string) (uint64, bool) {
	if len(value) == 0 {
		return 0, true
	}
	d, err := route.DecodeWeights(value)
	if err != nil {
		return 0, false
	}
	return d.Latest(model), true
}

// Directories are those of a core, by node; one begins anew with its node.
type Directories struct {
	of map[*Registrar]*Directory
}

// NewDirectories puts a directory beside each control node.
func NewDirectories(c *Core) *Directories {
	ds := &Directories{of: map[*Registrar]*Directory{}}
	c.onBoot = func(r *Registrar) {
		d := &Directory{node: r}
		ds.of[r] = d
		r.Every(directoryRefresh, d.refresh)
	}
	return ds
}

// ConfigProxy serves by the configuration that directories tell it.
type ConfigProxy struct {
	*Host
	core    *Core
	dirs    *Directories
	config  word
	weights word
	shunned map[*Registrar]int64 // until when
	asking  *Registrar
}

// NewConfigProxy adds a proxy.
func NewConfigProxy(c *Core, name, site string, dirs *Directories) *ConfigProxy {
	p := &ConfigProxy{core: c, dirs: dirs}
	p.Host = c.w.NewHost(name, site, func() {
		p.config, p.weights, p.asking = word{}, word{}, nil
		p.shunned = map[*Registrar]int64{}
		p.Every(proxyAsk, p.ask)
	})
	return p
}

// words is a directory's answer: ages, since no two hosts' clocks agree.
type words struct {
	config, weights       word
	configAge, weightsAge int64
}

// ask asks one directory, and goes on to another when it fails or lags behind.
func (p *ConfigProxy) ask() {
	node := p.choose()
	at := p.Clock()
	Call(p.Host, node.Host, 0, proxyPatience,
		func(_ int, reply func(words)) {
			if d := p.dirs.of[node]; d != nil {
				now := node.Clock()
				reply(words{d.config, d.weights, now - d.config.at, now - d.weights.at})
			}
		},
		func(a words) { p.heard(node, at, a) },
		func() { p.shun(node) })
}

func (p *ConfigProxy) heard(node *Registrar, at int64, a words) {
	a.config.at = at - a.configAge
	a.weights.at = at - a.weightsAge
	p.config.take(a.config)
	p.weights.take(a.weights)
	if !a.config.known || a.configAge > proxyOldWord {
		p.shun(node)
	}
}

// choose keeps to one directory while it does.
func (p *ConfigProxy) choose() *Registrar {
	if p.asking != nil && p.shunned[p.asking] <= p.Clock() {
		return p.asking
	}
	nodes := p.core.Nodes
	first := p.w.Rng.Intn(len(nodes))
	p.asking = nodes[first]
	for i := range nodes {
		if r := nodes[(first+i)%len(nodes)]; !r.lost && p.shunned[r] <= p.Clock() {
			p.asking = r
			break
		}
	}
	return p.asking
}

func (p *ConfigProxy) shun(node *Registrar) { p.shunned[node] = p.Clock() + proxyShuns }

// Serves reports whether the configuration is young enough to serve by.
func (p *ConfigProxy) Serves() bool {
	return p.up && !p.frozen && p.config.known && p.Clock()-p.config.at <= ServeAge
}

// watchEvery is how often what proxies serve by is judged.
const watchEvery = 10_000

// ServeJudge judges what proxies serve by.
type ServeJudge struct {
	config  *ConfigHistory
	weights *WeightsHistory
	proxies []*ConfigProxy
	// OldConfig is the longest after an acknowledgement that a proxy served by an older
	// configuration.
	OldConfig int64
}

// Watch judges until the world ends.
func (j *ServeJudge) Watch(w *World) {
	for _, p := range j.proxies {
		if p.Serves() {
			j.judge(w, p)
		}
	}
	w.At(w.now+watchEvery, func() { j.Watch(w) })
}

func (j *ServeJudge) judge(w *World, p *ConfigProxy) {
	vouched := w.now - (p.Clock() - p.config.at)
	if floor := j.config.inForceAt(vouched); floor > p.config.version {
		w.Wrong("vouched for an older configuration", "%s holds version %d as in force at %d, when %d was", p.Name, p.config.version, vouched, floor)
	}
	if at := j.config.replacedAt(p.config.version); at > 0 {
		old := w.now - at
		j.OldConfig = max(j.OldConfig, old)
		if old > ApplyBound {
			w.Wrong("old configuration in use", "%s serves by version %d, replaced %d us ago", p.Name, p.config.version, old)
		}
	}
	if !p.weights.known {
		return
	}
	vouched = w.now - (p.Clock() - p.weights.at)
	if floor := j.weights.namedAt(vouched); floor > p.weights.version {
		w.Wrong("vouched for older weights", "%s holds version %d as the newest at %d, when %d was", p.Name, p.weights.version, vouched, floor)
	}
}
