package proxy

import (
	"net"
	"testing"

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
	c      *carrier
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
	c := &carrier{
		s:      Settings{Name: "unattached", Zone: "here", Bounds: bounds},
		d:      quietDaemon(),
		door:   door,
		pool:   newPool(),
		hints:  cacheindex.NewHolderTable(64),
		window: map[string]*attempt.RetryWindow{},
		allow:  1e9,
	}
	c.pool.dialTimeoutUS = patienceUS // the machine may be busy with other tests
	c.pick = placement.New(c.s.Zone, c.hints)
	c.view.Store(&view{table: table, rev: 1, at: clock.Now() + 1<<40, known: true, peers: 1})
	c.serveCallers(l, table.Limits)
	t.Cleanup(func() {
		c.pool.closeIdle()
		c.d.Group.Stop()
	})
	return &Unattached{c: c, Listen: l.Addr().String()}
}

// SetEngines replaces the engines by others that have never failed.
func (u *Unattached) SetEngines(engines ...*placement.Engine) {
	u.c.mu.Lock()
	defer u.c.mu.Unlock()
	u.c.pick = placement.New(u.c.s.Zone, u.c.hints)
	u.c.pick.SetFleet(engines, nil)
}

// SetRetries replaces what the proxy may spend on further attempts.
func (u *Unattached) SetRetries(ratio, allowance float64) {
	u.c.mu.Lock()
	defer u.c.mu.Unlock()
	u.c.allow = allowance
	u.c.s.Bounds.RetryRatio = ratio
	u.c.window = map[string]*attempt.RetryWindow{}
}

// NewView takes the configuration away, or gives one.
func (u *Unattached) NewView(table *route.Table) {
	v := *u.c.view.Load()
	v.table = table
	u.c.view.Store(&v)
}

func quietDaemon() *daemon.Daemon {
	d := daemon.New("proxy", "unattached", "127.0.0.1:0", 0)
	d.Log = logr.Discard()
	return d
}
