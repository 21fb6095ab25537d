package rollout

import (
	"fmt"
	"math/rand"
	"sort"
	"testing"
)

const (
	ms, second      = int64(1000), int64(1_000_000)
	applyWithin     = 12 * second
	leaseDuration   = 3 * second
	stepInterval    = 150 * ms
	listInterval    = second
	listDelay       = 500 * ms
	inspectInterval = 300 * ms
)

var pools = []string{"p", "q"}

// updateJob is an update that an engine is carrying out.
type updateJob struct {
	model   string
	version uint64
	endsAt  int64
}

// simulatedEngine is the actual state of an engine, which the list may not show yet.
type simulatedEngine struct {
	Engine
	weights       map[string]uint64
	update        *updateJob
	startedAt     int64
	goneAt        int64             // when it crashed, 0 if it has not; it stays on the list for 5 s
	drainedAt     int64             // since when it is listed as draining, 0 if it is not
	newestRequest map[string]uint64 // by model: highest version requested
}

// sentRequest is an update request that was sent.
type sentRequest struct {
	sentAt  int64
	leader  int
	model   string
	version uint64
}

// simulatedFleet is a fleet in virtual time with its rollout leader. Its checks use the actual
// state of the engines and the requests that were sent, not the scheduler's view.
type simulatedFleet struct {
	t              testing.TB
	random         *rand.Rand
	now            int64
	engines        map[string]*simulatedEngine
	listed         []Engine
	listedAt       int64
	scheduler      *Scheduler
	leader         int    // number of leader changes so far
	stored         []byte // the register's value
	lastRequest    map[string]sentRequest
	announced      map[string][]target // by model: every version ever announced
	updateDuration func() int64
	inspectedAt    map[string]int64
	checkBound     bool // whether an engine that is late fails the test
	applyWithin    int64
	requests       int
	maxUpdating    int
	failure        string
	nextNumber     int
}

func newFleet(t testing.TB, seed int64, count int, models ...string) *simulatedFleet {
	f := &simulatedFleet{
		t:           t,
		random:      rand.New(rand.NewSource(seed)),
		now:         100 * second,
		engines:     map[string]*simulatedEngine{},
		lastRequest: map[string]sentRequest{},
		announced:   map[string][]target{},
		inspectedAt: map[string]int64{},
		checkBound:  true,
		applyWithin: applyWithin,
	}
	f.updateDuration = func() int64 { return 800*ms + f.random.Int63n(1000*ms) }
	for range count {
		f.addEngine(models...)
	}
	for _, model := range models {
		f.announced[model] = []target{{1, 0}}
	}
	f.refreshList()
	f.scheduler = New(DefaultConfig(applyWithin, leaseDuration), f.now, f.now-applyWithin, State{})
	return f
}

// setBound replaces the default time within which versions must be applied.
func (f *simulatedFleet) setBound(applyWithin int64) {
	f.applyWithin = applyWithin
	f.scheduler = New(DefaultConfig(applyWithin, leaseDuration), f.now, f.now-applyWithin, State{})
}

func (f *simulatedFleet) addEngine(models ...string) *simulatedEngine {
	engine := &simulatedEngine{weights: map[string]uint64{}, startedAt: f.now, newestRequest: map[string]uint64{}}
	engine.ID = fmt.Sprintf("i-%04x", f.nextNumber*7919%65536)
	f.nextNumber++
	engine.Addr, engine.Pool, engine.Zone = "addr-"+engine.ID, "p", []string{"a", "b", "c"}[f.nextNumber%3]
	for _, model := range models {
		engine.weights[model] = 1
		if versions := f.announced[model]; len(versions) > 0 {
			engine.weights[model] = versions[len(versions)-1].version // a new engine starts with the newest version
		}
	}
	f.engines[engine.ID] = engine
	return engine
}

func (f *simulatedFleet) announce(model string, version uint64) {
	f.announced[model] = append(f.announced[model], target{version, f.now})
}

// fail records the first failure.
func (f *simulatedFleet) fail(format string, args ...any) {
	if f.failure == "" {
		f.failure = fmt.Sprintf("at %d ms: ", (f.now-100*second)/ms) + fmt.Sprintf(format, args...)
	}
}

func (f *simulatedFleet) engineIDs() (ids []string) {
	for id := range f.engines {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// refreshList updates the list of engines that the leader sees.
func (f *simulatedFleet) refreshList() {
	f.listed = nil
	for _, id := range f.engineIDs() {
		engine := f.engines[id]
		if engine.goneAt > 0 && f.now > engine.goneAt+5*second {
			delete(f.engines, id)
			continue
		}
		listed := engine.Engine
		listed.Draining = engine.drainedAt > 0
		listed.Weights = map[string]uint64{}
		for model, version := range engine.weights {
			listed.Weights[model] = version
		}
		f.listed = append(f.listed, listed)
	}
	f.listedAt = f.now
}

// step advances the simulation by 50 ms.
func (f *simulatedFleet) step() {
	f.now += 50 * ms
	for _, id := range f.engineIDs() {
		engine := f.engines[id]
		if engine.update != nil && engine.goneAt == 0 && f.now >= engine.update.endsAt {
			engine.weights[engine.update.model] = max(engine.weights[engine.update.model], engine.update.version)
			engine.update = nil
		}
		if f.checkBound && f.now%(200*ms) == 0 {
			f.checkLate(engine)
		}
	}
	if (f.now/(50*ms))%(listInterval/(50*ms)) == 0 {
		// One read in eight still returns the previous list.
		before := f.listed
		f.refreshList()
		if f.random.Intn(8) == 0 {
			f.listed = before
		}
	}
	if (f.now/(50*ms))%(stepInterval/(50*ms)) == 0 {
		f.stepLeader(false)
	}
}

// checkLate fails if an engine that takes requests runs a version that is older than one that
// was announced longer ago than the bound.
func (f *simulatedFleet) checkLate(engine *simulatedEngine) {
	if engine.goneAt > 0 || engine.drainedAt > 0 {
		return
	}
	for model, versions := range f.announced {
		for _, target := range versions {
			if version, runs := engine.weights[model]; runs && version < target.version && f.now > max(target.announcedAt, engine.startedAt)+f.applyWithin {
				f.fail("%s runs version %d of %s, %d was announced %d ms ago", engine.ID, engine.weights[model], model, target.version, (f.now-target.announcedAt)/ms)
			}
		}
	}
}

func (f *simulatedFleet) state() State {
	s, err := UnmarshalState(f.stored)
	if err != nil {
		f.t.Fatal(err)
	}
	return s
}

// countUpdating counts a pool's engines, and those of them that have an update in the state and
// have not crashed.
func (f *simulatedFleet) countUpdating(pool string) (updating, all int) {
	for _, engine := range f.listed {
		if engine.Pool != pool {
			continue
		}
		all++
		if _, ok := f.scheduler.State.Updates[engine.ID]; ok && f.engines[engine.ID] != nil && f.engines[engine.ID].goneAt == 0 {
			updating++
		}
	}
	return updating, all
}

// stepLeader runs one step of the leader; if crashes is set, the leader fails after it wrote its
// state and before it sends any request.
func (f *simulatedFleet) stepLeader(crashes bool) {
	scheduler := f.scheduler
	for model, versions := range f.announced {
		updating := versions[len(versions)-1]
		scheduler.Announce(model, updating.version, updating.announcedAt)
	}
	before := map[string]int{}
	for _, pool := range pools {
		before[pool], _ = f.countUpdating(pool)
	}
	requests, inspect, changed := scheduler.Step(f.now, f.listed)
	if changed {
		f.stored = scheduler.State.Marshal()
	}
	for _, pool := range pools {
		// The limit holds per pool: a large pool must not use up the share of a small one.
		updating, all := f.countUpdating(pool)
		if updating > before[pool] && updating > (all*scheduler.config.MaxConcurrentPermille+999)/1000 {
			f.fail("%d engines of %d in pool %s are updated concurrently", updating, all, pool)
		}
		f.maxUpdating = max(f.maxUpdating, updating)
	}
	if crashes {
		return
	}
	stored := f.state()
	for _, request := range requests {
		if update, ok := stored.Updates[request.Engine]; !ok || update.Phase != PhaseRequested || update.Version != request.Version || update.Model != request.Model {
			f.fail("%s is sent a request for version %d of %s, the stored update is %+v", request.Engine, request.Version, request.Model, update)
		}
		f.deliver(request)
	}
	for _, id := range inspect {
		if engine := f.engines[id]; engine != nil && engine.goneAt == 0 && engine.update == nil && f.now-f.inspectedAt[id] >= inspectInterval {
			f.inspectedAt[id] = f.now
			for model, version := range engine.weights {
				scheduler.Observe(id, model, version)
			}
		}
	}
}

// deliver delivers an update request to its engine and checks that it may be sent.
func (f *simulatedFleet) deliver(request UpdateRequest) {
	f.requests++
	if previous, ok := f.lastRequest[request.Engine]; ok {
		if previous.leader != f.leader && f.now-previous.sentAt < leaseDuration {
			f.fail("%s is sent a request by leader %d, %d ms after one by leader %d", request.Engine, f.leader, (f.now-previous.sentAt)/ms, previous.leader)
		}
	}
	f.lastRequest[request.Engine] = sentRequest{f.now, f.leader, request.Model, request.Version}
	engine := f.engines[request.Engine]
	if engine == nil || engine.goneAt > 0 {
		return
	}
	if request.Version < engine.newestRequest[request.Model] {
		f.fail("%s is sent a request for version %d of %s after one for version %d", request.Engine, request.Version, request.Model, engine.newestRequest[request.Model])
	}
	engine.newestRequest[request.Model] = request.Version
	switch {
	case engine.update != nil:
		f.scheduler.Postpone(f.now, request.Engine)
	case engine.weights[request.Model] >= request.Version:
		f.scheduler.Observe(request.Engine, request.Model, request.Version)
	default:
		engine.update = &updateJob{request.Model, request.Version, f.now + f.updateDuration()}
	}
}

// changeLeader makes another node the leader, which continues from the stored state.
func (f *simulatedFleet) changeLeader() {
	f.leader++
	f.scheduler = New(f.scheduler.config, f.now, f.now-4*second, f.state())
}

// run advances the simulation until duration has passed or a check failed.
func (f *simulatedFleet) run(duration int64, beforeStep func()) {
	for end := f.now + duration; f.now < end && f.failure == ""; {
		if beforeStep != nil {
			beforeStep()
		}
		f.step()
	}
}

// countOutdated counts the models of live engines that are older than the newest version.
func (f *simulatedFleet) countOutdated() (count int) {
	for _, engine := range f.engines {
		for model, versions := range f.announced {
			if version, runs := engine.weights[model]; runs && engine.goneAt == 0 && engine.drainedAt == 0 && version < versions[len(versions)-1].version {
				count++
			}
		}
	}
	return count
}

func (f *simulatedFleet) report(what string) {
	f.t.Helper()
	if f.failure != "" {
		f.t.Errorf("%s: %s (requests %d, maximum of concurrent updates %d)", what, f.failure, f.requests, f.maxUpdating)
	}
}
