package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
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

// processIP returns a loopback IP that only this process listens on. The kernel takes the ports of other
// processes' outgoing connections from those of 127.0.0.1. Machines with a single loopback IP return that.
func processIP() string {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 192+pid%60, pid/60%256, 1+pid/60/256%250)
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "127.0.0.1"
	}
	_ = listener.Close()
	return ip
}

// freeAddrs returns n addresses of processIP whose ports are free.
func freeAddrs(t *testing.T, n int) []string {
	t.Helper()
	ip := processIP()
	var listeners []net.Listener
	var addrs []string
	for i := 0; i < n; i++ {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		listeners, addrs = append(listeners, listener), append(addrs, listener.Addr().String())
	}
	for _, listener := range listeners {
		_ = listener.Close()
	}
	return addrs
}

// testFleet is a fleet of all daemons in one process: four control nodes, two index nodes, two
// gateways with their agents, and simulated engines, platform and back end. Addresses are those
// of the HTTP interfaces.
type testFleet struct {
	t          *testing.T
	controls   []string
	proxies    []string
	engines    []string
	platform   string
	backend    string
	recordings []string                  // paths of the recordings
	daemons    map[string]*daemon.Daemon // running daemons by name
	running    sync.WaitGroup            // of the daemons' Run calls
	disks      []*faultyDisk             // of the control nodes
}

// start runs a daemon in the background; err is the error of creating it.
func (fleet *testFleet) start(name string, d *daemon.Daemon, err error) {
	fleet.t.Helper()
	if err != nil {
		fleet.t.Fatalf("%s: %v", name, err)
	}
	fleet.daemons[name] = d
	fleet.running.Add(1)
	group := taskgroup.New(d.Group.Context(), d.Log)
	group.Go(name, func(context.Context) {
		defer fleet.running.Done()
		_ = d.Run()
	})
}

// newTestFleet starts a fleet, which is stopped at the end of the test.
func newTestFleet(t *testing.T) *testFleet {
	fleet := &testFleet{t: t, daemons: map[string]*daemon.Daemon{}}
	addrs := freeAddrs(t, 32)
	nextAddr := func() string { addr := addrs[0]; addrs = addrs[1:]; return addr }
	dir := t.TempDir()
	var transportAddrs []string // of the control nodes
	for i := 0; i < 4; i++ {
		transportAddrs = append(transportAddrs, nextAddr())
	}
	zones := []string{"north", "east", "south", "west"}
	for i := 0; i < 4; i++ {
		s := control.Defaults()
		s.Name, s.Zone, s.HTTPAddr, s.TransportAddr, s.Bootstrap, s.DataDir = fmt.Sprint("control", i), zones[i], nextAddr(), transportAddrs[i], true, fmt.Sprintf("%s/r%d", dir, i)
		s.LogSegments, s.LogSegmentBytes, s.DrainUS = 8, 256<<10, 0
		s.Seeds = transportAddrs[:3] // the fourth node joins the other three
		s.Disk = func(fs wal.FS) wal.FS {
			fleet.disks = append(fleet.disks, newFaultyDisk(fs))
			return fleet.disks[len(fleet.disks)-1]
		}
		fleet.controls = append(fleet.controls, s.HTTPAddr)
		d, err := control.NewDaemon(s)
		fleet.start(s.Name, d, err)
	}
	var listed []string // engines as the platform's settings list them
	for i := 0; i < 3; i++ {
		s := engine.Defaults()
		s.Name, s.Zone, s.HTTPAddr, s.PieceUS, s.RecomputeUS, s.WeightsLoadUS, s.DrainUS = fmt.Sprint("e", i), zones[i], nextAddr(), 3_000, 500, 50_000, 0
		fleet.engines = append(fleet.engines, s.HTTPAddr)
		listed = append(listed, fmt.Sprintf("%s=%s@%s", s.Name, s.HTTPAddr, s.Zone))
		d, err := engine.NewDaemon(s)
		fleet.start(s.Name, d, err)
	}
	fleet.platform, fleet.backend = nextAddr(), nextAddr()
	platformSettings := platform.Defaults()
	platformSettings.Name, platformSettings.Zone, platformSettings.HTTPAddr, platformSettings.Engines = "platform", "core", fleet.platform, listed
	d, err := platform.NewDaemon(platformSettings)
	fleet.start("platform", d, err)
	backendSettings := backend.Defaults()
	backendSettings.Name, backendSettings.Zone, backendSettings.HTTPAddr = "backend", "core", fleet.backend
	d, err = backend.NewDaemon(backendSettings)
	fleet.start("backend", d, err)
	for i := 0; i < 2; i++ {
		s := indexnode.Defaults()
		s.Name, s.Zone, s.HTTPAddr, s.TransportAddr, s.Seeds, s.Platform, s.DrainUS = fmt.Sprint("index", i), zones[i], nextAddr(), nextAddr(), transportAddrs[:3], fleet.platform, 500_000
		s.Recording = fmt.Sprintf("%s/index%d.recording", dir, i)
		fleet.recordings = append(fleet.recordings, s.Recording)
		d, err := indexnode.NewDaemon(s)
		fleet.start(s.Name, d, err)
	}
	for i := 0; i < 2; i++ {
		agentSettings := agent.Defaults()
		agentSettings.Name, agentSettings.Zone, agentSettings.HTTPAddr, agentSettings.TransportAddr, agentSettings.Seeds, agentSettings.DrainUS = fmt.Sprint("gateway", i), zones[i], nextAddr(), nextAddr(), transportAddrs[:3], 0
		d, err := agent.NewDaemon(agentSettings)
		fleet.start(agentSettings.Name+"-agent", d, err)
		s := gateway.Defaults()
		s.Name, s.Zone, s.HTTPAddr, s.Agent, s.DrainUS = agentSettings.Name, agentSettings.Zone, nextAddr(), agentSettings.TransportAddr, 3_000_000
		s.Recording = fmt.Sprintf("%s/gateway%d.recording", dir, i)
		fleet.recordings = append(fleet.recordings, s.Recording)
		fleet.proxies = append(fleet.proxies, s.HTTPAddr)
		d, err = gateway.NewDaemon(s)
		fleet.start(s.Name, d, err)
	}
	t.Cleanup(fleet.stopAll)
	return fleet
}

// stopAll ends all disk faults, so that no daemon waits for its disk, and stops all daemons.
func (fleet *testFleet) stopAll() {
	for _, disk := range fleet.disks {
		disk.setFault("")
	}
	for name, d := range fleet.daemons {
		d.Stop()
		delete(fleet.daemons, name)
	}
	fleet.running.Wait()
}

// waitUntil polls a condition, and fails the test if it does not hold within 30 s.
func (fleet *testFleet) waitUntil(what string, condition func() bool) {
	fleet.t.Helper()
	tick, end := time.NewTicker(10*time.Millisecond), time.After(30*time.Second)
	defer tick.Stop()
	for !condition() {
		select {
		case <-tick.C:
		case <-end:
			fleet.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// votersComplete reports whether every control node knows all of them as voters, with no change of the voter
// set under way.
func (fleet *testFleet) votersComplete() bool {
	for _, addr := range fleet.controls {
		_, text := fleet.get(addr + "/v1/fleet")
		var status control.FleetStatus
		if json.Unmarshal([]byte(text), &status) != nil || len(status.Voters) != len(fleet.controls) || !status.ChangeAllowed {
			return false
		}
	}
	return true
}

// get returns the status and body of a GET, or status 0 and the error.
func (fleet *testFleet) get(url string) (int, string) {
	response, err := http.Get("http://" + url)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

// send sends an HTTP request and returns the status and body of the response, or status 0 and
// the error. An empty key sends no Authorization header.
func (fleet *testFleet) send(method, url, key string, header map[string]string, text string) (int, string) {
	request, err := http.NewRequest(method, "http://"+url, strings.NewReader(text))
	if err != nil {
		fleet.t.Fatal(err)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

// request sends a caller's request and returns the HTTP status, all frames and the last one.
func (fleet *testFleet) request(proxy int, key, body string) (int, []callerapi.Frame, callerapi.Frame) {
	status, text := fleet.send("POST", fleet.proxies[proxy]+"/v1/tickets", key, nil, body)
	var frames []callerapi.Frame
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		var frame callerapi.Frame
		if json.Unmarshal([]byte(line), &frame) == nil {
			frames = append(frames, frame)
		}
	}
	if len(frames) == 0 {
		return status, nil, callerapi.Frame{}
	}
	return status, frames, frames[len(frames)-1]
}

// countRuns returns how many runs of a request the engines observed.
func (fleet *testFleet) countRuns(requestID string) (n int) {
	for _, addr := range fleet.engines {
		_, body := fleet.get(addr + "/v1/seen")
		var observed engine.Observations
		_ = json.Unmarshal([]byte(body), &observed)
		for _, run := range observed.Runs {
			if run.RequestID == requestID {
				n++
			}
		}
	}
	return n
}
