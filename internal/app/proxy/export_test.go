package proxy

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/prometheus/client_golang/prometheus"

	"violetthread/attempt"
	"violetthread/cacheindex"
	"violetthread/internal/clock"
	"violetthread/internal/daemon"
	"violetthread/internal/limits"
	"violetthread/placement"
	"violetthread/route"
)

const testDialTimeoutUS = 10_000_000

// Standalone is a proxy without control nodes: tests set its configuration and its engines.
type Standalone struct {
	server *server
	Listen string

	logMu    sync.Mutex
	logLines []string
}

// LoggedWith returns the lines logged so far that contain text.
func (u *Standalone) LoggedWith(text string) (lines []string) {
	u.logMu.Lock()
	defer u.logMu.Unlock()
	for _, line := range u.logLines {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// newLogger returns a logger that keeps its lines.
func (u *Standalone) newLogger() logr.Logger {
	return funcr.New(func(_, line string) {
		u.logMu.Lock()
		defer u.logMu.Unlock()
		u.logLines = append(u.logLines, line)
	}, funcr.Options{})
}

// InvalidResponses returns the counts of invalid responses by violation.
func (u *Standalone) InvalidResponses(t testing.TB) map[string]float64 {
	t.Helper()
	registry := prometheus.NewRegistry()
	registry.MustRegister(u.server.counts.invalidResponses)
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	counts := map[string]float64{}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			counts[metric.GetLabel()[0].GetValue()] = metric.GetCounter().GetValue()
		}
	}
	return counts
}

// NewStandalone starts a proxy that listens for callers.
func NewStandalone(t testing.TB, adapter Adapter, table *route.Table) *Standalone {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &Standalone{}
	bounds := route.DefaultBounds()
	bounds.RetryAllowance, bounds.RetryRatio = 1e9, 1
	c := &server{
		settings:       Settings{Name: "unattached", Zone: "here", Bounds: bounds, Cost: placement.DefaultCostModel()},
		daemon:         quietDaemon(u.newLogger()),
		adapter:        adapter,
		pool:           newConnPool(),
		hints:          cacheindex.NewHolderTable(64),
		retryWindows:   map[string]*attempt.RetryWindow{},
		retryAllowance: 1e9,
		counts:         counts{invalidResponses: newInvalidResponses()},
		decisions:      newDecisionMetrics(),
		loadChanges:    make(chan struct{}, 1),
	}
	c.pool.dialTimeoutUS = testDialTimeoutUS // the machine may be busy with other tests
	c.picker = c.newPicker()
	c.view.Store(&view{table: table, revision: 1, configAt: clock.Now() + 1<<40, configKnown: true, proxies: 1})
	c.serveCallers(l)
	t.Cleanup(func() {
		c.pool.closeIdle()
		c.daemon.Group.Stop()
	})
	u.server, u.Listen = c, l.Addr().String()
	return u
}

// ListenBounded makes the proxy listen on a port whose connections are accounted to a machine as well,
// and returns its address.
func (u *Standalone) ListenBounded(t testing.TB, machine limits.Machine) string {
	t.Helper()
	l, err := limits.Listen("127.0.0.1:0", machine.NewPort(portCallers, 1-operationalFraction, logr.Discard()))
	if err != nil {
		t.Fatal(err)
	}
	u.server.serveCallers(l)
	return l.Addr().String()
}

// SetEngines replaces the engines by ones without a record of failures.
func (u *Standalone) SetEngines(engines ...*placement.Engine) {
	u.server.mu.Lock()
	defer u.server.mu.Unlock()
	u.server.picker = u.server.newPicker()
	u.server.pool.resetIdleLimits()
	u.server.picker.SetFleet(engines, nil)
}

// SetRetries replaces the retry budget.
func (u *Standalone) SetRetries(ratio, allowance float64) {
	u.server.mu.Lock()
	defer u.server.mu.Unlock()
	u.server.retryAllowance = allowance
	u.server.settings.Bounds.RetryRatio = ratio
	u.server.retryWindows = map[string]*attempt.RetryWindow{}
}

// SetTable replaces the configuration; nil removes it.
func (u *Standalone) SetTable(table *route.Table) {
	v := *u.server.view.Load()
	v.table = table
	u.server.view.Store(&v)
}

// SetVersionBound replaces the time within which new weights must be in use.
func (u *Standalone) SetVersionBound(within time.Duration) {
	u.server.settings.Bounds.VersionApplyUS = within.Microseconds()
}

// Announce replaces the announced versions of a model, each with the time since its announcement.
func (u *Standalone) Announce(model string, ages map[uint64]time.Duration) {
	v := *u.server.view.Load()
	v.announced = &route.Announcements{}
	for version, age := range ages {
		v.announced.Observe(model, version, clock.Now()-age.Microseconds())
	}
	u.server.view.Store(&v)
}

func quietDaemon(log logr.Logger) *daemon.Daemon {
	d := daemon.New("proxy", "unattached", "127.0.0.1:0", 0)
	d.Log = log
	return d
}

// resetIdleLimits discards the idle limits learned from lost connections, for engines that are new.
func (p *connPool) resetIdleLimits() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = map[string]*engineIdleLimit{}
}
