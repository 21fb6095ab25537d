package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"violetthread/internal/app/agent"
	"violetthread/internal/app/control"
	"violetthread/internal/app/gateway"
	"violetthread/internal/app/indexnode"
	"violetthread/internal/callerapi"
	"violetthread/internal/daemon"
	"violetthread/internal/standin/backend"
	"violetthread/internal/standin/engine"
	"violetthread/internal/standin/platform"
	"violetthread/internal/taskgroup"
	"violetthread/wal"
)

// ports hands out addresses that were free a moment ago.
func ports(t *testing.T, n int) []string {
	t.Helper()
	var ls []net.Listener
	var out []string
	for i := 0; i < n; i++ {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ls, out = append(ls, l), append(out, l.Addr().String())
	}
	for _, l := range ls {
		_ = l.Close()
	}
	return out
}

type testFleet struct {
	t          *testing.T
	controls   []string
	proxies    []string
	engines    []string
	platform   string
	backend    string
	recordings []string
	stop       map[string]*daemon.Daemon
	wg         sync.WaitGroup
	disks      []*faultyDisk // of the control nodes
}

func (r *testFleet) run(name string, d *daemon.Daemon, err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatalf("%s: %v", name, err)
	}
	r.stop[name] = d
	r.wg.Add(1)
	c := taskgroup.New(d.Group.Context(), d.Log)
	c.Go(name, func(context.Context) {
		defer r.wg.Done()
		_ = d.Run()
	})
}

func newTestFleet(t *testing.T) *testFleet {
	r := &testFleet{t: t, stop: map[string]*daemon.Daemon{}}
	p := ports(t, 32)
	next := func() string { a := p[0]; p = p[1:]; return a }
	dir := t.TempDir()
	var wires []string
	for i := 0; i < 4; i++ {
		wires = append(wires, next())
	}
	sites := []string{"north", "east", "south", "west"}
	for i := 0; i < 4; i++ {
		s := control.Defaults()
		s.Name, s.Zone, s.HTTPAddr, s.TransportAddr, s.Bootstrap, s.DataDir = fmt.Sprint("control", i), sites[i], next(), wires[i], true, fmt.Sprintf("%s/r%d", dir, i)
		s.LogSegments, s.LogSegmentBytes, s.DrainUS = 8, 256<<10, 0
		s.Seeds = wires[:3] // the fourth joins
		s.Disk = func(fs wal.FS) wal.FS {
			r.disks = append(r.disks, newFaultyDisk(fs))
			return r.disks[len(r.disks)-1]
		}
		r.controls = append(r.controls, s.HTTPAddr)
		d, err := control.NewDaemon(s)
		r.run(s.Name, d, err)
	}
	var list []string
	for i := 0; i < 3; i++ {
		s := engine.Defaults()
		s.Name, s.Zone, s.HTTPAddr, s.PieceUS, s.RecomputeUS, s.WeightsLoadUS, s.DrainUS = fmt.Sprint("e", i), sites[i], next(), 3_000, 500, 50_000, 0
		r.engines = append(r.engines, s.HTTPAddr)
		list = append(list, fmt.Sprintf("%s=%s@%s", s.Name, s.HTTPAddr, s.Zone))
		d, err := engine.NewDaemon(s)
		r.run(s.Name, d, err)
	}
	r.platform, r.backend = next(), next()
	ps := platform.Defaults()
	ps.Name, ps.Zone, ps.HTTPAddr, ps.Engines = "platform", "core", r.platform, list
	d, err := platform.NewDaemon(ps)
	r.run("platform", d, err)
	bs := backend.Defaults()
	bs.Name, bs.Zone, bs.HTTPAddr = "backend", "core", r.backend
	d, err = backend.NewDaemon(bs)
	r.run("backend", d, err)
	for i := 0; i < 2; i++ {
		s := indexnode.Defaults()
		s.Name, s.Zone, s.HTTPAddr, s.TransportAddr, s.Seeds, s.Platform, s.DrainUS = fmt.Sprint("index", i), sites[i], next(), next(), wires[:3], r.platform, 500_000
		s.Recording = fmt.Sprintf("%s/index%d.recording", dir, i)
		r.recordings = append(r.recordings, s.Recording)
		d, err := indexnode.NewDaemon(s)
		r.run(s.Name, d, err)
	}
	for i := 0; i < 2; i++ {
		a := agent.Defaults()
		a.Name, a.Zone, a.HTTPAddr, a.TransportAddr, a.Seeds, a.DrainUS = fmt.Sprint("gateway", i), sites[i], next(), next(), wires[:3], 0
		d, err := agent.NewDaemon(a)
		r.run(a.Name+"-agent", d, err)
		s := gateway.Defaults()
		s.Name, s.Zone, s.HTTPAddr, s.Agent, s.DrainUS = a.Name, a.Zone, next(), a.TransportAddr, 3_000_000
		s.Recording = fmt.Sprintf("%s/gateway%d.recording", dir, i)
		r.recordings = append(r.recordings, s.Recording)
		r.proxies = append(r.proxies, s.HTTPAddr)
		d, err = gateway.NewDaemon(s)
		r.run(s.Name, d, err)
	}
	t.Cleanup(r.down)
	return r
}

func (r *testFleet) down() {
	for _, d := range r.disks {
		d.setFault("")
	}
	for n, d := range r.stop {
		d.Stop()
		delete(r.stop, n)
	}
	r.wg.Wait()
}

// until waits for a condition that another process brings about.
func (r *testFleet) until(what string, f func() bool) {
	r.t.Helper()
	tick, end := time.NewTicker(10*time.Millisecond), time.After(30*time.Second)
	defer tick.Stop()
	for !f() {
		select {
		case <-tick.C:
		case <-end:
			r.t.Fatalf("waited in vain until %s", what)
		}
	}
}

func (r *testFleet) get(url string) (int, string) {
	q, err := http.Get("http://" + url)
	if err != nil {
		return 0, err.Error()
	}
	defer q.Body.Close()
	b, _ := io.ReadAll(q.Body)
	return q.StatusCode, string(b)
}

func (r *testFleet) send(method, url, key string, h map[string]string, body string) (int, string) {
	q, err := http.NewRequest(method, "http://"+url, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	if key != "" {
		q.Header.Set("Authorization", "Bearer "+key)
	}
	for k, v := range h {
		q.Header.Set(k, v)
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer a.Body.Close()
	b, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(b)
}

// request sends a request and returns the status, the frames and the last one.
func (r *testFleet) request(proxy int, key, body string) (int, []callerapi.Frame, callerapi.Frame) {
	st, out := r.send("POST", r.proxies[proxy]+"/v1/tickets", key, nil, body)
	var fs []callerapi.Frame
	for _, l := range strings.Split(strings.TrimSpace(out), "\n") {
		var f callerapi.Frame
		if json.Unmarshal([]byte(l), &f) == nil {
			fs = append(fs, f)
		}
	}
	if len(fs) == 0 {
		return st, nil, callerapi.Frame{}
	}
	return st, fs, fs[len(fs)-1]
}

func (r *testFleet) runs(requestID string) (n int) {
	for _, addr := range r.engines {
		_, b := r.get(addr + "/v1/seen")
		var observed engine.Observations
		_ = json.Unmarshal([]byte(b), &observed)
		for _, run := range observed.Runs {
			if run.RequestID == requestID {
				n++
			}
		}
	}
	return n
}
