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

// updateJob is a change of weights that an engine is about.
type updateJob struct {
	model   string
	version uint64
	endsAt  int64
}

// machine is an engine as it really is.
type machine struct {
	Engine
	weights       map[string]uint64
	update        *updateJob
	startedAt     int64
	goneAt        int64             // it crashed, and stays on the list for a while
	drainedAt     int64             // since when it shows as draining
	newestRequest map[string]uint64 // version of each model
}

// sentRequest is an update request as it went out.
type sentRequest struct {
	sentAt  int64
	leader  int
	model   string
	version uint64
}

// world is a fleet in virtual time with its rollout leader. It judges by what engines are
// and what went out, not by what the scheduler thinks.
type world struct {
	t              testing.TB
	random         *rand.Rand
	now            int64
	engines        map[string]*machine
	listed         []Engine
	listedAt       int64
	scheduler      *Scheduler
	leader         int    // counts the leaders that there were
	stored         []byte // the register
	lastRequest    map[string]sentRequest
	announced      map[string][]target // all of them
	updateDuration func() int64
	inspectedAt    map[string]int64
	judgesBound    bool // whether late engines are a problem
	applyWithin    int64
	requests       int
	mostUpdating   int
	problem        string
	nextNumber     int
}

func newWorld(t testing.TB, seed int64, count int, models ...string) *world {
	w := &world{
		t:           t,
		random:      rand.New(rand.NewSource(seed)),
		now:         100 * second,
		engines:     map[string]*machine{},
		lastRequest: map[string]sentRequest{},
		announced:   map[string][]target{},
		inspectedAt: map[string]int64{},
		judgesBound: true,
		applyWithin: applyWithin,
	}
	w.updateDuration = func() int64 { return 800*ms + w.random.Int63n(1000*ms) }
	for range count {
		w.addEngine(models...)
	}
	for _, model := range models {
		w.announced[model] = []target{{1, 0}}
	}
	w.refreshList()
	w.scheduler = New(DefaultConfig(applyWithin, leaseDuration), w.now, w.now-applyWithin, State{})
	return w
}

// setBound makes it another bound than the usual one.
func (w *world) setBound(applyWithin int64) {
	w.applyWithin = applyWithin
	w.scheduler = New(DefaultConfig(applyWithin, leaseDuration), w.now, w.now-applyWithin, State{})
}

func (w *world) addEngine(models ...string) *machine {
	engine := &machine{weights: map[string]uint64{}, startedAt: w.now, newestRequest: map[string]uint64{}}
	engine.ID = fmt.Sprintf("i-%04x", w.nextNumber*7919%65536)
	w.nextNumber++
	engine.Addr, engine.Pool, engine.Zone = "addr-"+engine.ID, "p", []string{"a", "b", "c"}[w.nextNumber%3]
	for _, model := range models {
		engine.weights[model] = 1
		if versions := w.announced[model]; len(versions) > 0 {
			engine.weights[model] = versions[len(versions)-1].version // a new one has the newest
		}
	}
	w.engines[engine.ID] = engine
	return engine
}

func (w *world) announce(model string, version uint64) {
	w.announced[model] = append(w.announced[model], target{version, w.now})
}

func (w *world) fail(format string, args ...any) {
	if w.problem == "" {
		w.problem = fmt.Sprintf("at %d ms: ", (w.now-100*second)/ms) + fmt.Sprintf(format, args...)
	}
}

func (w *world) engineIDs() (ids []string) {
	for id := range w.engines {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// refreshList reads the platform's list.
func (w *world) refreshList() {
	w.listed = nil
	for _, id := range w.engineIDs() {
		engine := w.engines[id]
		if engine.goneAt > 0 && w.now > engine.goneAt+5*second {
			delete(w.engines, id)
			continue
		}
		listed := engine.Engine
		listed.Draining = engine.drainedAt > 0
		listed.Weights = map[string]uint64{}
		for model, version := range engine.weights {
			listed.Weights[model] = version
		}
		w.listed = append(w.listed, listed)
	}
	w.listedAt = w.now
}

// step is 50 ms of the world.
func (w *world) step() {
	w.now += 50 * ms
	for _, id := range w.engineIDs() {
		engine := w.engines[id]
		if engine.update != nil && engine.goneAt == 0 && w.now >= engine.update.endsAt {
			engine.weights[engine.update.model] = max(engine.weights[engine.update.model], engine.update.version)
			engine.update = nil
		}
		if w.judgesBound && w.now%(200*ms) == 0 {
			w.judgeLate(engine)
		}
	}
	if (w.now/(50*ms))%(listInterval/(50*ms)) == 0 {
		// One read in eight still gets the list before.
		before := w.listed
		w.refreshList()
		if w.random.Intn(8) == 0 {
			w.listed = before
		}
	}
	if (w.now/(50*ms))%(stepInterval/(50*ms)) == 0 {
		w.stepLeader(false)
	}
}

// judgeLate judges an engine that takes requests against every version that it does not
// match.
func (w *world) judgeLate(engine *machine) {
	if engine.goneAt > 0 || engine.drainedAt > 0 {
		return
	}
	for model, versions := range w.announced {
		for _, target := range versions {
			if version, runs := engine.weights[model]; runs && version < target.version && w.now > max(target.announcedAt, engine.startedAt)+w.applyWithin {
				w.fail("%s runs version %d of %s, %d was announced %d ms ago", engine.ID, engine.weights[model], model, target.version, (w.now-target.announcedAt)/ms)
			}
		}
	}
}

func (w *world) state() State {
	s, err := UnmarshalState(w.stored)
	if err != nil {
		w.t.Fatal(err)
	}
	return s
}

// countUpdating counts a pool's engines, and those that the state has under way and that
// have not crashed.
func (w *world) countUpdating(pool string) (updating, all int) {
	for _, engine := range w.listed {
		if engine.Pool != pool {
			continue
		}
		all++
		if _, ok := w.scheduler.State.Updates[engine.ID]; ok && w.engines[engine.ID] != nil && w.engines[engine.ID].goneAt == 0 {
			updating++
		}
	}
	return updating, all
}

// stepLeader is one step; dies tells that the leader is lost after it wrote its state and
// before any request went out.
func (w *world) stepLeader(dies bool) {
	scheduler := w.scheduler
	for model, versions := range w.announced {
		updating := versions[len(versions)-1]
		scheduler.Announce(model, updating.version, updating.announcedAt)
	}
	before := map[string]int{}
	for _, pool := range pools {
		before[pool], _ = w.countUpdating(pool)
	}
	requests, inspect, changed := scheduler.Step(w.now, w.listed)
	if changed {
		w.stored = scheduler.State.Marshal()
	}
	for _, pool := range pools {
		// The share is each pool's own: a large pool must not use up a small one's.
		updating, all := w.countUpdating(pool)
		if updating > before[pool] && updating > (all*scheduler.config.MaxConcurrentPermille+999)/1000 {
			w.fail("%d engines of %d in pool %s are updated at once", updating, all, pool)
		}
		w.mostUpdating = max(w.mostUpdating, updating)
	}
	if dies {
		return
	}
	stored := w.state()
	for _, request := range requests {
		if update, ok := stored.Updates[request.Engine]; !ok || update.Phase != PhaseRequested || update.Version != request.Version || update.Model != request.Model {
			w.fail("%s is asked for %d of %s, stored is %+v", request.Engine, request.Version, request.Model, update)
		}
		w.deliver(request)
	}
	for _, id := range inspect {
		if engine := w.engines[id]; engine != nil && engine.goneAt == 0 && engine.update == nil && w.now-w.inspectedAt[id] >= inspectInterval {
			w.inspectedAt[id] = w.now
			for model, version := range engine.weights {
				scheduler.Observe(id, model, version)
			}
		}
	}
}

func (w *world) deliver(request UpdateRequest) {
	w.requests++
	if previous, ok := w.lastRequest[request.Engine]; ok {
		if previous.leader != w.leader && w.now-previous.sentAt < leaseDuration {
			w.fail("%s gets a request of leader %d, %d ms after one of leader %d", request.Engine, w.leader, (w.now-previous.sentAt)/ms, previous.leader)
		}
	}
	w.lastRequest[request.Engine] = sentRequest{w.now, w.leader, request.Model, request.Version}
	engine := w.engines[request.Engine]
	if engine == nil || engine.goneAt > 0 {
		return
	}
	if request.Version < engine.newestRequest[request.Model] {
		w.fail("%s is asked for %d of %s after %d", request.Engine, request.Version, request.Model, engine.newestRequest[request.Model])
	}
	engine.newestRequest[request.Model] = request.Version
	switch {
	case engine.update != nil:
		w.scheduler.Postpone(w.now, request.Engine)
	case engine.weights[request.Model] >= request.Version:
		w.scheduler.Observe(request.Engine, request.Model, request.Version)
	default:
		engine.update = &updateJob{request.Model, request.Version, w.now + w.updateDuration()}
	}
}

// changeLeader makes another node the leader, from what is stored.
func (w *world) changeLeader() {
	w.leader++
	w.scheduler = New(w.scheduler.config, w.now, w.now-4*second, w.state())
}

func (w *world) run(duration int64, each func()) {
	for end := w.now + duration; w.now < end && w.problem == ""; {
		if each != nil {
			each()
		}
		w.step()
	}
}

func (w *world) countBehind() (count int) {
	for _, engine := range w.engines {
		for model, versions := range w.announced {
			if version, runs := engine.weights[model]; runs && engine.goneAt == 0 && engine.drainedAt == 0 && version < versions[len(versions)-1].version {
				count++
			}
		}
	}
	return count
}

func (w *world) report(what string) {
	w.t.Helper()
	if w.problem != "" {
		w.t.Errorf("%s: %s (requests %d, most updated at once %d)", what, w.problem, w.requests, w.mostUpdating)
	}
}
