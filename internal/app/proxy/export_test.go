package proxy

import (
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"violetthread/attempt"
	"violetthread/cacheindex"
	"violetthread/internal/clock"
	"violetthread/internal/daemon"
	"violetthread/placement"
	"violetthread/route"
)

const patienceUS = 10_000_000

// Unattached is a proxy without control nodes: tests say what is in force and which
// engines there are.
type Unattached struct {
	server *server
	Listen string
}

// NewUnattached starts one that listens for callers.
func NewUnattached(t testing.TB, door Adapter, table *route.Table) *Unattached {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bounds := route.DefaultBounds()
	bounds.RetryAllowance, bounds.RetryRatio = 1e9, 1
	c := &server{
		settings:       Settings{Name: "unattached", Zone: "here", Bounds: bounds, Cost: placement.DefaultCostModel()},
		daemon:         quietDaemon(),
		adapter:        door,
		pool:           newConnPool(),
		hints:          cacheindex.NewHolderTable(64),
		retryWindows:   map[string]*attempt.RetryWindow{},
		retryAllowance: 1e9,
		decisions:      newDecisionMetrics(),
		loadChanges:    make(chan struct{}, 1),
	}
	c.pool.dialTimeoutUS = patienceUS // the machine may be busy with other tests
	c.picker = c.newPicker()
	c.view.Store(&view{table: table, revision: 1, configAt: clock.Now() + 1<<40, configKnown: true, proxies: 1})
	c.serveCallers(l, table.Limits)
	t.Cleanup(func() {
		c.pool.closeIdle()
		c.daemon.Group.Stop()
	})
	return &Unattached{server: c, Listen: l.Addr().String()}
}

// SetEngines replaces the engines by others that have never failed.
func (u *Unattached) SetEngines(engines ...*placement.Engine) {
	u.server.mu.Lock()
	defer u.server.mu.Unlock()
	u.server.picker = u.server.newPicker()
	u.server.pool.forgetLosses()
	u.server.picker.SetFleet(engines, nil)
}

// SetRetries replaces what the proxy may spend on further attempts.
func (u *Unattached) SetRetries(ratio, allowance float64) {
	u.server.mu.Lock()
	defer u.server.mu.Unlock()
	u.server.retryAllowance = allowance
	u.server.settings.Bounds.RetryRatio = ratio
	u.server.retryWindows = map[string]*attempt.RetryWindow{}
}

// NewView takes the configuration away, or gives one.
func (u *Unattached) NewView(table *route.Table) {
	v := *u.server.view.Load()
	v.table = table
	u.server.view.Store(&v)
}

// SetVersionBound replaces the bound on new weights.
func (u *Unattached) SetVersionBound(within time.Duration) {
	u.server.settings.Bounds.VersionApplyUS = within.Microseconds()
}

// Announce replaces what is known of a model's versions: how long ago each was announced.
func (u *Unattached) Announce(model string, ages map[uint64]time.Duration) {
	v := *u.server.view.Load()
	v.announced = &route.Announcements{}
	for version, age := range ages {
		v.announced.Observe(model, version, clock.Now()-age.Microseconds())
	}
	u.server.view.Store(&v)
}

func quietDaemon() *daemon.Daemon {
	d := daemon.New("proxy", "unattached", "127.0.0.1:0", 0)
	d.Log = logr.Discard()
	return d
}

// forgetLosses forgets which connections broke while they were idle: these engines are new.
func (p *connPool) forgetLosses() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = map[string]*idleLimit{}
}
