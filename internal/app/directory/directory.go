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
	Name string // of this core machine, unique in the fleet
	Zone string
	// ControlAddr is the address of the control node on this machine, as in the voter set.
	ControlAddr string
	// Bounds are the deployment's time bounds that a rollout must meet.
	Bounds route.Bounds
	// ListIntervalUS is the age at which the list of engines is read again, in microseconds. A
	// longer interval means fewer calls to the platform.
	ListIntervalUS int64
	// Parse compiles the value of register route/config; it returns nil if the value is invalid.
	Parse func(value []byte, revision uint64) *route.Table
}

// Intervals of the loops, in microseconds.
const (
	refreshInterval      = 150_000
	firstRefreshInterval = 50_000 // until the configuration has been read
	listPollInterval     = 100_000
	rolloutInterval      = 150_000
)

// maxLoggedEvents is how many cache events are kept for incremental updates; a proxy that is
// further behind receives a snapshot of all cached blocks.
const maxLoggedEvents = 1 << 13

// Directory tracks the engines on one core machine and serves proxies. The package comment says
// which methods may be called from which goroutines.
type Directory struct {
	settings    Settings
	log         logr.Logger
	group       *taskgroup.Group
	control     Control
	platform    Platform
	incarnation uint64 // random number of this directory, new at each start
	startedAt   int64
	role        *weightsRole

	mu          sync.Mutex    // guards the fields below, up to unsentReads
	changed     chan struct{} // closed on a change that waiting polls must see soon
	mapRevision uint64        // increases with each change of the result of mapEngines

	config         register
	weights        register
	roleRegister   register
	rollout        register
	refreshedAt    int64
	table          *route.Table        // of config; nil until a valid one was read
	newestVersions map[string]uint64   // of weights: the newest version of each model
	rolloutState   rollout.State       // of rollout
	announcements  route.Announcements // when each version was first known to be wanted

	listedEngines []Engine
	listReadAt    int64 // 0 if never

	readers       map[string]*eventReader            // by the engine's or store's id
	cachedBlocks  map[uint64]map[cacheindex.Key]bool // the blocks that each engine and store caches
	events        *cacheindex.UpdateLog              // changes of cachedBlocks
	proxies       map[proxyID]*proxyState
	loads         *loadTable         // their requests in progress
	directProxies int                // number of proxies that poll this node, as of the last broadcast
	broadcast     loadBroadcast      // the last broadcast of loads
	unsentReads   []*fb.CacheUpdateT // reads for the next broadcast

	// Used only by the list's loop. The list's source is the first node in the order of
	// listPosition; these fields say which of its maps this node's list was copied from, and when
	// it was last asked.
	listSourceIncarnation uint64
	listSourceRevision    uint64
	listSourceAskedAt     int64
}

// New creates a directory and starts its loops in the group.
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

// newDirectory creates a directory without starting its loops.
func newDirectory(group *taskgroup.Group, settings Settings, control Control, platform Platform) *Directory {
	incarnation, err := process.NewIncarnation()
	if err != nil {
		panic(err) // fails only if the system has no random number source
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

// notify wakes all long polls that wait for a change. Called under the lock.
func (d *Directory) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}
