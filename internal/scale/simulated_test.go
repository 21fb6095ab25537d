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

func startControlNodes(group *taskgroup.Group, listeners []net.Listener, script []func(string) *fb.MapResponseT) *controlNodes {
	nodes := &controlNodes{script: script, done: make(chan struct{})}
	for _, listener := range listeners {
		addr := listener.Addr().String()
		nodes.addrs = append(nodes.addrs, addr)
		transport.Serve(group, listener, func(ctx context.Context, frame *fb.FrameT) *fb.FrameT { return nodes.answer(ctx, addr, frame) })
	}
	return nodes
}

func (s *controlNodes) answer(ctx context.Context, at string, frame *fb.FrameT) *fb.FrameT {
	if frame.MapRequest == nil {
		return nil
	}
	s.mu.Lock()
	number := len(s.asked)
	if number < len(s.script) {
		question := *frame.MapRequest
		asker := *question.Node
		// Its incarnation, its page and whether it serves callers already are its own affair.
		asker.Incarnation, asker.Http, asker.Ready = 0, "", false
		question.Node = &asker
		text, _ := json.Marshal(question)
		s.asked = append(s.asked, at+" "+string(text))
		if len(s.asked) == len(s.script) {
			close(s.done)
		}
	}
	s.mu.Unlock()
	if number >= len(s.script) {
		<-ctx.Done()
		return nil
	}
	response := s.script[number](at)
	if response == nil {
		return nil
	}
	return &fb.FrameT{MapResponse: response}
}

func listen(t *testing.T, addrs ...string) (listeners []net.Listener) {
	t.Helper()
	for _, addr := range addrs {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
	}
	return listeners
}

func freeAddr(t *testing.T) string {
	l := listen(t, "127.0.0.1:0")[0]
	defer l.Close()
	return l.Addr().String()
}

func configDocument(version uint64) []byte {
	return (&route.Document{Version: version, Text: fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[]}`, version)}).Encode()
}

// TestSimulatedAsksAsARealOne: a real proxy and a simulated one ask two scripted control nodes
// the same, in the same order and of the same one, through a start, cache updates, a change, a
// restart of the control node, one that falls behind, and one that fails.
func TestSimulatedAsksAsARealOne(t *testing.T) {
	addrs := []string{freeAddr(t), freeAddr(t)}
	zones := map[string]string{addrs[0]: "north", addrs[1]: "south"}
	response := func(at string, revision, incarnation, mapVersion, next uint64, change func(*fb.MapResponseT)) *fb.MapResponseT {
		a := &fb.MapResponseT{Incarnation: incarnation, Zone: zones[at], Known: revision > 0, Revision: revision, Map: mapVersion, Voters: addrs, UpdatesIncarnation: incarnation, UpdatesNext: next, Proxies: 1, Complete: true}
		if change != nil {
			change(a)
		}
		return a
	}
	respond := func(revision, incarnation, mapVersion, next uint64, change func(*fb.MapResponseT)) func(string) *fb.MapResponseT {
		return func(at string) *fb.MapResponseT { return response(at, revision, incarnation, mapVersion, next, change) }
	}
	withConfig := func(version uint64) func(*fb.MapResponseT) {
		return func(a *fb.MapResponseT) {
			a.FullMap, a.Config = true, configDocument(version)
			a.Engines = []*fb.MapEngineT{{Id: "e", Pool: "p", Addr: "127.0.0.1:9", Zone: "north", Slots: 4}}
		}
	}
	script := []func(string) *fb.MapResponseT{
		respond(0, 5, 1, 0, nil), // knows no configuration yet
		respond(1, 5, 3, 10, func(a *fb.MapResponseT) { withConfig(1)(a); a.UpdatesReset = true }),
		respond(1, 5, 3, 10, nil),
		respond(1, 5, 3, 12, func(a *fb.MapResponseT) {
			a.Updates = []*fb.CacheUpdateT{{Hi: 1, Lo: 2, Holder: 3, Op: 1}, {Hi: 1, Lo: 2, Holder: 3, Op: 2}}
		}),
		respond(2, 5, 4, 12, withConfig(2)),
		respond(2, 9, 1, 1, func(a *fb.MapResponseT) { a.FullMap, a.UpdatesReset = true, true }), // another incarnation
		respond(2, 9, 1, 1, nil),
		respond(1, 9, 1, 1, func(a *fb.MapResponseT) { a.Config = configDocument(1) }), // an older configuration
		respond(2, 9, 1, 1, func(a *fb.MapResponseT) { a.Age = staleRegister + 1000 }), // it may be cut off
		respond(2, 7, 2, 5, withConfig(2)),
		respond(2, 7, 2, 6, nil),
		respond(2, 8, 3, 6, nil), // another incarnation, and no map yet
		respond(2, 8, 3, 6, withConfig(2)),
		func(string) *fb.MapResponseT { return nil }, // it fails
		respond(2, 7, 2, 6, nil),
		respond(2, 7, 2, 7, nil),
	}
	run := func(kind string, start func(c *taskgroup.Group) (stop func())) []string {
		c := taskgroup.New(context.Background(), logr.Discard())
		s := startControlNodes(c, listen(t, addrs...), script)
		stop := start(c)
		select {
		case <-s.done:
		case <-time.After(20 * time.Second):
			t.Errorf("the %s proxy asked %d times only", kind, len(s.asked))
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
		d, err := proxy.New(proxy.Settings{Name: "proxy-1", Zone: "north", HTTP: freeAddr(t), Listen: freeAddr(t), Seeds: addrs, Bounds: route.DefaultBounds(), HintEntries: 64}, platform.Adapter{})
		if err != nil {
			t.Fatal(err)
		}
		var ended sync.WaitGroup
		ended.Add(1)
		c.Go("real", func(context.Context) {
			defer ended.Done()
			_ = d.Run()
		})
		return func() {
			d.Group.Stop()
			d.Stop()
			ended.Wait()
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
	group := taskgroup.New(context.Background(), logr.Discard())
	defer group.Stop()
	observations := NewObservations(1)
	list := freeAddr(t)
	engines, err := StartEngines(group, list, 3, 10, observations)
	if err != nil {
		t.Fatal(err)
	}
	adapter := platform.NewEngines(list)
	engines.ToggleDraining(1)
	listed, err := adapter.ListEngines(context.Background())
	if err != nil || len(listed) != 3 || listed[0].Draining || !listed[1].Draining || listed[2].Slots == 0 || listed[2].Weights["model-02"] != 1 {
		t.Fatalf("%+v, %v", listed, err)
	}
	cached := map[string]map[cacheindex.Key]bool{}
	epochs, since := map[string]string{}, map[string]string{}
	read := func(a string) {
		page, err := adapter.CacheEvents(context.Background(), a, since[a], 0)
		if err != nil || page.Missing || epochs[a] != "" && page.Epoch != epochs[a] {
			t.Fatalf("%+v, %v", page, err)
		}
		if cached[a] == nil {
			cached[a] = map[cacheindex.Key]bool{}
		}
		epochs[a], since[a] = page.Epoch, page.Next
		for _, event := range page.Events {
			k := cacheindex.BlockKey(event.Salt, event.Model, event.Block)
			if cached[a][k] == event.Cached {
				t.Fatalf("%s told %+v twice", a, event)
			}
			if cached[a][k] = event.Cached; !event.Cached {
				delete(cached[a], k)
			}
		}
	}
	count := func() (n int) {
		for _, blocks := range cached {
			n += len(blocks)
		}
		return n
	}
	for _, e := range listed {
		read(e.Addr)
	}
	if count() != 10 {
		t.Fatalf("%d blocks are cached, not 10", count())
	}
	for range 50 {
		engines.makeEvents(77, 20)
	}
	for _, e := range listed {
		read(e.Addr)
	}
	if n := count(); n < 10 || n > 13 {
		t.Errorf("%d blocks are cached after as many came as went", n)
	}
	if len(observations.cachedAt) < 40 {
		t.Errorf("%d blocks were timed", len(observations.cachedAt))
	}
	for _, e := range engines.all {
		for _, n := range e.cached {
			if !cached[e.addr][e.key(n)] {
				t.Errorf("%s has block %d cached and did not tell", e.id, n)
			}
		}
	}
	if result := adapter.UpdateWeights(context.Background(), directory.UpdateRequest{Engine: listed[0].ID, Addr: listed[0].Addr, Model: "model-00", Version: 2}); result != directory.ResultStarted {
		t.Errorf("an order was answered %v", result)
	}
	if weights, busy, err := adapter.RunningWeights(context.Background(), listed[0].Addr); err != nil || busy || !reflect.DeepEqual(weights, map[string]uint64{"model-00": 1}) {
		t.Errorf("it runs %v, %v, %v", weights, busy, err)
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
	before, err := processClock(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	x := 0
	for i := range 20_000_000 {
		x ^= i
	}
	after, err := processClock(os.Getpid())
	if err != nil || after <= before || x < 0 {
		t.Fatalf("from %d to %d, %v", before, after, err)
	}
	rss, peak, err := processMemory(os.Getpid())
	if err != nil || rss <= 0 || peak < rss {
		t.Fatalf("%v, %v, %v", rss, peak, err)
	}
	if _, _, err := processMemory(1 << 30); err == nil {
		t.Error("a process that is not there was measured")
	}
	metrics := parseMetrics(strings.NewReader("# HELP x\nvioletthread_link_sent_bytes_total 1.5e+03\ngo_x 7\n"))
	if metrics["link_sent_bytes_total"] != 1500 || metrics["go_x"] != 7 {
		t.Errorf("%v", metrics)
	}
}
