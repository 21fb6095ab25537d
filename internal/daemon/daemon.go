package daemon

import (
	"context"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"violetthread/internal/clock"
	"violetthread/internal/limits"
	"violetthread/internal/taskgroup"
)

// defaultHTTPFraction leaves as much to a process's other port.
const defaultHTTPFraction = 0.5

// httpStopTimeout bounds the wait for open HTTP requests after draining.
const httpStopTimeout = 2 * time.Second

// Daemon is a process of the project. The exported fields are set by New.
type Daemon struct {
	Program string               // name of the program in the log
	Name    string               // of the node
	Group   *taskgroup.Group     // for the process's tasks; Run stops it after serving
	Log     logr.Logger          // see NewLogger
	Metrics *prometheus.Registry // served at /metrics

	// Machine is what the process may use; what it leaves out is detected. HTTPFraction is the share of
	// it that the peers of the HTTP port may use. Both may be changed before Run.
	Machine      limits.Machine
	HTTPFraction float64

	addr         string
	httpPort     atomic.Pointer[limits.Port] // nil before Run
	server       *khttp.Server
	app          atomic.Pointer[kratos.App] // nil before Run
	notReady     atomic.Pointer[string]     // reason; nil when ready
	stopping     atomic.Bool
	failure      atomic.Pointer[error] // set by Fail
	drains       []func(ctx context.Context)
	stops        []func()
	drainTimeout time.Duration
}

// New returns a daemon that will serve HTTP at an IP:port and drain for at most drainUS
// microseconds on a graceful stop. It is not ready until SetReady("").
func New(program, name, addr string, drainUS int64) *Daemon {
	d := &Daemon{
		Program:      program,
		Name:         name,
		Log:          NewLogger(program, name),
		Metrics:      prometheus.NewRegistry(),
		HTTPFraction: defaultHTTPFraction,
		addr:         addr,
		server:       newServer(addr),
		drainTimeout: clock.Duration(drainUS),
	}
	d.Group = taskgroup.New(context.Background(), d.Log)
	d.SetReady("starting")
	d.registerTrafficMetrics()
	d.registerStatusHandlers()
	return d
}

// SetReady sets the reason why this process is not ready, which /readyz reports; an empty
// reason makes it ready. A process that is stopping remains not ready.
func (d *Daemon) SetReady(reason string) {
	if reason == "" && !d.stopping.Load() {
		d.notReady.Store(nil)
		return
	}
	if reason != "" {
		d.notReady.Store(&reason)
	}
}

// Ready reports whether this process is ready, as /readyz does.
func (d *Daemon) Ready() bool { return d.notReady.Load() == nil }

// Stopping reports whether a graceful stop is under way.
func (d *Daemon) Stopping() bool { return d.stopping.Load() }

// OnDrain adds a function that finishes running work on a graceful stop, before its ctx ends.
// The function added last is called first.
func (d *Daemon) OnDrain(drain func(ctx context.Context)) { d.drains = append(d.drains, drain) }

// OnStop adds a function that Run calls after everything else has ended, in the order of
// addition.
func (d *Daemon) OnStop(stop func()) { d.stops = append(d.stops, stop) }

// Run serves until the process is stopped, then drains and returns. The error is that of Fail,
// or of the HTTP server.
func (d *Daemon) Run() error {
	app := kratos.New(kratos.Name(d.Program), kratos.Version(Version), kratos.Server(d.server),
		kratos.StopTimeout(httpStopTimeout), kratos.Signal(syscall.SIGTERM, syscall.SIGINT), kratos.BeforeStop(d.drain))
	d.app.Store(app)
	d.Log.Info("started", "version", Version)
	var err error
	if d.Failure() == nil {
		if err = d.listen(); err == nil {
			err = app.Run()
		}
	}
	d.Group.Stop()
	for _, stop := range d.stops {
		stop()
	}
	d.Log.Info("stopped")
	if failure := d.Failure(); failure != nil {
		return failure
	}
	return err
}

// NewPort returns the share of a listening port in what the process's machine has, and registers its
// metrics.
func (d *Daemon) NewPort(name string, fraction float64) *limits.Port {
	port := d.Machine.OrDetected().NewPort(name, fraction, d.Log)
	d.Metrics.MustRegister(port)
	return port
}

// listen opens the HTTP port.
func (d *Daemon) listen() error {
	port := d.NewPort(portHTTP, d.HTTPFraction)
	d.httpPort.Store(port)
	listener, err := limits.Listen(d.addr, port)
	if err != nil {
		return err
	}
	khttp.Listener(listener)(d.server)
	return nil
}

// drain makes the process not ready and finishes running work within the drain time. The
// error is always nil.
func (d *Daemon) drain(context.Context) error {
	d.stopping.Store(true)
	d.SetReady("stopping")
	d.Log.Info("stopping", "drain_us", d.drainTimeout.Microseconds())
	ctx, cancel := context.WithTimeout(context.Background(), d.drainTimeout)
	defer cancel()
	for _, drain := range slices.Backward(d.drains) {
		drain(ctx)
	}
	if port := d.httpPort.Load(); port != nil {
		port.CloseWaiting()
	}
	return nil
}

// Stop starts a graceful stop, as SIGTERM does; Run then returns. Before Run it does nothing.
func (d *Daemon) Stop() {
	if app := d.app.Load(); app != nil {
		_ = app.Stop()
	}
}

// Fail stops the process as Stop does and makes Run return err, which should state the remedy.
// It is for failures that the process can't recover from. Only the first call has an effect.
func (d *Daemon) Fail(err error) {
	if !d.failure.CompareAndSwap(nil, &err) {
		return
	}
	d.Log.Info("failed", "cause", err.Error())
	d.SetReady(err.Error())
	d.Stop()
}

// Failure returns the error of the first Fail, or nil.
func (d *Daemon) Failure() error {
	if failure := d.failure.Load(); failure != nil {
		return *failure
	}
	return nil
}
