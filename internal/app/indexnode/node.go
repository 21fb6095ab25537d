package indexnode

import (
	"context"
	"fmt"
	"sync"

	"github.com/gravitational/trace"

	"violetthread/index"
	"violetthread/internal/app/process"
	"violetthread/internal/app/session"
	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/internal/daemon"
	"violetthread/internal/engineapi"
	"violetthread/internal/limits"
	"violetthread/internal/taskgroup"
	"violetthread/internal/transport"
	"violetthread/membership"
	"violetthread/recording"
	"violetthread/recording/replay"
	"violetthread/schema/fb"
)

// Settings of an index node.
type Settings struct {
	daemon.NodeSettings
	// Platform is the address of the platform's list of engines. No default.
	Platform string `json:"platform" validate:"required,ipport" help:"IP:port of the platform's list of engines"`
	daemon.RecordingSettings
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		NodeSettings:      daemon.NodeSettings{DrainUS: 3_000_000},
		RecordingSettings: daemon.RecordingDefaults,
	}
}

// Periods of the loops, in microseconds.
const (
	listingInterval = 200_000
	leasesInterval  = 100_000
	pollInterval    = 150_000
	followInterval  = 200_000
)

// indexNode is a running index node.
type indexNode struct {
	settings    Settings
	daemon      *daemon.Daemon
	peers       *transport.PeerPool
	session     *session.Session
	incarnation uint64 // of this process
	leaseHolder string // name under which it holds leases; unique to this process
	http        *engineapi.Client

	mu              sync.Mutex // guards the fields below
	node            *replay.IndexNode
	running         map[string]bool         // tasks of spawn, by name
	prefetchCursors map[string]index.Cursor // by zone and peer
}

// Run runs an index node until it is stopped.
func Run(settings Settings) error {
	d, err := NewDaemon(settings)
	if err != nil {
		return err
	}
	return d.Run()
}

// NewDaemon creates the daemon of an index node and starts its loops. The caller runs it with
// Run.
func NewDaemon(settings Settings) (*daemon.Daemon, error) {
	if settings.TransportAddr == "" || len(settings.Seeds) == 0 {
		return nil, trace.BadParameter("settings wire and seeds are required; set --wire to an IP:port and --seeds to the addresses of the control nodes")
	}
	d := daemon.New("violetthread-index", settings.Name, settings.HTTPAddr, settings.DrainUS)
	if err := d.ProfileCPU(settings.CPUProfile); err != nil {
		return nil, err
	}
	n, err := newIndexNode(settings, d)
	if err != nil {
		return nil, err
	}
	d.Machine = settings.Machine()
	listener, err := limits.Listen(settings.TransportAddr, d.NewPort(transport.PortName, 1-d.HTTPFraction))
	if err != nil {
		return nil, trace.ConnectionProblem(err, "can't listen on %s; set --wire to a free IP:port of this machine", settings.TransportAddr)
	}
	transport.Serve(d.Group, listener, n.handleFrame)
	n.session.Run()
	n.startLoops()
	n.registerMetrics()
	d.OnDrain(n.releaseLeases)
	d.SetReady("")
	return d, nil
}

// newIndexNode creates an index node without starting its loops.
func newIndexNode(settings Settings, d *daemon.Daemon) (*indexNode, error) {
	incarnation, err := process.NewIncarnation()
	if err != nil {
		return nil, err
	}
	header := recording.Header{Component: recording.ComponentIndexNode, Name: settings.Name, Zone: settings.Zone, Incarnation: incarnation}
	writer, err := process.StartRecording(d, settings.RecordingSettings, header)
	if err != nil {
		return nil, err
	}
	n := &indexNode{
		settings:        settings,
		daemon:          d,
		peers:           transport.NewPeerPool(d.Group),
		incarnation:     incarnation,
		leaseHolder:     fmt.Sprintf("%s#%x", settings.Name, incarnation),
		http:            engineapi.NewClient(),
		node:            &replay.IndexNode{Node: index.New(settings.Name, settings.Zone, incarnation), Writer: writer},
		running:         map[string]bool{},
		prefetchCursors: map[string]index.Cursor{},
	}
	n.session = session.New(d.Group, n.peers, settings.Seeds, n.self)
	return n, nil
}

func (n *indexNode) startLoops() {
	every := func(name string, intervalUS int64, run func(context.Context)) {
		n.daemon.Group.Go(name, func(ctx context.Context) { taskgroup.Every(ctx, clock.Duration(intervalUS), run) })
	}
	every("listing", listingInterval, n.refreshListing)
	every("leases", leasesInterval, n.renewLeases)
	every("engines", pollInterval, n.pollEngines)
	every("peers", followInterval, n.followPeers)
}

// self returns this node's own state, for its heartbeats.
func (n *indexNode) self() *fb.NodeT {
	n.mu.Lock()
	defer n.mu.Unlock()
	status := &fb.NodeT{
		Name:        n.settings.Name,
		Role:        membership.RoleIndexNode,
		Zone:        n.settings.Zone,
		Addr:        n.settings.TransportAddr,
		Http:        n.settings.HTTPAddr,
		Incarnation: n.incarnation,
		Ready:       n.daemon.Ready(),
	}
	return codec.AddIndexNodeStatus(n.node.Node, clock.Now(), status)
}

// withNode calls a function on the index node under the lock.
func (n *indexNode) withNode(run func(now int64, node *replay.IndexNode)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	run(clock.Now(), n.node)
}

// spawn runs a function in a goroutine of its own, unless the previous one of that name is
// still running.
func (n *indexNode) spawn(name string, run func(ctx context.Context)) {
	n.mu.Lock()
	if n.running[name] {
		n.mu.Unlock()
		return
	}
	n.running[name] = true
	n.mu.Unlock()
	n.daemon.Group.Go(name, func(ctx context.Context) {
		defer func() {
			n.mu.Lock()
			delete(n.running, name)
			n.mu.Unlock()
		}()
		run(ctx)
	})
}
