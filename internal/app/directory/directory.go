package directory

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/go-logr/logr"

	"violetthread/hint"
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

// Settings of a steward. Times are microseconds.
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
	darkAfter    = 2 // questions in a row that failed, until an engine counts as down
)

// Directory is one core machine's part.
type Directory struct {
	s     Settings
	log   logr.Logger
	group *taskgroup.Group
	ctl   Control
	pf    Platform
	inc   uint64

	mu        sync.Mutex
	bell      chan struct{} // closed when something urgent changed
	conf      register
	named     register
	roll      register
	table     *route.Table
	listed    []Listed
	listAt    int64
	refreshAt int64
	// Only the list's own loop uses these: which map of the first steward in line this
	// one's list equals, and when it was asked.
	first1     string
	farInc     uint64
	farMap     uint64
	askedFirst int64
	mapRev     uint64
	state      rollout.State
	wanted     map[string]uint64           // newest version named of each model
	first      map[string]map[uint64]int64 // model, version: when first heard of
	readers    map[string]*reader
	box        *hint.Outbox
	kept       map[uint64]map[hint.Key]bool
	dealer     *dealer
	proxies    map[string]*proxy
	duty       register
	dutyAt     int64 // when the holder of the weights' duty was seen to change
}

const (
	loadsOld   = 1_500_000
	loadsEvery = 200_000
)

// New makes a steward and starts its loops on the group.
func New(c *taskgroup.Group, s Settings, ctl Control, pf Platform) *Directory {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // no machine of ours is without random numbers
	}
	t := &Directory{s: s, log: c.Log(), group: c, ctl: ctl, pf: pf, inc: binary.LittleEndian.Uint64(b[:])>>24 | 1,
		bell: make(chan struct{}), first: map[string]map[uint64]int64{}, readers: map[string]*reader{}, kept: map[uint64]map[hint.Key]bool{}, mapRev: 1, proxies: map[string]*proxy{}}
	t.box = hint.NewOutbox(t.inc, 1<<13, t.allKept)
	t.dealer = &dealer{looked: map[string]int64{}, holder: fmt.Sprintf("%s#%x", s.Name, t.inc)}
	every := func(name string, us int64, f func(context.Context)) {
		c.Go(name, func(ctx context.Context) { taskgroup.Every(ctx, clock.Micros(us), f) })
	}
	every("steward.registers", refreshFirst, t.refreshDue)
	every("steward.list", listLook, t.list)
	every("steward.conduct", conductEvery, t.conduct)
	every("steward.loads", loadsEvery, t.tellLoads)
	return t
}

// ring tells all who wait that something urgent changed. Called under the lock.
func (t *Directory) ring() {
	close(t.bell)
	t.bell = make(chan struct{})
}

// unsettledFor is how long before a change of the duty's holder the core may have
// been settled again: a lease runs out a while after its holder was lost.
const unsettledFor = 4_000_000

// Describe is a line for operators and the log.
func (t *Directory) Describe() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join([]string{"config=" + strconv.FormatUint(t.conf.rev, 10), "engines=" + strconv.Itoa(len(t.listed)),
		"turning=" + strconv.Itoa(len(t.state.Turns))}, " ")
}
