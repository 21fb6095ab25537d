// Package control is a control node: it votes on keys, owns slots, keeps
// sessions and answers operators.
package control

import (
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
	"violetthread/wal"
)

// Settings of a registrar.
type Settings struct {
	daemon.NodeSettings
	Bootstrap          bool  `json:"found" help:"true at the very first start of a fleet: agree with the seeds on who votes"`
	LogSegments        int   `json:"ring_files" validate:"min=8,max=1024" help:"files in the disk ring"`
	GenerationDuration int64 `json:"era_us" validate:"min=1000000,max=86400000000" help:"how long an era of claims is the newest"`
	OpenGenerations    int   `json:"eras" validate:"min=2,max=64" help:"eras open at a time; a once-only ticket of an older one is not run"`
	// Disk wraps the folder that the ring lies in, for failures of disks in tests; it
	// has no name in a settings file and no flag.
	Disk func(wal.FS) wal.FS
	// Patience bounds Node.Op, the way operators' requests take.
	OperationTimeout int64 `json:"patience_us" validate:"min=100000,max=60000000" help:"longest wait for an operator's change to be settled"`
	LeaseDuration    int64 `json:"term_us" validate:"min=300000,max=10000000" help:"lease of a slot's owner, the same at every registrar of a fleet"`
	LogSegmentBytes  int64 `json:"ring_bytes" validate:"min=65536,max=1073741824" help:"bytes of each ring file"`
}

// Defaults of the settings.
func Defaults() Settings {
	return Settings{NodeSettings: daemon.NodeSettings{DrainUS: 1_000_000}, LogSegments: 32, LogSegmentBytes: 8 << 20, LeaseDuration: 1_000_000, GenerationDuration: 120_000_000, OpenGenerations: 5, OperationTimeout: 4_000_000}
}

// Node is a running control node.
type Node struct {
	settings      Settings
	daemon        *daemon.Daemon
	voterGroup    *taskgroup.Group // of the voter, while this disk is in a roster
	peers         *transport.PeerPool
	storage       storage
	incarnation   atomic.Uint64                // 0 until the disk was read
	voterSet      atomic.Pointer[fb.FoundingT] // the roster that this disk knows
	stopReason    chan error                   // why the voter must stop: retired, or what the disk did
	removed       atomic.Bool                  // it was in a roster once, and lost its place
	handlers      atomic.Pointer[[]transport.Handler]
	mu            sync.Mutex
	knownAddrs    []string // addresses to ask while this disk is in no roster
	records       []quorum.Record
	voter         *quorum.Node
	commands      chan func(now int64)
	senders       map[string]chan *fb.FrameT
	results       map[uint64]chan quorum.Result
	lastOperation uint64
	sessions      *membership.Sessions
	plan          atomic.Pointer[plan.Cached]
	generation    atomic.Uint64 // the newest that is known to be open
	status        atomic.Pointer[voterStatus]
	voting        atomic.Bool // the voter runs
	logTight      bool
	peerTurn      atomic.Uint64 // of another
}

type voterStatus struct {
	slots         []quorum.SlotStatus
	stateBytes    int
	changeAllowed bool
	silent        map[string]bool // voters not heard lately
}

// Run runs a registrar until it is told to stop.
func Run(s Settings) error {
	d, err := NewDaemon(s)
	if err != nil {
		return err
	}
	return d.Run()
}

// New makes one, ready to Run.
func NewDaemon(s Settings) (*daemon.Daemon, error) {
	r, err := NewNode(s)
	if err != nil {
		return nil, err
	}
	return r.Daemon(), nil
}

// Make makes one for a program that adds to what it answers.
func NewNode(s Settings) (*Node, error) {
	if s.DataDir == "" || s.TransportAddr == "" {
		return nil, trace.BadParameter("data_dir and wire are needed; give --data-dir a folder and --wire an IP:port")
	}
	d := daemon.New("registrar", s.Name, s.HTTPAddr, s.DrainUS)
	if err := d.ProfileCPU(s.CPUProfile); err != nil {
		return nil, err
	}
	r := &Node{settings: s, daemon: d, stopReason: make(chan error, 1), commands: make(chan func(int64), 4096),
		senders: map[string]chan *fb.FrameT{}, results: map[uint64]chan quorum.Result{}, sessions: membership.New(s.Name)}
	r.peers = transport.NewPeerPool(d.Group)
	r.status.Store(&voterStatus{})
	r.plan.Store(&plan.Cached{})
	r.initStorage()
	l, err := net.Listen("tcp", s.TransportAddr)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "can't listen on %s; give --wire a free IP:port of this machine", s.TransportAddr)
	}
	transport.Serve(d.Group, l, transport.Chain(r.handleFrame))
	d.OnDrain(r.leave)
	r.registerRoutes()
	d.Group.Go("life", r.runLifecycle)
	return r, nil
}
