package control

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"violetthread/internal/daemon"
	"violetthread/internal/limits"
	"violetthread/internal/taskgroup"
	"violetthread/internal/transport"
	"violetthread/membership"
	"violetthread/plan"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

const (
	maxCommands      = 4096 // functions queued for the voter's loop
	maxPendingFrames = 4096 // frames queued for one peer
)

// Node is a running control node.
type Node struct {
	settings Settings
	daemon   *daemon.Daemon
	peers    *transport.PeerPool
	sessions *membership.Sessions
	storage  storage

	incarnation   atomic.Uint64                       // of the disk; 0 until the disk has been read
	voterSet      atomic.Pointer[fb.VoterSetT]        // the newest known to this disk; nil for none
	voting        atomic.Bool                         // the voter is running
	removed       atomic.Bool                         // the disk was removed from a voter set since the process started
	status        atomic.Pointer[voterStatus]         // as of the voter's last tick
	generation    atomic.Uint64                       // newest generation of claims known to be open
	plan          atomic.Pointer[plan.Cached]         // as last confirmed by the leader of its key
	nextPeerIndex atomic.Uint64                       // counter for round-robin in nextPeer
	handlers      atomic.Pointer[[]transport.Handler] // called before the node's own

	mu         sync.Mutex // guards knownAddrs and updates of handlers
	knownAddrs []string   // control nodes to ask while this disk is in no voter set, most recent first

	// Used by the lifecycle goroutine.
	voterGroup *taskgroup.Group // the loops of the running voter
	records    []quorum.Record  // initial state of the next voter
	stopReason chan error       // why the voter must stop; only the first reason is kept

	// Used by the voter's loop, which runs the functions received on commands.
	commands      chan func(now int64)
	voter         *quorum.Node
	senders       map[string]chan *fb.FrameT // by address
	results       map[uint64]chan quorum.Result
	lastOperation uint64
	spaceLow      bool // the voter was notified that the log is nearly full
}

// voterStatus is the state that the voter's loop publishes for other goroutines.
type voterStatus struct {
	slots         []quorum.SlotStatus
	stateBytes    int
	changeAllowed bool            // the voter set may be changed now
	silent        map[string]bool // voters not heard from for contactTimeout, by name
}

// Run runs a control node until it is asked to stop.
func Run(settings Settings) error {
	process, err := NewDaemon(settings)
	if err != nil {
		return err
	}
	return process.Run()
}

// NewDaemon creates a control node and returns its daemon, ready to Run.
func NewDaemon(settings Settings) (*daemon.Daemon, error) {
	n, err := NewNode(settings)
	if err != nil {
		return nil, err
	}
	return n.Daemon(), nil
}

// NewNode creates a control node for a program that adds handlers of its own with AddHandler.
// NewNode starts the node's loops; Daemon().Run serves its HTTP API.
func NewNode(settings Settings) (*Node, error) {
	if settings.DataDir == "" || settings.TransportAddr == "" {
		return nil, trace.BadParameter("the data folder or the transport address is missing; set data-directory and internal-port-range (--data-dir and --wire of violetthread-control)")
	}
	process := daemon.New("violetthread-control", settings.Name, settings.HTTPAddr, settings.DrainUS)
	if err := process.ProfileCPU(settings.CPUProfile); err != nil {
		return nil, err
	}
	n := &Node{
		settings:   settings,
		daemon:     process,
		peers:      transport.NewPeerPool(process.Group),
		sessions:   membership.New(settings.Name),
		stopReason: make(chan error, 1),
		commands:   make(chan func(int64), maxCommands),
		senders:    map[string]chan *fb.FrameT{},
		results:    map[uint64]chan quorum.Result{},
	}
	n.status.Store(&voterStatus{})
	n.plan.Store(&plan.Cached{})
	n.initStorage()
	process.Machine = settings.Machine()
	listener, err := limits.Listen(settings.TransportAddr, process.NewPort(transport.PortName, 1-process.HTTPFraction))
	if err != nil {
		return nil, trace.ConnectionProblem(err, "can't listen on %s; free that port or configure another address for this node (internal-port-range; --wire of violetthread-control)", settings.TransportAddr)
	}
	transport.Serve(process.Group, listener, n.handleFrame)
	process.OnDrain(n.leave)
	n.registerRoutes()
	process.Group.Go("lifecycle", n.runLifecycle)
	return n, nil
}

// Daemon returns the daemon that runs the node.
func (n *Node) Daemon() *daemon.Daemon { return n.daemon }

// Name returns the node's name.
func (n *Node) Name() string { return n.settings.Name }

// Incarnation returns the incarnation of the node's disk. It is 0 until the disk has been read,
// and changes when the disk was removed from the voter set.
func (n *Node) Incarnation() uint64 { return n.incarnation.Load() }

// Voting reports whether this node votes.
func (n *Node) Voting() bool { return n.voting.Load() }

// Peers returns the node's connections to other processes.
func (n *Node) Peers() *transport.PeerPool { return n.peers }

// LiveNodes lists the nodes whose sessions have not expired, by name.
func (n *Node) LiveNodes(now int64) []*fb.NodeT { return n.sessions.Live(now) }

// RecordHeartbeat renews the session of a node that sent a request to this one (design §4.7).
func (n *Node) RecordHeartbeat(now int64, node *fb.NodeT) { n.sessions.Heartbeat(now, node) }

// VoterAddrs returns the transport addresses of the voter set that this node knows, including its
// own; none while this disk is in no voter set.
func (n *Node) VoterAddrs() []string {
	set := n.voterSet.Load()
	if set == nil {
		return nil
	}
	return voterAddrs(set)
}

// Broadcast sends a frame to the other voters; it may be lost.
func (n *Node) Broadcast(frame *fb.FrameT) {
	for _, addr := range n.VoterAddrs() {
		if addr != n.settings.TransportAddr {
			n.peers.Get(addr).Send(frame)
		}
	}
}

// Call sends a request to the control node at an address and waits at most timeoutUS microseconds
// for the response.
func (n *Node) Call(ctx context.Context, addr string, frame *fb.FrameT, timeoutUS int64) (*fb.FrameT, error) {
	return n.peers.Get(addr).Call(ctx, frame, timeoutUS)
}
