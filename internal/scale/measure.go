package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"slices"
	"strconv"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
	"violetthread/internal/transport"
)

// Sample is what one run showed. Figures of a role are a mean over its processes.
type Sample struct {
	Label   string             `json:"label"`
	Role    string             `json:"role"`
	Size    Size               `json:"size"`
	Drivers Drivers            `json:"drivers"`
	Figures map[string]float64 `json:"figures"`
}

const (
	startTimeoutUS  = 40_000_000 // until every proxy must know everything
	settleUS        = 1_500_000  // before it measures
	changeTimeoutUS = 10_000_000
)

// Measure runs the hollow part of one run beside real nodes that have been started.
func Measure(s Settings, log logr.Logger) (*Sample, error) {
	if len(s.Controls) != len(s.ControlPids) || len(s.Fronts) != len(s.FrontPids) {
		return nil, trace.BadParameter("give as many --control-pids as --controls, and as many --front-pids as --fronts")
	}
	ctx, stop := context.WithTimeout(context.Background(), clock.Duration(startTimeoutUS+changeTimeoutUS+s.Seconds*3_000_000))
	defer stop()
	c := taskgroup.New(ctx, log)
	defer c.Stop()
	b := NewObservations(s.Proxies)
	es, err := StartEngines(c, s.List, s.Engines, s.Blocks, b)
	if err != nil {
		return nil, err
	}
	r := &run{settings: s, log: log, group: c, observations: b, engines: es, version: 1}
	return r.measure(ctx)
}

type run struct {
	settings     Settings
	log          logr.Logger
	group        *taskgroup.Group
	observations *Observations
	engines      *Engines
	version      int
}

// until asks again and again, without hurry.
func waitUntil(ctx context.Context, most int64, f func() bool) bool {
	for end := clock.Now() + most; clock.Now() < end; {
		if f() {
			return true
		}
		if !taskgroup.Sleep(ctx, 20_000) {
			return false
		}
	}
	return f()
}

func (r *run) measure(ctx context.Context) (*Sample, error) {
	s := r.settings
	var why error
	put := func() bool {
		why = r.change(ctx, 0, http.MethodPut, configText(s.Size, r.version))
		return why == nil || trace.IsBadParameter(why)
	}
	if !waitUntil(ctx, startTimeoutUS, put) || why != nil {
		return nil, trace.ConnectionProblem(why, "the control nodes take no configuration (%v); look at their logs", why)
	}
	var nodes []uint64
	for _, e := range r.engines.all {
		nodes = append(nodes, e.holderID())
	}
	stagger := s.Stagger
	if stagger == 0 {
		stagger = 5_000 + int64(s.Blocks)*2/3
	}
	began := clock.Now()
	for i := range s.Proxies {
		p := NewProxy(r.group, i, fmt.Sprintf("hollow-%04d", i), fmt.Sprintf("zone-%02d", i%zoneCount), s.Wires, r.observations, nodes, s.UnderWay)
		r.group.Go("proxy", p.Run)
		taskgroup.Sleep(ctx, stagger)
	}
	r.group.Go("events", func(ctx context.Context) { r.engines.Run(ctx, s.Events) })
	whole := waitUntil(ctx, startTimeoutUS, func() bool { return r.observations.ReadyCount() == s.Proxies })
	ready := clock.Now() - began
	if !whole && s.Role != "limit" {
		return nil, trace.LimitExceeded("%d of %d hollow proxies know all after %d s; give smaller sizes, or --role limit", r.observations.ReadyCount(), s.Proxies, startTimeoutUS/1_000_000)
	}
	taskgroup.Sleep(ctx, settleUS)
	return r.window(ctx, float64(ready)/1000)
}

// window is the time that is measured.
func (r *run) window(ctx context.Context, readyMS float64) (*Sample, error) {
	s := r.settings
	r.observations.reset()
	a, err := r.measureNodes(ctx)
	if err != nil {
		return nil, err
	}
	l0, e0, p0, v0 := transport.TotalTraffic(), r.engines.EngineBytes.Load(), r.engines.ListBytes.Load(), r.engines.EventCount.Load()
	t0 := clock.Now()
	var ack, known []int64
	steps := max(1, s.Changes, s.MapChanges)
	for i := range steps {
		if s.MapChanges > 0 && i*s.MapChanges/steps != (i+1)*s.MapChanges/steps {
			r.engines.ToggleDraining(rand.Intn(s.Engines))
		}
		if s.Changes > 0 && i*s.Changes/steps != (i+1)*s.Changes/steps {
			was := r.observations.CommonRevision()
			r.version++
			from := clock.Now()
			if err := r.change(ctx, i, http.MethodPatch, patchText(r.version)); err != nil {
				r.version-- // it is sent again as it was, and is the same change if it was taken
				r.log.Info("change_refused", "cause", err.Error())
				continue
			}
			at := clock.Now()
			ack = append(ack, at-from)
			var last int64
			if waitUntil(ctx, changeTimeoutUS, func() (ok bool) { last, ok = r.observations.KnownSince(was); return ok }) {
				known = append(known, max(0, last-at))
			}
		}
		if d := t0 + s.Seconds*1_000_000*int64(i+1)/int64(steps) - clock.Now(); d > 0 {
			taskgroup.Sleep(ctx, d)
		}
	}
	l1, e1, p1, v1 := transport.TotalTraffic(), r.engines.EngineBytes.Load(), r.engines.ListBytes.Load(), r.engines.EventCount.Load()
	t1 := clock.Now()
	z, err := r.measureNodes(ctx)
	if err != nil {
		return nil, err
	}
	sec := float64(t1-t0) / 1e6
	f := map[string]float64{}
	control, front := a[:len(s.Controls)], a[len(s.Controls):]
	addRoleMeans(f, "control", control, z[:len(s.Controls)])
	addRoleMeans(f, "front", front, z[len(s.Controls):])
	b := r.observations
	b.mu.Lock()
	defer b.mu.Unlock()
	n, k := float64(s.Proxies), float64(len(s.Controls))
	f["hollow.in_bytes_s"], f["hollow.out_bytes_s"] = float64(l1.BytesReceived-l0.BytesReceived)/sec/n, float64(l1.BytesSent-l0.BytesSent)/sec/n
	f["hollow.asks_s"], f["hollow.news_s"] = float64(b.questions)/sec/n, float64(b.updates)/sec/n
	f["hollow.resets_s"], f["hollow.failed_s"] = float64(b.resets)/sec/n, float64(b.failures)/sec/n
	f["hollow.ready_ms"], f[configSizeMetric] = readyMS, float64(b.configBytes)
	for _, ok := range b.ready {
		if ok {
			f["hollow.ready"]++
		}
	}
	f["control.peer_in_bytes_s"] = f["control.in_bytes_s"] - f["hollow.out_bytes_s"]*n/k - f["front.out_bytes_s"]*float64(len(s.Fronts))/k
	f["control.peer_out_bytes_s"] = f["control.out_bytes_s"] - f["hollow.in_bytes_s"]*n/k - f["front.in_bytes_s"]*float64(len(s.Fronts))/k
	f["control.engines_in_bytes_s"], f["control.list_in_bytes_s"] = float64(e1-e0)/sec/k, float64(p1-p0)/sec/k
	f["events_s"] = float64(v1-v0) / sec
	if len(ack) > 0 {
		f["change.ack_ms"], f["change.ack_worst_ms"] = float64(quantile(ack, .5))/1000, float64(quantile(ack, 1))/1000
	}
	if len(known) > 0 {
		f["change.known_ms"], f["change.known_worst_ms"] = float64(quantile(known, .5))/1000, float64(quantile(known, 1))/1000
	}
	f["change.unknown"] = float64(len(ack) - len(known))
	if len(b.lags) > 0 {
		f["news.lag_ms"], f["news.lag_p99_ms"] = float64(quantile(b.lags, .5))/1000, float64(quantile(b.lags, .99))/1000
	}
	f["news.timed"] = float64(len(b.lags))
	d := s.Size.Drivers(len(s.Fronts), len(s.Controls), float64(b.configBytes))
	d.Events = f["events_s"]
	return &Sample{Label: s.Label, Role: s.Role, Size: s.Size, Drivers: d, Figures: f}, nil
}

// looks measures every real node. In a run beyond the limits one that does not answer
// is measured from outside alone.
func (r *run) measureNodes(ctx context.Context) (out []processStats, err error) {
	for i, a := range slices.Concat(r.settings.Controls, r.settings.Fronts) {
		v, err := measureProcess(ctx, slices.Concat(r.settings.ControlPids, r.settings.FrontPids)[i], a)
		if err != nil && (r.settings.Role != "limit" || v.cpu == 0) {
			return nil, err
		}
		if err != nil {
			r.log.Info("node_silent", "node", a, "cause", err.Error())
		}
		out = append(out, v)
	}
	return out, nil
}

// roles puts a role's means into f.
func addRoleMeans(f map[string]float64, role string, a, z []processStats) {
	if len(a) == 0 {
		return
	}
	n := float64(len(a))
	for i := range a {
		sec := float64(z[i].at-a[i].at) / 1e6
		f[role+".cpu_us_s"] += float64(z[i].cpu-a[i].cpu) / 1000 / sec / n
		f[role+".rss_mb"] += z[i].rss / n
		f[role+".peak_mb"] += z[i].peak / n
		f[role+".in_bytes_s"] += (z[i].inBytes - a[i].inBytes) / sec / n
		f[role+".out_bytes_s"] += (z[i].outBytes - a[i].outBytes) / sec / n
		f[role+".in_frames_s"] += (z[i].inFrames - a[i].inFrames) / sec / n
		f[role+".out_frames_s"] += (z[i].outFrames - a[i].outFrames) / sec / n
	}
}

// change sends an operator's change to one control node.
func (r *run) change(ctx context.Context, i int, method string, body []byte) error {
	ctx, stop := context.WithTimeout(ctx, clock.Duration(3_000_000))
	defer stop()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+r.settings.Controls[i%len(r.settings.Controls)]+"/configuration", bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	q.Header.Set("If-Match", strconv.Itoa(r.version-1))
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return trace.ConnectionProblem(err, "a control node does not answer")
	}
	defer a.Body.Close()
	t, _ := io.ReadAll(io.LimitReader(a.Body, 4096))
	switch {
	case a.StatusCode >= 500:
		return trace.ConnectionProblem(nil, "the change was answered %d %s", a.StatusCode, t)
	case a.StatusCode != http.StatusOK:
		return trace.BadParameter("the change was answered %d %s", a.StatusCode, t)
	}
	return nil
}

func tenantText(i int) map[string]any {
	r := rand.New(rand.NewSource(int64(i)))
	return map[string]any{"name": fmt.Sprintf("tenant-%05d", i), "api-keys": []string{fmt.Sprintf("%016x%016x", r.Uint64(), r.Uint64())}, "priority": i % 3, "isolated": i%7 == 0}
}

// config is a whole configuration of a size.
func configText(s Size, version int) []byte {
	var rs, ss, ts []any
	for i := range modelCount {
		ss = append(ss, map[string]any{"name": fmt.Sprintf("service-%02d", i), "max-connections": 64, "engine-address": map[string]any{
			"capacity": 32, "cache-capacity-tokens": 400_000, "token-size-bytes": 18432, "bandwidth-mbps": 100000, "max-concurrency": 8,
			"models": []any{map[string]any{"name": fmt.Sprintf("model-%02d", i)}}}})
	}
	for i := range max(1, s.Tenants/10) {
		rs = append(rs, map[string]any{"name": fmt.Sprintf("route-%04d", i), "host": fmt.Sprintf("h%04d.example", i), "path-prefix": fmt.Sprintf("/v1/%04d/", i),
			"route-type": "streaming", "timeout-ms": 60000, "target-latency-ms": 450, "target-gap-ms": 35, "priority": 1,
			"service": fmt.Sprintf("service-%02d", i%modelCount), "max-attempts": 2, "session-affinity": true, "resumable": true})
	}
	for i := range s.Tenants {
		ts = append(ts, tenantText(i))
	}
	b, _ := json.Marshal(map[string]any{"version": version, "routes": rs, "services": ss, "tenants": ts}) // maps of plain values
	return b
}

// patch changes one tenant's key, as most changes do.
func patchText(version int) []byte {
	t := tenantText(1_000_000 + version)
	t["name"] = "tenant-00000"
	b, _ := json.Marshal(map[string]any{"version": version, "upsert": map[string]any{"tenants": []any{t}}})
	return b
}

// Append adds a sample to a file of one JSON object a line.
func (s *Sample) Append(path string) error {
	b, err := json.Marshal(s)
	if err != nil {
		return trace.Wrap(err)
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return trace.Wrap(err, "can't write %s; give --out a file in a folder that is there", path)
	}
	defer f.Close()
	_, err = f.Write(append(b, '\n'))
	return trace.Wrap(err)
}

// Samples reads such a file.
func ReadSamples(path string) (out []*Sample, err error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.BadParameter("%v; run scripts/scale first", err)
	}
	d := json.NewDecoder(bytes.NewReader(b))
	for d.More() {
		s := &Sample{}
		if err := d.Decode(s); err != nil {
			return nil, trace.BadParameter("%s holds what is no sample: %v; run scripts/scale anew", path, err)
		}
		out = append(out, s)
	}
	return out, nil
}
