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
	Found     bool  `json:"found" help:"true at the very first start of a fleet: agree with the seeds on who votes"`
	RingFiles int   `json:"ring_files" validate:"min=8,max=1024" help:"files in the disk ring"`
	EraTerm   int64 `json:"generation_us" old:"era_us" validate:"min=1000000,max=86400000000" help:"how long a generation of claims is the newest"`
	Eras      int   `json:"generations" old:"eras" validate:"min=2,max=64" help:"generations of claims open at a time; a request of an older one that may not be repeated is not run"`
	// Disk wraps the folder that the ring lies in, for failures of disks in tests; it
	// has no name in a settings file and no flag.
	Disk func(wal.FS) wal.FS
	// Patience bounds Node.Op, the way operators' requests take.
	Patience  int64 `json:"patience_us" validate:"min=100000,max=60000000" help:"longest wait for an operator's change to be settled"`
	Term      int64 `json:"term_us" validate:"min=300000,max=10000000" help:"lease of a slot's owner, the same at every registrar of a fleet"`
	RingBytes int64 `json:"ring_bytes" validate:"min=65536,max=1073741824" help:"bytes of each ring file"`
}

// Defaults of the settings.
func Defaults() Settings {
	return Settings{NodeSettings: daemon.NodeSettings{DrainUS: 1_000_000}, RingFiles: 32, RingBytes: 8 << 20, Term: 1_000_000, EraTerm: 120_000_000, Eras: 5, Patience: 4_000_000}
}

// Node is a running control node.
type Node struct {
	s       Settings
	d       *daemon.Daemon
	c       *taskgroup.Group // of the voter, while this disk is in a roster
	book    *transport.PeerPool
	storage storage
	inc     atomic.Uint64                // 0 until the disk was read
	found   atomic.Pointer[fb.FoundingT] // the roster that this disk knows
	ended   chan error                   // why the voter must stop: retired, or what the disk did
	rejoins atomic.Bool                  // it was in a roster once, and lost its place
	frames  atomic.Pointer[[]transport.Handler]
	mu      sync.Mutex
	known   []string // addresses to ask while this disk is in no roster
	recs    []quorum.Rec
	node    *quorum.Node
	in      chan func(now int64)
	senders map[string]chan *fb.FrameT
	waiting map[uint64]chan quorum.Answer
	ops     uint64
	roll    *membership.Roll
	cache   atomic.Pointer[plan.Held]
	era     atomic.Uint64 // the newest that is known to be open
	stats   atomic.Pointer[stats]
	up      atomic.Bool // the voter runs
	tight   bool
	turns   atomic.Uint64 // of another
}

type stats struct {
	slots []quorum.Slot
	size  int
	firm  bool
	mute  map[string]bool // voters not heard lately
}

// Run runs a registrar until it is told to stop.
func Run(s Settings) error {
	d, err := New(s)
	if err != nil {
		return err
	}
	return d.Run()
}

// New makes one, ready to Run.
func New(s Settings) (*daemon.Daemon, error) {
	r, err := Make(s)
	if err != nil {
		return nil, err
	}
	return r.Daemon(), nil
}

// Make makes one for a program that adds to what it answers.
func Make(s Settings) (*Node, error) {
	if s.DataDir == "" || s.TransportAddr == "" {
		return nil, trace.BadParameter("data_dir and wire are needed; give --data-dir a folder and --wire an IP:port")
	}
	d := daemon.New("violetthread-control", s.Name, s.HTTPAddr, s.DrainUS)
	if err := d.ProfileCPU(s.CPUProfile); err != nil {
		return nil, err
	}
	r := &Node{s: s, d: d, ended: make(chan error, 1), in: make(chan func(int64), 4096),
		senders: map[string]chan *fb.FrameT{}, waiting: map[uint64]chan quorum.Answer{}, roll: membership.New(s.Name)}
	r.book = transport.NewPeerPool(d.Group)
	r.stats.Store(&stats{})
	r.cache.Store(&plan.Held{})
	r.initStorage()
	l, err := net.Listen("tcp", s.TransportAddr)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "can't listen on %s; give --wire a free IP:port of this machine", s.TransportAddr)
	}
	transport.Serve(d.Group, l, transport.Chain(r.handle))
	d.OnDrain(r.leave)
	r.routes()
	d.Group.Go("life", r.life)
	return r, nil
}
