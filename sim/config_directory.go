package sim

import (
	"violetthread/quorum"
	"violetthread/route"
)

// Directory caches the configuration and weights registers at a control node.
type Directory struct {
	node    *ControlNode
	config  confirmedVersion
	weights confirmedVersion
}

// refresh reads the registers again.
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

// Directories are the directories of a cluster, by control node. A restarted node gets a new
// one.
type Directories struct {
	byNode map[*ControlNode]*Directory
}

// NewDirectories adds a directory to each control node.
func NewDirectories(cluster *Cluster) *Directories {
	directories := &Directories{byNode: map[*ControlNode]*Directory{}}
	cluster.onBoot = func(node *ControlNode) {
		d := &Directory{node: node}
		directories.byNode[node] = d
		node.Every(directoryRefreshIntervalUS, d.refresh)
	}
	return directories
}
