package scale

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"slices"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
	"violetthread/internal/transport"
)

const (
	startTimeoutUS  = 40_000_000 // until every proxy must know everything
	settleUS        = 1_500_000  // between that and the measured window
	changeTimeoutUS = 10_000_000 // until every proxy must know a change
	pollUS          = 20_000     // between two looks at a condition
)

// Measure runs the simulated part of one run beside real nodes that have been started.
func Measure(s Settings, log logr.Logger) (*Sample, error) {
	if len(s.Controls) != len(s.ControlPids) || len(s.Fronts) != len(s.FrontPids) {
		return nil, trace.BadParameter("give as many --control-pids as --controls, and as many --front-pids as --fronts")
	}
	ctx, stop := context.WithTimeout(context.Background(), clock.Duration(startTimeoutUS+changeTimeoutUS+s.Seconds*3_000_000))
	defer stop()
	group := taskgroup.New(ctx, log)
	defer group.Stop()
	observations := NewObservations(s.Proxies)
	engines, err := StartEngines(group, s.List, s.Engines, s.Blocks, observations)
	if err != nil {
		return nil, err
	}
	r := &run{settings: s, log: log, group: group, observations: observations, engines: engines, version: 1}
	return r.measure(ctx)
}

// run is one run.
type run struct {
	settings     Settings
	log          logr.Logger
	group        *taskgroup.Group
	observations *Observations
	engines      *Engines
	version      int // of the configuration
}

// waitUntil asks again and again, without hurry, for timeoutUS at the most.
func waitUntil(ctx context.Context, timeoutUS int64, condition func() bool) bool {
	for end := clock.Now() + timeoutUS; clock.Now() < end; {
		if condition() {
			return true
		}
		if !taskgroup.Sleep(ctx, pollUS) {
			return false
		}
	}
	return condition()
}

// measure starts everything, waits until every proxy knows all, and measures.
func (r *run) measure(ctx context.Context) (*Sample, error) {
	s := r.settings
	var cause error
	put := func() bool {
		cause = r.change(ctx, 0, http.MethodPut, configText(s.Size, r.version))
		return cause == nil || trace.IsBadParameter(cause)
	}
	if !waitUntil(ctx, startTimeoutUS, put) || cause != nil {
		return nil, trace.ConnectionProblem(cause, "the control nodes take no configuration (%v); look at their logs", cause)
	}
	startedAt := clock.Now()
	r.startProxies(ctx)
	r.group.Go("events", func(ctx context.Context) { r.engines.Run(ctx, s.Events) })
	complete := waitUntil(ctx, startTimeoutUS, func() bool { return r.observations.ReadyCount() == s.Proxies })
	ready := clock.Now() - startedAt
	if !complete && s.Role != roleLimit {
		return nil, trace.LimitExceeded("%d of %d simulated proxies know all after %d s; give smaller sizes, or --role limit", r.observations.ReadyCount(), s.Proxies, startTimeoutUS/1_000_000)
	}
	taskgroup.Sleep(ctx, settleUS)
	return r.window(ctx, float64(ready)/1000)
}

// startProxies starts the simulated proxies one after the other.
func (r *run) startProxies(ctx context.Context) {
	s := r.settings
	var engines []uint64
	for _, e := range r.engines.all {
		engines = append(engines, e.holderID())
	}
	stagger := s.Stagger
	if stagger == 0 {
		stagger = 5_000 + int64(s.Blocks)*2/3
	}
	for i := range s.Proxies {
		p := NewProxy(r.group, r.observations, ProxyConfig{
			Number:   i,
			Name:     fmt.Sprintf("hollow-%04d", i),
			Zone:     fmt.Sprintf("zone-%02d", i%zoneCount),
			Seeds:    s.Wires,
			Engines:  engines,
			Requests: s.UnderWay,
		})
		r.group.Go("proxy", p.Run)
		taskgroup.Sleep(ctx, stagger)
	}
}

// counters are what is read at the start and at the end of the measured window.
type counters struct {
	at          int64
	nodes       []processStats
	traffic     transport.Traffic // of the simulated proxies
	engineBytes int64             // sent by simulated engines
	listBytes   int64             // sent by the list
	events      int64
}

// window is the time that is measured: changes happen in it, spread evenly.
func (r *run) window(ctx context.Context, readyMS float64) (*Sample, error) {
	r.observations.reset()
	nodes, err := r.measureNodes(ctx)
	if err != nil {
		return nil, err
	}
	start := r.counters(nodes)
	start.at = clock.Now()
	times := r.makeChanges(ctx, start.at)
	end := r.counters(nil)
	end.at = clock.Now()
	if end.nodes, err = r.measureNodes(ctx); err != nil {
		return nil, err
	}
	return r.sample(start, end, times, readyMS), nil
}

// counters are the counters of this process, beside those of the nodes.
func (r *run) counters(nodes []processStats) counters {
	return counters{
		nodes:       nodes,
		traffic:     transport.TotalTraffic(),
		engineBytes: r.engines.EngineBytes.Load(),
		listBytes:   r.engines.ListBytes.Load(),
		events:      r.engines.EventCount.Load(),
	}
}

// changeTimes are how long changes took, in microseconds.
type changeTimes struct {
	acknowledged []int64 // until the answer
	known        []int64 // from the answer until every proxy knew
}

// makeChanges makes the window's changes, and returns at its end.
func (r *run) makeChanges(ctx context.Context, start int64) (times changeTimes) {
	s := r.settings
	steps := max(1, s.Changes, s.MapChanges)
	for i := range steps {
		if due(s.MapChanges, i, steps) {
			r.engines.ToggleDraining(rand.Intn(s.Engines))
		}
		if due(s.Changes, i, steps) {
			if !r.timeChange(ctx, i, &times) {
				continue
			}
		}
		if rest := start + s.Seconds*1_000_000*int64(i+1)/int64(steps) - clock.Now(); rest > 0 {
			taskgroup.Sleep(ctx, rest)
		}
	}
	return times
}

// due reports whether one of n things spread evenly over steps falls into step i.
func due(n, i, steps int) bool { return n > 0 && i*n/steps != (i+1)*n/steps }

// timeChange makes one change of the configuration; false if it was refused.
func (r *run) timeChange(ctx context.Context, i int, times *changeTimes) bool {
	before := r.observations.CommonRevision()
	r.version++
	sentAt := clock.Now()
	if err := r.change(ctx, i, http.MethodPatch, patchText(r.version)); err != nil {
		r.version-- // it is sent again as it was, and is the same change if it was accepted
		r.log.Info("change_refused", "cause", err.Error())
		return false
	}
	answeredAt := clock.Now()
	times.acknowledged = append(times.acknowledged, answeredAt-sentAt)
	var last int64
	if waitUntil(ctx, changeTimeoutUS, func() (all bool) { last, all = r.observations.KnownSince(before); return all }) {
		times.known = append(times.known, max(0, last-answeredAt))
	}
	return true
}

// sample works out what the window showed.
func (r *run) sample(start, end counters, times changeTimes, readyMS float64) *Sample {
	s := r.settings
	seconds := float64(end.at-start.at) / 1e6
	figures := map[string]float64{}
	controls := len(s.Controls)
	addRoleMeans(figures, "control", start.nodes[:controls], end.nodes[:controls])
	addRoleMeans(figures, "front", start.nodes[controls:], end.nodes[controls:])
	configBytes := r.observations.addFigures(figures, seconds, float64(s.Proxies))
	proxies, controlCount, fronts := float64(s.Proxies), float64(controls), float64(len(s.Fronts))
	figures["hollow.in_bytes_s"] = float64(end.traffic.BytesReceived-start.traffic.BytesReceived) / seconds / proxies
	figures["hollow.out_bytes_s"] = float64(end.traffic.BytesSent-start.traffic.BytesSent) / seconds / proxies
	figures["hollow.ready_ms"] = readyMS
	figures["control.peer_in_bytes_s"] = figures["control.in_bytes_s"] - figures["hollow.out_bytes_s"]*proxies/controlCount - figures["front.out_bytes_s"]*fronts/controlCount
	figures["control.peer_out_bytes_s"] = figures["control.out_bytes_s"] - figures["hollow.in_bytes_s"]*proxies/controlCount - figures["front.in_bytes_s"]*fronts/controlCount
	figures["control.engines_in_bytes_s"] = float64(end.engineBytes-start.engineBytes) / seconds / controlCount
	figures["control.list_in_bytes_s"] = float64(end.listBytes-start.listBytes) / seconds / controlCount
	figures["events_s"] = float64(end.events-start.events) / seconds
	times.addFigures(figures)
	drivers := s.Size.Drivers(len(s.Fronts), controls, configBytes)
	drivers.Events = figures["events_s"]
	return &Sample{Label: s.Label, Role: s.Role, Size: s.Size, Drivers: drivers, Figures: figures}
}

func (t changeTimes) addFigures(figures map[string]float64) {
	if len(t.acknowledged) > 0 {
		figures["change.ack_ms"] = milliseconds(quantile(t.acknowledged, .5))
		figures["change.ack_worst_ms"] = milliseconds(quantile(t.acknowledged, 1))
	}
	if len(t.known) > 0 {
		figures["change.known_ms"] = milliseconds(quantile(t.known, .5))
		figures["change.known_worst_ms"] = milliseconds(quantile(t.known, 1))
	}
	figures["change.unknown"] = float64(len(t.acknowledged) - len(t.known))
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }

// measureNodes measures every real node, control nodes first. In a run beyond the limits one
// that does not answer is measured from outside alone.
func (r *run) measureNodes(ctx context.Context) (nodes []processStats, err error) {
	pids := slices.Concat(r.settings.ControlPids, r.settings.FrontPids)
	for i, addr := range slices.Concat(r.settings.Controls, r.settings.Fronts) {
		stats, err := measureProcess(ctx, pids[i], addr)
		if err != nil && (r.settings.Role != roleLimit || stats.cpu == 0) {
			return nil, err
		}
		if err != nil {
			r.log.Info("node_silent", "node", addr, "cause", err.Error())
		}
		nodes = append(nodes, stats)
	}
	return nodes, nil
}

// addRoleMeans puts the means over a role's processes into figures.
func addRoleMeans(figures map[string]float64, role string, start, end []processStats) {
	if len(start) == 0 {
		return
	}
	n := float64(len(start))
	for i := range start {
		seconds := float64(end[i].at-start[i].at) / 1e6
		figures[role+".cpu_us_s"] += float64(end[i].cpu-start[i].cpu) / 1000 / seconds / n
		figures[role+".rss_mb"] += end[i].rss / n
		figures[role+".peak_mb"] += end[i].peak / n
		figures[role+".in_bytes_s"] += (end[i].inBytes - start[i].inBytes) / seconds / n
		figures[role+".out_bytes_s"] += (end[i].outBytes - start[i].outBytes) / seconds / n
		figures[role+".in_frames_s"] += (end[i].inFrames - start[i].inFrames) / seconds / n
		figures[role+".out_frames_s"] += (end[i].outFrames - start[i].outFrames) / seconds / n
	}
}
