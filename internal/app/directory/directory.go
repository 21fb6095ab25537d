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
const namedKept = 8

// RolloutKey is the register that holds who is turning to new weights.
const RolloutKey = "route/rollout"

// Settings of a directory. Times are microseconds.
type Settings struct {
	Name, Site string
	Wire       string // where the control node beside it listens
	Bounds     route.Bounds
	ListEvery  int64 // between two questions for the platform's list
	// Parse reads an operator's text; the table is nil if it can't be read.
	Parse func(val []byte, rev uint64) *route.Table
}

const (
	refreshEvery = 150_000
	refreshFirst = 50_000 // until the configuration is known
	listLook     = 100_000
	conductEvery = 150_000
	newsPause    = 150_000 // between questions to one engine, so that news comes in lots
	newsHold     = 900_000
	holdMost     = 400_000
	mapPause     = 60_000
	downAfter    = 2 // questions in a row that failed, until an engine counts as down
)

// Directory is one core machine's part.
type Directory struct {
	settings    Settings
	log         logr.Logger
	group       *taskgroup.Group
	control     Control
	platform    Platform
	incarnation uint64
	duty        *dutyHolder

	mu      sync.Mutex
	changed chan struct{} // closed when something urgent changed
	mapRev  uint64

	config       register
	weights      register
	rollout      register
	dutyRegister register
	refreshAt    int64
	startedAt    int64
	table        *route.Table
	state        rollout.State
	newest       map[string]uint64 // newest version named of each model
	namings      route.Namings

	listed []Listed
	listAt int64
	// Only the list's own loop uses these: which map of the first node in line this
	// one's list equals, and when it was asked.
	firstInc   uint64
	firstMap   uint64
	askedFirst int64

	readers  map[string]*reader
	outbox   *cacheindex.UpdateLog
	holdings map[uint64]map[cacheindex.Key]bool // what each engine and store keeps
	proxies  map[string]*proxy
}

// New makes a directory and starts its loops on the group.
func New(group *taskgroup.Group, s Settings, control Control, platform Platform) *Directory {
	t := newDirectory(group, s, control, platform)
	every := func(name string, us int64, f func(context.Context)) {
		group.Go(name, func(ctx context.Context) { taskgroup.Every(ctx, clock.Micros(us), f) })
	}
	every("directory.registers", refreshFirst, t.refreshDue)
	every("directory.list", listLook, t.list)
	every("directory.conduct", conductEvery, t.conduct)
	every("directory.loads", loadsEvery, t.tellLoads)
	return t
}

// newDirectory makes a directory without its loops.
func newDirectory(group *taskgroup.Group, s Settings, control Control, platform Platform) *Directory {
	incarnation := drawIncarnation()
	t := &Directory{
		settings:    s,
		log:         group.Log(),
		group:       group,
		control:     control,
		platform:    platform,
		incarnation: incarnation,
		duty:        &dutyHolder{inspectedAt: map[string]int64{}, sent: map[string]int64{}, holder: fmt.Sprintf("%s#%x", s.Name, incarnation)},
		changed:     make(chan struct{}),
		mapRev:      1,
		startedAt:   clock.Now(),
		readers:     map[string]*reader{},
		holdings:    map[uint64]map[cacheindex.Key]bool{},
		proxies:     map[string]*proxy{},
	}
	t.duty.lease.Store(&rollout.Lease{})
	t.outbox = cacheindex.NewUpdateLog(incarnation, 1<<13, t.allKept)
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
func (t *Directory) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}
