package control

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"violetthread/internal/daemon"
	"violetthread/internal/taskgroup"
	"violetthread/internal/transport"
	"violetthread/membership"
	"violetthread/plan"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

const (
	maxCommands      = 4096 // functions that wait for the voter's loop
	maxPendingFrames = 4096 // frames that wait for one peer
)

// Node is a running control node.
type Node struct {
	settings Settings
	daemon   *daemon.Daemon
	peers    *transport.PeerPool
	sessions *membership.Sessions
	storage  storage

	incarnation atomic.Uint64                       // of the disk; 0 until the disk was read
	voterSet    atomic.Pointer[fb.VoterSetT]        // the newest that this disk knows; nil: none
	voting      atomic.Bool                         // the voter runs
	removed     atomic.Bool                         // the disk lost a seat since the process began
	status      atomic.Pointer[voterStatus]         // as of the voter's last tick
	generation  atomic.Uint64                       // the newest of claims that is known to be open
	plan        atomic.Pointer[plan.Cached]         // as last confirmed by its key's leader
	peerTurn    atomic.Uint64                       // rotates nextPeer
	handlers    atomic.Pointer[[]transport.Handler] // asked before the node's own

	mu         sync.Mutex // guards knownAddrs, and changes of handlers
	knownAddrs []string   // whom to ask while this disk is in no voter set, the latest first

	// Of the lifecycle's goroutine.
	voterGroup *taskgroup.Group // the loops of the voter that runs
	records    []quorum.Record  // what the next voter starts from
	stopReason chan error       // why the voter must stop; the first reason counts

	// Of the voter's loop, which runs what arrives on commands.
	commands      chan func(now int64)
	voter         *quorum.Node
	senders       map[string]chan *fb.FrameT // by address
	results       map[uint64]chan quorum.Result
	lastOperation uint64
	logTight      bool // the voter knows that the log is nearly full
}

// voterStatus is what the voter's loop publishes for others.
type voterStatus struct {
	slots         []quorum.SlotStatus
	stateBytes    int
	changeAllowed bool            // the voter set may be changed now
	silent        map[string]bool // voters not heard for contactTimeout, by name
}

// Run runs a control node until it is told to stop.
func Run(settings Settings) error {
	process, err := NewDaemon(settings)
	if err != nil {
		return err
	}
	return process.Run()
}

// NewDaemon makes a control node as a process, ready to Run.
func NewDaemon(settings Settings) (*daemon.Daemon, error) {
	n, err := NewNode(settings)
	if err != nil {
		return nil, err
	}
	return n.Daemon(), nil
}

// NewNode makes a control node for a program that adds to what it answers; see
// AddHandler. Its loops run from here on; its HTTP pages are served by Daemon().Run.
func NewNode(settings Settings) (*Node, error) {
	if settings.DataDir == "" || settings.TransportAddr == "" {
		return nil, trace.BadParameter("a data folder and an address are needed; set data-directory and internal-port-range (--data-dir and --wire of violetthread-control)")
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
	listener, err := net.Listen("tcp", settings.TransportAddr)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "can't listen on %s; free that port, or give this node another address (internal-port-range; --wire of violetthread-control)", settings.TransportAddr)
	}
	transport.Serve(process.Group, listener, n.handleFrame)
	process.OnDrain(n.leave)
	n.registerRoutes()
	process.Group.Go("lifecycle", n.runLifecycle)
	return n, nil
}

// Daemon is the process around the node.
func (n *Node) Daemon() *daemon.Daemon { return n.daemon }

// Name is the node's name.
func (n *Node) Name() string { return n.settings.Name }

// Incarnation is that of the node's disk; another one once the disk lost its seat, and 0
// until the disk was read.
func (n *Node) Incarnation() uint64 { return n.incarnation.Load() }

// Voting reports whether this node votes.
func (n *Node) Voting() bool { return n.voting.Load() }

// Peers holds the node's connections to others.
func (n *Node) Peers() *transport.PeerPool { return n.peers }

// LiveNodes lists the nodes whose sessions have not ended, by name.
func (n *Node) LiveNodes(now int64) []*fb.NodeT { return n.sessions.Live(now) }

// RecordHeartbeat keeps the session of a node that asked here (design §4.7).
func (n *Node) RecordHeartbeat(now int64, node *fb.NodeT) { n.sessions.Heartbeat(now, node) }

// VoterAddrs are the transport addresses of the voter set in force here, this node's
// among them; none while this disk is in no voter set.
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

// Call asks the control node at an address and waits for its answer, at most timeoutUS
// microseconds.
func (n *Node) Call(ctx context.Context, addr string, frame *fb.FrameT, timeoutUS int64) (*fb.FrameT, error) {
	return n.peers.Get(addr).Call(ctx, frame, timeoutUS)
}
