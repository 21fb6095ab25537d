package overload

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"violetthread/internal/daemon"
	"violetthread/internal/taskgroup"
)

const (
	host       = "h.example"
	service    = "pool"
	tenantKey  = "key-of-the-tenant"
	crowdKey   = "key-of-the-crowd"
	engineID   = "i-1"
	controls   = 3
	maxBody    = 4 << 20
	maxHead    = 64 << 10
	bigAnswer  = 8 << 20
	eventBytes = 900 << 10

	frontendPort, readinessPort, controlPort = "7070", "7071", "7050"

	hdrAttempt = "X-Violetthread-Attempt-Id"
	hdrSeal    = "X-Violetthread-Response-Seal"
)

var nextNetwork atomic.Int64

// newNetwork returns the start of a network of loopback addresses that nothing else in this test process
// uses.
func newNetwork(t *testing.T) string {
	t.Helper()
	n := int(nextNetwork.Add(1))
	network := fmt.Sprintf("127.%d.%d.", 2+(os.Getpid()+n)%60, (os.Getpid()/60+31*n)%256)
	listener, err := net.Listen("tcp", network+"1:0")
	if err != nil {
		t.Skip("this machine has only one loopback address")
	}
	_ = listener.Close()
	return network
}

// fleet is a deployment of the platform's adapter: control nodes and one proxy, before an engine.
type fleet struct {
	t        *testing.T
	group    *taskgroup.Group
	dir      string
	network  string
	list     string // address of the list of engines
	port     string // for traffic between nodes
	controls []*process
	proxy    *process
	version  int
	padding  int // bytes of white space in each configuration
}

// newFleet starts a fleet and waits until it answers.
func newFleet(t *testing.T) *fleet {
	raiseDescriptorLimit(t, 12_000)
	f := &fleet{t: t, group: taskgroup.New(context.Background(), logr.Discard()), dir: t.TempDir(), network: newNetwork(t)}
	t.Cleanup(f.stop)
	engine := f.serve(http.HandlerFunc(serveEngine))
	f.list = f.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		daemon.WriteJSON(w, http.StatusOK, map[string]any{"next-page-token": nil, "instances": []map[string]any{{
			"instance-id": engineID, "service": service, "address": engine, "zone": "north", "version": "v1", "capacity": 4096,
			"state": "ready", "warmup-remaining-ms": 0, "phase": "combined", "models": []string{}}}})
	}))
	listener, err := net.Listen("tcp", f.network+"1:0")
	if err != nil {
		t.Fatal(err)
	}
	_, f.port, _ = net.SplitHostPort(listener.Addr().String())
	_ = listener.Close()
	for i := range controls {
		f.controls = append(f.controls, f.startNode("control", i+1, true))
	}
	f.proxy = f.startNode("proxy", controls+1, true)
	if err := answered(f.group.Context(), f.putConfiguration); err != nil {
		t.Fatalf("no configuration was taken: %v\n%s", err, f.controls[0].logTail())
	}
	if err := answered(f.group.Context(), f.call); err != nil {
		t.Fatalf("the proxy does not answer: %v\n%s", err, f.proxy.logTail())
	}
	return f
}

// serve serves HTTP until the fleet is stopped, and returns the address.
func (f *fleet) serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	f.group.Go("serve", func(context.Context) { _ = server.Serve(listener) })
	f.t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func (f *fleet) stop() {
	for _, p := range append([]*process{f.proxy}, f.controls...) {
		if p != nil && p.alive() {
			p.kill()
		}
	}
	f.group.Stop()
}

// address returns the address of a node.
func (f *fleet) address(i int) string { return fmt.Sprint(f.network, i) }

// startNode starts the process of a node.
func (f *fleet) startNode(role string, i int, initial bool) *process {
	name := fmt.Sprint(role, "-", i)
	ip := f.address(i)
	var seeds []string
	for n := range controls {
		seeds = append(seeds, f.address(n+1)+":"+controlPort)
	}
	boot := filepath.Join(f.dir, name+".toml")
	text := fmt.Sprintf(`node-name = %q
serving-roles = ["frontend", "control_plane"]
ip-address = %q
zone = "north"
internal-port-range = [%s,%s]
seed-nodes = ["%s"]
initial-launch = %v
data-directory = %q
[zones]
north = "land"
[bind-addresses]
frontend = "%s:%s"
readiness = "%s:%s"
control-plane = "%s:%s"
[limits]
memory-mb = %d
file-descriptors = %d
[policy-bounds]
grace-period-s = %d
retry-budget-ratio = 1
retry-allowance = 100000
[platform-api]
address = %q
`, name, ip, f.port, f.port, strings.Join(seeds, `","`), initial, filepath.Join(f.dir, name), ip, frontendPort, ip, readinessPort, ip, controlPort,
		machineMemoryMB, machineDescriptors, int(gracePeriod.Seconds()), f.list)
	if err := os.WriteFile(boot, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return startProcess(f.t, f.group, f.dir, name, ip, []string{"VIOLETTHREAD_BOOT=" + boot}, "violetthread", role)
}

// restartProxy replaces the proxy by a new process, whose peak of memory starts anew.
func (f *fleet) restartProxy(t *testing.T) {
	t.Helper()
	f.proxy.kill()
	f.proxy = f.startNode("proxy", controls+1, false)
	if err := answered(f.group.Context(), f.call); err != nil {
		t.Fatalf("the proxy does not answer: %v\n%s", err, f.proxy.logTail())
	}
}

// restartControl replaces a control node by a new process on the same disk.
func (f *fleet) restartControl(t *testing.T) {
	t.Helper()
	f.controls[0].kill()
	f.controls[0] = f.startNode("control", 1, false)
	if err := answered(f.group.Context(), f.putAtFirst); err != nil {
		t.Fatalf("the control node does not answer: %v\n%s", err, f.controls[0].logTail())
	}
}

// configuration returns the next configuration.
func (f *fleet) configuration(version int) string {
	var routes []map[string]any
	for _, r := range []struct{ name, kind string }{{"idem", "idempotent"}, {"hold", "idempotent"}, {"big", "idempotent"}, {"events", "streaming"}} {
		routes = append(routes, map[string]any{"name": r.name, "host": host, "path-prefix": "/" + r.name + "/", "route-type": r.kind, "timeout-ms": 60_000,
			"target-latency-ms": 500, "priority": 1, "service": service, "max-attempts": 1, "public": false, "resumable": false, "target-gap-ms": 400})
	}
	text, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": service, "health-path": "/health", "max-connections": 4096,
			"engine-address": map[string]any{"capacity": 4096, "cache-capacity-tokens": 100_000, "token-size-bytes": 100, "bandwidth-mbps": 1000, "max-concurrency": 12, "models": []any{}}}},
		"tenants": []map[string]any{
			{"name": "tenant", "api-keys": []string{tenantKey}, "priority": 1, "isolated": false},
			{"name": "crowd", "api-keys": []string{crowdKey}, "priority": 1, "isolated": false},
		},
		"limits": map[string]any{"max-header-bytes": maxHead, "max-body-bytes": maxBody, "header-timeout-ms": 3000, "idle-timeout-ms": 60_000},
	})
	return string(text) + strings.Repeat(" ", f.padding)
}

// putConfiguration sends the next configuration to any control node.
func (f *fleet) putConfiguration() (err error) {
	for i := range f.controls {
		if err = f.putAt(i); err == nil {
			return nil
		}
	}
	return err
}

// putAtFirst sends the next configuration to the first control node.
func (f *fleet) putAtFirst() error { return f.putAt(0) }

func (f *fleet) putAt(i int) error {
	text := f.configuration(f.version + 1)
	request, err := http.NewRequest(http.MethodPut, "http://"+f.address(i+1)+":"+controlPort+"/configuration", strings.NewReader(text))
	if err != nil {
		return err
	}
	request.Header.Set("If-Match", strconv.Itoa(f.version))
	if err := expectOK(request); err != nil {
		return err
	}
	f.version++
	return nil
}

// call sends an ordinary request to the proxy.
func (f *fleet) call() error { return f.callWithBody(200) }

// callLargest sends a request with the largest legal body to the proxy.
func (f *fleet) callLargest() error { return f.callWithBody(maxBody) }

func (f *fleet) callWithBody(n int) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.address(controls+1)+":"+frontendPort+"/idem/x", strings.NewReader(strings.Repeat("b", n)))
	if err != nil {
		return err
	}
	request.Host = host
	request.Header.Set("Api-Key", tenantKey)
	request.Header.Set(hdrAttempt, "ordinary")
	return expectOK(request)
}

// ready asks the proxy for its readiness.
func (f *fleet) ready() error {
	request, err := http.NewRequest(http.MethodGet, "http://"+f.address(controls+1)+":"+readinessPort+"/readiness", nil)
	if err != nil {
		return err
	}
	return expectOK(request)
}

// expectOK sends a request on a new connection and expects a complete response with status 200.
func expectOK(request *http.Request) error {
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %.200s", response.StatusCode, text)
	}
	return nil
}

// proxyRequest returns the head of a request of the crowd, which is a tenant of its own.
func proxyRequest(path string) func(headers ...string) string {
	return func(headers ...string) string {
		return request(path, append(headers, "Api-Key: "+crowdKey, hdrAttempt+": a1", "X-Violetthread-Deadline-Remaining: 60000")...)
	}
}

// serveEngine is an engine: it answers each path in its own way.
func serveEngine(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/report" {
		daemon.WriteJSON(w, http.StatusOK, map[string]any{"phase": "combined", "models": []any{}, "saturated": false, "sequence": 0})
		return
	}
	if r.URL.Path == "/kv-events" {
		<-r.Context().Done()
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(hdrAttempt, r.Header.Get(hdrAttempt))
	w.Header().Set(hdrSeal, "seal")
	switch {
	case strings.HasPrefix(r.URL.Path, "/hold/"):
		<-r.Context().Done()
	case strings.HasPrefix(r.URL.Path, "/big/"):
		w.Header().Set("Content-Length", strconv.Itoa(bigAnswer))
		_ = writeZeros(w, bigAnswer)
	case strings.HasPrefix(r.URL.Path, "/events/"):
		w.Header().Set("Content-Type", "text/event-stream")
		for id := 1; r.Context().Err() == nil; id++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, strings.Repeat("e", eventBytes))
		}
	default:
		_, _ = io.WriteString(w, "ok")
	}
}
