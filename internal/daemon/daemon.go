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
	"violetthread/internal/taskgroup"
)

// httpStopTimeout bounds how long open HTTP requests are waited for once draining is over.
const httpStopTimeout = 2 * time.Second

// Daemon is one running process.
type Daemon struct {
	Program string               // as it stands in the log
	Name    string               // of the node
	Group   *taskgroup.Group     // of the process's tasks; it ends with the process
	Log     logr.Logger          // see NewLogger
	Metrics *prometheus.Registry // what /metrics shows

	server       *khttp.Server
	app          atomic.Pointer[kratos.App] // once it runs
	notReady     atomic.Pointer[string]     // why it is not ready; nil when it is
	stopping     atomic.Bool
	failure      atomic.Pointer[error] // why the process ends by itself
	drains       []func(ctx context.Context)
	stops        []func()
	drainTimeout time.Duration
}

// New makes a daemon that will serve HTTP at an IP:port, and drain for drainUS microseconds
// at most when it is stopped. It is not ready yet.
func New(program, name, addr string, drainUS int64) *Daemon {
	d := &Daemon{
		Program:      program,
		Name:         name,
		Log:          NewLogger(program, name),
		Metrics:      prometheus.NewRegistry(),
		server:       newServer(addr),
		drainTimeout: clock.Duration(drainUS),
	}
	d.Group = taskgroup.New(context.Background(), d.Log)
	d.SetReady("starting")
	d.countTraffic()
	d.handleVitals()
	return d
}

// SetReady tells the platform why this process is not ready; an empty reason says that it
// is. A process that is stopping stays not ready.
func (d *Daemon) SetReady(reason string) {
	if reason == "" && !d.stopping.Load() {
		d.notReady.Store(nil)
		return
	}
	if reason != "" {
		d.notReady.Store(&reason)
	}
}

// Ready reports what /readyz would.
func (d *Daemon) Ready() bool { return d.notReady.Load() == nil }

// Stopping reports whether a graceful stop is under way.
func (d *Daemon) Stopping() bool { return d.stopping.Load() }

// OnDrain adds what finishes running work on a graceful stop, before ctx ends; what was
// added last comes first.
func (d *Daemon) OnDrain(drain func(ctx context.Context)) { d.drains = append(d.drains, drain) }

// OnStop adds what is done after everything else has ended, in the order it was added.
func (d *Daemon) OnStop(stop func()) { d.stops = append(d.stops, stop) }

// Run serves until the process is stopped, then drains and ends. The error is that of Fail,
// or why the HTTP side could not be served.
func (d *Daemon) Run() error {
	app := kratos.New(kratos.Name(d.Program), kratos.Version(Version), kratos.Server(d.server),
		kratos.StopTimeout(httpStopTimeout), kratos.Signal(syscall.SIGTERM, syscall.SIGINT), kratos.BeforeStop(d.drain))
	d.app.Store(app)
	d.Log.Info("started", "version", Version)
	var err error
	if d.Failure() == nil {
		err = app.Run()
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

// drain finishes running work within the drain time. The error is always nil.
func (d *Daemon) drain(context.Context) error {
	d.stopping.Store(true)
	d.SetReady("stopping")
	d.Log.Info("stopping", "drain_us", d.drainTimeout.Microseconds())
	ctx, cancel := context.WithTimeout(context.Background(), d.drainTimeout)
	defer cancel()
	for _, drain := range slices.Backward(d.drains) {
		drain(ctx)
	}
	return nil
}

// Stop ends the process as a signal would; Run then returns.
func (d *Daemon) Stop() {
	if app := d.app.Load(); app != nil {
		_ = app.Stop()
	}
}

// Fail ends the process as Stop does, with an error that Run returns and that names the
// remedy: for what does not pass by itself. Only the first failure counts.
func (d *Daemon) Fail(err error) {
	if !d.failure.CompareAndSwap(nil, &err) {
		return
	}
	d.Log.Info("failed", "cause", err.Error())
	d.SetReady(err.Error())
	d.Stop()
}

// Failure is why the process ends by itself, nil if it does not.
func (d *Daemon) Failure() error {
	if failure := d.failure.Load(); failure != nil {
		return *failure
	}
	return nil
}
