package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/integrii/flaggy"

	"violetthread/cacheindex"
	"violetthread/internal/app/directory"
	"violetthread/internal/app/proxy"
	"violetthread/internal/daemon"
	"violetthread/internal/taskgroup"
	"violetthread/internal/transport"
	"violetthread/platform"
	"violetthread/route"
	"violetthread/schema/fb"
)

// controlNodes are two scripted ones: the answer to the n-th question is the same, whoever
// of them is asked. After the script they say nothing more.
type controlNodes struct {
	mu     sync.Mutex
	addrs  []string
	script []func(at string) *fb.MapResponseT
	asked  []string
	done   chan struct{}
}

func play(c *taskgroup.Group, ls []net.Listener, script []func(string) *fb.MapResponseT) *controlNodes {
	s := &controlNodes{script: script, done: make(chan struct{})}
	for _, l := range ls {
		a := l.Addr().String()
		s.addrs = append(s.addrs, a)
		transport.Serve(c, l, func(ctx context.Context, f *fb.FrameT) *fb.FrameT { return s.answer(ctx, a, f) })
	}
	return s
}

func (s *controlNodes) answer(ctx context.Context, at string, f *fb.FrameT) *fb.FrameT {
	if f.MapRequest == nil {
		return nil
	}
	s.mu.Lock()
	i := len(s.asked)
	if i < len(s.script) {
		q := *f.MapRequest
		n := *q.Node
		// Its incarnation, its page and whether it serves callers already are its own affair.
		n.Incarnation, n.Http, n.Ready = 0, "", false
		q.Node = &n
		b, _ := json.Marshal(q)
		s.asked = append(s.asked, at+" "+string(b))
		if len(s.asked) == len(s.script) {
			close(s.done)
		}
	}
	s.mu.Unlock()
	if i >= len(s.script) {
		<-ctx.Done()
		return nil
	}
	t := s.script[i](at)
	if t == nil {
		return nil
	}
	return &fb.FrameT{MapResponse: t}
}

func listen(t *testing.T, at ...string) (ls []net.Listener) {
	t.Helper()
	for _, a := range at {
		l, err := net.Listen("tcp", a)
		if err != nil {
			t.Fatal(err)
		}
		ls = append(ls, l)
	}
	return ls
}

func free(t *testing.T) string {
	l := listen(t, "127.0.0.1:0")[0]
	defer l.Close()
	return l.Addr().String()
}

func document(version uint64) []byte {
	return (&route.Document{Version: version, Text: fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[]}`, version)}).Encode()
}

// TestSimulatedAsksAsARealOne: a real proxy and a simulated one ask two scripted control nodes
// the same, in the same order and of the same one, through a start, cache updates, a change, a
// restart of the control node, one that falls behind, and one that fails.
func TestSimulatedAsksAsARealOne(t *testing.T) {
	addrs := []string{free(t), free(t)}
	site := map[string]string{addrs[0]: "north", addrs[1]: "south"}
	tell := func(at string, rev, inc, m, next uint64, more func(*fb.MapResponseT)) *fb.MapResponseT {
		a := &fb.MapResponseT{Incarnation: inc, Zone: site[at], Known: rev > 0, Revision: rev, Map: m, Voters: addrs, UpdatesIncarnation: inc, UpdatesNext: next, Proxies: 1, Complete: true}
		if more != nil {
			more(a)
		}
		return a
	}
	step := func(rev, inc, m, next uint64, more func(*fb.MapResponseT)) func(string) *fb.MapResponseT {
		return func(at string) *fb.MapResponseT { return tell(at, rev, inc, m, next, more) }
	}
	whole := func(v uint64) func(*fb.MapResponseT) {
		return func(a *fb.MapResponseT) {
			a.FullMap, a.Config = true, document(v)
			a.Engines = []*fb.MapEngineT{{Id: "e", Pool: "p", Addr: "127.0.0.1:9", Zone: "north", Slots: 4}}
		}
	}
	script := []func(string) *fb.MapResponseT{
		step(0, 5, 1, 0, nil), // knows no configuration yet
		step(1, 5, 3, 10, func(a *fb.MapResponseT) { whole(1)(a); a.UpdatesReset = true }),
		step(1, 5, 3, 10, nil),
		step(1, 5, 3, 12, func(a *fb.MapResponseT) {
			a.Updates = []*fb.CacheUpdateT{{Hi: 1, Lo: 2, Holder: 3, Op: 1}, {Hi: 1, Lo: 2, Holder: 3, Op: 2}}
		}),
		step(2, 5, 4, 12, whole(2)),
		step(2, 9, 1, 1, func(a *fb.MapResponseT) { a.FullMap, a.UpdatesReset = true, true }), // another incarnation
		step(2, 9, 1, 1, nil),
		step(1, 9, 1, 1, func(a *fb.MapResponseT) { a.Config = document(1) }),       // an older configuration
		step(2, 9, 1, 1, func(a *fb.MapResponseT) { a.Age = staleRegister + 1000 }), // it may be cut off
		step(2, 7, 2, 5, whole(2)),
		step(2, 7, 2, 6, nil),
		step(2, 8, 3, 6, nil), // another incarnation, and no map yet
		step(2, 8, 3, 6, whole(2)),
		func(string) *fb.MapResponseT { return nil }, // it fails
		step(2, 7, 2, 6, nil),
		step(2, 7, 2, 7, nil),
	}
	run := func(what string, start func(c *taskgroup.Group) (stop func())) []string {
		c := taskgroup.New(context.Background(), logr.Discard())
		s := play(c, listen(t, addrs...), script)
		stop := start(c)
		select {
		case <-s.done:
		case <-time.After(20 * time.Second):
			t.Errorf("the %s proxy asked %d times only", what, len(s.asked))
		}
		stop()
		c.Stop()
		return s.asked
	}
	simulated := run("simulated", func(c *taskgroup.Group) func() {
		p := NewProxy(c, NewObservations(1), ProxyConfig{Name: "proxy-1", Zone: "north", Seeds: addrs, Engines: []uint64{1}})
		c.Go("simulated", p.Run)
		return func() {}
	})
	actual := run("real", func(c *taskgroup.Group) func() {
		d, err := proxy.New(proxy.Settings{Name: "proxy-1", Zone: "north", HTTP: free(t), Listen: free(t), Seeds: addrs, Bounds: route.DefaultBounds(), HintEntries: 64}, platform.Adapter{})
		if err != nil {
			t.Fatal(err)
		}
		var over sync.WaitGroup
		over.Add(1)
		c.Go("real", func(context.Context) {
			defer over.Done()
			_ = d.Run()
		})
		return func() {
			d.Group.Stop()
			d.Stop()
			over.Wait()
		}
	})
	for i := range min(len(actual), len(simulated)) {
		if actual[i] != simulated[i] {
			t.Errorf("question %d:\nreal   %s\nsimulated %s", i, actual[i], simulated[i])
		}
	}
	if len(actual) != len(script) || len(simulated) != len(script) {
		t.Errorf("%d and %d questions of %d", len(actual), len(simulated), len(script))
	}
}

// TestSimulatedEngines are read by what reads real ones: the list, all that is kept, and
// what changes, whose names come to the keys that are timed.
func TestSimulatedEngines(t *testing.T) {
	c := taskgroup.New(context.Background(), logr.Discard())
	defer c.Stop()
	b := NewObservations(1)
	list := free(t)
	es, err := StartEngines(c, list, 3, 10, b)
	if err != nil {
		t.Fatal(err)
	}
	pf := platform.NewEngines(list)
	es.ToggleDraining(1)
	l, err := pf.ListEngines(context.Background())
	if err != nil || len(l) != 3 || l[0].Draining || !l[1].Draining || l[2].Slots == 0 || l[2].Weights["model-02"] != 1 {
		t.Fatalf("%+v, %v", l, err)
	}
	kept := map[string]map[cacheindex.Key]bool{}
	epoch, since := map[string]string{}, map[string]string{}
	read := func(a string) {
		p, err := pf.CacheEvents(context.Background(), a, since[a], 0)
		if err != nil || p.Missing || epoch[a] != "" && p.Epoch != epoch[a] {
			t.Fatalf("%+v, %v", p, err)
		}
		if kept[a] == nil {
			kept[a] = map[cacheindex.Key]bool{}
		}
		epoch[a], since[a] = p.Epoch, p.Next
		for _, x := range p.Events {
			k := cacheindex.BlockKey(x.Salt, x.Model, x.Block)
			if kept[a][k] == x.Cached {
				t.Fatalf("%s told %+v twice", a, x)
			}
			if kept[a][k] = x.Cached; !x.Cached {
				delete(kept[a], k)
			}
		}
	}
	sum := func() (n int) {
		for _, m := range kept {
			n += len(m)
		}
		return n
	}
	for _, e := range l {
		read(e.Addr)
	}
	if sum() != 10 {
		t.Fatalf("%d blocks are cached, not 10", sum())
	}
	for range 50 {
		es.makeEvents(77, 20)
	}
	for _, e := range l {
		read(e.Addr)
	}
	if n := sum(); n < 10 || n > 13 {
		t.Errorf("%d blocks are cached after as many came as went", n)
	}
	if len(b.cachedAt) < 40 {
		t.Errorf("%d blocks were timed", len(b.cachedAt))
	}
	for _, e := range es.all {
		for _, n := range e.cached {
			if !kept[e.addr][e.key(n)] {
				t.Errorf("%s has block %d cached and did not tell", e.id, n)
			}
		}
	}
	if r := pf.UpdateWeights(context.Background(), directory.UpdateRequest{Engine: l[0].ID, Addr: l[0].Addr, Model: "model-00", Version: 2}); r != directory.ResultStarted {
		t.Errorf("an order was answered %v", r)
	}
	if w, busy, err := pf.RunningWeights(context.Background(), l[0].Addr); err != nil || busy || !reflect.DeepEqual(w, map[string]uint64{"model-00": 1}) {
		t.Errorf("it runs %v, %v, %v", w, busy, err)
	}
}

// TestWrongOptions: every mistake is listed at once, with how to mend it.
func TestWrongOptions(t *testing.T) {
	s := Defaults()
	sub := flaggy.NewSubcommand("run")
	p := flaggy.NewParser("scale")
	p.AttachSubcommand(sub, 1)
	declared := daemon.DeclareSettings("test", sub, &s)
	if err := p.ParseArgs([]string{"run", "--proxies", "0", "--engines", "many", "--role", "nobody", "--list", "here", "--seconds", "90", "--control-pids", "7,x", "--wires", "127.0.0.1:1"}); err != nil {
		t.Fatal(err)
	}
	err := declared.Load()
	if err == nil {
		t.Fatal("it was taken")
	}
	for _, want := range []string{"--proxies", "--engines: is not a whole number", "--role", "--list", "--seconds", "--control-pids", "--controls", "--out"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not listed in\n%v", want, err)
		}
	}
}

// TestWrongCounts: ids and addresses must be as many.
func TestWrongCounts(t *testing.T) {
	s := Defaults()
	s.Controls, s.ControlPids = []string{"127.0.0.1:1", "127.0.0.1:2"}, []string{"7"}
	if _, err := Measure(s, logr.Discard()); err == nil || !strings.Contains(err.Error(), "control-pids") {
		t.Fatal(err)
	}
}

// TestProcess measures this one.
func TestProcess(t *testing.T) {
	a, err := processClock(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	x := 0
	for i := range 20_000_000 {
		x ^= i
	}
	b, err := processClock(os.Getpid())
	if err != nil || b <= a || x < 0 {
		t.Fatalf("from %d to %d, %v", a, b, err)
	}
	rss, peak, err := processMemory(os.Getpid())
	if err != nil || rss <= 0 || peak < rss {
		t.Fatalf("%v, %v, %v", rss, peak, err)
	}
	if _, _, err := processMemory(1 << 30); err == nil {
		t.Error("a process that is not there was measured")
	}
	m := parseMetrics(strings.NewReader("# HELP x\nvioletthread_link_sent_bytes_total 1.5e+03\ngo_x 7\n"))
	if m["link_sent_bytes_total"] != 1500 || m["go_x"] != 7 {
		t.Errorf("%v", m)
	}
}
