package directory

import (
	"context"
	"sync"

	"github.com/go-logr/logr"

	"violetthread/cacheindex"
	"violetthread/internal/app/process"
	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
	"violetthread/rollout"
	"violetthread/route"
	"violetthread/schema/fb"
)

// Settings of a directory.
type Settings struct {
	Name string // of this core machine, unlike any other's
	Zone string
	// ControlAddr is where the control node beside it listens, as its voter set has it.
	ControlAddr string
	// Bounds are those of the deployment that a rollout keeps.
	Bounds route.Bounds
	// ListIntervalUS is how old the list of engines becomes before it is asked for anew, in
	// microseconds. A longer one costs the platform fewer calls.
	ListIntervalUS int64
	// Parse compiles the value of register route/config; the table is nil if it can't be read.
	Parse func(value []byte, revision uint64) *route.Table
}

// Intervals of the loops, in microseconds.
const (
	refreshInterval      = 150_000
	firstRefreshInterval = 50_000 // until the configuration is known
	listPollInterval     = 100_000
	rolloutInterval      = 150_000
)

// maxLoggedEvents is how many cache events are kept for proxies that follow them; who is
// further behind gets all that is cached.
const maxLoggedEvents = 1 << 13

// Directory is one core machine's part. See the package comment for who may call it.
type Directory struct {
	settings    Settings
	log         logr.Logger
	group       *taskgroup.Group
	control     Control
	platform    Platform
	incarnation uint64 // of this directory, drawn at its start
	startedAt   int64
	role        *weightsRole

	mu          sync.Mutex    // guards what follows
	changed     chan struct{} // closed when something urgent changed
	mapRevision uint64        // rises with each change of what mapEngines shows

	config         register
	weights        register
	roleRegister   register
	rollout        register
	refreshedAt    int64
	table          *route.Table        // of config; nil until one could be read
	newestVersions map[string]uint64   // of weights: the newest version of each model
	rolloutState   rollout.State       // of rollout
	announcements  route.Announcements // when each version was first known to be wanted

	listedEngines []Engine
	listReadAt    int64 // 0: never

	readers      map[string]*eventReader            // by the engine's or store's id
	cachedBlocks map[uint64]map[cacheindex.Key]bool // what each engine and store keeps
	events       *cacheindex.UpdateLog              // changes of cachedBlocks
	proxies      map[proxyID]*proxyState
	loads        *loadTable         // what they have under way
	proxiesHere  int                // that ask this node, as of the last broadcast
	broadcast    loadBroadcast      // of loads
	unsentReads  []*fb.CacheUpdateT // for the next broadcast

	// Of the list's loop alone: which map of the list's source, the first node in line, this
	// one's list equals, and when that node was asked.
	listSourceIncarnation uint64
	listSourceRevision    uint64
	listSourceAskedAt     int64
}

// New makes a directory and starts its loops on the group.
func New(group *taskgroup.Group, settings Settings, control Control, platform Platform) *Directory {
	d := newDirectory(group, settings, control, platform)
	every := func(name string, intervalUS int64, run func(context.Context)) {
		group.Go(name, func(ctx context.Context) { taskgroup.Every(ctx, clock.Duration(intervalUS), run) })
	}
	every("directory.registers", firstRefreshInterval, d.refreshDue)
	every("directory.list", listPollInterval, d.refreshList)
	every("directory.rollout", rolloutInterval, d.runRollout)
	every("directory.loads", loadsInterval, d.broadcastLoads)
	return d
}

// newDirectory makes a directory without its loops.
func newDirectory(group *taskgroup.Group, settings Settings, control Control, platform Platform) *Directory {
	incarnation, err := process.NewIncarnation()
	if err != nil {
		panic(err) // no machine of ours is without random numbers
	}
	d := &Directory{
		settings:     settings,
		log:          group.Log(),
		group:        group,
		control:      control,
		platform:     platform,
		incarnation:  incarnation,
		startedAt:    clock.Now(),
		role:         newWeightsRole(settings.Name, incarnation),
		changed:      make(chan struct{}),
		mapRevision:  1,
		readers:      map[string]*eventReader{},
		cachedBlocks: map[uint64]map[cacheindex.Key]bool{},
		proxies:      map[proxyID]*proxyState{},
		loads:        newLoadTable(),
	}
	d.events = cacheindex.NewUpdateLog(incarnation, maxLoggedEvents, d.cacheSnapshot)
	return d
}

// notify wakes all that wait for something urgent to change. Called under the lock.
func (d *Directory) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}
