package directory

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"sync"

	"github.com/go-logr/logr"

	"violetthread/cacheindex"
	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
	"violetthread/rollout"
	"violetthread/route"
)

// namedKept is how many versions of a model proxies are told of: who lags behind an
// older naming is late by that, whatever was named since.
const namedVersionsKept = 8

// RolloutKey is the register that holds who is turning to new weights.
const RolloutKey = "route/rollout"

// Settings of a directory. Times are microseconds.
type Settings struct {
	Name, Zone   string
	ControlAddr  string // where the control node beside it listens
	Bounds       route.Bounds
	ListInterval int64 // between two questions for the platform's list
	// Parse reads an operator's text; the table is nil if it can't be read.
	Parse func(val []byte, rev uint64) *route.Table
}

const (
	refreshInterval      = 150_000
	firstRefreshInterval = 50_000 // until the configuration is known
	listPollInterval     = 100_000
	rolloutInterval      = 150_000
	eventPollPause       = 150_000 // between questions to one engine, so that news comes in lots
	eventPollTimeout     = 900_000
	maxReplyDelay        = 400_000
	mapBatchDelay        = 60_000
	failuresUntilDown    = 2 // questions in a row that failed, until an engine counts as down
)

// Directory is one core machine's part.
type Directory struct {
	settings    Settings
	log         logr.Logger
	group       *taskgroup.Group
	control     Control
	platform    Platform
	incarnation uint64
	role        *weightsRole

	mu          sync.Mutex
	changed     chan struct{} // closed when something urgent changed
	mapRevision uint64

	config         register
	weights        register
	rollout        register
	roleRegister   register
	refreshedAt    int64
	startedAt      int64
	table          *route.Table
	rolloutState   rollout.State
	newestVersions map[string]uint64 // newest version named of each model
	namings        route.Announcements

	listedEngines []Engine
	listReadAt    int64
	// Only the list's own loop uses these: which map of the first node in line this
	// one's list equals, and when it was asked.
	firstIncarnation uint64
	firstRevision    uint64
	firstAskedAt     int64

	readers      map[string]*eventReader
	events       *cacheindex.UpdateLog
	cachedBlocks map[uint64]map[cacheindex.Key]bool // what each engine and store keeps
	proxies      map[string]*proxyState
}

// New makes a directory and starts its loops on the group.
func New(group *taskgroup.Group, s Settings, control Control, platform Platform) *Directory {
	t := newDirectory(group, s, control, platform)
	every := func(name string, us int64, f func(context.Context)) {
		group.Go(name, func(ctx context.Context) { taskgroup.Every(ctx, clock.Duration(us), f) })
	}
	every("directory.registers", firstRefreshInterval, t.refreshDue)
	every("directory.list", listPollInterval, t.refreshList)
	every("directory.conduct", rolloutInterval, t.runRollout)
	every("directory.loads", loadsInterval, t.broadcastLoads)
	return t
}

// newDirectory makes a directory without its loops.
func newDirectory(group *taskgroup.Group, s Settings, control Control, platform Platform) *Directory {
	incarnation := drawIncarnation()
	t := &Directory{
		settings:     s,
		log:          group.Log(),
		group:        group,
		control:      control,
		platform:     platform,
		incarnation:  incarnation,
		role:         &weightsRole{inspectedAt: map[string]int64{}, sentAt: map[string]int64{}, leaderID: fmt.Sprintf("%s#%x", s.Name, incarnation)},
		changed:      make(chan struct{}),
		mapRevision:  1,
		startedAt:    clock.Now(),
		readers:      map[string]*eventReader{},
		cachedBlocks: map[uint64]map[cacheindex.Key]bool{},
		proxies:      map[string]*proxyState{},
	}
	t.role.lease.Store(&rollout.Lease{})
	t.events = cacheindex.NewUpdateLog(incarnation, 1<<13, t.cacheSnapshot)
	return t
}

// drawIncarnation draws the number of this life of the directory.
func drawIncarnation() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // no machine of ours is without random numbers
	}
	return binary.LittleEndian.Uint64(b[:])>>24 | 1
}

// notify tells all who wait that something urgent changed. Called under the lock.
func (d *Directory) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}
