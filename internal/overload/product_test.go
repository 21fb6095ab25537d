package overload

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-logr/logr"

	"violetthread/internal/daemon"
	"violetthread/internal/standin/engine"
	"violetthread/internal/standin/platform"
	"violetthread/internal/taskgroup"
	"violetthread/plan"
)

const (
	productHTTPPort      = "7080"
	productTransportPort = "7010"
	productKey           = "k-desk"
	maxPlan              = 1 << 20
)

// productFleet is a fleet of the product's own programs before a simulated platform and engine.
type productFleet struct {
	t        *testing.T
	group    *taskgroup.Group
	dir      string
	network  string
	platform string
	running  map[string]*process
	revision int
}

// newProductFleet starts a fleet and waits until the gateway answers.
func newProductFleet(t *testing.T) *productFleet {
	raiseDescriptorLimit(t, 12_000)
	f := &productFleet{t: t, group: taskgroup.New(context.Background(), logr.Discard()), dir: t.TempDir(), network: newNetwork(t), running: map[string]*process{}}
	t.Cleanup(f.stop)
	f.startStandIns()
	for i := range controls {
		f.start("violetthread-control", i+1, true)
	}
	f.start("violetthread-index", 4, false)
	f.start("violetthread-agent", 5, false)
	f.start("violetthread-gateway", 6, false)
	if err := answered(f.group.Context(), f.putPlan); err != nil {
		t.Fatalf("no plan was taken: %v\n%s", err, f.running["violetthread-control-1"].logTail())
	}
	if err := answered(f.group.Context(), f.call); err != nil {
		t.Fatalf("the gateway does not answer: %v\n%s", err, f.running["violetthread-gateway-6"].logTail())
	}
	return f
}

// startStandIns runs the simulated platform and engine in this process.
func (f *productFleet) startStandIns() {
	engineSettings := engine.Defaults()
	engineSettings.Name, engineSettings.Zone, engineSettings.HTTPAddr = "e1", "north", f.address(20)+":"+productHTTPPort
	engineSettings.PieceUS, engineSettings.RecomputeUS, engineSettings.DrainUS = 1_000, 100, 0
	d, err := engine.NewDaemon(engineSettings)
	f.runDaemon(d, err)
	f.platform = f.address(21) + ":" + productHTTPPort
	settings := platform.Defaults()
	settings.Name, settings.Zone, settings.HTTPAddr = "platform", "core", f.platform
	settings.Engines = []string{fmt.Sprintf("e1=%s@north", engineSettings.HTTPAddr)}
	d, err = platform.NewDaemon(settings)
	f.runDaemon(d, err)
}

func (f *productFleet) runDaemon(d *daemon.Daemon, err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
	ended := make(chan struct{})
	f.group.Go("daemon", func(context.Context) { _ = d.Run(); close(ended) })
	f.t.Cleanup(func() { d.Stop(); <-ended })
}

func (f *productFleet) stop() {
	for _, p := range f.running {
		if p.alive() {
			p.kill()
		}
	}
	f.group.Stop()
}

func (f *productFleet) address(i int) string { return fmt.Sprint(f.network, i) }

// start starts a program at an address of its own, in place of the one that ran there.
func (f *productFleet) start(program string, i int, initial bool) {
	name := fmt.Sprint(program, "-", i)
	settings := map[string]any{"name": name, "site": "north", "http": f.address(i) + ":" + productHTTPPort}
	var seeds []string
	for n := range controls {
		seeds = append(seeds, f.address(n+1)+":"+productTransportPort)
	}
	switch program {
	case "violetthread-gateway":
		settings["agent"] = f.agentAddress()
	case "violetthread-control":
		settings["found"], settings["data_dir"], settings["ring_files"], settings["ring_bytes"] = initial, filepath.Join(f.dir, name), 8, 4<<20
		settings["wire"], settings["seeds"] = f.address(i)+":"+productTransportPort, seeds
	case "violetthread-index":
		settings["wire"], settings["seeds"], settings["platform"] = f.address(i)+":"+productTransportPort, seeds, f.platform
	default:
		settings["wire"], settings["seeds"] = f.address(i)+":"+productTransportPort, seeds
	}
	text, _ := json.Marshal(settings)
	path := filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.running[name] = startProcess(f.t, f.group, f.dir, name, f.address(i), []string{"GOMEMLIMIT=" + goMemoryLimit}, program, "--settings", path)
}

func (f *productFleet) agentAddress() string { return f.address(5) + ":" + productTransportPort }

// restart replaces a program's process, and waits until the gateway answers.
func (f *productFleet) restart(t *testing.T, program string, i int) *process {
	t.Helper()
	name := fmt.Sprint(program, "-", i)
	f.running[name].kill()
	f.start(program, i, false)
	if err := answered(f.group.Context(), f.ordinary); err != nil {
		t.Fatalf("the fleet does not answer: %v\n%s", err, f.running[name].logTail())
	}
	return f.running[name]
}

// putPlan sends a plan to the first control node.
func (f *productFleet) putPlan() error {
	f.revision++
	text := fmt.Sprintf(`{"weights":"w1","kinds":{"check":{"due_us":9000000}},"groups":{"desk":{"share":2,"keys":["%s"]}},"notes":{"n":%d}}`, plan.KeyDigest(productKey), f.revision)
	request, err := http.NewRequest(http.MethodPut, "http://"+f.address(1)+":"+productHTTPPort+"/v1/plan", strings.NewReader(text))
	if err != nil {
		return err
	}
	return expectOK(request)
}

// call sends an ordinary request to the gateway.
func (f *productFleet) call() error { return f.callWithPrompt(100) }

// callLargest sends a request with nearly the largest legal body to the gateway.
func (f *productFleet) callLargest() error { return f.callWithPrompt(maxBody - 1024) }

func (f *productFleet) callWithPrompt(n int) error {
	body := `{"kind":"check","prompt":"` + strings.Repeat("p", n) + `"}`
	request, err := http.NewRequest(http.MethodPost, "http://"+f.address(6)+":"+productHTTPPort+"/v1/tickets", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+productKey)
	return expectOK(request)
}

// ordinary changes the plan and calls the gateway.
func (f *productFleet) ordinary() error {
	if err := f.putPlan(); err != nil {
		return err
	}
	return f.call()
}

// TestProduct sends crowds to each port of the product's own programs.
func TestProduct(t *testing.T) {
	callRequest := func(headers ...string) string {
		return request("/v1/tickets", append(headers, "Authorization: Bearer "+productKey)...)
	}
	planChange := func(headers ...string) string {
		return "PUT" + strings.TrimPrefix(request("/v1/plan", headers...), "POST")
	}
	gateway := append(operationalCrowds("/readyz"),
		namedCrowd{"bodies one byte short", 100, lengthBody(callRequest, maxBody, maxBody-1)},
		namedCrowd{"tiny chunks without an end", 60, chunkedBody(callRequest, 16, maxBody)},
		namedCrowd{"bodies announced too long", 100, lengthBody(callRequest, 1<<30, 32<<20)},
		namedCrowd{"bodies without a key", 100, lengthBody(func(headers ...string) string { return request("/v1/tickets", headers...) }, maxBody, maxBody-1)},
	)
	control := append(operationalCrowds("/readyz"), namedCrowd{"plans one byte short", 400, lengthBody(planChange, maxPlan, maxPlan-1)})
	for _, port := range []productPort{
		{"violetthread-gateway", 6, "http", productHTTPPort, gateway, true},
		{"violetthread-agent", 5, "http", productHTTPPort, operationalCrowds("/readyz"), false},
		{"violetthread-agent", 5, "transport", productTransportPort, transportCrowds(), false},
		{"violetthread-index", 4, "http", productHTTPPort, operationalCrowds("/readyz"), false},
		{"violetthread-index", 4, "transport", productTransportPort, transportCrowds(), false},
		{"violetthread-control", 1, "http", productHTTPPort, control, false},
		{"violetthread-control", 1, "transport", productTransportPort, transportCrowds(), false},
	} {
		t.Run(port.program+"/"+port.name, func(t *testing.T) { port.bearAll(t) })
	}
}

// productPort is a port of a program, with the crowds that it has to bear.
type productPort struct {
	program string
	node    int
	name    string
	port    string
	crowds  []namedCrowd
	calls   bool // the port is the one for callers' requests
}

// bearAll sends all crowds to the port, each to a new process.
func (p productPort) bearAll(t *testing.T) {
	f := newProductFleet(t)
	var calm func() error
	if p.calls {
		calm = f.callLargest
	}
	for _, c := range p.crowds {
		t.Run(c.name, func(t *testing.T) {
			x := target{f.restart(t, p.program, p.node), f.group, f.ordinary, calm}
			x.bear(t, &crowd{addr: f.address(p.node) + ":" + p.port, connections: c.connections, send: c.send})
		})
	}
}
