package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"runtime/pprof"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
	"violetthread/internal/transport"
)

// bareKeys and bareWords find quotes that the library writes and nobody needs;
// quotes inside a value are escaped and never match.
var (
	bareKeys  = regexp.MustCompile(`(^| )"([a-z0-9_]+)"=`)
	bareWords = regexp.MustCompile(`="([A-Za-z0-9_.:/#-]+)"`)
)

// Log makes the log: one line of key=value pairs for each event, on stderr.
func NewLogger(program, node string) logr.Logger {
	var mu sync.Mutex
	return funcr.New(func(_, args string) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(os.Stderr, "at=%s program=%s node=%s %s\n", time.Now().UTC().Format("2006-01-02T15:04:05.000000Z"), program, node, bareWords.ReplaceAllString(bareKeys.ReplaceAllString(args, "$1$2="), "=$1"))
	}, funcr.Options{RenderBuiltinsHook: func(kv []any) []any {
		out := []any{}
		for i := 0; i+1 < len(kv); i += 2 {
			switch kv[i] {
			case "level", "logger":
			case "msg":
				out = append(out, "event", kv[i+1])
			default:
				out = append(out, kv[i], kv[i+1])
			}
		}
		return out
	}})
}

type quiet struct{}

// Log drops a line of the library.
func (quiet) Log(klog.Level, ...any) error { return nil }

// The library's own lines are no events of ours; its logger is global, so it is
// set before anything runs.
func init() { klog.SetLogger(quiet{}) }

// Daemon is one running process.
type Daemon struct {
	Program, Name string
	Group         *taskgroup.Group
	Log           logr.Logger
	Metrics       *prometheus.Registry
	srv           *khttp.Server
	app           atomic.Pointer[kratos.App]
	ready         atomic.Pointer[string] // why it is not ready; nil when it is
	stopping      atomic.Bool
	failure       atomic.Pointer[error] // why the process ends by itself
	drain         []func(ctx context.Context)
	onStop        []func()
	drainFor      time.Duration
}

// Start makes a daemon that will serve HTTP at addr.
func New(program, name, addr string, drainUS int64) *Daemon {
	d := &Daemon{Program: program, Name: name, Log: NewLogger(program, name), Metrics: prometheus.NewRegistry(), drainFor: clock.Duration(drainUS)}
	d.Group = taskgroup.New(context.Background(), d.Log)
	d.SetReady("starting")
	// The library's default of one second would cut streams.
	d.srv = khttp.NewServer(khttp.Address(addr), khttp.Timeout(0), khttp.NotFoundHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusNotFound, ErrorResponse{"no-such-path", "see the API page for the paths there are"})
	})), khttp.MethodNotAllowedHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusMethodNotAllowed, ErrorResponse{"no-such-method", "see the API page for the methods of this path"})
	})))
	d.srv.ReadHeaderTimeout = 5 * time.Second
	d.srv.IdleTimeout = 90 * time.Second
	d.srv.MaxHeaderBytes = 32 << 10
	d.Handle("/healthz", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, 200, map[string]string{"vitals": "ok"}) })
	d.Handle("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if why := d.ready.Load(); why != nil {
			WriteJSON(w, http.StatusServiceUnavailable, ErrorResponse{"not-ready", *why})
			return
		}
		WriteJSON(w, 200, map[string]string{"ready": "yes"})
	})
	d.traffic()
	d.Handle("/metrics", promhttp.HandlerFor(d.Metrics, promhttp.HandlerOpts{}).ServeHTTP)
	return d
}

// traffic shows what went over the process's own wires.
func (d *Daemon) traffic() {
	n := func(name, help string, f func(transport.Traffic) int64) {
		d.Counter(name, help, func() float64 { return float64(f(transport.TotalTraffic())) })
	}
	n("link_sent_bytes_total", "bytes sent to other nodes", func(t transport.Traffic) int64 { return t.BytesSent })
	n("link_received_bytes_total", "bytes taken in from other nodes", func(t transport.Traffic) int64 { return t.BytesReceived })
	n("link_sent_frames_total", "frames sent to other nodes", func(t transport.Traffic) int64 { return t.FramesSent })
	n("link_received_frames_total", "frames taken in from other nodes", func(t transport.Traffic) int64 { return t.FramesReceived })
}

// Handle serves a path.
func (d *Daemon) Handle(path string, h http.HandlerFunc) { d.srv.HandleFunc(path, h) }

// HandlePrefix serves all below a path.
func (d *Daemon) HandlePrefix(path string, h http.HandlerFunc) { d.srv.HandlePrefix(path, h) }

// Gauge shows a value as a metric.
func (d *Daemon) Gauge(name, help string, f func() float64) {
	d.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "violetthread", Name: name, Help: help}, f))
}

// Counter shows a growing count as a metric.
func (d *Daemon) Counter(name, help string, f func() float64) {
	d.Metrics.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: "violetthread", Name: name, Help: help}, f))
}

// SetReady tells the platform that this process is ready, or why it is not.
func (d *Daemon) SetReady(why string) {
	if why == "" && !d.stopping.Load() {
		d.ready.Store(nil)
		return
	}
	if why != "" {
		d.ready.Store(&why)
	}
}

// Ready reports what /readyz would.
func (d *Daemon) Ready() bool { return d.ready.Load() == nil }

// Stopping reports whether a polite stop is under way.
func (d *Daemon) Stopping() bool { return d.stopping.Load() }

// OnDrain adds what finishes running work on a polite stop; what was added last
// comes first.
func (d *Daemon) OnDrain(f func(ctx context.Context)) { d.drain = append(d.drain, f) }

// Failed is why the process ends by itself, nil if it does not.
func (d *Daemon) Failure() error {
	if failure := d.failure.Load(); failure != nil {
		return *failure
	}
	return nil
}

// Profile writes a processor profile until the daemon has stopped.
func (d *Daemon) ProfileCPU(path string) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return trace.Wrap(err, "can't write the profile; give --cpu-profile a file in a folder that exists")
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return trace.Wrap(err)
	}
	d.OnStop(func() {
		pprof.StopCPUProfile()
		_ = f.Close()
	})
	return nil
}

// OnStop sets what is done after everything else has ended.
func (d *Daemon) OnStop(f func()) { d.onStop = append(d.onStop, f) }

// Run serves until the process is told to stop, then drains and leaves.
func (d *Daemon) Run() error {
	app := kratos.New(kratos.Name(d.Program), kratos.Version(Version), kratos.Server(d.srv), kratos.StopTimeout(2*time.Second),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.BeforeStop(func(context.Context) error {
			d.stopping.Store(true)
			d.SetReady("stopping")
			d.Log.Info("stopping", "drain_us", d.drainFor.Microseconds())
			ctx, stop := context.WithTimeout(context.Background(), d.drainFor)
			defer stop()
			for _, f := range slices.Backward(d.drain) {
				f(ctx)
			}
			return nil
		}))
	d.app.Store(app)
	d.Log.Info("started", "version", Version)
	var err error
	if d.Failure() == nil {
		err = app.Run()
	}
	d.Group.Stop()
	for _, f := range d.onStop {
		f()
	}
	d.Log.Info("stopped")
	if failure := d.Failure(); failure != nil {
		return failure
	}
	return err
}

// Fail ends the process as Stop does, with an error that Run returns and that names the
// remedy: for what does not pass by itself.
func (d *Daemon) Fail(err error) {
	if !d.failure.CompareAndSwap(nil, &err) {
		return
	}
	d.Log.Info("failed", "cause", err.Error())
	d.SetReady(err.Error())
	d.Stop()
}

// Stop ends the process as a signal would; Run then returns.
func (d *Daemon) Stop() {
	if a := d.app.Load(); a != nil {
		_ = a.Stop()
	}
}

// Wrong is what an HTTP caller gets when it erred or was refused.
type ErrorResponse struct {
	Reason string `json:"reason"`
	Remedy string `json:"remedy"`
}

// JSON writes v as the answer.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = 500, []byte(`{"reason":"internal","remedy":"report this"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(b, '\n'))
}

// Exit prints an error as a user should see it and ends the process.
func Exit(program string, err error) {
	for _, l := range strings.Split(err.Error(), "\n") {
		fmt.Fprintf(os.Stderr, "%s: %s\n", program, l)
	}
	os.Exit(2)
}
